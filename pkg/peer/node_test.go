package peer

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/gateway"
	"github.com/burdockpitch/burdockpitch/pkg/peer/membership"
)

const waitTimeout = 20 * time.Second

// fakeDocuments holds one document per service, whose text is its revision; the highest wins.
type fakeDocuments struct {
	mu      sync.Mutex
	entries map[string]Entry
	offered int
	changed chan struct{}
}

func newFakeDocuments() *fakeDocuments {
	return &fakeDocuments{entries: make(map[string]Entry), changed: make(chan struct{}, 1)}
}

func (f *fakeDocuments) Digest() []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Entry
	for _, e := range f.entries {
		list = append(list, e)
	}
	return list
}

func (f *fakeDocuments) Text(service string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entries[service]
	return binary.BigEndian.AppendUint64(nil, e.Revision)
}

func (f *fakeDocuments) Offer(_, service string, text []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offered++
	revision := binary.BigEndian.Uint64(text)
	if revision <= f.entries[service].Revision {
		return
	}
	f.entries[service] = Entry{Service: service, Revision: revision, Hash: revision}
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (f *fakeDocuments) Changed() <-chan struct{} { return f.changed }

func (f *fakeDocuments) set(revision uint64) {
	f.Offer("test", "s", binary.BigEndian.AppendUint64(nil, revision))
}

func (f *fakeDocuments) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries["s"].Revision
}

// testNode is a running node with its own address.
type testNode struct {
	*Node
	docs    *fakeDocuments
	crashes *gateway.Quarantine
	// relayListener accepts the connections on which other instances relay requests.
	relayListener net.Listener
	registry      *prometheus.Registry
	signals       chan membership.Sign
}

func startNode(t *testing.T, ip string, seeds ...string) *testNode {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	n := &testNode{docs: newFakeDocuments(), registry: prometheus.NewRegistry(), signals: make(chan membership.Sign, 100)}
	cfg := DefaultConfig(l.Addr().String(), "a", seeds)
	cfg.RoundInterval, cfg.CallTimeout, cfg.IdleTimeout = 20*time.Millisecond, 300*time.Millisecond, 300*time.Millisecond
	onTargetLeaving := func(s membership.Sign) { n.signals <- s }
	n.crashes = newCrashRecords()
	n.Node = NewNode(cfg, n.docs, n.crashes, NewMetrics(n.registry), onTargetLeaving, logr.Discard())
	n.relayListener = n.RelayListener(l.Addr())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Run(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return n
}

func (n *testNode) counterValue(name, label string) float64 {
	families, _ := n.registry.Gather()
	for _, family := range families {
		for _, m := range family.GetMetric() {
			if family.GetName() == "burdockpitch_"+name && (label == "" || m.GetLabel()[0].GetValue() == label) {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	require.Eventually(t, check, waitTimeout, time.Millisecond, condition)
}

func encodeFrame(t *testing.T, header, body any) []byte {
	t.Helper()
	client, server := net.Pipe()
	go func() {
		_ = writeFrame(client, header, body)
		_ = client.Close()
	}()
	frame, err := io.ReadAll(server)
	require.NoError(t, err)
	return frame
}

// Guards against a faulty message or connection that affects other connections: the node must close the faulty one,
// count it, and still exchange with other instances.
func TestFaultyConnections(t *testing.T) {
	request := &rpc.Request{ServiceMethod: "Peer.Exchange", Seq: 1}
	foreign := &Exchange{Self: "127.0.0.9:1", Start: "1"}
	oversized := binary.BigEndian.AppendUint32(nil, maxRequestSize+1)
	wrongGobLength := append(binary.BigEndian.AppendUint32(nil, 8), 0xfc, 0x3f, 0xff, 0xff, 0xff, 0, 0, 0) // gob length of 1 GB
	cases := []struct {
		name   string
		from   string
		send   []byte
		reset  bool
		reason string
	}{
		{name: "unknown sender", from: "127.0.0.7", reason: "unknown-sender"},
		{name: "silent", reason: "silent"},
		{name: "silent after half a message", send: []byte{0, 0}, reason: "silent"},
		{name: "oversized", send: oversized, reason: "too-large"},
		{name: "gob length beyond the frame", send: wrongGobLength, reason: "malformed"},
		{name: "not gob", send: []byte{0, 0, 0, 3, 2, 0xff, 0xff}, reason: "malformed"},
		{name: "empty", send: []byte{0, 0, 0, 0}, reason: "malformed"},
		{name: "unknown method", send: encodeFrame(t, &rpc.Request{ServiceMethod: "Peer.Stop"}, &Pull{Service: "s"}), reason: "malformed"},
		{name: "body of another type", send: encodeFrame(t, request, &Pull{Service: "s"}), reason: "malformed"},
		{name: "invalid content", send: encodeFrame(t, request, &Exchange{Self: "nowhere", Start: "1"}), reason: "malformed"},
		{name: "foreign address", send: encodeFrame(t, request, foreign), reason: "silent"},
		{name: "reset", send: []byte{0, 0}, reset: true, reason: "broken"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t, "127.0.0.1", "127.0.0.2:1")
			from := c.from
			if from == "" {
				from = "127.0.0.2"
			}
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
			conn, err := dialer.Dial("tcp", n.cfg.Self)
			require.NoError(t, err)
			defer conn.Close()
			_, err = conn.Write(c.send)
			require.NoError(t, err)
			if c.reset {
				require.NoError(t, conn.(*net.TCPConn).SetLinger(0))
				require.NoError(t, conn.Close())
			} else {
				_, _ = io.Copy(io.Discard, conn) // returns when the node closes the connection
			}
			eventually(t, "count of dropped connections", func() bool { return n.counterValue("peer_dropped_total", c.reason) == 1 })
			other := startNode(t, "127.0.0.2", n.cfg.Self)
			other.docs.set(3)
			eventually(t, "exchange with another node afterwards", func() bool { return n.docs.revision() == 3 })
			for _, m := range n.Members() {
				require.NotEqual(t, foreign.Self, m.Address)
			}
		})
	}
}

// Guards against a peer that delays or breaks the rounds with others because it does not reply, closes the connection
// or sends an oversized, malformed or invalid reply.
func TestFaultyPeers(t *testing.T) {
	const foreignAddress = "127.0.0.9:1"
	reply := func(body any) func(net.Conn) {
		return func(c net.Conn) {
			if _, err := readFrame(c, MaxMessageSize); err == nil {
				_ = writeFrame(c, &rpc.Response{ServiceMethod: "Peer.Exchange"}, body)
			}
		}
	}
	cases := []struct {
		name  string
		serve func(net.Conn)
	}{
		{"silent", func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }},
		{"reset", func(net.Conn) {}},
		{"oversized", func(c net.Conn) { _, _ = c.Write(binary.BigEndian.AppendUint32(nil, MaxMessageSize+1)) }},
		{"malformed", func(c net.Conn) { _, _ = c.Write([]byte{0, 0, 0, 1, 7}) }},
		{"invalid content", reply(&Exchange{Self: "x"})},
		{"foreign address", reply(&Exchange{Self: foreignAddress, Start: "1"})},
		{"document that does not exist", reply(&Exchange{Self: "127.0.0.3:1", Start: "1", Digest: []Entry{{Service: "s", Revision: 9}}})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.3:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						c.serve(conn)
					}()
				}
			}()
			healthy := startNode(t, "127.0.0.2", "127.0.0.1:1")
			healthy.docs.set(5)
			n := startNode(t, "127.0.0.1", l.Addr().String(), healthy.cfg.Self)
			eventually(t, "exchange with the healthy peer", func() bool { return n.docs.revision() == 5 })
			eventually(t, "count of failed contacts", func() bool { return n.counterValue("peer_contacts_total", "failed") > 0 })
			for _, m := range n.Members() {
				require.NotEqual(t, foreignAddress, m.Address)
			}
			n.docs.set(6)
			eventually(t, "push to the healthy peer", func() bool { return healthy.docs.revision() == 6 })
		})
	}
}

