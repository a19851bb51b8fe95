package peer

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/peer/membership"
	"github.com/burdockpitch/burdockpitch/pkg/quarantine"
)

// productionBuild answers Exchange only, like commit 359e21b does.
type productionBuild struct {
	address string
	crashes chan quarantine.Record
}

func (p *productionBuild) Exchange(request, reply *Exchange) error {
	for _, r := range request.Crashes {
		p.crashes <- r
	}
	*reply = Exchange{Self: p.address, Start: "old", Zone: "a"}
	return nil
}

func startProductionBuild(t *testing.T) *productionBuild {
	l, err := net.Listen("tcp", "127.0.0.2:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &productionBuild{address: l.Addr().String(), crashes: make(chan quarantine.Record, 100)}
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName("Peer", p))
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go server.ServeCodec(newCodec(conn, maxRequestSize))
		}
	}()
	return p
}

func receive(t *testing.T, records chan quarantine.Record, content uint64) {
	t.Helper()
	timeout := time.After(waitTimeout)
	for {
		select {
		case r := <-records:
			if r.Content == content {
				return
			}
		case <-timeout:
			require.Fail(t, "record was not received", "content %d", content)
		}
	}
}

// Guards against crashes that an instance of the production build never learns of during a rolling replacement, because it
// lacks Peer.ReportCrashes, and against calls of the missing method with every report.
func TestCrashesReachProductionBuild(t *testing.T) {
	old := startProductionBuild(t)
	n := startNode(t, "127.0.0.1", old.address)
	n.SetInstanceList(context.Background(), membership.InstanceListReceived{Instances: []membership.Process{{Address: old.address, Zone: "a"}}})
	requireContact(t, []*testNode{n, n})
	for content := range uint64(3) {
		f := quarantine.Fingerprint{Content: content + 1, Caller: 1}
		n.crashes.RecordCrash(f, "t1", 0)
		n.crashes.RecordEnd(f)
		receive(t, old.crashes, f.Content)
	}
	verdict := quarantine.Fingerprint{Content: 4, Caller: 1}
	for _, target := range []string{"t1", "t2", "t3"} {
		n.crashes.RecordCrash(verdict, target, 0)
	}
	receive(t, old.crashes, verdict.Content)
	calls := n.metrics.traffic.messages.WithLabelValues("crashes", "out", "own")
	require.Equal(t, 1.0, testutil.ToFloat64(calls), "of the missing method")

	n.reports.forgetOldBuild(old.address, "next start")
	require.False(t, n.reports.isOldBuild(old.address))
}
