package wire

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Dialect encodes the metadata that callers, instances and targets exchange in HTTP headers. Native is the project's
// own; a deployment whose callers and targets use other headers provides another. Implementations hold no state and are
// safe for concurrent use.
type Dialect interface {
	// ParseRequest returns what a caller states about its request.
	ParseRequest(h http.Header) RequestMetadata
	// RewriteRequestHeaders turns the headers of a caller's request into those of a request to a target. Hop-by-hop
	// headers have already been removed.
	RewriteRequestHeaders(h http.Header, to ForwardedRequest)
	// SetAttemptHeaders states the identity of the target for which a request is meant, empty if unknown, and how long
	// the target may take. It is called immediately before the request is written.
	SetAttemptHeaders(h http.Header, targetIdentity string, remaining time.Duration)
	// ParseResponse returns what a target states on its response.
	ParseResponse(status int, h http.Header) ResponseMetadata
	// VerifyResponse returns an error if a response cannot be the target's response to the request with the given ID.
	VerifyResponse(status int, h http.Header, requestID string) error
	// RewriteResponseHeaders turns the headers of a target's response into those of the response to the caller.
	RewriteResponseHeaders(h http.Header, requestID string, outcome Outcome)
	// SetRefusalHeaders sets the headers of a response with which this instance refuses a request.
	SetRefusalHeaders(h http.Header, refusal Refusal)
	// AllowsCloseDelimited reports whether a response without a length counts as complete when its connection closes
	// without an error.
	AllowsCloseDelimited() bool
}

// RequestMetadata is what a caller states about its request.
type RequestMetadata struct {
	// ID identifies the request in logs; empty if the caller sets no valid one.
	ID string
	// CallerTimeout is how long the caller still waits; only valid if HasCallerTimeout.
	CallerTimeout    time.Duration
	HasCallerTimeout bool
	// Hops is the number of instances that the call chain has passed.
	Hops int
}

// ForwardedRequest is what an instance adds to a caller's request for the target.
type ForwardedRequest struct {
	// RequestID is the ID that the caller set, or one that this instance assigned.
	RequestID string
	// Hops is the number of instances that the call chain has passed, including this one.
	Hops int
}

// ResponseMetadata is what a target states on its response.
type ResponseMetadata struct {
	// Declaration is set if the target declares that it did not run the request.
	Declaration Declaration
	// Unidentified is set if a later copy of the response could pass as the response to another request.
	Unidentified bool
	// Load is the target's load report; Load.Slots is 0 if there is none.
	Load LoadReport
	// StartID identifies one start of the target process; empty if unknown.
	StartID string
	// TargetIdentity is the identity of the target that responded; empty if it is not stated.
	TargetIdentity string
	// Leaving is set if the target drains.
	Leaving bool
	// RequestRate is the rate that the target accepts from all instances together, in requests per second; only valid if
	// HasRequestRate.
	RequestRate    float64
	HasRequestRate bool
	// RetryAfter is how long the target wants no requests from this instance; zero if it does not say.
	RetryAfter time.Duration
	// Warmup is how much longer the target stays cold, zero if it is warm; only valid if HasWarmup. It is meaningful on
	// responses to health probes only.
	Warmup    time.Duration
	HasWarmup bool
	// GaveUp is set if an instance further down the call chain gave up on a nested call.
	GaveUp bool
}

// Refusal is a response with which an instance refuses a request.
type Refusal struct {
	RequestID string
	Outcome   Outcome
	// Reason is one of the values of HeaderReason.
	Reason string
	// RetryAfter is how long the caller should wait before a retry; zero means that a retry makes no sense.
	RetryAfter time.Duration
}

