package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"reflect"

	"github.com/rotisserie/eris"
)

// A frame is a length of four bytes, big-endian, followed by that many bytes of a complete gob stream with a header and
// a body. The length is checked before anything is read or decoded.
const lengthSize = 4

var (
	errTooLarge  = errors.New("message too large")
	errMalformed = errors.New("malformed message")
)

// readFrame reads one frame of at most limit bytes. Memory grows with what arrives, not with what the length claims.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if int64(n) > int64(limit) {
		return nil, errTooLarge
	}
	var buf bytes.Buffer
	if _, err := io.CopyN(&buf, r, int64(n)); err != nil {
		return nil, eris.Wrap(err, "read frame")
	}
	if !lengthsFit(buf.Bytes()) {
		return nil, errMalformed
	}
	return buf.Bytes(), nil
}

// lengthsFit reports whether the lengths of the gob messages in a frame add up to the frame. gob itself would allocate
// what a length claims, up to 10 MB, before it notices that the bytes are missing.
func lengthsFit(frame []byte) bool {
	for len(frame) > 0 {
		n, size := gobUint(frame)
		if size == 0 || n > uint64(len(frame)-size) {
			return false
		}
		frame = frame[size+int(n):]
	}
	return true
}

// gobUint reads an unsigned integer as gob encodes it and returns its encoded size, 0 if it is malformed: a byte below
// 128 is the value, any other byte is the negated count of the big-endian bytes that follow.
func gobUint(b []byte) (value uint64, size int) {
	if b[0] < 0x80 {
		return uint64(b[0]), 1
	}
	count := -int(int8(b[0]))
	if count > 8 || count >= len(b) {
		return 0, 0
	}
	for _, c := range b[1 : 1+count] {
		value = value<<8 | uint64(c)
	}
	return value, 1 + count
}

func writeFrame(w io.Writer, header, body any) error {
	var buf bytes.Buffer
	buf.Write(make([]byte, lengthSize))
	enc := gob.NewEncoder(&buf)
	if err := enc.Encode(header); err != nil {
		return eris.Wrap(err, "encode header")
	}
	if err := enc.Encode(body); err != nil {
		return eris.Wrap(err, "encode body")
	}
	frame := buf.Bytes()
	if len(frame)-lengthSize > MaxMessage {
		return errTooLarge
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthSize))
	_, err := w.Write(frame)
	return eris.Wrap(err, "write frame")
}

// decodeBody decodes a body and checks it. A nil body is skipped.
func decodeBody(dec *gob.Decoder, body any) error {
	if body == nil {
		return dec.DecodeValue(reflect.Value{})
	}
	if err := dec.Decode(body); err != nil {
		return fmt.Errorf("%w: %v", errMalformed, err)
	}
	if m, ok := body.(message); ok {
		return m.check()
	}
	return nil
}

// codec implements rpc.ClientCodec and rpc.ServerCodec over frames. It is used by one goroutine at a time per direction.
type codec struct {
	conn  io.ReadWriteCloser
	limit int // bytes of a message that is read
	dec   *gob.Decoder
	// failed is the first error of reading or writing; rpc.Server does not return those of replies.
	failed error
}

func newCodec(conn io.ReadWriteCloser, limit int) *codec { return &codec{conn: conn, limit: limit} }

func (c *codec) next(header any) error {
	frame, err := readFrame(c.conn, c.limit)
	if err != nil {
		return c.fail(err)
	}
	c.dec = gob.NewDecoder(bytes.NewReader(frame))
	if err := c.dec.Decode(header); err != nil {
		return c.fail(fmt.Errorf("%w: %v", errMalformed, err))
	}
	return nil
}

func (c *codec) fail(err error) error {
	if c.failed == nil {
		c.failed = err
	}
	return err
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error { return c.next(r) }

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error {
	if err := decodeBody(c.dec, body); err != nil {
		return c.fail(err)
	}
	return nil
}

// WriteResponse implements rpc.ServerCodec.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	if err := writeFrame(c.conn, r, body); err != nil {
		return c.fail(err)
	}
	return nil
}

// WriteRequest implements rpc.ClientCodec.
func (c *codec) WriteRequest(r *rpc.Request, body any) error { return writeFrame(c.conn, r, body) }

// ReadResponseHeader implements rpc.ClientCodec.
func (c *codec) ReadResponseHeader(r *rpc.Response) error { return c.next(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c *codec) ReadResponseBody(body any) error { return decodeBody(c.dec, body) }

// Close implements both codecs.
func (c *codec) Close() error { return c.conn.Close() }
