package wire

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Dialect encodes what callers, entry instances and targets tell each other in HTTP headers. Native is the project's
// own; a deployment whose callers and targets use other headers brings another. Implementations hold no state and are
// safe for concurrent use.
type Dialect interface {
	// Request reads what a caller states about its request.
	Request(h http.Header) Request
	// Forward turns the headers of a caller's request into those of a request to a target. Hop-by-hop headers are gone
	// already.
	Forward(h http.Header, to Forward)
	// Address states for which target a request is meant, if that is known, and how long the target may take. It is called
	// immediately before the request is written.
	Address(h http.Header, instance string, remaining time.Duration)
	// Answer reads what a target states on its answer.
	Answer(status int, h http.Header) Answer
	// Verify returns why an answer cannot be the target's answer to the request with the given id, or nil.
	Verify(status int, h http.Header, requestID string) error
	// Deliver turns the headers of a target's answer into those of the answer to the caller.
	Deliver(h http.Header, requestID string, outcome Outcome)
	// Refuse sets the headers of an answer with which this instance refuses a request. Retry-After is zero where asking
	// again makes no sense.
	Refuse(h http.Header, refusal Refusal)
	// EndsAtClose reports whether an answer without a length is whole when its connection ends without an error.
	EndsAtClose() bool
}

// Request is what a caller states about its request.
type Request struct {
	// ID identifies the request in logs; empty when the caller sets none that is fit for use.
	ID string
	// Remaining is how long the caller waits; only valid if Bounded.
	Remaining time.Duration
	Bounded   bool
	// Hops is the number of entry instances that the call chain has passed.
	Hops int
}

// Forward is what a target is told beside the caller's request.
type Forward struct {
	RequestID string
	Hops      int
}

// Answer is what a target states on its answer.
type Answer struct {
	// Declaration is set if the target declares that it did not run the request.
	Declaration Declaration
	// Load is the target's load; Load.Slots is 0 without a report.
	Load Load
	// Start identifies the start of the target; empty when unknown.
	Start string
	// Instance is the identity of the target that answered; empty when it is not stated.
	Instance string
	// Leaving is set if the target drains.
	Leaving bool
	// GaveUp is set if an inner entry instance gave up on a nested call.
	GaveUp bool
}

// Refusal is an answer with which an entry instance refuses a request.
type Refusal struct {
	RequestID  string
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
}

// Errors of Verify.
var (
	// ErrForeign marks an answer that belongs to another request.
	ErrForeign = errors.New("answer to another request")
	// ErrUnsigned marks an answer that the target did not sign as its own.
	ErrUnsigned = errors.New("answer without the target's signature")
	// ErrUnproved marks an answer whose status says that the request did not run, without the target's statement.
	ErrUnproved = errors.New("status of a rejection without the target's statement that it did not run the request")
	// ErrEncoded marks an answer with an encoding that nobody asked for.
	ErrEncoded = errors.New("answer with an encoding that was not asked for")
)

// Native is the dialect of the project's own headers.
type Native struct{}

var _ Dialect = Native{}

// Request implements Dialect.
func (Native) Request(h http.Header) Request {
	r := Request{ID: ParseRequestID(h), Hops: ParseHops(h)}
	r.Remaining, r.Bounded = ParseDeadline(h)
	return r
}

// Forward implements Dialect.
func (Native) Forward(h http.Header, to Forward) {
	StripFromCaller(h)
	h.Set(HeaderHops, strconv.Itoa(to.Hops))
	h.Set(HeaderRequestID, to.RequestID)
}

// Address implements Dialect. The project's own targets do not check their identity.
func (Native) Address(h http.Header, _ string, remaining time.Duration) {
	h.Set(HeaderDeadline, FormatDeadline(remaining))
}

// Answer implements Dialect.
func (Native) Answer(status int, h http.Header) Answer {
	a := Answer{Start: h.Get(HeaderStart), GaveUp: GaveUp(h)}
	if d, ok := ParseDeclaration(h); ok && status >= http.StatusBadRequest {
		a.Declaration = d
	}
	a.Load, _ = ParseLoad(h)
	a.Leaving = h.Get(HeaderLeaving) != "" || h.Get(HeaderDeclare) == string(DeclareDraining)
	return a
}

// Verify implements Dialect. The project's own targets do not repeat the request id.
func (Native) Verify(int, http.Header, string) error { return nil }

// Deliver implements Dialect.
func (Native) Deliver(h http.Header, requestID string, outcome Outcome) {
	StripFromTarget(h)
	h.Set(HeaderRequestID, requestID)
	h.Set(HeaderOutcome, string(outcome))
}

// Refuse implements Dialect. Retry-After is in whole seconds, rounded up.
func (Native) Refuse(h http.Header, r Refusal) {
	h.Set(HeaderRequestID, r.RequestID)
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderReason, r.Reason)
	h.Set("Retry-After", strconv.FormatInt(max(int64((r.RetryAfter+time.Second-1)/time.Second), 1), 10))
}

// EndsAtClose implements Dialect: an answer that ends with its connection cannot be told from a broken one.
func (Native) EndsAtClose() bool { return false }