// Errors of Dialect.VerifyResponse.
var (
	// ErrRequestIDMismatch marks a response that belongs to another request.
	ErrRequestIDMismatch = errors.New("response belongs to another request")
	// ErrUnsigned marks a response that the target did not sign as its own.
	ErrUnsigned = errors.New("response lacks the target's signature")
	// ErrUnprovenRejection marks a response whose status says that the request did not run, although the target does
	// not declare it.
	ErrUnprovenRejection = errors.New("response has a rejection status, but the target does not declare that it did not run the request")
	// ErrUnexpectedEncoding marks a response with a content encoding that the request did not ask for.
	ErrUnexpectedEncoding = errors.New("response has a content encoding that the request did not ask for")
)

// Native is the dialect of the project's own headers.
type Native struct{}

var _ Dialect = Native{}

// ParseRequest implements Dialect.
func (Native) ParseRequest(h http.Header) RequestMetadata {
	r := RequestMetadata{ID: ParseRequestID(h), Hops: ParseHops(h)}
	r.CallerTimeout, r.HasCallerTimeout = ParseDeadline(h)
	return r
}

// RewriteRequestHeaders implements Dialect.
func (Native) RewriteRequestHeaders(h http.Header, to ForwardedRequest) {
	SanitizeRequest(h)
	h.Set(HeaderHops, strconv.Itoa(to.Hops))
	h.Set(HeaderRequestID, to.RequestID)
}

// SetAttemptHeaders implements Dialect. The project's own targets do not check their identity.
func (Native) SetAttemptHeaders(h http.Header, _ string, remaining time.Duration) {
	h.Set(HeaderDeadline, FormatDeadline(remaining))
}

// ParseResponse implements Dialect. Only a response that repeats the request ID is identified.
func (Native) ParseResponse(status int, h http.Header) ResponseMetadata {
	m := ResponseMetadata{StartID: h.Get(HeaderStart), GaveUp: GaveUp(h)}
	m.Declaration = declarationOn(status, h)
	m.Unidentified = h.Get(HeaderRequestID) == ""
	m.Load, _ = ParseLoad(h)
	m.RequestRate, m.HasRequestRate = ParseRequestRate(h.Get(HeaderRequestRate))
	if !m.GaveUp { // a relayed Retry-After is about the target of a nested call
		m.RetryAfter = ParseRetryAfter(status, h)
	}
	m.Leaving = h.Get(HeaderLeaving) != "" || h.Get(HeaderDeclare) == string(DeclareDraining)
	return m
}

// VerifyResponse implements Dialect. The project's own targets need not repeat the request ID. If a declaration repeats
// one, it must be that of the request. Other responses can have the ID of a nested call, whose headers the target relays.
func (Native) VerifyResponse(status int, h http.Header, requestID string) error {
	id := h.Get(HeaderRequestID)
	if declarationOn(status, h) != "" && id != "" && id != requestID {
		return ErrRequestIDMismatch
	}
	return nil
}

// declarationOn returns the declaration on a response of a native target, or "". On a status below 400 there is none.
func declarationOn(status int, h http.Header) Declaration {
	d, ok := ParseDeclaration(h)
	if !ok || status < http.StatusBadRequest {
		return ""
	}
	return d
}

// RewriteResponseHeaders implements Dialect.
func (Native) RewriteResponseHeaders(h http.Header, requestID string, outcome Outcome) {
	SanitizeResponse(h)
	h.Set(HeaderRequestID, requestID)
	h.Set(HeaderOutcome, string(outcome))
}

// SetRefusalHeaders implements Dialect. Retry-After is in whole seconds, rounded up and at least 1.
func (Native) SetRefusalHeaders(h http.Header, r Refusal) {
	h.Set(HeaderRequestID, r.RequestID)
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderReason, r.Reason)
	h.Set("Retry-After", strconv.FormatInt(max(int64((r.RetryAfter+time.Second-1)/time.Second), 1), 10))
}

// AllowsCloseDelimited implements Dialect: a close-delimited response cannot be distinguished from a truncated one.
func (Native) AllowsCloseDelimited() bool { return false }
