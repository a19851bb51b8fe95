package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a crash of a target that looks like a lost response, and the reverse.
func TestCrashIsDistinguishedFromLostResponse(t *testing.T) {
	cases := map[string]struct {
		crash, reset bool
		response     string
		brokeOff     bool
	}{
		"process ends, connection closed":  {crash: true, brokeOff: true},
		"process ends, connection reset":   {crash: true, reset: true, brokeOff: true},
		"process ends during its response": {crash: true, response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", brokeOff: true},
		"response lost, connection closed": {brokeOff: true},
		"response lost, connection reset":  {reset: true, brokeOff: true},
		"response with status 500":         {response: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := readRequest(bufio.NewReader(conn)); err != nil {
						continue
					}
					if tc.crash {
						l.Close()
					}
					if tc.reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					_, _ = io.WriteString(conn, tc.response)
					conn.Close()
				}
			}()
			c := newTestClient(t, l.Addr().String(), nil)
			response, err := c.Send(t.Context(), newAttempt(http.MethodGet, ""))
			if err == nil {
				_, err = io.ReadAll(response.Body)
				response.Body.Close()
			}
			var failure *Error
			require.Equal(t, tc.brokeOff, errors.As(err, &failure) && failure.BrokeOff, "%v", err)
			require.Equal(t, tc.crash, c.RefusesConnections(t.Context()))
		})
	}
}

// Guards against a cancelled or expired attempt that counts as broken off by the target.
func TestAttemptEndedHereIsNotBrokenOff(t *testing.T) {
	s := newRawTarget(t, func(_ int64, _ *net.TCPConn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
	c := newTestClient(t, s.addr, nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for name, send := range map[string]func() error{
		"cancelled": func() error { _, err := c.Send(ctx, newAttempt(http.MethodGet, "")); return err },
		"expired": func() error {
			a := newAttempt(http.MethodGet, "")
			a.Deadline = time.Now().Add(50 * time.Millisecond)
			_, err := c.Send(t.Context(), a)
			return err
		},
	} {
		var failure *Error
		require.ErrorAs(t, send(), &failure, name)
		require.False(t, failure.BrokeOff, name)
	}
}

// Guards against a check for a crash that costs a connection: the one that it opened serves the next attempt.
func TestCheckedConnectionIsReused(t *testing.T) {
	s := newRawTarget(t, func(_ int64, c *net.TCPConn, r *bufio.Reader) { respondToAll(c, r) })
	c := newTestClient(t, s.addr, nil)
	require.False(t, c.RefusesConnections(t.Context()))
	waitForIdle(t, c, 1)
	sendAndRead(t.Context(), c, newAttempt(http.MethodGet, ""))
	require.EqualValues(t, 1, s.accepted.Load())
}
