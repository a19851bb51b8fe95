package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Limits for reading the body of a declaration, which is read only to make the connection reusable.
const (
	drainLimitBytes = 64 << 10
	drainTimeout    = 500 * time.Millisecond
)

// Client sends attempts to one target. It is safe for concurrent use.
type Client struct {
	pool *pool
	addr string
}

// NewClient returns a client for the target at addr ("ip:port"). It dials on demand; Close releases its connections.
func NewClient(addr string, cfg Config) *Client {
	if cfg.Dialect == nil {
		cfg.Dialect = wire.Native{}
	}
	return &Client{pool: newPool(addr, cfg), addr: addr}
}

// Close closes the idle connections. Attempts in progress continue, and their connections are closed when they end. New
// attempts fail.
func (c *Client) Close() { c.pool.close() }

// roundTrip is an attempt in progress on its connection.
type roundTrip struct {
	pool         *pool
	conn         *conn
	write        *writeState
	callerCtx    context.Context // passed to Send
	ctx          context.Context // of the HTTP request; cancelled with callerCtx until detachCaller
	cancelCtx    context.CancelFunc
	detachCaller func() bool
}

func (c *Client) newRoundTrip(ctx context.Context, conn *conn, a Attempt) *roundTrip {
	rt := &roundTrip{pool: c.pool, conn: conn, callerCtx: ctx, write: conn.beginAttempt(a)}
	rt.ctx, rt.cancelCtx = context.WithDeadline(context.WithoutCancel(ctx), a.Deadline)
	rt.detachCaller = context.AfterFunc(ctx, rt.cancelCtx)
	return rt
}

func (rt *roundTrip) cancel() {
	rt.detachCaller()
	rt.cancelCtx()
}

// Send writes the request at most once. Every error is an *Error. Cancelling ctx closes the connection, so that the
// target can detect the cancellation. Send spends at most half of the remaining time on getting a connection, so that
// time for another attempt is left if it fails to get one.
func (c *Client) Send(ctx context.Context, a Attempt) (*Response, error) {
	conn, err := c.connect(ctx, a)
	if err != nil {
		return nil, err
	}
	rt := c.newRoundTrip(ctx, conn, a)
	httpResp, err := conn.http.RoundTrip(c.newRequest(rt.ctx, a))
	if err != nil {
		return nil, rt.fail(err)
	}
	return rt.newResponse(httpResp, a)
}

func (c *Client) connect(ctx context.Context, a Attempt) (*conn, error) {
	remaining := time.Until(a.Deadline)
	if remaining <= 0 || deadlinePassed(a.Deadline) {
		return nil, notSentError(core.ReasonDeadline, false, errDeadlinePassed)
	}
	if a.IsCurrent != nil && !a.IsCurrent() {
		return nil, notSentError(ReasonOutdated, false, errOutdated)
	}
	connectCtx, cancel := context.WithTimeout(ctx, remaining/2)
	defer cancel()
	if a.ConnectContext != nil {
		defer context.AfterFunc(a.ConnectContext, cancel)()
	}
	conn, err := c.pool.lease(connectCtx, a.Fresh, a.RequestID)
	switch {
	case err == nil:
		return conn, nil
	case ctx.Err() != nil:
		return nil, notSentError(ReasonCancelled, false, err)
	case a.ConnectContext != nil && a.ConnectContext.Err() != nil:
		return nil, notSentError(ReasonOutdated, false, errOutdated)
	case errors.Is(err, errNoConnection):
		return nil, notSentError(ReasonNoConnection, false, err)
	}
	failure := notSentError(core.ReasonNotSent, !errors.Is(err, errClientClosed), err)
	failure.Unreachable = failure.Failed
	return nil, failure
}

func notSentError(reason core.Reason, failed bool, err error) *Error {
	return &Error{Outcome: core.OutcomeNotSent, Reason: reason, Failed: failed, Err: err}
}

// Connect opens a connection and keeps it for the next attempt. Every error is an *Error. It fails without Unreachable if
// the limit of connections leaves no room.
func (c *Client) Connect(ctx context.Context) error {
	conn, err := c.pool.leaseNew(ctx)
	if err != nil {
		failure := notSentError(core.ReasonNotSent, true, err)
		failure.Unreachable = !errors.Is(err, errNoConnection) && !errors.Is(err, errClientClosed)
		return failure
	}
	c.pool.put(conn)
	return nil
}

// RefusesConnections reports whether the target refuses a new connection, which means that no process listens at its
// address. See Connect.
func (c *Client) RefusesConnections(ctx context.Context) bool {
	return errors.Is(c.Connect(ctx), syscall.ECONNREFUSED)
}

func (c *Client) newRequest(ctx context.Context, a Attempt) *http.Request {
	u := *a.URL
	u.Scheme, u.Host, u.User, u.Opaque = "http", c.addr, nil, ""
	header := a.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	c.pool.cfg.Dialect.SetAttemptHeaders(header, a.TargetIdentity, max(time.Until(a.Deadline), 0))
	header.Del("Expect") // the body is already buffered, so waiting for 100 Continue would only add a round trip
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its default
	}
	req := &http.Request{Method: a.Method, URL: &u, Host: a.Host, Header: header, ContentLength: int64(len(a.Body))}
	if len(a.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(a.Body))
	}
	if len(a.Trailer) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(a.Body))
		req.ContentLength = -1 // trailers require chunked encoding
		req.Trailer = a.Trailer
	}
	return req.WithContext(ctx)
}

