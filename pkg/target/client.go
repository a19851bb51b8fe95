// Package target sends attempts to targets over HTTP/1.1 and reports what is known about each of them.
//
// It owns the connections to one target per Client. It never repeats a request: each attempt is bound to one
// connection, and whether a byte of it was written is read from a counter on that connection. Whether another attempt
// may follow is decided in package core.
package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Config holds the connection settings of a Client.
type Config struct {
	// DialTimeout bounds a new connection.
	DialTimeout time.Duration
	// MaxConnections bounds the open connections to the target from this instance.
	MaxConnections int
	// FreshWithin is how recently a reused connection must have received a byte to carry a non-idempotent attempt.
	FreshWithin time.Duration
	// IdleTimeout closes connections that were unused for this long.
	IdleTimeout time.Duration
}

// DefaultConfig returns the connection settings that apply without settings.
func DefaultConfig() Config {
	return Config{
		DialTimeout:    time.Second,
		MaxConnections: 14, // 200 connections per target over 14 entry instances
		FreshWithin:    time.Second,
		IdleTimeout:    30 * time.Second,
	}
}

// Attempt is one request to be sent once.
type Attempt struct {
	Method string
	// URL holds path and query; scheme and host are set by the client.
	URL *url.URL
	// Host is the Host header that the caller sent.
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting. Both its clocks count.
	Deadline time.Time
	// Fresh asks for a connection that is new or received a byte within Config.FreshWithin.
	Fresh bool
}

// Answer is the head of a target's answer and its body. The body must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the declared body length, or -1.
	Length int64
	// Trailer is filled once the body was read to its end.
	Trailer http.Header
	// Body reads the rest of the answer. An error other than io.EOF means that the answer is not whole.
	Body io.ReadCloser
	// EndsAtClose is set for a body whose end cannot be told from a broken connection.
	EndsAtClose bool
}

// Error is the end of an attempt without a usable answer.
type Error struct {
	// Outcome is what is known about the attempt; never OutcomeAnswered.
	Outcome core.AttemptOutcome
	// Reason refines the outcome.
	Reason core.Reason
	// Header holds the target's headers when the attempt was refused by declaration.
	Header http.Header
	// Err is the cause; nil for a declaration.
	Err error
}

// Error describes the outcome, its reason and the cause.
func (e *Error) Error() string {
	text := "attempt " + e.Outcome.String() + ": " + string(e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client sends attempts to one target. It is safe for concurrent use.
type Client struct {
	pool *pool
	addr string
}

// NewClient returns a client for the target at addr ("ip:port").
func NewClient(addr string, cfg Config) *Client {
	return &Client{pool: newPool(addr, cfg), addr: addr}
}

// Close closes the idle connections. Attempts in flight end on their own.
func (c *Client) Close() { c.pool.close() }

// Send sends the attempt at most once. Every error is an *Error.
func (c *Client) Send(ctx context.Context, a Attempt) (*Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	conn, err := c.pool.get(ctx, a.Fresh)
	if err != nil {
		cancel()
		return nil, &Error{Outcome: core.OutcomeNotSent, Reason: core.ReasonNotSent, Err: err}
	}
	if expired(a.Deadline) {
		cancel()
		c.pool.put(conn)
		return nil, &Error{Outcome: core.OutcomeNotSent, Reason: core.ReasonDeadline, Err: context.DeadlineExceeded}
	}
	resp, err := c.roundTrip(ctx, conn, a)
	if err != nil {
		cancel()
		return nil, err
	}
	body := &answerBody{ReadCloser: resp.Body, conn: conn, pool: c.pool, cancel: cancel}
	if d, ok := wire.ParseDeclaration(resp.Header); ok {
		drain(body)
		return nil, &Error{Outcome: core.OutcomeRefused, Reason: core.Reason(d), Header: resp.Header}
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Trailer: resp.Trailer, Body: body,
		EndsAtClose: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed && a.Method != http.MethodHead,
	}, nil
}

func (c *Client) roundTrip(ctx context.Context, conn *conn, a Attempt) (*http.Response, error) {
	before := conn.written.Load()
	resp, err := conn.http.RoundTrip(c.request(ctx, a))
	if err == nil {
		return resp, nil
	}
	conn.close()
	c.pool.release()
	if conn.written.Load() == before {
		return nil, &Error{Outcome: core.OutcomeNotSent, Reason: core.ReasonNotSent, Err: err}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		c.pool.distrust(conn.lastRead())
		return nil, &Error{Outcome: core.OutcomeUnknown, Reason: core.ReasonSlow, Err: err}
	}
	return nil, &Error{Outcome: core.OutcomeUnknown, Reason: core.ReasonFailed, Err: err}
}

func (c *Client) request(ctx context.Context, a Attempt) *http.Request {
	u := *a.URL
	u.Scheme, u.Host = "http", c.addr
	header := a.Header.Clone()
	header.Set(wire.HeaderDeadline, wire.FormatDeadline(max(time.Until(a.Deadline), 0)))
	req := &http.Request{Method: a.Method, URL: &u, Host: a.Host, Header: header, ContentLength: int64(len(a.Body))}
	if len(a.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(a.Body))
	}
	return req.WithContext(ctx)
}

// expired compares both clocks: a suspended machine stops the monotonic clock, a stepped clock misleads the wall clock.
func expired(deadline time.Time) bool {
	now := time.Now()
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}

const maxDrain = 64 << 10 // bytes of a declaration's body that are read so that the connection can be reused

func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrain)
	_ = body.Close()
}

// answerBody returns the connection to the pool once the body was read to its end.
type answerBody struct {
	io.ReadCloser
	conn   *conn
	pool   *pool
	cancel context.CancelFunc
	whole  bool
	closed bool
}

// Read records whether the end of the body was reached.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close frees the connection; one whose body was not read to its end is closed.
func (b *answerBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ReadCloser.Close()
	b.cancel()
	if b.whole {
		b.pool.put(b.conn)
		return err
	}
	b.conn.close()
	b.pool.release()
	return err
}
