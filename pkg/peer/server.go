package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"os"
	"runtime/debug"
	"slices"
	"time"
)

// acceptRetryDelay keeps the accept loop from spinning while Accept fails, for example for lack of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

func (n *Node) acceptLoop(ctx context.Context, l net.Listener) {
	for ctx.Err() == nil {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil {
				n.log.Error(err, "cannot accept peer connection")
				time.Sleep(acceptRetryDelay)
			}
			continue
		}
		n.handleConnection(ctx, conn)
	}
}

// handleConnection serves a connection in the background. It closes one from an unknown address at once. At the limit, it
// closes either the new connection or the one that it replaces.
func (n *Node) handleConnection(ctx context.Context, conn net.Conn) {
	if !n.isAllowed(conn.RemoteAddr()) {
		n.metrics.droppedConnections.WithLabelValues("unknown-sender").Inc()
		n.log.V(1).Info("peer connection from unknown address refused", "remote", conn.RemoteAddr().String())
		_ = conn.Close()
		return
	}
	replaced, ok := n.connections.add(conn)
	if !ok {
		replaced = conn
	}
	if replaced != nil {
		n.metrics.droppedConnections.WithLabelValues("too-many").Inc()
		_ = replaced.Close()
	}
	if !ok {
		return
	}
	go func() {
		defer n.recoverPanic("serve peer", conn.RemoteAddr().String())
		relay := n.isRelay(conn)
		if relay && n.relays != nil {
			n.connections.remove(conn, false)
			n.relays.pass(conn)
			return
		}
		defer conn.Close()
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		defer stop()
		n.serveConnection(ctx, conn)
	}()
}

// recoverPanic ends a panic in a task for one peer, so that a message that triggers a defect costs one connection and
// not the process. It must be deferred.
func (n *Node) recoverPanic(task, peer string) {
	if cause := recover(); cause != nil {
		n.metrics.panics.WithLabelValues(task).Inc()
		n.log.Info("panic contained", "task", task, "peer", peer, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	}
}

// serveConnection handles the requests on a connection one after another. Any error ends the connection.
func (n *Node) serveConnection(ctx context.Context, conn net.Conn) {
	proven := false
	defer func() { n.connections.remove(conn, proven) }()
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &peerService{node: n, ctx: ctx, remote: conn.RemoteAddr()}); err != nil {
		n.log.Error(err, "cannot register peer service")
		return
	}
	c := n.newCountedCodec(conn, maxRequestSize)
	c.onRequest = func() error {
		if !proven && !n.connections.prove(conn) {
			return net.ErrClosed
		}
		proven = true
		return nil
	}
	for {
		if err := conn.SetDeadline(time.Now().Add(n.cfg.IdleTimeout + maxFollowWait)); err != nil {
			return
		}
		err := server.ServeRequest(c)
		if c.firstErr != nil {
			err = c.firstErr // rpc.Server keeps only the text of an error
		}
		if err != nil {
			n.recordDrop(ctx, conn, err)
			return
		}
	}
}

// recordDrop counts and logs why a connection ended. A clean end between requests is not an error.
func (n *Node) recordDrop(ctx context.Context, conn net.Conn, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
		return
	}
	reason := "malformed"
	var netErr net.Error
	switch {
	case errors.Is(err, errTooLarge):
		reason = "too-large"
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = "silent"
	case errors.As(err, &netErr), errors.Is(err, io.ErrUnexpectedEOF):
		reason = "broken"
	}
	n.metrics.droppedConnections.WithLabelValues(reason).Inc()
	n.log.Info("peer connection dropped", "remote", conn.RemoteAddr().String(), "reason", reason, "error", err.Error())
}

// peerService holds the methods that a peer may call on one connection.
type peerService struct {
	node   *Node
	ctx    context.Context
	remote net.Addr
}

// Exchange applies the sender's state and replies with the local one. Newer documents of the sender are pulled in the
// background.
func (s *peerService) Exchange(remote *Exchange, reply *Exchange) error {
	if err := checkSenderIP(remote.Self, s.remote); err != nil {
		return err
	}
	s.node.applyExchange(s.ctx, remote)
	if len(s.node.newerEntries(remote.Digest)) > 0 {
		s.node.startContact(s.ctx, remote.Self)
	}
	*reply = s.node.localState()
	reply.Digest = without(reply.Digest, remote.Digest)
	reply.Leaving = without(reply.Leaving, remote.Leaving)
	if reply.Fingerprint != remote.Fingerprint {
		reply.Known = s.node.knownFor(remote)
	} else if remote.NeedsAges {
		reply.Ages = s.node.ages()
	}
	if reply.CrashDigest != remote.CrashDigest {
		reply.Crashes = s.node.crashes.VerdictRecords()
	}
	return nil
}

// Follow replies with changes of the platform's store, or with Gone if there is no feed.
func (s *peerService) Follow(request *Follow, reply *Update) error {
	s.node.mu.Lock()
	feed := s.node.feed
	s.node.mu.Unlock()
	if feed == nil {
		reply.Gone, reply.FeedVersion = true, feedVersion
		return nil
	}
	return s.node.answerFollow(s.ctx, feed, request, reply)
}

// EndedOrders replies with the orders that have ended as far as this instance knows.
func (s *peerService) EndedOrders(request *OrderVersions, reply *OrderVersions) error {
	s.node.mu.Lock()
	feed := s.node.feed
	s.node.mu.Unlock()
	if feed != nil {
		reply.Orders = feed.EndedOrders(request.Orders)
	}
	return nil
}

// without returns the elements of list that are not in exclude. It modifies list in place. Omitting from a reply what the
// request already lists saves half of the traffic while nothing changes.
func without[T comparable](list, exclude []T) []T {
	excluded := make(map[T]bool, len(exclude))
	for _, e := range exclude {
		excluded[e] = true
	}
	return slices.DeleteFunc(list, func(e T) bool { return excluded[e] })
}

// Pull replies with the document of a service.
func (s *peerService) Pull(request *Pull, reply *Document) error {
	reply.Text = s.node.docs.Text(request.Service)
	if request.AcceptsCompressed {
		reply.Text, reply.Compressed = s.node.compressor.compress(reply.Text)
	}
	return nil
}
