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

const answerText = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nBurdockpitch-Load: 2/4\r\nBurdockpitch-Start: " + startID + "\r\n\r\n"

// connections measures idle connections to targets: objects and stacks of both ends, since the target runs in the same
// process. Its end is one goroutine with a buffer of 4 KiB. Memory of the kernel is not counted.
func connections(w io.Writer) error {
	head(w, "Connections to targets", "connections", "memory of both ends", "per connection", "bytes of a request and its answer")
	for _, n := range []int{100, 200, 400} {
		bytes, message, err := connect(n)
		if err != nil {
			return err
		}
		row(w, cells(n, fmt.Sprintf("%d B", bytes), fmt.Sprintf("%d B", bytes/int64(n)), fmt.Sprintf("%d B", message)))
	}
	return nil
}

// connect opens n connections with one request each and returns the memory they hold while idle.
func connect(n int) (bytes, message int64, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	defer l.Close()
	var received atomic.Int64
	release, waiting := make(chan struct{}), make(chan struct{}, n)
	go serve(l, &received, waiting, release)
	cfg := target.DefaultConfig()
	cfg.MaxConnections = n
	client := target.NewClient(l.Addr().String(), cfg)
	defer client.Close()

	before := live() + stacks()
	failed := make(chan error, n)
	for range n {
		go func() { failed <- send(client) }()
	}
	for range n {
		select {
		case <-waiting:
		case err := <-failed:
			return 0, 0, err
		}
	}
	close(release)
	for range n {
		if err := <-failed; err != nil {
			return 0, 0, err
		}
	}
	return live() + stacks() - before, received.Load()/int64(n) + int64(len(answerText)), nil
}

func stacks() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.StackInuse)
}

func send(c *target.Client) error {
	a := target.Attempt{
		Method: http.MethodGet, URL: &url.URL{Path: "/registry/1"}, Header: http.Header{},
		Deadline: time.Now().Add(10 * time.Second),
	}
	answer, err := c.Send(context.Background(), a)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	return answer.Body.Close()
}

// serve answers one request on each connection after release is closed, and then keeps the connection open.
func serve(l net.Listener, received *atomic.Int64, waiting chan<- struct{}, release <-chan struct{}) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(countedReader{c, received})
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			waiting <- struct{}{}
			<-release
			if _, err := io.WriteString(c, answerText); err == nil {
				_, _ = io.Copy(io.Discard, r)
			}
		}()
	}
}

type countedReader struct {
	io.Reader
	count *atomic.Int64
}

func (r countedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.count.Add(int64(n))
	return n, err
}