// fail closes the connection and returns the error that classifies the attempt. It also closes idle connections that
// may be unresponsive. After a timeout, these are the ones that received nothing since the attempt began. After a
// cancellation, they are the ones that received nothing within Config.FreshWithin, and they are closed only if this
// connection itself received nothing within that time and nothing since the attempt began.
func (rt *roundTrip) fail(err error) *Error {
	_ = rt.conn.http.Close()
	written := rt.write.stop()
	timedOut := errors.Is(rt.ctx.Err(), context.DeadlineExceeded)
	cancelled := rt.callerCtx.Err() != nil
	rt.cancel()
	if !written {
		return rt.classifyUnsent(err, timedOut, cancelled)
	}
	failure := &Error{Outcome: core.OutcomeUnknown, Reason: core.ReasonFailed, Failed: true, Err: err}
	silent := !rt.conn.lastReadTime().After(rt.write.attemptStart)
	switch {
	case cancelled:
		failure.Reason, failure.Failed = ReasonCancelled, false
		if freshWithin := rt.pool.cfg.FreshWithin; silent && time.Since(rt.conn.lastReadTime()) > freshWithin {
			rt.pool.closeIdleSilentSince(time.Now().Add(-freshWithin))
		}
	case timedOut:
		failure.Reason = core.ReasonSlow
		failure.Failed = !silent || !rt.conn.reused
		rt.pool.closeIdleSilentSince(rt.write.attemptStart)
	default:
		failure.BrokeOff = rt.conn.EndedByServer()
	}
	return failure
}

// classifyUnsent returns the error of an attempt of which no byte was written. It counts as a failure of the target
// only on a new connection, because a target may close a reused one at any time.
func (rt *roundTrip) classifyUnsent(err error, timedOut, cancelled bool) *Error {
	if writeErr := rt.write.firstWriteErr.Load(); writeErr != nil {
		err = *writeErr
	}
	switch {
	case cancelled:
		return notSentError(ReasonCancelled, false, err)
	case errors.Is(err, errOutdated):
		return notSentError(ReasonOutdated, false, err)
	case timedOut || errors.Is(err, errDeadlinePassed):
		return notSentError(core.ReasonDeadline, false, err)
	}
	return notSentError(core.ReasonNotSent, !rt.conn.reused, err)
}

// newResponse verifies and returns a final response. A declaration becomes an *Error, and its body is drained in the
// background.
func (rt *roundTrip) newResponse(httpResp *http.Response, a Attempt) (*Response, error) {
	dialect := rt.pool.cfg.Dialect
	metadata := dialect.ParseResponse(httpResp.StatusCode, httpResp.Header)
	if err := dialect.VerifyResponse(httpResp.StatusCode, httpResp.Header, a.RequestID); err != nil {
		_ = httpResp.Body.Close()
		failure := rt.fail(err)
		failure.Reason = ReasonUnverified
		if errors.Is(err, wire.ErrUnprovenRejection) { // it is the target's response to this request all the same
			failure.Metadata = &metadata
		}
		return nil, failure
	}
	response := &Response{
		Status: httpResp.StatusCode, Header: httpResp.Header, ContentLength: httpResp.ContentLength, Metadata: metadata,
	}
	response.NoBody = a.Method == http.MethodHead
	body := &responseBody{roundTrip: rt, httpResp: httpResp, response: response}
	response.Body = body
	body.closeDelimited = !response.NoBody && httpResp.ContentLength < 0 && len(httpResp.TransferEncoding) == 0
	response.CloseDelimited = body.closeDelimited && !dialect.AllowsCloseDelimited()
	if d := response.Metadata.Declaration; d != "" {
		body.mustClose = metadata.Unidentified || !rt.pool.recordRefusal(rt.conn, a.RequestID)
		rt.detachCaller() // cancelling the ended attempt must not close the connection, which can be reused
		go body.drain()
		return nil, &Error{Outcome: core.OutcomeRefused, Reason: core.Reason(d), Metadata: &response.Metadata}
	}
	return response, nil
}

// responseBody reads the body of a response. The connection is reused only after the whole body has been read.
type responseBody struct {
	*roundTrip
	httpResp *http.Response
	response *Response
	complete bool
	closed   bool
	// closeDelimited is set for a body that ends when the connection closes, which therefore cannot be reused.
	closeDelimited bool
	mustClose      bool // a copy of the response could pass as the response to a later request on the connection
}

// Read returns an *Error if the response is truncated.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.httpResp.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		b.complete = true
		b.response.Trailer = b.httpResp.Trailer
		return n, err
	}
	failure := b.fail(err)
	failure.Metadata = &b.response.Metadata
	return n, failure
}

// Close returns the connection to the pool, or closes it if the body was not read to its end. Calls after the first
// have no effect.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.complete || b.closeDelimited || b.mustClose {
		_ = b.conn.http.Close()
	}
	err := b.httpResp.Body.Close()
	b.cancel()
	b.pool.put(b.conn)
	return err
}

// drain reads the rest of the body within the limits, so that the connection can be reused.
func (b *responseBody) drain() {
	timer := time.AfterFunc(drainTimeout, b.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, b, drainLimitBytes)
	_ = b.Close()
}
