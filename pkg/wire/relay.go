package wire

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Headers between two instances, when one relays a request to the other.
const (
	// HeaderRelayCaller carries the IP address of the caller.
	HeaderRelayCaller = "Burdockpitch-Relay-Caller"
	// HeaderRelayService names the service that was selected for the request.
	HeaderRelayService = "Burdockpitch-Relay-Service"
	// HeaderRelayAttempts is the number of attempts that may still reach a target.
	HeaderRelayAttempts = "Burdockpitch-Relay-Attempts"
	// HeaderRelayOutcome carries the Outcome on the response, and HeaderRelayReason the reason for a refusal.
	HeaderRelayOutcome = "Burdockpitch-Relay-Outcome"
	HeaderRelayReason  = "Burdockpitch-Relay-Reason"
	// HeaderRelayLeaving names the target that announces on the response that it leaves, and HeaderRelayStart its start ID.
	HeaderRelayLeaving = "Burdockpitch-Relay-Leaving"
	HeaderRelayStart   = "Burdockpitch-Relay-Start"
)

// RelayedRequest is what an instance states about a request that it relays to another one.
type RelayedRequest struct {
	CallerIP string
	Service  string
	Attempts int
}

// SetRelayHeaders encodes a RelayedRequest.
func SetRelayHeaders(h http.Header, r RelayedRequest) {
	h.Set(HeaderRelayCaller, r.CallerIP)
	h.Set(HeaderRelayService, r.Service)
	h.Set(HeaderRelayAttempts, strconv.Itoa(r.Attempts))
}

// maxRelayAttempts is the largest number of attempts that is believed.
const maxRelayAttempts = 1000

// TakeRelayHeaders decodes a RelayedRequest and removes its headers. It returns false if they are absent or malformed.
func TakeRelayHeaders(h http.Header) (r RelayedRequest, ok bool) {
	attempts, err := strconv.Atoi(h.Get(HeaderRelayAttempts))
	r = RelayedRequest{CallerIP: h.Get(HeaderRelayCaller), Service: h.Get(HeaderRelayService), Attempts: attempts}
	for _, name := range []string{HeaderRelayCaller, HeaderRelayService, HeaderRelayAttempts} {
		h.Del(name)
	}
	return r, err == nil && attempts > 0 && attempts <= maxRelayAttempts && r.CallerIP != "" && r.Service != ""
}

// RelayedResponse is what an instance states about its response to a relayed request.
type RelayedResponse struct {
	Outcome Outcome
	// Reason is the reason for a refusal.
	Reason string
	// LeavingTarget is the target that announces on the response that it leaves, and Start its start ID; empty if none
	// does.
	LeavingTarget, Start string
}

// SetHeaders encodes r.
func (r RelayedResponse) SetHeaders(h http.Header) {
	h.Set(HeaderRelayOutcome, string(r.Outcome))
	h.Set(HeaderRelayReason, r.Reason)
	if r.LeavingTarget != "" {
		h.Set(HeaderRelayLeaving, r.LeavingTarget)
		h.Set(HeaderRelayStart, r.Start)
	}
}

// TakeRelayedResponse decodes a RelayedResponse and removes its headers.
func TakeRelayedResponse(h http.Header) RelayedResponse {
	r := RelayedResponse{
		Outcome: Outcome(h.Get(HeaderRelayOutcome)), Reason: h.Get(HeaderRelayReason),
		LeavingTarget: h.Get(HeaderRelayLeaving), Start: h.Get(HeaderRelayStart),
	}
	RemoveRelayedResponse(h)
	return r
}

// RemoveRelayedResponse removes the headers of a RelayedResponse. Targets must not set them.
func RemoveRelayedResponse(h http.Header) {
	for _, name := range []string{HeaderRelayOutcome, HeaderRelayReason, HeaderRelayLeaving, HeaderRelayStart} {
		h.Del(name)
	}
}

// errNotRelayed is returned for a response that is not from an instance.
var errNotRelayed = errors.New("response does not state the outcome of a relayed request")

// RelayDialect is the dialect between two instances whose callers use the Base dialect.
type RelayDialect struct{ Base Dialect }

var _ Dialect = RelayDialect{}

// ParseRequest implements Dialect.
func (d RelayDialect) ParseRequest(h http.Header) RequestMetadata { return d.Base.ParseRequest(h) }

// RewriteRequestHeaders implements Dialect.
func (d RelayDialect) RewriteRequestHeaders(h http.Header, to ForwardedRequest) {
	d.Base.RewriteRequestHeaders(h, to)
}

// SetAttemptHeaders implements Dialect. The instance gets the remaining time as from a caller.
func (d RelayDialect) SetAttemptHeaders(h http.Header, _ string, remaining time.Duration) {
	d.Base.SetAttemptHeaders(h, "", remaining)
}

// ParseResponse implements Dialect. What a target states concerns the other instance only.
func (RelayDialect) ParseResponse(int, http.Header) ResponseMetadata { return ResponseMetadata{} }

// VerifyResponse implements Dialect.
func (RelayDialect) VerifyResponse(_ int, h http.Header, _ string) error {
	switch Outcome(h.Get(HeaderRelayOutcome)) {
	case OutcomeAnswered, OutcomeNotRun, OutcomeUnknown:
		return nil
	}
	return errNotRelayed
}

// RewriteResponseHeaders implements Dialect. The other instance has rewritten the headers.
func (RelayDialect) RewriteResponseHeaders(http.Header, string, Outcome) {}

// SetRefusalHeaders implements Dialect.
func (d RelayDialect) SetRefusalHeaders(h http.Header, r Refusal) { d.Base.SetRefusalHeaders(h, r) }

// AllowsCloseDelimited implements Dialect: instances send a length or chunks.
func (RelayDialect) AllowsCloseDelimited() bool { return false }
