package gateway

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// maxBufferedBytes is how much of a response is buffered before it is forwarded. An attempt that breaks within it can
// still be retried, because nothing has been sent to the caller.
const maxBufferedBytes = 64 << 10

// errCloseDelimited is returned for a body that ends when the connection closes, because a broken connection looks the
// same.
var errCloseDelimited = eris.New("response body is delimited by connection close, so truncation cannot be detected")

// bufferedResponse is a response with the first bytes of its body.
type bufferedResponse struct {
	*target.Response
	prefix   []byte
	complete bool // prefix holds the whole body
	gaveUp   bool // the target relays that an instance gave up on a nested call
	err      error
	// relayedOutcome is set on the response of another instance to which the request was relayed. Its status can be that
	// of a refusal, which is final all the same.
	relayedOutcome wire.Outcome
}

// bufferResponse reads up to maxBufferedBytes of the body, and closes the body if it is complete.
func bufferResponse(resp *target.Response) *bufferedResponse {
	b := &bufferedResponse{Response: resp, gaveUp: resp.Metadata.GaveUp}
	if resp.CloseDelimited {
		b.err = errCloseDelimited
		return b
	}
	if resp.ContentLength >= 0 && !resp.NoBody {
		// One extra byte lets readPrefix see the end of the body without growing the buffer.
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

// readPrefix appends to b from r until b holds maxBufferedBytes or r ends.
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

// isServerError reports whether the status is 5xx, which leaves open whether the request was executed.
func (b *bufferedResponse) isServerError() bool {
	return b.Status >= http.StatusInternalServerError && b.relayedOutcome == ""
}

// outcome returns the outcome reported to the caller with the response.
func (b *bufferedResponse) outcome() wire.Outcome {
	if b.relayedOutcome != "" {
		return b.relayedOutcome
	}
	if b.isServerError() || b.gaveUp {
		return wire.OutcomeUnknown
	}
	return wire.OutcomeAnswered
}
