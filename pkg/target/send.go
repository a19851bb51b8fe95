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

// drainLimit and drainTime bound the reading of a declaration's body, which only serves to reuse the connection.
const (
	drainLimit = 64 << 10 // bytes
	drainTime  = 500 * time.Millisecond
)

// errInformational marks a 1xx status in place of an answer, such as a protocol switch that was not asked for.
var errInformational = eris.New("target sent an informational status as its answer")

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

// flight is one attempt on its connection.
type flight struct {
	pool   *pool
	conn   *conn
	sent   *sending
	caller context.Context // of Send
	ctx    context.Context // of the HTTP request; ends with caller until detached
	end    context.CancelFunc
	detach func() bool
}

func (c *Client) newFlight(ctx context.Context, conn *conn, a Attempt) *flight {
	f := &flight{pool: c.pool, conn: conn, caller: ctx, sent: conn.begin(a.Deadline, a.Current)}
	f.ctx, f.end = context.WithDeadline(context.WithoutCancel(ctx), a.Deadline)
	f.detach = context.AfterFunc(ctx, f.end)
	return f
}

func (f *flight) cancel() {
	f.detach()
	f.end()
}

// Send writes the request at most once. Every error is an *Error. Cancelling ctx closes the connection, so that the
// target sees it. At most half of the remaining time is spent on getting a connection, so that an attempt that fails to
// get one leaves time for another.
func (c *Client) Send(ctx context.Context, a Attempt) (*Answer, error) {
	conn, err := c.connect(ctx, a)
	if err != nil {
		return nil, err
	}
	f := c.newFlight(ctx, conn, a)
	resp, err := conn.http.RoundTrip(c.request(f.ctx, a))
	if err != nil {
		return nil, f.fail(err)
	}
	if resp.StatusCode < http.StatusOK {
		_ = resp.Body.Close()
		return nil, f.fail(errInformational)
	}
	return f.answer(resp, a)
}

func (c *Client) connect(ctx context.Context, a Attempt) (*conn, error) {
	remaining := time.Until(a.Deadline)
	if remaining <= 0 || expired(a.Deadline) {
		return nil, notSent(core.ReasonDeadline, false, errExpired)
	}
	if a.Current != nil && !a.Current() {
		return nil, notSent(ReasonResumed, false, errOutdated)
	}
	limited, cancel := context.WithTimeout(ctx, remaining/2)
	defer cancel()
	conn, err := c.pool.get(limited, a.Fresh)
	switch {
	case err == nil:
		return conn, nil
	case ctx.Err() != nil:
		return nil, notSent(ReasonCancelled, false, err)
	case errors.Is(err, errNoConnection):
		return nil, notSent(ReasonNoConnection, false, err)
	}
	return nil, notSent(core.ReasonNotSent, !errors.Is(err, errClosed), err)
}

func notSent(reason core.Reason, failed bool, err error) *Error {
	return &Error{Outcome: core.OutcomeNotSent, Reason: reason, Failed: failed, Err: err}
}

func (c *Client) request(ctx context.Context, a Attempt) *http.Request {
	u := *a.URL
	u.Scheme, u.Host, u.User, u.Opaque = "http", c.addr, nil, ""
	header := a.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	c.pool.cfg.Dialect.Address(header, a.Instance, max(time.Until(a.Deadline), 0))
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
func (f *flight) fail(err error) *Error {
	_ = f.conn.http.Close()
	written := f.sent.seal()
	expired := errors.Is(f.ctx.Err(), context.DeadlineExceeded)
	cancelled := f.caller.Err() != nil
	f.cancel()
	if !written {
		return f.failUnsent(err, expired, cancelled)
	}
	failure := &Error{Outcome: core.OutcomeUnknown, Reason: core.ReasonFailed, Failed: true, Err: err}
	silent := !f.conn.lastRead().After(f.sent.began)
	switch {
	case cancelled:
		failure.Reason, failure.Failed = ReasonCancelled, false
		if age := f.pool.cfg.FreshWithin; silent && time.Since(f.conn.lastRead()) > age {
			f.pool.distrust(time.Now().Add(-age))
		}
	case expired:
		failure.Reason = core.ReasonSlow
		failure.Failed = !silent || !f.conn.reused
		f.pool.distrust(f.sent.began)
	}
	return failure
}

func (f *flight) failUnsent(err error, expired, cancelled bool) *Error {
	if refused := f.sent.refused.Load(); refused != nil {
		err = *refused
	}
	switch {
	case cancelled:
		return notSent(ReasonCancelled, false, err)
	case errors.Is(err, errOutdated):
		return notSent(ReasonResumed, false, err)
	case expired || errors.Is(err, errExpired):
		return notSent(core.ReasonDeadline, false, err)
	}
	return notSent(core.ReasonNotSent, !f.conn.reused, err)
}

func (f *flight) answer(resp *http.Response, a Attempt) (*Answer, error) {
	dialect := f.pool.cfg.Dialect
	if err := dialect.Verify(resp.StatusCode, resp.Header, a.RequestID); err != nil {
		_ = resp.Body.Close()
		failure := f.fail(err)
		failure.Reason = ReasonForeign
		return nil, failure
	}
	answer := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	answer.Stated = dialect.Answer(resp.StatusCode, resp.Header)
	answer.Bodyless = a.Method == http.MethodHead
	body := &answerBody{flight: f, resp: resp, answer: answer}
	answer.Body = body
	body.endsAtClose = !answer.Bodyless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	answer.EndsAtClose = body.endsAtClose && !dialect.EndsAtClose()
	if d := answer.Stated.Declaration; d != "" {
		f.detach() // the caller is done with the attempt, but the connection can be kept
		go body.drain()
		return nil, &Error{Outcome: core.OutcomeRefused, Reason: core.Reason(d), Stated: answer.Stated}
	}
	return answer, nil
}

// answerBody reads the body of an answer. The connection is reused only after the whole body was read.
type answerBody struct {
	*flight
	resp   *http.Response
	answer *Answer
	whole  bool
	closed bool
	// endsAtClose marks a body without a length: its connection cannot carry another attempt.
	endsAtClose bool
}

// Read returns an *Error if the answer ends before its declared end.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		b.whole = true
		b.answer.Trailer = b.resp.Trailer
		return n, err
	}
	return n, b.fail(err)
}

// Close frees the connection; one whose answer was not read to its end is closed.
func (b *answerBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.whole || b.endsAtClose {
		_ = b.conn.http.Close()
	}
	err := b.resp.Body.Close()
	b.cancel()
	b.pool.put(b.conn)
	return err
}

func (b *answerBody) drain() {
	stop := time.AfterFunc(drainTime, b.cancel)
	defer stop.Stop()
	_, _ = io.CopyN(io.Discard, b, drainLimit)
	_ = b.Close()
}
