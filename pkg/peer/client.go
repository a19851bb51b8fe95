package peer

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/peer/membership"
	"github.com/burdockpitch/burdockpitch/pkg/quarantine"
)

// contactPeer exchanges state with another instance and pulls its newer documents. A failure is reported to the
// membership, unless ctx has ended.
func (n *Node) contactPeer(ctx context.Context, address string) {
	err := n.exchangeAndPull(ctx, address)
	if err == nil {
		n.metrics.contacts.WithLabelValues("ok").Inc()
		n.firstExchangeOnce.Do(func() { close(n.firstExchange) })
		return
	}
	if ctx.Err() != nil {
		return
	}
	n.metrics.contacts.WithLabelValues("failed").Inc()
	n.log.V(1).Info("peer contact failed", "peer", address, "error", err.Error())
	n.dispatch(ctx, membership.ContactFailed{Address: address})
}

func (n *Node) exchangeAndPull(ctx context.Context, address string) error {
	return n.exchangeRecords(ctx, address, n.crashes.RecentVerdicts())
}

// exchangeRecords exchanges state with another instance, which also gets crash records, and pulls its newer documents.
func (n *Node) exchangeRecords(ctx context.Context, address string, records []quarantine.Record) error {
	return n.withConnection(ctx, address, func(conn net.Conn, client *rpc.Client) error {
		return n.exchangeOn(ctx, conn, client, address, records)
	})
}

func (n *Node) exchangeOn(ctx context.Context, conn net.Conn, client *rpc.Client, address string, records []quarantine.Record) error {
	local, remote := n.localState(), &Exchange{}
	local.Crashes = records
	local.KnownCount, local.NeedsAges = n.contactSummary()
	if err := n.call(conn, client, "Peer.Exchange", &local, remote); err != nil {
		return err
	}
	if err := checkSenderIP(remote.Self, conn.RemoteAddr()); err != nil {
		return err
	}
	n.applyExchange(ctx, remote)
	for _, e := range append(n.newerEntries(remote.Digest), n.conflictingEntries(remote.Digest)...) {
		doc := &Document{}
		if err := n.call(conn, client, "Peer.Pull", &Pull{Service: e.Service, AcceptsCompressed: true}, doc); err != nil {
			return err
		}
		text, err := originalDocument(doc.Text, doc.Compressed)
		if err != nil {
			return eris.Wrapf(err, "document of %s", e.Service)
		}
		if len(text) > 0 {
			n.metrics.pulledDocuments.Inc()
			n.docs.Offer("peer "+address, e.Service, text)
		}
	}
	return nil
}

// withConnection connects to another instance and calls use, during which the connection ends with ctx.
func (n *Node) withConnection(ctx context.Context, address string, use func(net.Conn, *rpc.Client) error) error {
	conn, err := n.dial(ctx, address)
	if err != nil {
		return eris.Wrap(err, "dial")
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	client := rpc.NewClientWithCodec(n.newCountedCodec(conn, MaxMessageSize))
	defer client.Close()
	return use(conn, client)
}

func (n *Node) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: n.cfg.CallTimeout}
	if self, err := netip.ParseAddrPort(n.cfg.Self); err == nil {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(self.Addr(), 0))
	}
	return dialer.DialContext(ctx, "tcp", address)
}

func (n *Node) call(conn net.Conn, client *rpc.Client, method string, request, reply any) error {
	if err := conn.SetDeadline(time.Now().Add(n.cfg.CallTimeout)); err != nil {
		return eris.Wrap(err, "set deadline of peer connection")
	}
	return eris.Wrap(client.Call(method, request, reply), method)
}
