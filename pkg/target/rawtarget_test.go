package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

const (
	okResponse   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	eventTimeout = 10 * time.Second // limit for events that are expected immediately
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard) // net/http logs each unsolicited response
	os.Exit(m.Run())
}

// rawTarget is a TCP server that runs a script on each connection. The script gets the connection's number, from 1.
type rawTarget struct {
	addr     string
	accepted atomic.Int64
}

func newRawTarget(t *testing.T, script func(number int64, c *net.TCPConn, r *bufio.Reader)) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	rt := &rawTarget{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func(number int64) {
				defer c.Close()
				script(number, c.(*net.TCPConn), bufio.NewReader(c))
			}(rt.accepted.Add(1))
		}
	}()
	return rt
}

// readRequest reads a request including its body.
func readRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req, err
}

// respondToAll sends okResponse to every request on a connection.
func respondToAll(c net.Conn, r *bufio.Reader) {
	for {
		if _, err := readRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse)
	}
}

func newTestClient(t *testing.T, addr string, change func(*Config)) *Client {
	cfg := DefaultConfig()
	if change != nil {
		change(&cfg)
	}
	c := NewClient(addr, cfg)
	t.Cleanup(c.Close)
	return c
}

func newAttempt(method, body string) Attempt {
	return Attempt{
		Method: method, URL: &url.URL{Path: "/x"}, Host: "service", Header: http.Header{}, Body: []byte(body),
		Deadline: time.Now().Add(eventTimeout),
	}
}

// result is a finished attempt, including the response body.
type result struct {
	*Response
	body    string
	outcome core.AttemptOutcome
	reason  core.Reason
	failed  bool
}

func sendAndRead(ctx context.Context, c *Client, a Attempt) result {
	response, err := c.Send(ctx, a)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	var failure *Error
	if errors.As(err, &failure) {
		return result{Response: response, outcome: failure.Outcome, reason: failure.Reason, failed: failure.Failed}
	}
	if response.CloseDelimited {
		return result{Response: response, outcome: core.OutcomeUnknown}
	}
	return result{Response: response, body: string(body), outcome: core.OutcomeAnswered}
}

// waitForIdle waits until n connections are idle.
func waitForIdle(t *testing.T, c *Client, n int) {
	t.Helper()
	require.Eventually(t, func() bool {
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		return len(c.pool.idle) == n
	}, eventTimeout, time.Millisecond)
}
