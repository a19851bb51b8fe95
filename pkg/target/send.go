package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// drainLimitBytes and drainTimeout bound the reading of a declaration's body, which only serves to reuse the connection.
const (
	drainLimitBytes = 64 << 10 // bytes
	drainTimeout    = 500 * time.Millisecond
)

// errInformationalStatus marks a 1xx status in place of an answer, such as a protocol switch that was not asked for.
var errInformationalStatus = eris.New("target sent an informational status as its answer")

// Client sends attempts to one target. It is safe for concurrent use.
type Client struct {
	pool *pool
	addr string
}

// NewClient returns a client for the target at addr ("ip:port").
func NewClient(addr string, cfg Config) *Client {
	if cfg.Dialect == nil {
		cfg.Dialect = wire.Native{}
	}
	return &Client{pool: newPool(addr, cfg), addr: addr}
}

// Close closes the idle connections. Attempts in flight end on their own.
func (c *Client) Close() { c.pool.close() }

// roundTrip is one attempt on its connection.
type roundTrip struct {
	pool         *pool
	conn         *conn
	write        *writeState
	callerCtx    context.Context // of Send
	ctx          context.Context // of the HTTP request; ends with caller until detached
	cancelCtx    context.CancelFunc
	detachCaller func() bool
}

func (c *Client) newRoundTrip(ctx context.Context, conn *conn, a Attempt) *roundTrip {
	rt := &roundTrip{pool: c.pool, conn: conn, callerCtx: ctx, write: conn.beginAttempt(a.Deadline, a.IsCurrent)}
	rt.ctx, rt.cancelCtx = context.WithDeadline(context.WithoutCancel(ctx), a.Deadline)
	rt.detachCaller = context.AfterFunc(ctx, rt.cancelCtx)
	return rt
}

func (rt *roundTrip) cancel() {
	rt.detachCaller()
	rt.cancelCtx()
}

// Send writes the request at most once. Every error is an *Error. Cancelling ctx closes the connection, so that the
// target sees it. At most half of the remaining time is spent on getting a connection, so that an attempt that fails to
// get one leaves time for another.
func (c *Client) Send(ctx context.Context, a Attempt) (*Response, error) {
	conn, err := c.connect(ctx, a)
	if err != nil {
		return nil, err
	}
	rt := c.newRoundTrip(ctx, conn, a)
	resp, err := conn.http.RoundTrip(c.newRequest(rt.ctx, a))
	if err != nil {
		return nil, rt.fail(err)
	}
	if resp.StatusCode < http.StatusOK {
		_ = resp.Body.Close()
		return nil, rt.fail(errInformationalStatus)
	}
	return rt.newResponse(resp, a)
}

func (c *Client) connect(ctx context.Context, a Attempt) (*conn, error) {
	remaining := time.Until(a.Deadline)
	if remaining <= 0 || deadlinePassed(a.Deadline) {
		return nil, notSentError(core.ReasonDeadline, false, errDeadlinePassed)
	}
	if a.IsCurrent != nil && !a.IsCurrent() {
		return nil, notSentError(ReasonResumed, false, errStaleView)
	}
	connectCtx, cancel := context.WithTimeout(ctx, remaining/2)
	defer cancel()
	conn, err := c.pool.lease(connectCtx, a.Fresh)
	switch {
	case err == nil:
		return conn, nil
	case ctx.Err() != nil:
		return nil, notSentError(ReasonCancelled, false, err)
	case errors.Is(err, errNoConnection):
		return nil, notSentError(ReasonNoConnection, false, err)
	}
	return nil, notSentError(core.ReasonNotSent, !errors.Is(err, errClientClosed), err)
}

func notSentError(reason core.Reason, failed bool, err error) *Error {
	return &Error{Outcome: core.OutcomeNotSent, Reason: reason, Failed: failed, Err: err}
}

