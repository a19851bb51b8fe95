package peer

import (
	"bytes"
	"errors"
	"net/rpc"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/peer/membership"
)

type closableBuffer struct{ bytes.Buffer }

func (*closableBuffer) Close() error { return nil }

// FuzzRequest guards against a request that makes the decoder panic, or that passes validation with content beyond the
// limits.
func FuzzRequest(f *testing.F) {
	seeds := []message{
		&Exchange{
			Self: "127.0.0.1:1", Start: "1", Zone: "a", Digest: []Entry{{"s", 1, 2, 3}},
			Leaving: []membership.Sign{{Target: "t", Start: "1"}},
		},
		&Pull{Service: "s"}, &Document{Text: []byte("text")}, &CrashReport{Self: "127.0.0.1:1", Start: "1"},
	}
	for _, seed := range seeds {
		var b bytes.Buffer
		require.NoError(f, writeFrame(&b, &rpc.Request{ServiceMethod: "Peer.Exchange"}, seed))
		f.Add(b.Bytes())
		f.Add(b.Bytes()[:b.Len()/2])
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, body := range []message{&Exchange{}, &Pull{}, &Document{}, &CrashReport{}, nil} {
			c := newCodec(&closableBuffer{*bytes.NewBuffer(data)}, maxRequestSize)
			if c.ReadRequestHeader(&rpc.Request{}) != nil {
				continue
			}
			var err error
			if body == nil {
				err = c.ReadRequestBody(nil)
			} else {
				err = c.ReadRequestBody(body)
			}
			if x, ok := body.(*Exchange); ok && err == nil {
				require.LessOrEqual(t, len(x.Digest), maxDigestEntries)
				require.LessOrEqual(t, len(x.Leaving), membership.MaxLeavingSignals)
			}
		}
	})
}

// Guards against limits that the validation of a decoded message does not enforce.
func TestMessagesBeyondLimits(t *testing.T) {
	tooLong := strings.Repeat("x", maxNameLength+1)
	valid := func() *Exchange { return &Exchange{Self: "127.0.0.1:1", Start: "1"} }
	modified := func(change func(x *Exchange)) *Exchange {
		x := valid()
		change(x)
		return x
	}
	require.NoError(t, valid().validate())
	cases := []message{
		modified(func(x *Exchange) { x.Self = "host:1" }),
		modified(func(x *Exchange) { x.Start = "" }),
		modified(func(x *Exchange) { x.Zone = tooLong }),
		modified(func(x *Exchange) { x.Digest = make([]Entry, maxDigestEntries+1) }),
		modified(func(x *Exchange) { x.Digest = []Entry{{}} }),
		modified(func(x *Exchange) { x.Leaving = make([]membership.Sign, membership.MaxLeavingSignals+1) }),
		modified(func(x *Exchange) { x.Leaving = []membership.Sign{{Target: "t", Start: tooLong}} }),
		&Pull{}, &Pull{Service: tooLong},
		&Document{Text: make([]byte, maxDocumentSize+1)},
	}
	for _, c := range cases {
		require.Error(t, c.validate())
	}
}

// Guards against a sender that writes a frame which no receiver accepts, and against lists at their limits that do not
// fit into a request.
func TestFrameSizeLimits(t *testing.T) {
	var b bytes.Buffer
	require.ErrorIs(t, writeFrame(&b, &rpc.Request{}, &Document{Text: make([]byte, MaxMessageSize)}), errTooLarge)
	require.Zero(t, b.Len())
	x := &Exchange{Self: "127.0.0.1:1", Start: "1"}
	for range maxDigestEntries {
		x.Digest = append(x.Digest, Entry{Service: "a service name of usual length", Epoch: 1000, Revision: 1000, Hash: 1 << 63})
		x.Leaving = append(x.Leaving, membership.Sign{Target: "255.255.255.255:65535", Start: "a start id of 16"})
	}
	require.NoError(t, writeFrame(&b, &rpc.Request{}, x))
	_, err := readFrame(&b, maxRequestSize)
	require.NoError(t, err)
	_, err = readFrame(bytes.NewReader([]byte{0, 0, 0, 5, 0xfc, 0x3f, 0xff, 0xff, 0xff}), MaxMessageSize)
	require.ErrorIs(t, err, errMalformed, "a gob length beyond the frame")
	_, err = readFrame(bytes.NewReader([]byte{0, 32, 0, 1}), MaxMessageSize)
	require.True(t, errors.Is(err, errTooLarge))
}
