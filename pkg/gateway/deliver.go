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

// copyBuffer is the size of the pieces in which a streamed answer is passed on, in bytes.
const copyBuffer = 32 << 10

// delivery tells how the writing of an answer ended.
type delivery uint8

const (
	delivered   delivery = iota
	targetBroke          // the answer is not whole
	callerBroke          // the caller left or reads too slowly
)

// callerWriter writes to a caller with a limit on each write, so that a caller who does not read cannot hold a
// target's slot.
type callerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration
	dialect wire.Dialect
	id      string // request id
}

func (g *Gateway) newCallerWriter(w http.ResponseWriter) *callerWriter {
	c := &callerWriter{ResponseWriter: w, control: http.NewResponseController(w), stall: g.cfg.WriteStall, dialect: g.cfg.Dialect}
	_ = c.control.SetWriteDeadline(time.Time{}) // the last request on this connection left its own
	return c
}

// Write writes all of b within the stall limit.
func (c *callerWriter) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	_ = c.control.SetWriteDeadline(time.Now().Add(c.stall))
	return c.ResponseWriter.Write(b)
}

// writeHead passes the head of an answer on.
func (c *callerWriter) writeHead(a *bufferedAnswer) {
	removeHopByHop(a.Header)
	h := c.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	c.dialect.Deliver(h, c.id, a.outcome())
	if a.complete && len(a.Trailer) == 0 && bodyAllowed(a) {
		h.Set("Content-Length", strconv.Itoa(len(a.first)))
	}
	if a.Header["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	_ = c.control.SetWriteDeadline(time.Now().Add(c.stall))
	c.WriteHeader(a.Status)
}

// bodyAllowed reports whether the length of the body read is that of the answer's content.
func bodyAllowed(a *bufferedAnswer) bool {
	return a.Status != http.StatusNoContent && a.Status != http.StatusNotModified && !a.Bodyless
}

// writeAnswer passes an answer on. A complete one has left its target already.
func (c *callerWriter) writeAnswer(a *bufferedAnswer) delivery {
	c.writeHead(a)
	if len(a.Trailer) > 0 && c.control.Flush() != nil { // net/http would set a length on a short body and drop trailers
		return callerBroke
	}
	if _, err := c.Write(a.first); err != nil {
		return callerBroke
	}
	if !a.complete {
		if end := c.stream(a.Body); end != delivered {
			return end
		}
	}
	wire.StripFromTarget(a.Trailer)
	for name, values := range a.Trailer {
		c.Header()[http.TrailerPrefix+name] = values
	}
	return delivered
}

// stream flushes each piece, because the caller may wait for it.
func (c *callerWriter) stream(body io.Reader) delivery {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buffer)
		if _, failure := c.Write(buffer[:n]); failure != nil {
			return callerBroke
		}
		if err == io.EOF {
			return delivered
		}
		if err != nil {
			return targetBroke
		}
		if c.control.Flush() != nil {
			return callerBroke
		}
	}
}

// writeRefusal tells the caller that its request was given up.
func (c *callerWriter) writeRefusal(status int, outcome wire.Outcome, reason core.Reason, retryAfter time.Duration) {
	h := c.Header()
	c.dialect.Refuse(h, wire.Refusal{RequestID: c.id, Outcome: outcome, Reason: string(reason), RetryAfter: retryAfter})
	h.Set("Content-Length", "0")
	_ = c.control.SetWriteDeadline(time.Now().Add(c.stall))
	c.WriteHeader(status)
}

// attemptDelivered describes the end of an attempt whose answer went to the caller.
func attemptDelivered(request core.RequestID, id core.AttemptID, a *bufferedAnswer, end delivery) core.AttemptEnded {
	ev := core.AttemptEnded{Request: request, Attempt: id, Outcome: core.OutcomeAnswered, GaveUp: a.gaveUp}
	switch {
	case end == callerBroke:
		ev.Outcome, ev.Reason = core.OutcomeUnknown, target.ReasonCancelled
	case end == targetBroke:
		ev.Outcome, ev.Reason, ev.Failed = core.OutcomeUnknown, core.ReasonFailed, true
	case a.failed():
		ev.Outcome, ev.Reason, ev.Failed = core.OutcomeUnknown, core.ReasonFailed, !a.gaveUp
	case a.gaveUp:
		ev.Outcome, ev.Reason = core.OutcomeUnknown, core.ReasonNestedGiveUp
	}
	ev.Load, ev.Start, ev.Leaving = reports(a.Stated)
	return ev
}

func attemptFailed(request core.RequestID, id core.AttemptID, err error) core.AttemptEnded {
	ev := core.AttemptEnded{Request: request, Attempt: id, Outcome: core.OutcomeUnknown, Reason: core.ReasonFailed, Failed: true}
	var failure *target.Error
	if errors.As(err, &failure) {
		ev.Outcome, ev.Reason, ev.Failed = failure.Outcome, failure.Reason, failure.Failed
		ev.Load, ev.Start, ev.Leaving = reports(failure.Stated)
	}
	return ev
}

// reports returns what a target states about its load, its start id and whether it takes more work.
func reports(a wire.Answer) (load core.LoadReport, start string, leaving bool) {
	load = core.LoadReport{InUse: a.Load.InUse, Slots: a.Load.Slots, Slowdown: a.Load.Pace}
	return load, a.Start, a.Leaving || a.Declaration == wire.DeclareMisdirected
}