func (c *Client) newRequest(ctx context.Context, a Attempt) *http.Request {
	u := *a.URL
	u.Scheme, u.Host, u.User, u.Opaque = "http", c.addr, nil, ""
	header := a.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	c.pool.cfg.Dialect.SetAttemptHeaders(header, a.TargetIdentity, max(time.Until(a.Deadline), 0))
	header.Del("Expect") // the body is already here; waiting for a 100 status would only add a round trip
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	req := &http.Request{Method: a.Method, URL: &u, Host: a.Host, Header: header, ContentLength: int64(len(a.Body))}
	if len(a.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(a.Body))
	}
	if len(a.Trailer) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(a.Body))
		req.ContentLength = -1 // trailers need the chunked encoding
		req.Trailer = a.Trailer
	}
	return req.WithContext(ctx)
}

// fail closes the connection and tells what is known about the attempt.
func (rt *roundTrip) fail(err error) *Error {
	_ = rt.conn.http.Close()
	written := rt.write.stop()
	timedOut := errors.Is(rt.ctx.Err(), context.DeadlineExceeded)
	cancelled := rt.callerCtx.Err() != nil
	rt.cancel()
	if !written {
		return rt.unsentError(err, timedOut, cancelled)
	}
	failure := &Error{Outcome: core.OutcomeUnknown, Reason: core.ReasonFailed, Failed: true, Err: err}
	silent := !rt.conn.lastReadTime().After(rt.write.start)
	switch {
	case cancelled:
		failure.Reason, failure.Failed = ReasonCancelled, false
		if age := rt.pool.cfg.FreshWithin; silent && time.Since(rt.conn.lastReadTime()) > age {
			rt.pool.closeIdleSilentSince(time.Now().Add(-age))
		}
	case timedOut:
		failure.Reason = core.ReasonSlow
		failure.Failed = !silent || !rt.conn.reused
		rt.pool.closeIdleSilentSince(rt.write.start)
	}
	return failure
}

func (rt *roundTrip) unsentError(err error, timedOut, cancelled bool) *Error {
	if writeErr := rt.write.firstWriteErr.Load(); writeErr != nil {
		err = *writeErr
	}
	switch {
	case cancelled:
		return notSentError(ReasonCancelled, false, err)
	case errors.Is(err, errStaleView):
		return notSentError(ReasonResumed, false, err)
	case timedOut || errors.Is(err, errDeadlinePassed):
		return notSentError(core.ReasonDeadline, false, err)
	}
	return notSentError(core.ReasonNotSent, !rt.conn.reused, err)
}

func (rt *roundTrip) newResponse(resp *http.Response, a Attempt) (*Response, error) {
	dialect := rt.pool.cfg.Dialect
	if err := dialect.VerifyResponse(resp.StatusCode, resp.Header, a.RequestID); err != nil {
		_ = resp.Body.Close()
		failure := rt.fail(err)
		failure.Reason = ReasonUnverified
		return nil, failure
	}
	response := &Response{Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength}
	response.Metadata = dialect.ParseResponse(resp.StatusCode, resp.Header)
	response.NoBody = a.Method == http.MethodHead
	body := &responseBody{roundTrip: rt, resp: resp, response: response}
	response.Body = body
	body.closeDelimited = !response.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	response.CloseDelimited = body.closeDelimited && !dialect.AllowsCloseDelimited()
	if d := response.Metadata.Declaration; d != "" {
		rt.detachCaller() // the caller is done with the attempt, but the connection can be kept
		go body.drain()
		return nil, &Error{Outcome: core.OutcomeRefused, Reason: core.Reason(d), Metadata: response.Metadata}
	}
	return response, nil
}

// responseBody reads the body of an answer. The connection is reused only after the whole body was read.
type responseBody struct {
	*roundTrip
	resp     *http.Response
	response *Response
	complete bool
	closed   bool
	// closeDelimited marks a body without a length: its connection cannot carry another attempt.
	closeDelimited bool
}

// Read returns an *Error if the answer ends before its declared end.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		b.complete = true
		b.response.Trailer = b.resp.Trailer
		return n, err
	}
	return n, b.fail(err)
}

// Close frees the connection; one whose answer was not read to its end is closed.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.complete || b.closeDelimited {
		_ = b.conn.http.Close()
	}
	err := b.resp.Body.Close()
	b.cancel()
	b.pool.put(b.conn)
	return err
}

func (b *responseBody) drain() {
	stop := time.AfterFunc(drainTimeout, b.cancel)
	defer stop.Stop()
	_, _ = io.CopyN(io.Discard, b, drainLimitBytes)
	_ = b.Close()
}
