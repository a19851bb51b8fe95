package gateway

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// maxBufferedBytes is the size of an answer that is read whole before it is delivered, in bytes. A break within it can
// still be retried, because nothing of it went to the caller.
const maxBufferedBytes = 64 << 10

// errCloseDelimited marks a body whose end cannot be told from a broken connection.
var errCloseDelimited = eris.New("answer body ends at close")

// bufferedResponse is an answer with its first bytes.
type bufferedResponse struct {
	*target.Response
	prefix   []byte
	complete bool // first holds the whole body
	gaveUp   bool // an inner entry instance gave up
	err      error
}

// bufferResponse reads up to bufferLimit bytes. The body of a complete answer is closed.
func bufferResponse(resp *target.Response) *bufferedResponse {
	b := &bufferedResponse{Response: resp, gaveUp: resp.Metadata.GaveUp}
	if resp.CloseDelimited {
		b.err = errCloseDelimited
		return b
	}
	if resp.ContentLength >= 0 && !resp.NoBody {
		// One byte more lets the reader see the end without growing.
		b.prefix = make([]byte, 0, min(resp.ContentLength, maxBufferedBytes-1)+1)
	}
	b.prefix, b.err = readPrefix(b.prefix, resp.Body)
	if b.err != nil || len(b.prefix) == maxBufferedBytes {
		return b
	}
	b.complete = true
	b.close()
	return b
}

// readPrefix appends up to bufferLimit bytes of r to b.
func readPrefix(b []byte, r io.Reader) ([]byte, error) {
	for len(b) < maxBufferedBytes {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := r.Read(b[len(b):min(cap(b), maxBufferedBytes)])
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

func (b *bufferedResponse) close() { _ = b.Body.Close() }

// isServerError reports a status that is no proof of success.
func (b *bufferedResponse) isServerError() bool { return b.Status >= http.StatusInternalServerError }

// outcome is what the caller is told with the answer.
func (b *bufferedResponse) outcome() wire.Outcome {
	if b.isServerError() || b.gaveUp {
		return wire.OutcomeUnknown
	}
	return wire.OutcomeAnswered
}
