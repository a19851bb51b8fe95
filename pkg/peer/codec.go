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

// A frame is a four-byte big-endian length, followed by a complete gob stream of that length, which holds a header and
// a body. The length is checked before the stream is read or decoded.
const frameLengthSize = 4

var (
	errTooLarge  = errors.New("peer message is too large")
	errMalformed = errors.New("peer message is malformed")
)

// readFrame reads one frame of at most limit bytes. The buffer grows with the received data, so that a large claimed
// length does not allocate memory by itself.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var length [frameLengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if int64(n) > int64(limit) {
		return nil, errTooLarge
	}
	var buf bytes.Buffer
	if _, err := io.CopyN(&buf, r, int64(n)); err != nil {
		return nil, eris.Wrap(err, "read frame of peer message")
	}
	if !gobLengthsMatch(buf.Bytes()) {
		return nil, errMalformed
	}
	return buf.Bytes(), nil
}

// gobLengthsMatch reports whether the lengths of the gob messages in a frame add up to the size of the frame. gob
// itself would allocate the length that a message claims, up to 10 MB, before it detects that bytes are missing.
func gobLengthsMatch(frame []byte) bool {
	for len(frame) > 0 {
		n, size := decodeGobUint(frame)
		if size == 0 || n > uint64(len(frame)-size) {
			return false
		}
		frame = frame[size+int(n):]
	}
	return true
}

// decodeGobUint decodes an unsigned integer in gob's encoding and returns its encoded size, 0 if it is malformed. A
// byte below 128 is the value; any other byte is the negated count of the big-endian bytes that follow.
func decodeGobUint(b []byte) (value uint64, size int) {
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

// writeFrame encodes and writes one frame.
func writeFrame(w io.Writer, header, body any) error {
	frame, err := marshalFrame(header, body)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return eris.Wrap(err, "write frame of peer message")
}

// marshalFrame returns the bytes of one frame, including its length.
func marshalFrame(header, body any) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, frameLengthSize))
	enc := gob.NewEncoder(&buf)
	if err := enc.Encode(withoutEmptyFields(header)); err != nil {
		return nil, eris.Wrap(err, "encode header of peer message")
	}
	if err := enc.Encode(withoutEmptyFields(body)); err != nil {
		return nil, eris.Wrap(err, "encode body of peer message")
	}
	frame := buf.Bytes()
	if len(frame)-frameLengthSize > MaxMessageSize {
		return nil, errTooLarge
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameLengthSize))
	return frame, nil
}

// decodeBody decodes and validates a body. A nil body is skipped.
func decodeBody(dec *gob.Decoder, body any) error {
	if body == nil {
		return dec.DecodeValue(reflect.Value{})
	}
	if err := dec.Decode(body); err != nil {
		return fmt.Errorf("%w: %v", errMalformed, err)
	}
	if m, ok := body.(message); ok {
		return m.validate()
	}
	return nil
}

// codec implements rpc.ClientCodec and rpc.ServerCodec over frames. Each direction may be used by one goroutine at a
// time.
type codec struct {
	conn      io.ReadWriteCloser
	readLimit int // maximum size of a received message in bytes
	dec       *gob.Decoder
	traffic   *trafficCounter // nil if frames are not counted
	onRequest func() error    // called after each valid request was read, unless it is nil
	// firstErr is the first read or write error. It is kept because rpc.Server does not return errors of writing a reply.
	firstErr error
}

func newCodec(conn io.ReadWriteCloser, readLimit int) *codec {
	return &codec{conn: conn, readLimit: readLimit}
}

func (c *codec) readHeader(header any) error {
	frame, err := readFrame(c.conn, c.readLimit)
	if err != nil {
		return c.recordError(err)
	}
	c.dec = gob.NewDecoder(bytes.NewReader(frame))
	if err := c.dec.Decode(header); err != nil {
		return c.recordError(fmt.Errorf("%w: %v", errMalformed, err))
	}
	c.traffic.count(methodOf(header), directionIn, frameLengthSize+len(frame))
	return nil
}

// methodOf returns the method of a call from the header of its request or reply.
func methodOf(header any) string {
	switch h := header.(type) {
	case *rpc.Request:
		return h.ServiceMethod
	case *rpc.Response:
		return h.ServiceMethod
	}
	return ""
}

// write sends one frame of the call of a method.
func (c *codec) write(method string, header, body any) error {
	frame, err := marshalFrame(header, body)
	if err != nil {
		return err
	}
	if _, err := c.conn.Write(frame); err != nil {
		return eris.Wrap(err, "write frame of peer message")
	}
	c.traffic.count(method, directionOut, len(frame))
	return nil
}

func (c *codec) recordError(err error) error {
	if c.firstErr == nil {
		c.firstErr = err
	}
	return err
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error { return c.readHeader(r) }

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error {
	if err := decodeBody(c.dec, body); err != nil {
		return c.recordError(err)
	}
	if c.onRequest != nil && body != nil {
		return c.recordError(c.onRequest())
	}
	return nil
}

// WriteResponse implements rpc.ServerCodec.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	if err := c.write(r.ServiceMethod, r, body); err != nil {
		return c.recordError(err)
	}
	return nil
}

// WriteRequest implements rpc.ClientCodec.
func (c *codec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r.ServiceMethod, r, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *codec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c *codec) ReadResponseBody(body any) error { return decodeBody(c.dec, body) }

// Close implements rpc.ClientCodec and rpc.ServerCodec.
func (c *codec) Close() error { return c.conn.Close() }
