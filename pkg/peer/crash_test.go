package peer

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/gateway"
	"github.com/burdockpitch/burdockpitch/pkg/peer/membership"
	"github.com/burdockpitch/burdockpitch/pkg/quarantine"
	"github.com/burdockpitch/burdockpitch/pkg/target"
)

func newCrashRecords() *gateway.Quarantine {
	cfg := gateway.Config{Policy: core.DefaultPolicy(), Target: target.DefaultConfig()}
	return gateway.New(cfg, gateway.NewMetrics(prometheus.NewRegistry()), logr.Discard()).Quarantine()
}

// startListedNodes starts nodes that know each other.
func startListedNodes(t *testing.T, count int) []*testNode {
	var nodes []*testNode
	var list membership.InstanceListReceived
	for i := range count {
		n := startNode(t, fmt.Sprint("127.0.0.", i+1))
		nodes = append(nodes, n)
		list.Instances = append(list.Instances, membership.Process{Address: n.cfg.Self, Zone: "a"})
	}
	for _, n := range nodes {
		n.SetInstanceList(context.Background(), list)
	}
	return nodes
}

// digest is a hash of all records of a node.
func digest(n *testNode) uint64 {
	s := quarantine.New()
	s.Reduce(quarantine.Input{Event: quarantine.RecordsReceived{Records: n.crashes.Records()}}, nil)
	return s.Digest()
}

// requireContact waits until all nodes have exchanged state, since records go to instances in contact.
func requireContact(t *testing.T, nodes []*testNode) {
	t.Helper()
	eventually(t, "contact", func() bool {
		return !slices.ContainsFunc(nodes, func(n *testNode) bool { return len(n.ActiveInstances()) < len(nodes) })
	})
}

func requireSameRecords(t *testing.T, nodes []*testNode, within time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if digest(n) != digest(nodes[0]) {
				return false
			}
		}
		return true
	}, within, 5*time.Millisecond)
}

// Guards against a request that crashes targets through instances that have not seen its crashes, because the records
// are lost on the way or reach an instance that has just started too late.
func TestCrashRecordsReachAllInstances(t *testing.T) {
	nodes := startListedNodes(t, 6)
	requireContact(t, nodes)
	suspect := quarantine.Fingerprint{Content: 1, Caller: 2}
	for i, n := range nodes[:3] {
		n.crashes.RecordCrash(suspect, fmt.Sprint(i), 0)
		n.crashes.RecordEnd(suspect)
	}
	eventually(t, "verdict", func() bool { return len(nodes[5].crashes.VerdictRecords()) > 0 })
	requireSameRecords(t, nodes, waitTimeout)
	require.Len(t, nodes[5].crashes.Records()[0].Crashes, 3)

	second := nodes[0].crashes.Records()[0].Crashes[1]
	second.CallerAcquitted = true
	nodes[0].crashes.Merge([]quarantine.Record{{Content: 1, Crashes: []quarantine.Crash{second}}})
	requireSameRecords(t, nodes, waitTimeout)
	require.True(t, nodes[5].crashes.Records()[0].Crashes[1].CallerAcquitted)

	restarted := startNode(t, "127.0.0.9", nodes[0].cfg.Self)
	for _, n := range nodes {
		n.SetSeeds(context.Background(), []string{restarted.cfg.Self}) // which accepts its connections
	}
	requireSameRecords(t, append(nodes, restarted), waitTimeout)
}

// Guards against a request that peers drop as too large, because many records changed at once.
func TestRecentCrashRecordsFitARequest(t *testing.T) {
	records := newCrashRecords()
	var list []quarantine.Record
	for range quarantine.MaxRecords {
		r := quarantine.Record{Content: rand.Uint64()}
		for range quarantine.MaxCrashes {
			r.Crashes = append(r.Crashes, quarantine.Crash{Target: rand.Uint64(), Caller: rand.Uint64()})
		}
		list = append(list, r)
	}
	records.Merge(list)
	var frame bytes.Buffer
	require.NoError(t, writeFrame(&frame, &rpc.Request{}, &Exchange{Crashes: records.RecentVerdicts()}))
	require.Less(t, frame.Len(), maxRequestSize/2) // lists of documents and leaving signals need the rest
	frame.Reset()
	require.NoError(t, writeFrame(&frame, &rpc.Response{}, &Exchange{Crashes: records.Records()}))
}

// Guards against records of another instance that are too large or malformed.
func TestInvalidCrashRecordsAreRejected(t *testing.T) {
	for name, records := range map[string][]quarantine.Record{
		"too many records":        make([]quarantine.Record, quarantine.MaxRecords+1),
		"too many crashes":        {{Crashes: make([]quarantine.Crash, quarantine.MaxCrashes+1)}},
		"negative age":            {{Age: -1}},
		"negative age of a crash": {{Crashes: []quarantine.Crash{{Age: -1}}}},
	} {
		x := Exchange{Self: "127.0.0.1:1", Start: "1", Crashes: records}
		require.Error(t, x.validate(), name)
		require.Error(t, (&CrashReport{Self: x.Self, Start: x.Start, Records: records}).validate(), name)
		require.Error(t, (&CrashReply{Records: records}).validate(), name)
	}
}
