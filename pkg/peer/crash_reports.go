package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/peer/membership"
	"github.com/burdockpitch/burdockpitch/pkg/quarantine"
	"github.com/burdockpitch/burdockpitch/pkg/quarantine/distribution"
)

const reportCrashesMethod = "Peer.ReportCrashes"

// crashReports is the distribution of crash records to other instances.
type crashReports struct {
	timer *time.Timer

	mu    sync.Mutex
	state *distribution.State
	// oldBuilds holds the start IDs, by address, of instances that lack Peer.ReportCrashes and get records by Exchange.
	oldBuilds map[string]string
}

func newCrashReports(cfg Config) *crashReports {
	return &crashReports{
		timer: time.NewTimer(time.Hour), state: distribution.New(distribution.Config{Self: cfg.Self, Zone: cfg.Zone}),
		oldBuilds: make(map[string]string),
	}
}

// forgetOldBuild records the start of an instance, which may be another build than before.
func (c *crashReports) forgetOldBuild(address, start string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.oldBuilds[address] != start {
		delete(c.oldBuilds, address)
	}
}

func (c *crashReports) isOldBuild(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, old := c.oldBuilds[address]
	return old
}

// distributeChanges passes the changes of crash records to the distribution.
func (n *Node) distributeChanges(ctx context.Context) {
	for _, e := range n.crashes.TakeChanges() {
		switch e.Kind {
		case quarantine.SuspicionDue:
			n.distribute(ctx, distribution.SuspicionDue{Content: e.Content, Urgent: e.Urgent})
		case quarantine.VerdictChanged:
			n.distribute(ctx, distribution.VerdictChanged{Content: e.Content, Learned: e.Learned, Withheld: e.Withheld})
		}
	}
}

// distribute applies one event to the distribution and performs the resulting effects.
func (n *Node) distribute(ctx context.Context, ev distribution.Event) {
	n.mu.Lock()
	now := time.Since(n.startTime)
	members := toMembers(n.state.ReachablePeers(now))
	n.mu.Unlock()
	n.reports.mu.Lock()
	effects := n.reports.state.Reduce(distribution.Input{Now: now, Members: members, Event: ev}, nil)
	n.reports.mu.Unlock()
	for _, e := range effects {
		switch e.Kind {
		case distribution.SendReport:
			go n.sendReport(ctx, e)
		case distribution.SetTimer:
			n.reports.timer.Reset(max(e.At-time.Since(n.startTime), 0))
		}
	}
}

func toMembers(peers []membership.Peer) []distribution.Member {
	list := make([]distribution.Member, len(peers))
	for i, p := range peers {
		list[i] = distribution.Member{Address: p.Address, Zone: p.Zone}
	}
	return list
}

// sendReport sends records to another instance and reports the end to the distribution. A failure is also reported to the
// membership, so that another instance takes the place of that one.
func (n *Node) sendReport(ctx context.Context, e distribution.Effect) {
	address := e.Member.Address
	result := distribution.Failed
	defer func() {
		if ctx.Err() == nil {
			n.distribute(ctx, distribution.ReportEnded{
				Address: address, Zone: e.Member.Zone, Suspicions: e.Suspicions, Verdicts: e.Verdicts, Result: result,
			})
		}
	}()
	defer n.recoverPanic("report crashes", address)
	records := n.crashes.RecordsOf(append(e.Verdicts[:len(e.Verdicts):len(e.Verdicts)], e.Suspicions...))
	if len(records) == 0 {
		result = distribution.Delivered // they have been removed meanwhile
		return
	}
	result, err := n.deliverRecords(ctx, address, records)
	if err == nil {
		n.metrics.contacts.WithLabelValues("ok").Inc()
		return
	}
	if ctx.Err() != nil {
		return
	}
	n.metrics.contacts.WithLabelValues("failed").Inc()
	n.log.V(1).Info("crash report failed", "peer", address, "error", err.Error())
	n.dispatch(ctx, membership.ContactFailed{Address: address})
}

func (n *Node) deliverRecords(ctx context.Context, address string, records []quarantine.Record) (distribution.Result, error) {
	if !n.reports.isOldBuild(address) {
		err := n.reportCrashes(ctx, address, records)
		if !isUnknownMethod(err) {
			return resultOf(err, distribution.Delivered), err
		}
	}
	err := n.exchangeRecords(ctx, address, records)
	return resultOf(err, distribution.DeliveredToOldBuild), err
}

func resultOf(err error, delivered distribution.Result) distribution.Result {
	if err != nil {
		return distribution.Failed
	}
	return delivered
}

// isUnknownMethod reports whether an instance lacks the called method.
func isUnknownMethod(err error) bool {
	var serverError rpc.ServerError
	return errors.As(err, &serverError) && strings.HasPrefix(string(serverError), "rpc: can't find method")
}

// reportCrashes calls Peer.ReportCrashes of another instance and merges the records in its reply.
func (n *Node) reportCrashes(ctx context.Context, address string, records []quarantine.Record) error {
	request, reply := &CrashReport{Self: n.cfg.Self, Start: n.startID, Zone: n.cfg.Zone, Records: records}, &CrashReply{}
	err := n.withConnection(ctx, address, func(conn net.Conn, client *rpc.Client) error {
		return n.call(conn, client, reportCrashesMethod, request, reply)
	})
	if isUnknownMethod(err) {
		n.mu.Lock()
		start := n.state.StartOf(address)
		n.mu.Unlock()
		n.reports.mu.Lock()
		n.reports.oldBuilds[address] = start
		n.reports.mu.Unlock()
	}
	if err == nil && len(reply.Records) > 0 {
		n.crashes.Merge(reply.Records)
	}
	return err
}

// ReportCrashes merges the records of a report and replies with the merged ones as far as they differ.
func (s *peerService) ReportCrashes(report *CrashReport, reply *CrashReply) error {
	if err := checkSenderIP(report.Self, s.remote); err != nil {
		return err
	}
	s.node.applyExchange(s.ctx, &Exchange{Self: report.Self, Start: report.Start, Zone: report.Zone, Crashes: report.Records})
	reply.Records = s.node.crashes.MissingFrom(report.Records)
	return nil
}
