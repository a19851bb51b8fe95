// Package wire defines the HTTP headers exchanged between callers, instances and targets.
//
// It holds names and encodings only. Targets declare that they did not run a request in a different header from the one
// in which instances report this to callers. With one header for both, a target that relays the response headers of a
// nested call would seem to declare that it did not run its own request.
package wire

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers that a target sets on its responses.
const (
	// HeaderDeclare carries a Declaration: the target states that it did not run the request.
	HeaderDeclare = "Burdockpitch-Declare"
	// HeaderLoad carries the target's load as "in-use/slots".
	HeaderLoad = "Burdockpitch-Load"
	// HeaderStart identifies one start of the target process.
	HeaderStart = "Burdockpitch-Start"
	// HeaderLeaving announces on a normal response that the target drains ("1"). The response itself is valid.
	HeaderLeaving = "Burdockpitch-Leaving"
	// HeaderRequestRate limits the requests per second that the target accepts from all instances together, as a decimal
	// number. The limit ends with the first response without the header.
	HeaderRequestRate = "Burdockpitch-Request-Rate"
)

// Headers that an instance sets on its responses to callers.
const (
	// HeaderOutcome carries an Outcome: what is known about the execution of the request.
	HeaderOutcome = "Burdockpitch-Outcome"
	// HeaderReason names the reason for a refusal.
	HeaderReason = "Burdockpitch-Reason"
)

// Headers that an instance sets on requests to targets and reads from requests of callers.
const (
	// HeaderDeadline is the remaining time of the request in milliseconds.
	HeaderDeadline = "Burdockpitch-Deadline-Ms"
	// HeaderHops counts the instances that the call chain has passed.
	HeaderHops = "Burdockpitch-Hops"
	// HeaderRequestID identifies the request in logs. Callers may set it; it is also set on responses to callers.
	HeaderRequestID = "Burdockpitch-Request-Id"
)

// Declaration is a target's statement that it did not run a request.
type Declaration string

// The declarations that a target can make.
const (
	// DeclareShed states that the target is overloaded.
	DeclareShed Declaration = "shed"
	// DeclareDraining states that the target shuts down and accepts no new requests.
	DeclareDraining Declaration = "draining"
	// DeclareExpired states that the deadline passed before the target started on the request.
	DeclareExpired Declaration = "expired"
	// DeclareMisdirected states that the request was meant for another target, which had this address before. Native
	// targets do not use it.
	DeclareMisdirected Declaration = "misdirected"
)

// ParseDeclaration returns the declaration in h and whether exactly one known declaration is present. Anything else
// does not prove that the request did not run.
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

// Outcome is what an instance reports to a caller about the execution of its request.
type Outcome string

// The outcomes reported to callers.
const (
	// OutcomeAnswered means that the response is that of the target.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the request did not run on any target.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run. It is also reported with a response of the target that is a
	// 5xx response or relays that an instance gave up on a nested call.
	OutcomeUnknown Outcome = "unknown"
)

// GaveUp reports whether a target's response relays the outcome of a nested call on which an instance gave up.
func GaveUp(h http.Header) bool {
	for _, value := range h[HeaderOutcome] {
		if o := Outcome(value); o == OutcomeNotRun || o == OutcomeUnknown {
			return true
		}
	}
	return false
}

// LoadReport is a target's own report of its load.
type LoadReport struct {
	// InUse is the number of requests in slots or in the target's queue.
	InUse int
	// Slots is the number of requests that the target processes at once.
	Slots int
	// Slowdown is how long work currently takes on the target, in multiples of the usual time; 0 if it is not stated.
	Slowdown float64
}

// String returns the header form "in-use/slots".
func (l LoadReport) String() string { return fmt.Sprintf("%d/%d", l.InUse, l.Slots) }

// maxLoadValue is the largest value of a load report that is believed. Larger ones, from a target in trouble, would
// overflow the sums in which they are used.
const maxLoadValue = 1_000_000

// ParseLoad parses the load report in h; ok is false if it is absent or malformed.
func ParseLoad(h http.Header) (l LoadReport, ok bool) {
	used, slots, found := strings.Cut(h.Get(HeaderLoad), "/")
	if !found {
		return LoadReport{}, false
	}
	n, err1 := strconv.Atoi(used)
	m, err2 := strconv.Atoi(slots)
	if err1 != nil || err2 != nil || n < 0 || m <= 0 || max(n, m) > maxLoadValue {
		return LoadReport{}, false
	}
	return LoadReport{InUse: n, Slots: m}, true
}

// maxRequestRate is the highest request rate that is believed, in requests per second.
const maxRequestRate = 1_000_000

// ParseRequestRate parses a request rate in requests per second. It returns false for an empty or malformed text, a
// negative rate and one above maxRequestRate.
func ParseRequestRate(text string) (perSecond float64, ok bool) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || !(rate >= 0 && rate <= maxRequestRate) { // written so that NaN is refused
		return 0, false
	}
	return rate, true
}

// maxRetryAfter is the longest Retry-After that is believed.
const maxRetryAfter = time.Hour

// ParseRetryAfter returns how long the target wants no requests by its Retry-After header, at most maxRetryAfter. Only
// a response with status 503 can state that. The time is in seconds and may be a fraction; it is zero if the header is
// absent, malformed, not positive or a date.
func ParseRetryAfter(status int, h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if status != http.StatusServiceUnavailable || err != nil || !(seconds > 0) { // written so that NaN is refused
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// FormatDeadline encodes a remaining time in whole milliseconds. It rounds down, so that a target never assumes more
// time than the caller has.
func FormatDeadline(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// ParseDeadline returns the remaining time in h, and false if it is absent, malformed or longer than 24 hours.
func ParseDeadline(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(h.Get(HeaderDeadline), 10, 64)
	if err != nil || ms < 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// maxRequestIDBytes bounds a request ID that a caller sets.
const maxRequestIDBytes = 64

// ParseRequestID returns the request ID that a caller set, or "" if it is absent or not fit for logs: too long, or with
// spaces or characters that are not printable ASCII.
func ParseRequestID(h http.Header) string {
	id := h.Get(HeaderRequestID)
	if len(id) > maxRequestIDBytes || strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return ""
	}
	return id
}

// ParseHops parses the hop count in h; an absent, malformed or negative count is 0.
func ParseHops(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderHops))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// SanitizeRequest removes the headers that only instances and targets may set.
func SanitizeRequest(h http.Header) {
	for _, name := range []string{
		HeaderDeclare, HeaderLoad, HeaderStart, HeaderLeaving, HeaderRequestRate, HeaderOutcome, HeaderReason,
	} {
		h.Del(name)
	}
}

// SanitizeResponse removes the headers that are meant for instances, and those that only instances may set.
func SanitizeResponse(h http.Header) {
	SanitizeRequest(h)
	for _, name := range []string{HeaderDeadline, HeaderHops} {
		h.Del(name)
	}
}
