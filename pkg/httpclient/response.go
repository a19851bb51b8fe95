package httpclient

import (
	"net/http"

	"github.com/burdockpitch/burdockpitch/pkg/memorybudget"
)

// response is the response that a connection receives: interim heads, the head, and the body. It does no I/O.
type response struct {
	headLimit int                       // bytes of all heads
	toHEAD    bool                      // the request has the method HEAD
	memory    *memorybudget.Reservation // nil if memory is not bounded

	begun        bool // a byte was received
	interim      int  // bytes of the interim heads
	fields       int  // number of field lines of all complete heads
	head         head // the one that is received, or the last one
	headComplete bool
	body         body

	reserved int64 // bytes, memorybudget.HeadAllowance included
}

// complete reports whether the response was received whole.
func (r *response) complete() bool { return r.headComplete && r.body.complete }

// receive continues the response. Until the head is complete, received holds all bytes so far, in a buffer of bufferBytes
// that is in addition to those of net/http; then it holds the bytes that were not passed before. It returns how many of them
// may be delivered: none of an unfinished head, and none beyond the end of the response.
func (r *response) receive(received []byte, bufferBytes int) (deliverable int, err error) {
	r.begun = true
	if !r.headComplete {
		deliverable, err = r.receiveHeads(received, bufferBytes)
		if err != nil || !r.headComplete {
			return 0, err
		}
	}
	used, err := r.body.follow(received[deliverable:])
	if err == nil && r.complete() {
		err = r.reserve(r.reserved + memorybudget.ParsedBytes(len(r.body.trailer), r.body.fields))
	}
	return deliverable + used, err
}

// receiveHeads returns the size of all heads once the last one is complete.
func (r *response) receiveHeads(received []byte, bufferBytes int) (size int, err error) {
	for {
		if err := r.head.parse(received[r.interim:]); err != nil {
			return 0, err
		}
		if size = len(received); r.head.complete {
			size = r.interim + r.head.size
		}
		if size > r.headLimit {
			return 0, &Error{CauseHeadTooLarge, "head"}
		}
		if !r.head.complete {
			return 0, nil
		}
		r.fields += r.head.fields
		if !r.head.isInterim() {
			break
		}
		r.interim, r.head = size, head{}
	}
	if err := r.reserve(memorybudget.ParsedBytes(size, r.fields) + int64(bufferBytes)); err != nil {
		return 0, err
	}
	r.headComplete, r.body = true, newBody(&r.head, r.mayHaveBody())
	return size, nil
}

// mayHaveBody reports whether a body follows the head.
func (r *response) mayHaveBody() bool {
	return !r.toHEAD && r.head.status != http.StatusNoContent && r.head.status != http.StatusNotModified
}

// reserve makes sure that n bytes are reserved for the response.
func (r *response) reserve(n int64) error {
	if missing := memorybudget.MissingForHead(n, r.reserved); r.memory != nil && missing > 0 {
		if reason := r.memory.Grow(missing); reason != memorybudget.Granted {
			return &Error{CauseHeadMemory, string(reason)}
		}
	}
	r.reserved = max(r.reserved, n)
	return nil
}

// endsCleanly reports whether the response is whole if the connection ends now without an error.
func (r *response) endsCleanly() bool { return r.complete() || r.headComplete && r.body.untilEnd }
