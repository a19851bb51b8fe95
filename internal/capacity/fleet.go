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
	services  = 36 // of the design scale
	maxSigns  = 200
	startID   = "1z141z3z5k2mn" // as long as a random start id
	frameSize = 4               // bytes before each peer message
)

func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:8080", 1+i/65536, i/256%256, i%256) }

func zone(i int) string { return string(rune('a' + i%6)) }

// targets measures core.Service: its memory and the step that takes a new list.
func targets(w io.Writer) error {
	head(w, "One service", "targets", "memory", "per target", "new list")
	for _, n := range []int{31, 275, 550, 1100} {
		list := make([]core.Target, n)
		for i := range list {
			list[i] = core.Target{ID: core.TargetID(address(i)), Zone: core.Zone(zone(i)), Start: startID}
		}
		var s *core.Service
		bytes := heap(func() any {
			s = core.NewService(core.DefaultPolicy())
			s.Reduce(core.Input{Event: core.TargetsChanged{Targets: list}}, nil)
			return s
		})
		step := median(func() { s.Reduce(core.Input{Event: core.TargetsChanged{Targets: list}}, nil) })
		row(w, cells(n, fmt.Sprintf("%d B", bytes), fmt.Sprintf("%d B", bytes/int64(n)), micros(step)))
	}
	return nil
}

// counter counts the bytes written to it.
type counter int

func (c *counter) Write(p []byte) (int, error) {
	*c += counter(len(p))
	return len(p), nil
}

// message returns the size of a peer message with its frame. Each frame is a gob stream of its own.
func message(header any, x peer.Exchange) (int, error) {
	size := counter(frameSize)
	enc := gob.NewEncoder(&size)
	if err := enc.Encode(header); err != nil {
		return 0, err
	}
	err := enc.Encode(x)
	return int(size), err
}

// exchanges measures the messages between entry instances.
func exchanges(w io.Writer) error {
	head(w, "Peer exchange", "documents", "leaving signs", "request", "reply at rest")
	cases := [][2]int{{1, 0}, {12, 0}, {24, 0}, {services, 0}, {services, 50}, {services, 100}, {services, maxSigns}, {services, 1100}}
	for _, c := range cases {
		x := exchange(c[0], c[1])
		request, err := message(rpc.Request{ServiceMethod: "Peer.Exchange", Seq: 1}, x)
		if err != nil {
			return err
		}
		x.Digest = nil
		reply, err := message(rpc.Response{ServiceMethod: "Peer.Exchange", Seq: 1}, x)
		if err != nil {
			return err
		}
		row(w, cells(c[0], c[1], fmt.Sprintf("%d B", request), fmt.Sprintf("%d B", reply)))
	}
	return nil
}

func exchange(docs, signs int) peer.Exchange {
	x := peer.Exchange{Self: address(0), Start: startID, Zone: "a"}
	for i := range docs {
		e := peer.Entry{Service: fmt.Sprintf("service-%02d", i), Epoch: 3, Revision: 20000, Hash: 1<<63 + uint64(i)}
		x.Digest = append(x.Digest, e)
	}
	for i := range signs {
		x.Leaving = append(x.Leaving, membership.Sign{Target: address(i), Start: startID})
	}
	return x
}

// members measures the membership: its memory and one round.
func members(w io.Writer) error {
	head(w, "Membership", "entry instances", "memory", "per instance", "round")
	for _, n := range []int{14, 50, 100, 200} {
		var listed membership.InstanceListReceived
		for i := range n {
			listed.Instances = append(listed.Instances, membership.Process{Address: address(i), Zone: zone(i), Start: startID})
		}
		var s *membership.State
		bytes := heap(func() any {
			s = membership.New(membership.Config{Self: address(n), Start: startID, Zone: "a"})
			s.Reduce(membership.Input{Event: listed}, nil)
			return s
		})
		round := median(func() { s.Reduce(membership.Input{Now: time.Second, Event: membership.RoundStarted{}}, nil) })
		row(w, cells(n, fmt.Sprintf("%d B", bytes), fmt.Sprintf("%d B", bytes/int64(n)), micros(round)))
	}
	return nil
}

// lists measures the instance list and the index: their size, and what the gateway does with a new list and once a
// second.
func lists(w io.Writer) error {
	head(w, "Instance list in 36 services", "targets", "list", "compressed by gzip", "decode", "memory of the gateway", "apply", "look at all targets")
	for _, n := range []int{275, 550, 1100} {
		list := instances(n)
		text, err := json.Marshal(list)
		if err != nil {
			return err
		}
		compressed, err := gzipSize(text)
		if err != nil {
			return err
		}
		decode := median(func() { _ = json.Unmarshal(text, &discovery.InstanceList{}) })
		var g *gateway.Gateway
		bytes := heap(func() any {
			cfg := gateway.Config{Policy: core.DefaultPolicy(), Target: target.DefaultConfig()}
			g = gateway.New(cfg, gateway.NewMetrics(prometheus.NewRegistry()), logr.Discard())
			g.SetTargets(list)
			return g
		})
		apply := median(func() { g.SetTargets(list) })
		look := median(func() { g.Status() })
		row(w, cells(n, fmt.Sprintf("%d B", len(text)), fmt.Sprintf("%d B", compressed), micros(decode),
			fmt.Sprintf("%d B", bytes), micros(apply), micros(look)))
	}
	head(w, "Index", "documents", "size")
	for _, n := range []int{12, 24, services} {
		index := discovery.Index{Sequence: 20000}
		for i := range n {
			e := discovery.IndexEntry{Service: fmt.Sprintf("service-%02d", i), Epoch: 3, Revision: 20000, Hash: "0123456789abcdef"}
			index.Entries = append(index.Entries, e)
		}
		text, err := json.Marshal(index)
		if err != nil {
			return err
		}
		row(w, cells(n, fmt.Sprintf("%d B", len(text))))
	}
	return nil
}

func instances(n int) discovery.InstanceList {
	list := discovery.InstanceList{Sequence: 20000}
	for i := range n {
		list.Instances = append(list.Instances, discovery.Instance{
			Service: fmt.Sprintf("service-%02d", i%services), Address: address(i), Zone: zone(i),
			Start: startID, State: discovery.StateLive,
		})
	}
	return list
}
