package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/rpc"
	"os"
	"slices"
	"time"
)

// acceptPause keeps a listener that fails, for example for lack of file descriptors, from spinning.
const acceptPause = 50 * time.Millisecond

func (n *Node) accept(ctx context.Context, l net.Listener) {
	for ctx.Err() == nil {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil {
				n.log.Error(err, "accept peer")
				time.Sleep(acceptPause)
			}
			continue
		}
		n.admit(ctx, conn)
	}
}

// admit starts serving a connection from a known address, and closes all others at once.
func (n *Node) admit(ctx context.Context, conn net.Conn) {
	if !n.allows(conn.RemoteAddr()) {
		n.metrics.dropped.WithLabelValues("unknown-sender").Inc()
		n.log.V(1).Info("peer connection refused", "remote", conn.RemoteAddr().String())
		_ = conn.Close()
		return
	}
	select {
	case n.slots <- struct{}{}:
	default:
		n.metrics.dropped.WithLabelValues("too-many").Inc()
		_ = conn.Close()
		return
	}
	go func() {
		defer func() { <-n.slots }()
		defer conn.Close()
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		defer stop()
		n.serve(ctx, conn)
	}()
}

// serve answers the requests on a connection one after another. Any error ends the connection.
func (n *Node) serve(ctx context.Context, conn net.Conn) {
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &session{node: n, ctx: ctx, remote: conn.RemoteAddr()}); err != nil {
		n.log.Error(err, "register peer service")
		return
	}
	c := newCodec(conn, maxRequest)
	for {
		if err := conn.SetDeadline(time.Now().Add(n.cfg.IdleTimeout + maxFollow)); err != nil {
			return
		}
		err := server.ServeRequest(c)
		if c.failed != nil {
			err = c.failed // rpc.Server reduces errors to text
		}
		if err != nil {
			n.drop(ctx, conn, err)
			return
		}
	}
}

// drop counts why a connection ended. A clean end between requests is no error.
func (n *Node) drop(ctx context.Context, conn net.Conn, err error) {
	if errors.Is(err, io.EOF) || ctx.Err() != nil {
		return
	}
	reason := "malformed"
	var network net.Error
	switch {
	case errors.Is(err, errTooLarge):
		reason = "too-large"
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = "silent"
	case errors.As(err, &network), errors.Is(err, io.ErrUnexpectedEOF):
		reason = "broken"
	}
	n.metrics.dropped.WithLabelValues(reason).Inc()
	n.log.Info("peer connection dropped", "remote", conn.RemoteAddr().String(), "reason", reason, "error", err.Error())
}

// session holds the methods that other instances may call on one connection.
type session struct {
	node   *Node
	ctx    context.Context
	remote net.Addr
}

// Exchange takes the sender's state and returns our own. What is newer at the sender is pulled in the background.
func (s *session) Exchange(theirs *Exchange, reply *Exchange) error {
	if err := sameIP(theirs.Self, s.remote); err != nil {
		return err
	}
	s.node.learn(s.ctx, theirs)
	if len(s.node.newer(theirs.Digest)) > 0 {
		s.node.begin(s.ctx, theirs.Self)
	}
	*reply = s.node.ours()
	reply.Digest = unequal(reply.Digest, theirs.Digest)
	if reply.Fingerprint != theirs.Fingerprint {
		reply.Known = s.node.known()
	}
	return nil
}

// Follow returns what changed in the platform's store.
func (s *session) Follow(request *Follow, reply *Update) error {
	s.node.mu.Lock()
	feed := s.node.feed
	s.node.mu.Unlock()
	if feed == nil {
		reply.Gone = true
		return nil
	}
	return follow(s.ctx, feed, request, reply)
}

// unequal returns the entries of ours that theirs lacks. The sender needs no others, and in a fleet at rest this saves
// half of the traffic.
func unequal(ours, theirs []Entry) []Entry {
	known := make(map[Entry]bool, len(theirs))
	for _, e := range theirs {
		known[e] = true
	}
	return slices.DeleteFunc(ours, func(e Entry) bool { return known[e] })
}

// Pull returns the document of a service.
func (s *session) Pull(request *Pull, reply *Document) error {
	reply.Text = s.node.docs.Text(request.Service)
	return nil
}
