package capacity

import (
	"encoding/gob"
	"encoding/json"
	"fmt"
	"io"
	"net/rpc"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/gateway"
	"github.com/burdockpitch/burdockpitch/pkg/peer"
	"github.com/burdockpitch/burdockpitch/pkg/peer/membership"
	"github.com/burdockpitch/burdockpitch/pkg/target"
)

const (
	serviceCount       = 36              // at the design scale
	leavingSignalCount = 200             // a measured number of signals; the limit is membership.MaxLeavingSignals
	startID            = "1z141z3z5k2mn" // as long as a random start ID
	frameLengthBytes   = 4               // the length prefix of a peer message
)

func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:8080", 1+i/65536, i/256%256, i%256) }

func zone(i int) string { return string(rune('a' + i%6)) }

// measureTargets measures core.Service: its memory and the time to process a new target list.
func measureTargets(w io.Writer) error {
	printTableHeader(w, "One service", "targets", "memory", "per target", "new list")
	for _, n := range []int{31, 275, 550, 1100} {
		list := make([]core.Target, n)
		for i := range list {
			list[i] = core.Target{ID: core.TargetID(address(i)), Zone: core.Zone(zone(i)), Start: startID}
		}
		var s *core.Service
		bytes := retainedHeapBytes(func() any {
			s = core.NewService(core.DefaultPolicy())
			s.Reduce(core.Input{Event: core.TargetsChanged{Targets: list}}, nil)
			return s
		})
		step := medianDuration(func() { s.Reduce(core.Input{Event: core.TargetsChanged{Targets: list}}, nil) })
		printRow(w, cells(n, fmt.Sprintf("%d B", bytes), fmt.Sprintf("%d B", bytes/int64(n)), formatMicros(step)))
	}
	return nil
}

// byteCounter counts the bytes written to it.
type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

// peerMessageBytes returns the size of a peer message with its frame. Each frame is a separate gob stream.
func peerMessageBytes(header any, x peer.Exchange) (int, error) {
	size := byteCounter(frameLengthBytes)
	enc := gob.NewEncoder(&size)
	if err := enc.Encode(header); err != nil {
		return 0, err
	}
	err := enc.Encode(x)
	return int(size), err
}

// measureExchanges measures the sizes of the messages between instances. In the steady state, both instances have the
// same documents, so the reply has no digest.
func measureExchanges(w io.Writer) error {
	printTableHeader(w, "Peer exchange", "documents", "leaving signals", "request", "steady-state reply")
	cases := [][2]int{{1, 0}, {12, 0}, {24, 0}, {serviceCount, 0}, {serviceCount, 50}, {serviceCount, 100}, {serviceCount, leavingSignalCount}, {serviceCount, 1100}}
	for _, c := range cases {
		x := newExchange(c[0], c[1])
		request, err := peerMessageBytes(rpc.Request{ServiceMethod: "Peer.Exchange", Seq: 1}, x)
		if err != nil {
			return err
		}
		x.Digest = nil
		reply, err := peerMessageBytes(rpc.Response{ServiceMethod: "Peer.Exchange", Seq: 1}, x)
		if err != nil {
			return err
		}
		printRow(w, cells(c[0], c[1], fmt.Sprintf("%d B", request), fmt.Sprintf("%d B", reply)))
	}
	return nil
}

func newExchange(docs, signals int) peer.Exchange {
	x := peer.Exchange{Self: address(0), Start: startID, Zone: "a"}
	for i := range docs {
		e := peer.Entry{Service: fmt.Sprintf("service-%02d", i), Epoch: 3, Revision: 20000, Hash: 1<<63 + uint64(i)}
		x.Digest = append(x.Digest, e)
	}
	for i := range signals {
		x.Leaving = append(x.Leaving, membership.Sign{Target: address(i), Start: startID})
	}
	return x
}

// measureMembership measures the membership state: its memory and the time of one round.
func measureMembership(w io.Writer) error {
	printTableHeader(w, "Membership", "number of instances", "memory", "per instance", "round")
	for _, n := range []int{14, 50, 100, 200} {
		var received membership.InstanceListReceived
		for i := range n {
			received.Instances = append(received.Instances, membership.Process{Address: address(i), Zone: zone(i), Start: startID})
		}
		var s *membership.State
		bytes := retainedHeapBytes(func() any {
			s = membership.New(membership.Config{Self: address(n), Start: startID, Zone: "a"})
			s.Reduce(membership.Input{Event: received}, nil)
			return s
		})
		round := medianDuration(func() { s.Reduce(membership.Input{Now: time.Second, Event: membership.RoundStarted{}}, nil) })
		printRow(w, cells(n, fmt.Sprintf("%d B", bytes), fmt.Sprintf("%d B", bytes/int64(n)), formatMicros(round)))
	}
	return nil
}

// measureInstanceList measures the instance list and the index: their sizes, and the times that the gateway needs to
// apply a new list and, once a second, to compute the status of all targets.
func measureInstanceList(w io.Writer) error {
	printTableHeader(w, "Instance list in 36 services", "targets", "list", "compressed by gzip", "decode", "memory of the gateway", "apply", "status of all targets")
	for _, n := range []int{275, 550, 1100} {
		list := newInstanceList(n)
		text, err := json.Marshal(list)
		if err != nil {
			return err
		}
		compressed, err := gzipSize(text)
		if err != nil {
			return err
		}
		decode := medianDuration(func() { _ = json.Unmarshal(text, &discovery.InstanceList{}) })
		var g *gateway.Gateway
		bytes := retainedHeapBytes(func() any {
			cfg := gateway.Config{Policy: core.DefaultPolicy(), Target: target.DefaultConfig()}
			g = gateway.New(cfg, gateway.NewMetrics(prometheus.NewRegistry()), logr.Discard())
			g.SetTargets(list)
			return g
		})
		apply := medianDuration(func() { g.SetTargets(list) })
		status := medianDuration(func() { g.Status() })
		printRow(w, cells(n, fmt.Sprintf("%d B", len(text)), fmt.Sprintf("%d B", compressed), formatMicros(decode),
			fmt.Sprintf("%d B", bytes), formatMicros(apply), formatMicros(status)))
	}
	printTableHeader(w, "Index", "documents", "size")
	for _, n := range []int{12, 24, serviceCount} {
		index := discovery.Index{Sequence: 20000}
		for i := range n {
			e := discovery.IndexEntry{Service: fmt.Sprintf("service-%02d", i), Epoch: 3, Revision: 20000, Hash: "0123456789abcdef"}
			index.Entries = append(index.Entries, e)
		}
		text, err := json.Marshal(index)
		if err != nil {
			return err
		}
		printRow(w, cells(n, fmt.Sprintf("%d B", len(text))))
	}
	return nil
}

func newInstanceList(n int) discovery.InstanceList {
	list := discovery.InstanceList{Sequence: 20000}
	for i := range n {
		list.Instances = append(list.Instances, discovery.Instance{
			Service: fmt.Sprintf("service-%02d", i%serviceCount), Address: address(i), Zone: zone(i),
			Start: startID, State: discovery.StateLive,
		})
	}
	return list
}
