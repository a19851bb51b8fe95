package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/httpserver"
	"github.com/burdockpitch/burdockpitch/pkg/memorybudget"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// minGrowthBytes is the smallest step by which the buffer of a body without a length grows.
const minGrowthBytes = 2 << 10

// discardTimeout bounds the time in which a refused caller may send the rest of its body. At 1 Mbit/s it is enough for
// 600 KB, and it is short against a graceful stop.
const discardTimeout = 5 * time.Second

// readBody reads the body within the rule's deadline and body limit, unless the stop turns the request away. The memory for
// each part is reserved before the part is read; the first read of the body sends 100 Continue.
func (g *Gateway) readBody(c *call) ([]byte, *rejection) {
	c.memory = g.bodyMemory.openRequest(c.callerIP())
	conn := httpserver.FromContext(c.r.Context())
	endWait := conn.AwaitBody()
	readDeadline := c.arrived.Add(c.rule.Deadline)
	_ = c.control.SetReadDeadline(readDeadline)
	detach := g.stop.onBegin(func(latest time.Time) {
		if last := latest.Add(-c.timeLimit(c.rule)); last.Before(readDeadline) {
			_ = c.control.SetReadDeadline(last)
		}
	})
	limited := http.MaxBytesReader(c.ResponseWriter, c.r.Body, c.rule.BodyLimit)
	var body []byte
	var err error
	if n := c.r.ContentLength; n > 0 {
		if err = c.memory.grow(n); err == nil {
			body = make([]byte, n)
			_, err = io.ReadFull(limited, body)
		}
	} else {
		body, err = readGrowing(nil, limited, c.rule.BodyLimit+1, c.memory)
	}
	if err == nil && len(c.r.Trailer) > 0 {
		err = c.memory.grow(memorybudget.HeaderParsedBytes(c.r.Trailer))
	}
	detach()
	endWait()
	if conn.Evicted() {
		return nil, &rejectConnectionLimit
	}
	if !g.allowedDuringStop(c) {
		return nil, &rejectStopping
	}
	if err == nil {
		// An expired read deadline would cancel the request's context as if the caller had disconnected.
		_ = c.control.SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		return nil, c.memory.rejection()
	case errors.As(err, &tooLarge):
		return nil, &rejectBodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &rejectBodySlow
	}
	return nil, &rejectBodyBroken
}

// readGrowing appends to b from r until r ends or b holds limit bytes. Before b grows, it reserves the memory; if there is
// none, it returns b and errNoMemory. While b is copied to its new place, the former one, which is garbage then, is not
// counted.
func readGrowing(b []byte, r io.Reader, limit int64, memory *heldMemory) ([]byte, error) {
	for int64(len(b)) < limit {
		if len(b) == cap(b) {
			growth := min(max(int64(cap(b)/2), minGrowthBytes), limit-int64(cap(b)))
			if err := memory.grow(growth); err != nil {
				return b, err
			}
			b = append(make([]byte, 0, int64(cap(b))+growth), b...)
		}
		n, err := r.Read(b[len(b):min(int64(cap(b)), limit)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
	return b, nil
}

// releaseBody releases the memory of the body unless this was done before.
func (c *call) releaseBody() {
	c.memory.release()
	c.memory = nil
}

// awaitsContinue reports whether the caller waits for 100 Continue, which the first read of the body sends, and therefore
// sends nothing after a refusal.
func (c *call) awaitsContinue() bool {
	requested := c.memory != nil && c.memory.granted
	return len(c.r.Header["Expect"]) > 0 && !requested
}

// discardBody sends the refusal to the caller and reads what the caller still sends of its body, without keeping it.
// Closing a connection with unread bytes resets it, and a caller that sends its whole request before it reads would then
// not see the refusal.
func (c *call) discardBody() {
	if c.flush() != nil {
		return
	}
	httpserver.FromContext(c.r.Context()).DiscardBody()
	_ = c.control.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, c.r.Body, rules.MaxBodyBytes)
}
