package httpclient

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestConn returns a Conn to a server whose side of the connection is the second result.
func newTestConn(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	socket, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	server, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { server.Close() })
	c, err := NewConn(socket, ConnConfig{HeadBytes: 1 << 20})
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c, server.(*net.TCPConn)
}

// Guards against a response that is delivered before its head is whole or beyond its end, a connection that is used again
// although it cannot be, and an idle connection that keeps the body of its last request from being freed.
func TestConnDeliversOneResponse(t *testing.T) {
	c, server := newTestConn(t)
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for range 2 {
		require.NoError(t, c.Begin(http.MethodGet, nil, nil))
		require.ErrorIs(t, c.Begin(http.MethodGet, nil, nil), ErrUnusable, "the response is awaited")
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
		require.NoError(t, err)
		large := "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 20_000) + response[len("HTTP/1.1 200 OK"):]
		go func() {
			for part := range strings.SplitSeq(large, "\r") { // in several pieces
				_, _ = io.WriteString(server, part[:len(part)/2])
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(server, part[len(part)/2:])
				if !strings.HasSuffix(part, "ok") {
					_, _ = io.WriteString(server, "\r")
				}
			}
		}()
		text := make([]byte, len(large))
		first, err := c.Read(text[:100])
		require.NoError(t, err)
		require.Equal(t, 100, first)
		_, err = io.ReadFull(c, text[first:])
		require.NoError(t, err)
		require.Equal(t, large, string(text))
		require.Nil(t, c.out.buffer)
		require.Nil(t, c.in.buffer)
		require.Nil(t, c.deliverable)
	}
	require.NoError(t, c.Begin(http.MethodGet, nil, nil))
	_, err := io.WriteString(server, response+"HTTP/1.1 200 OK\r\n")
	require.NoError(t, err)
	text := make([]byte, 1024)
	n, err := io.ReadAtLeast(c, text, len(response))
	require.NoError(t, err)
	require.Equal(t, response, string(text[:n]))
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = c.Read(text)
	var broken *Error
	require.ErrorAs(t, err, &broken)
	require.Equal(t, CauseUnsolicited, broken.Cause)
	require.ErrorIs(t, c.Begin(http.MethodGet, nil, nil), ErrUnusable)
}
