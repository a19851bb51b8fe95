package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

const (
	// clientHeadBytes bounds the head of a response to a client of NewClient.
	clientHeadBytes = 64 << 10
	// maxJSONValues bounds the values of a JSON text. Each can take a hundred times its size once it is decoded.
	maxJSONValues = 1 << 17
	// readAheadBytes is the size of the read buffer of an http.Transport.
	readAheadBytes = 4 << 10
	// firstBodyBytes is the size of the first buffer of a body without a length.
	firstBodyBytes = 4 << 10
)

// NewClient returns a client that reads responses through a Conn, for GET requests without a body. It follows no redirects. The
// transport needs a DialContext that returns sockets.
func NewClient(transport *http.Transport) *http.Client {
	dial := transport.DialContext
	transport.MaxResponseHeaderBytes = TransportHeadBytes(clientHeadBytes)
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		socket, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn, err := NewConn(socket, ConnConfig{HeadBytes: clientHeadBytes})
		if err != nil {
			_ = socket.Close()
			return nil, err
		}
		return getConn{conn}, nil
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// TransportHeadBytes returns the limit on heads of an http.Transport that reads from a Conn with the given limit. The Conn
// refuses a larger head first; net/http also counts bytes of the body that it has read ahead.
func TransportHeadBytes(headBytes int64) int64 { return headBytes + readAheadBytes }

// getConn is a Conn for GET requests without a body: each write that is not the rest of a request begins one.
type getConn struct{ *Conn }

// Write implements net.Conn.
func (c getConn) Write(b []byte) (int, error) {
	if !c.awaitsResponse() {
		if err := c.Begin(http.MethodGet, nil, nil); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// ErrBodyTooLarge is the cause of the error of ReadBody for a body beyond the limit.
var ErrBodyTooLarge = eris.New("body is too large")

// ReadBody reads a whole body of at most limit bytes.
func ReadBody(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, eris.Wrapf(ErrBodyTooLarge, "%d bytes, at most %d", resp.ContentLength, limit)
	}
	size := max(resp.ContentLength, firstBodyBytes)
	var body bytes.Buffer
	body.Grow(int(size) + bytes.MinRead)
	if _, err := body.ReadFrom(io.LimitReader(resp.Body, limit+1)); err != nil {
		return nil, eris.Wrap(err, "read body")
	}
	if int64(body.Len()) > limit {
		return nil, eris.Wrapf(ErrBodyTooLarge, "more than %d bytes", limit)
	}
	return body.Bytes(), nil
}

// DecodeJSON decodes a text that holds one JSON value, after CheckJSON.
func DecodeJSON(text []byte, into any) error {
	if err := CheckJSON(text); err != nil {
		return err
	}
	return json.Unmarshal(text, into)
}

// CheckJSON refuses a text with so many values that it would take too much memory once it is decoded.
func CheckJSON(text []byte) error {
	if bytes.Count(text, []byte(",")) >= maxJSONValues {
		return eris.Errorf("more than %d values", maxJSONValues)
	}
	return nil
}
