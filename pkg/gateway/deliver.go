package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// minCopyBytes is the smallest buffer for streaming a response body. Like the buffers of a connection, it is not counted
// as memory for bodies.
const minCopyBytes = 4 << 10

// deliveryResult is how forwarding a response to the caller ended.
type deliveryResult uint8

const (
	delivered    deliveryResult = iota
	targetFailed                // the response was truncated
	callerFailed                // the caller disconnected or reads too slowly
)

// minDeliveryRate is the lowest rate, in bytes per second, at which a caller may take a long response.
const minDeliveryRate = 4 << 10

// callerWriter writes to a caller with a timeout on each write and a lowest rate over all, so that a caller that does not
// read, or only a little, cannot occupy a slot of the target. The time in which the target provides the response is not
// the caller's.
type callerWriter struct {
	http.ResponseWriter
	written      int64         // bytes
	spent        time.Duration // in writes
	control      *http.ResponseController
	writeTimeout time.Duration
	dialect      wire.Dialect
	requestID    string
	stop         *stopState
}

func (g *Gateway) newCallerWriter(w http.ResponseWriter) *callerWriter {
	c := &callerWriter{ResponseWriter: w, control: http.NewResponseController(w), writeTimeout: g.cfg.WriteTimeout, dialect: g.cfg.Dialect, stop: g.stop}
	_ = c.control.SetWriteDeadline(time.Time{}) // clears the deadline of the previous request on this connection
	return c
}

// WriteHeader writes the status and the headers within the write timeout. During a graceful stop the response closes its
// connection, also if the request has arrived before.
func (c *callerWriter) WriteHeader(status int) {
	if c.stop.requested() {
		c.Header().Set("Connection", "close")
	}
	defer c.beginWrite()()
	c.ResponseWriter.WriteHeader(status)
}

// Write writes b within the write timeout.
func (c *callerWriter) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	defer c.beginWrite()()
	n, err := c.ResponseWriter.Write(b)
	c.written += int64(n)
	return n, err
}

// flush sends what was written within the write timeout.
func (c *callerWriter) flush() error {
	defer c.beginWrite()()
	return c.control.Flush()
}

// beginWrite sets the deadline of a write. The returned function ends the write.
func (c *callerWriter) beginWrite() (end func()) {
	began := time.Now()
	left := c.writeTimeout + time.Duration(c.written)*time.Second/minDeliveryRate - c.spent
	_ = c.control.SetWriteDeadline(began.Add(min(left, c.writeTimeout)))
	return func() { c.spent += time.Since(began) }
}

// writeHeaders forwards the status and the end-to-end headers of a response.
func (c *callerWriter) writeHeaders(resp *bufferedResponse) {
	removeHopByHop(resp.Header)
	wire.RemoveRelayedResponse(resp.Header) // a target's would replace those of this instance
	h := c.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if resp.relayedOutcome == "" { // another instance has rewritten the headers
		c.dialect.RewriteResponseHeaders(h, c.requestID, resp.outcome())
	}
	if resp.complete && len(resp.Trailer) == 0 && bodyAllowed(resp) {
		h.Set("Content-Length", strconv.Itoa(len(resp.prefix)))
	}
	if resp.Header["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps net/http from sniffing one
	}
	c.WriteHeader(resp.Status)
}

// bodyAllowed reports whether a response can have a body, so that the number of body bytes is its Content-Length. On a
// response to HEAD or with status 304, that header describes content that is not sent; status 204 must not have it.
func bodyAllowed(resp *bufferedResponse) bool {
	return resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified && !resp.NoBody
}

// writeResponse forwards a response: first the buffered part of the body, then the rest, if any, as it is read from the
// target.
func (c *callerWriter) writeResponse(resp *bufferedResponse) deliveryResult {
	c.writeHeaders(resp)
	if _, err := c.Write(resp.prefix); err != nil {
		return callerFailed
	}
	if !resp.complete {
		if end := c.streamBody(resp.Body, resp.prefix); end != delivered {
			return end
		}
	}
	// Without a flush, net/http sets a length on a short body and drops the trailers.
	if len(resp.Trailer) > 0 && c.flush() != nil {
		return callerFailed
	}
	wire.SanitizeResponse(resp.Trailer)
	for name, values := range resp.Trailer {
		c.Header()[http.TrailerPrefix+name] = values
	}
	return delivered
}