// Guards against a change or a leaving signal that reaches only some instances.
func TestChangesAndLeavingSignalsReachAllInstances(t *testing.T) {
	nodes := []*testNode{startNode(t, "127.0.0.1")}
	for i := range 5 {
		nodes = append(nodes, startNode(t, fmt.Sprint("127.0.0.", i+2), nodes[0].cfg.Self))
	}
	var list membership.InstanceListReceived
	for _, n := range nodes {
		list.Instances = append(list.Instances, membership.Process{Address: n.cfg.Self, Zone: "a"})
	}
	for _, n := range nodes {
		n.SetInstanceList(context.Background(), list)
		require.Equal(t, len(nodes), n.FleetSize())
	}
	nodes[3].docs.set(7)
	signal := membership.Sign{Target: "t", Start: "1"}
	nodes[4].ObserveTargets(context.Background(), []membership.Process{{Address: "t", Start: "1", Leaving: true}})
	for _, n := range nodes {
		eventually(t, "document", func() bool { return n.docs.revision() == 7 })
		select {
		case got := <-n.signals:
			require.Equal(t, signal, got)
		case <-time.After(waitTimeout):
			t.Fatal("no leaving signal")
		}
		select {
		case <-n.FirstExchange():
		case <-time.After(waitTimeout):
			t.Fatal("no exchange completed")
		}
	}
	nodes[5].AnnounceLeaving(context.Background())
	eventually(t, "leaving state of the instance", func() bool {
		for _, m := range nodes[0].Members() {
			if m.Address == nodes[5].cfg.Self {
				return m.Leaving
			}
		}
		return false
	})
}

// Guards against replies that repeat the leaving signals of the request, which are many while targets are replaced, and
// against replies without the signals that only the called instance knows.
func TestReplyOmitsLeavingSignalsOfTheRequest(t *testing.T) {
	n := startNode(t, "127.0.0.1")
	known, unknown := membership.Sign{Target: "known", Start: "1"}, membership.Sign{Target: "unknown", Start: "1"}
	for _, sign := range []membership.Sign{known, unknown} {
		n.ObserveTargets(context.Background(), []membership.Process{{Address: sign.Target, Start: sign.Start, Leaving: true}})
	}
	service := &peerService{node: n.Node, ctx: context.Background(), remote: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	var reply Exchange
	request := &Exchange{Self: "127.0.0.2:7001", Start: "2", Zone: "a", Leaving: []membership.Sign{known}}
	require.NoError(t, service.Exchange(request, &reply))
	require.Equal(t, []membership.Sign{unknown}, reply.Leaving)
}

// Guards against a conflict that never reaches the store, and against pulling the conflicting document in each round.
func TestConflictingDocumentIsPulledOnce(t *testing.T) {
	n := startNode(t, "127.0.0.1", "127.0.0.2:1")
	n.docs.set(4)
	other := startNode(t, "127.0.0.2", n.cfg.Self)
	other.docs.mu.Lock()
	other.docs.entries["s"] = Entry{Service: "s", Revision: 4, Hash: 99}
	other.docs.mu.Unlock()
	eventually(t, "pull of the conflicting document", func() bool { return other.counterValue("peer_pulled_total", "") == 1 })
	before := other.counterValue("peer_contacts_total", "ok")
	eventually(t, "further rounds", func() bool { return other.counterValue("peer_contacts_total", "ok") > before+3 })
	require.Equal(t, float64(1), other.counterValue("peer_pulled_total", ""))
}
