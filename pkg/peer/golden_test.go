package peer

import (
	"bytes"
	"encoding/gob"
	"net/rpc"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/quarantine"
)

// The types of messages of commit 359e21b, the build in production before crash reports. The files in testdata/359e21b are
// frames that this build has encoded.
type (
	oldEntry struct {
		Service         string
		Epoch, Revision uint64
		Hash            uint64
	}
	oldKnown struct {
		Address, Zone, Start string
		Age                  time.Duration
	}
	oldSign  struct{ Target, Start string }
	oldCrash struct {
		Target, Caller                    uint64
		CallerAcquitted, ContentAcquitted bool
	}
	oldRecord struct {
		Content uint64
		Crashes []oldCrash
		Age     time.Duration
	}
	oldExchange struct {
		Self, Start, Zone string
		Digest            []oldEntry
		Fingerprint       uint64
		Known             []oldKnown
		Leaving           []oldSign
		CrashDigest       uint64
		Crashes           []oldRecord
	}
	oldPull struct {
		Service           string
		AcceptsCompressed bool
	}
	oldDocument struct{ Text, Compressed []byte }
	oldFollow   struct {
		After             uint64
		All               bool
		Wait              time.Duration
		AcceptsCompressed bool
	}
	oldInstance struct {
		Service, ID, Address, Zone, Start, State string
		Warmup                                   time.Duration
	}
	oldItem struct {
		Key                  string
		Revision             uint64
		Removed              bool
		Document, Compressed []byte
		Target               *oldInstance
	}
	oldUpdate struct {
		Items                []oldItem
		Revision, Generation uint64
		Gone                 bool
		Age, Grace           time.Duration
	}
)

func decodeFrame(t *testing.T, frame []byte, header, body any) {
	t.Helper()
	data, err := readFrame(bytes.NewReader(frame), MaxMessageSize)
	require.NoError(t, err)
	dec := gob.NewDecoder(bytes.NewReader(data))
	require.NoError(t, dec.Decode(header))
	require.NoError(t, dec.Decode(body))
}

// Guards against a message that an instance of the production build cannot read or reads differently during a rolling
// replacement, and against one of its messages that this build reads differently.
func TestMessagesOfProductionBuild(t *testing.T) {
	request := func() any { return &rpc.Request{} }
	response := func() any { return &rpc.Response{} }
	for name, c := range map[string]struct {
		header         func() any
		old, again     any
		message        message
		setAddedFields func(message)
	}{
		"exchange-request": {request, &oldExchange{}, &oldExchange{}, &Exchange{}, func(m message) { addFields(m.(*Exchange)) }},
		"exchange-reply":   {response, &oldExchange{}, &oldExchange{}, &Exchange{}, func(m message) { addFields(m.(*Exchange)) }},
		"pull-request":     {request, &oldPull{}, &oldPull{}, &Pull{}, nil},
		"pull-reply":       {response, &oldDocument{}, &oldDocument{}, &Document{}, nil},
		"empty-reply":      {response, &oldDocument{}, &oldDocument{}, &Document{}, nil},
		"follow-request":   {request, &oldFollow{}, &oldFollow{}, &Follow{}, nil},
		"follow-reply":     {response, &oldUpdate{}, &oldUpdate{}, &Update{}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			golden, err := os.ReadFile(filepath.Join("testdata", "359e21b", name))
			require.NoError(t, err)
			decodeFrame(t, golden, c.header(), c.old)
			header := c.header()
			decodeFrame(t, golden, header, c.message)
			require.NoError(t, c.message.validate())
			if c.setAddedFields != nil {
				c.setAddedFields(c.message)
			}
			frame, err := marshalFrame(header, c.message)
			require.NoError(t, err)
			headerAgain := c.header()
			decodeFrame(t, frame, headerAgain, c.again)
			require.Equal(t, header, headerAgain)
			require.Equal(t, c.old, c.again)
		})
	}
	x := &Exchange{}
	golden, err := os.ReadFile(filepath.Join("testdata", "359e21b", "exchange-request"))
	require.NoError(t, err)
	decodeFrame(t, golden, &rpc.Request{}, x)
	require.Equal(t, []quarantine.Record{{Content: 1, Age: time.Second, Crashes: []quarantine.Crash{
		{Target: 2, Caller: 3, CallerAcquitted: true, ContentAcquitted: true}, {Target: 4, Caller: 3},
	}}}, x.Crashes, "missing fields are zero")
	require.Zero(t, x.KnownCount)
	require.False(t, x.NeedsAges)
}

// addFields sets the fields that 359e21b does not have.
func addFields(x *Exchange) {
	x.KnownCount, x.NeedsAges, x.Ages = 5, true, []byte{1}
	for i := range x.Crashes {
		x.Crashes[i].Verdict = true
		x.Crashes[i].Crashes[0].Age = time.Second
	}
}
