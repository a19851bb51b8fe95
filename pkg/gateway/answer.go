package gateway

import (
	"io"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/target"
)

// bufferLimit is the size of an answer that is read whole before it is delivered, in bytes. A break within it can
// still be retried, because nothing of it went to the caller.
const bufferLimit = 64 << 10

// errEndsAtClose marks a body whose end cannot be told from a broken connection.
var errEndsAtClose = eris.New("answer body ends at close")

// bufferedAnswer is an answer with its first bytes.
type bufferedAnswer struct {
	*target.Answer
	first    []byte
	complete bool // first holds the whole body
	err      error
}

// bufferAnswer reads up to bufferLimit bytes. The body of a complete answer is closed.
func bufferAnswer(a *target.Answer) *bufferedAnswer {
	b := &bufferedAnswer{Answer: a}
	if a.EndsAtClose {
		b.err = errEndsAtClose
		return b
	}
	b.first, b.err = io.ReadAll(io.LimitReader(a.Body, bufferLimit))
	if b.err != nil || len(b.first) == bufferLimit {
		return b
	}
	b.complete = true
	b.close()
	return b
}

func (b *bufferedAnswer) close() { _ = b.Body.Close() }
