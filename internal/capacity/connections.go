package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/target"
)

const responseText = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nBurdockpitch-Load: 2/4\r\nBurdockpitch-Start: " + startID + "\r\n\r\n"

// measureConnections measures the memory of idle connections to targets: objects and goroutine stacks of both ends,
// since the target runs in the same process. The target's end is one goroutine with a buffer of 4 KiB. Kernel memory is
// not counted.
func measureConnections(w io.Writer) error {
	printTableHeader(w, "Connections to targets", "connections", "memory of both ends", "per connection", "bytes of a request and its response")
	for _, n := range []int{100, 200, 400} {
		bytes, roundTripBytes, err := idleConnectionMemory(n)
		if err != nil {
			return err
		}
		printRow(w, cells(n, fmt.Sprintf("%d B", bytes), fmt.Sprintf("%d B", bytes/int64(n)), fmt.Sprintf("%d B", roundTripBytes)))
	}
	return nil
}

// idleConnectionMemory opens n connections with one request each. It returns the bytes of heap and stacks that they
// hold while idle, and the bytes of one request and its response.
func idleConnectionMemory(n int) (bytes, roundTripBytes int64, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	defer l.Close()
	var received atomic.Int64
	release, waiting := make(chan struct{}), make(chan struct{}, n)
	go serveOneRequestPerConn(l, &received, waiting, release)
	cfg := target.DefaultConfig()
	cfg.MaxConnections = n
	client := target.NewClient(l.Addr().String(), cfg)
	defer client.Close()

	before := liveHeapBytes() + stackBytes()
	results := make(chan error, n)
	for range n {
		go func() { results <- sendRequest(client) }()
	}
	for range n {
		select {
		case <-waiting:
		case err := <-results:
			return 0, 0, err
		}
	}
	close(release)
	for range n {
		if err := <-results; err != nil {
			return 0, 0, err
		}
	}
	return liveHeapBytes() + stackBytes() - before, received.Load()/int64(n) + int64(len(responseText)), nil
}

func stackBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.StackInuse)
}

func sendRequest(c *target.Client) error {
	a := target.Attempt{
		Method: http.MethodGet, URL: &url.URL{Path: "/registry/1"}, Header: http.Header{},
		Deadline: time.Now().Add(10 * time.Second),
	}
	resp, err := c.Send(context.Background(), a)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	return resp.Body.Close()
}

// serveOneRequestPerConn reads one request on each connection, sends to waiting, responds after release is closed, and
// then keeps the connection open. It adds the bytes that it reads to received.
func serveOneRequestPerConn(l net.Listener, received *atomic.Int64, waiting chan<- struct{}, release <-chan struct{}) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(countingReader{c, received})
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			waiting <- struct{}{}
			<-release
			if _, err := io.WriteString(c, responseText); err == nil {
				_, _ = io.Copy(io.Discard, r)
			}
		}()
	}
}

type countingReader struct {
	io.Reader
	count *atomic.Int64
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.count.Add(int64(n))
	return n, err
}
