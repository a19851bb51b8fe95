// Package wire names the HTTP headers exchanged between callers, entry instances and targets.
//
// It holds names and encodings only. The two directions use different header names, so that a target that relays the
// headers of a nested call cannot make its own call look as if it had not run.
package wire

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers that a target sets on its answers.
const (
	// HeaderDeclare carries a Declaration: the target states that it did not run the request.
	HeaderDeclare = "Burdockpitch-Declare"
	// HeaderLoad carries the target's load as "in-use/slots".
	HeaderLoad = "Burdockpitch-Load"
	// HeaderStart identifies one start of the target process.
	HeaderStart = "Burdockpitch-Start"
	// HeaderLeaving announces on a normal answer that the target drains ("1"). The answer itself stands.
	HeaderLeaving = "Burdockpitch-Leaving"
)

// Headers that an entry instance sets on its answers to callers.
const (
	// HeaderOutcome tells what is known about the execution of the request: an Outcome.
	HeaderOutcome = "Burdockpitch-Outcome"
	// HeaderReason names the reason for a refusal.
	HeaderReason = "Burdockpitch-Reason"
)

// Headers that an entry instance sets on requests to targets.
const (
	// HeaderDeadline is the remaining time of the request in milliseconds.
	HeaderDeadline = "Burdockpitch-Deadline-Ms"
	// HeaderHops counts the entry instances that the call chain has passed.
	HeaderHops = "Burdockpitch-Hops"
	// HeaderRequestID identifies the request in logs. Callers may set it; it is also set on answers to callers.
	HeaderRequestID = "Burdockpitch-Request-Id"
)

// Declaration is a target's statement that it did not run a request.
type Declaration string

// The declarations that a target can make.
const (
	DeclareShed     Declaration = "shed"
	DeclareDraining Declaration = "draining"
	DeclareExpired  Declaration = "expired"
	// DeclareMisdirected: the request was meant for another target, which had this address before. Native targets do
	// not use it.
	DeclareMisdirected Declaration = "misdirected"
)

// ParseDeclaration returns the declaration in h and whether exactly one known declaration is present. Anything else is no
// proof that the request did not run.
func ParseDeclaration(h http.Header) (Declaration, bool) {
	values := h[HeaderDeclare]
	if len(values) != 1 {
		return "", false
	}
	d := Declaration(values[0])
	switch d {
	case DeclareShed, DeclareDraining, DeclareExpired:
		return d, true
	}
	return "", false
}

// Outcome is what a caller is told about the execution of its request.
type Outcome string

// The outcomes told to callers.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
)

// GaveUp reports whether a target's answer relays the outcome of a nested call on which an entry instance gave up.
func GaveUp(h http.Header) bool {
	for _, value := range h[HeaderOutcome] {
		if o := Outcome(value); o == OutcomeNotRun || o == OutcomeUnknown {
			return true
		}
	}
	return false
}

// LoadReport is a target's own report of its slots.
type LoadReport struct {
	// InUse is the number of requests in slots or in the target's queue.
	InUse int
	// Slots is the number of requests that the target works on at once.
	Slots int
	// Slowdown is how long work takes there at the moment, in multiples of the usual time; 0 when it is not stated.
	Slowdown float64
}

// String returns the header form "in-use/slots".
func (l LoadReport) String() string { return fmt.Sprintf("%d/%d", l.InUse, l.Slots) }

// ParseLoad reads a load report; ok is false when it is absent or malformed.
func ParseLoad(h http.Header) (l LoadReport, ok bool) {
	used, slots, found := strings.Cut(h.Get(HeaderLoad), "/")
	if !found {
		return LoadReport{}, false
	}
	n, err1 := strconv.Atoi(used)
	m, err2 := strconv.Atoi(slots)
	if err1 != nil || err2 != nil || n < 0 || m <= 0 {
		return LoadReport{}, false
	}
	return LoadReport{InUse: n, Slots: m}, true
}

// FormatDeadline encodes a remaining time in whole milliseconds, rounded down, so that a target never believes it has
// longer than the caller.
func FormatDeadline(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// ParseDeadline reads a remaining time; ok is false when it is absent or malformed.
func ParseDeadline(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(h.Get(HeaderDeadline), 10, 64)
	if err != nil || ms < 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// maxRequestIDBytes bounds a request id that a caller sets, in bytes.
const maxRequestIDBytes = 64

// ParseRequestID returns the request id that a caller set, or "" when it is absent or not fit for logs.
func ParseRequestID(h http.Header) string {
	id := h.Get(HeaderRequestID)
	if len(id) > maxRequestIDBytes || strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return ""
	}
	return id
}

// ParseHops reads the hop count; an absent or malformed count is 0.
func ParseHops(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderHops))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// SanitizeRequest removes the headers that only entry instances and targets may set.
func SanitizeRequest(h http.Header) {
	for _, name := range []string{HeaderDeclare, HeaderLoad, HeaderStart, HeaderLeaving, HeaderOutcome, HeaderReason} {
		h.Del(name)
	}
}

// SanitizeResponse removes the headers that are meant for entry instances, and those that only entry instances may set.
func SanitizeResponse(h http.Header) {
	SanitizeRequest(h)
	for _, name := range []string{HeaderDeadline, HeaderHops} {
		h.Del(name)
	}
}