// streamBody forwards a body and flushes after each read, because the caller may wait for partial content. It copies
// through the memory of the prefix, which has been written before.
func (c *callerWriter) streamBody(body io.Reader, prefix []byte) deliveryResult {
	buffer := prefix[:cap(prefix)]
	if len(buffer) < minCopyBytes {
		buffer = make([]byte, minCopyBytes)
	}
	for {
		n, err := body.Read(buffer)
		if _, writeErr := c.Write(buffer[:n]); writeErr != nil {
			return callerFailed
		}
		if err == io.EOF {
			return delivered
		}
		if err != nil {
			return targetFailed
		}
		if c.flush() != nil {
			return callerFailed
		}
	}
}

// writeRefusal sends the caller an empty response whose headers say why its request was refused.
func (c *callerWriter) writeRefusal(status int, outcome wire.Outcome, reason core.Reason, retryAfter time.Duration) {
	h := c.Header()
	c.dialect.SetRefusalHeaders(h, wire.Refusal{RequestID: c.requestID, Outcome: outcome, Reason: string(reason), RetryAfter: retryAfter})
	h.Set("Content-Length", "0")
	c.WriteHeader(status)
}

// newDeliveredEvent returns the event for the end of an attempt whose response was received. The outcome is unknown if
// the response was not forwarded whole, is a server error, or relays that an instance gave up on a nested call.
func newDeliveredEvent(request core.RequestID, id core.AttemptID, resp *bufferedResponse, end deliveryResult) core.AttemptEnded {
	ev := core.AttemptEnded{Request: request, Attempt: id, Outcome: core.OutcomeAnswered, GaveUp: resp.gaveUp}
	switch {
	case end == callerFailed:
		ev.Outcome, ev.Reason = core.OutcomeUnknown, target.ReasonCancelled
	case end == targetFailed:
		ev.Outcome, ev.Reason, ev.Failed = core.OutcomeUnknown, core.ReasonFailed, true
	case resp.relayedOutcome != "":
		if resp.relayedOutcome != wire.OutcomeAnswered {
			ev.Outcome, ev.Reason = core.OutcomeUnknown, core.ReasonFailed
		}
		return ev
	case resp.isServerError():
		ev.Outcome, ev.Reason, ev.Failed = core.OutcomeUnknown, core.ReasonFailed, !resp.gaveUp
	case resp.gaveUp:
		ev.Outcome, ev.Reason = core.OutcomeUnknown, core.ReasonNestedGiveUp
	}
	ev.Load, ev.Statement = loadReport(resp.Metadata), statement(resp.Metadata)
	return ev
}

// newFailedEvent returns the event for the end of an attempt without a usable response.
func newFailedEvent(request core.RequestID, id core.AttemptID, err error) core.AttemptEnded {
	ev := core.AttemptEnded{Request: request, Attempt: id, Outcome: core.OutcomeUnknown, Reason: core.ReasonFailed, Failed: true}
	var failure *target.Error
	if errors.As(err, &failure) {
		ev.Outcome, ev.Reason, ev.Failed = failure.Outcome, failure.Reason, failure.Failed
		ev.Unreachable = failure.Unreachable
		if failure.Metadata != nil {
			ev.Load, ev.Statement = loadReport(*failure.Metadata), statement(*failure.Metadata)
		}
	}
	return ev
}

func loadReport(m wire.ResponseMetadata) core.LoadReport {
	return core.LoadReport{InUse: m.Load.InUse, Slots: m.Load.Slots, Slowdown: m.Load.Slowdown}
}

// statement returns what the target states about itself. A response that declares the request misdirected comes from
// another target, which has taken over the address; all that it says about the intended one is that it has left.
func statement(m wire.ResponseMetadata) core.Statement {
	if m.Declaration == wire.DeclareMisdirected {
		return core.Statement{Leaving: true}
	}
	return core.Statement{
		Responded: true, Start: m.StartID, Leaving: m.Leaving, RequestRate: m.RequestRate, HasRequestRate: m.HasRequestRate,
		RetryAfter: m.RetryAfter, Warmup: m.Warmup, HasWarmup: m.HasWarmup,
	}
}
