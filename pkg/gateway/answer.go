package gateway

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
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
	gaveUp   bool // an inner entry instance gave up
	err      error
}

// bufferAnswer reads up to bufferLimit bytes. The body of a complete answer is closed.
func bufferAnswer(a *target.Answer) *bufferedAnswer {
	b := &bufferedAnswer{Answer: a, gaveUp: a.Stated.GaveUp}
	if a.EndsAtClose {
		b.err = errEndsAtClose
		return b
	}
	if a.Length >= 0 && !a.Bodyless {
		// One byte more lets the reader see the end without growing.
		b.first = make([]byte, 0, min(a.Length, bufferLimit-1)+1)
	}
	b.first, b.err = readUpTo(b.first, a.Body)
	if b.err != nil || len(b.first) == bufferLimit {
		return b
	}
	b.complete = true
	b.close()
	return b
}

// readUpTo appends up to bufferLimit bytes of r to b.
func readUpTo(b []byte, r io.Reader) ([]byte, error) {
	for len(b) < bufferLimit {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := r.Read(b[len(b):min(cap(b), bufferLimit)])
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

func (b *bufferedAnswer) close() { _ = b.Body.Close() }

// failed reports a status that is no proof of success.
func (b *bufferedAnswer) failed() bool { return b.Status >= http.StatusInternalServerError }

// outcome is what the caller is told with the answer.
func (b *bufferedAnswer) outcome() wire.Outcome {
	if b.failed() || b.gaveUp {
		return wire.OutcomeUnknown
	}
	return wire.OutcomeAnswered
}
