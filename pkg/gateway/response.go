package gateway

import (
	"errors"
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
	memory   *heldMemory
	complete bool // prefix holds the whole body
	// unbuffered is set if the buffer ended early for lack of memory.
	unbuffered bool
	gaveUp     bool // the target relays that an instance gave up on a nested call
	err        error
	// relayedOutcome is set on the response of another instance to which the request was relayed. Its status can be that
	// of a refusal, which is final all the same.
	relayedOutcome wire.Outcome
}

// bufferResponse reads up to maxBufferedBytes of the body into memory that it reserves, and closes the body if it is
// complete. If there is no memory, the response is not refused, because the target has run the request: what was read
// remains the prefix, and the rest is passed on as it is read.
func bufferResponse(resp *target.Response, memory *heldMemory) *bufferedResponse {
	b := &bufferedResponse{Response: resp, gaveUp: resp.Metadata.GaveUp, memory: memory}
	if resp.CloseDelimited {
		b.err = errCloseDelimited
		return b
	}
	// One extra byte lets readGrowing see the end of the body without growing the buffer. It alone is not reserved.
	if resp.NoBody || resp.ContentLength == 0 {
		b.prefix = make([]byte, 0, 1)
	} else if resp.ContentLength > 0 {
		size := min(resp.ContentLength, maxBufferedBytes-1) + 1
		if memory.grow(size) != nil {
			b.unbuffered = true
			return b
		}
		b.prefix = make([]byte, 0, size)
	}
	b.prefix, b.err = readGrowing(b.prefix, resp.Body, maxBufferedBytes, memory)
	if errors.Is(b.err, errNoMemory) {
		b.err, b.unbuffered = nil, true
	}
	if b.err != nil || b.unbuffered || len(b.prefix) == maxBufferedBytes {
		return b
	}
	b.complete = true
	b.close()
	return b
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
