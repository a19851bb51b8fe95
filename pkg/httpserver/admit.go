package httpserver

import (
	"net"
	"time"
)

// surplusDivisor bounds the evicted connections that http.Server has not closed yet, as a part of Config.MaxConnections.
const surplusDivisor = 8

// limitReportInterval is the shortest time between two lines of the log that say that the bound on connections was reached.
const limitReportInterval = time.Minute

// limitedListener accepts connections within the bound of its server.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. It closes connections that the server does not admit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := newConn(c, l.server)
		if l.server.admit(conn) {
			conn.limitsChanged() // sets the deadline of the first head
			return conn, nil
		}
		l.server.count(ReasonConnectionLimit)
		_ = c.Close()
	}
}

// admit adds a connection. At the bound, it evicts another one for it. It returns false if the new connection has to be
// closed: all connections are in use, or too many evicted ones are still open.
func (s *Server) admit(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := s.cfg.MaxConnections
	admitted := true
	if most > 0 && len(s.conns)-s.evicted >= most {
		s.reportLimit()
		admitted = s.evicted <= most/surplusDivisor && s.evictOne()
	}
	if admitted {
		s.conns[c] = struct{}{}
		s.cfg.Metrics.setOpen(s.cfg.Listener, len(s.conns))
	}
	return admitted
}

func (s *Server) reportLimit() {
	if time.Since(s.limitReached) < limitReportInterval {
		return
	}
	s.limitReached = time.Now()
	s.log.Info("connection limit reached, new connections replace those that wait for their clients", "limit", s.cfg.MaxConnections)
}

// evictOne evicts the connection that comes first in the order of evictsBefore. The caller holds the lock.
func (s *Server) evictOne() bool {
	rejected := make(map[*Conn]bool)
	for {
		var first *Conn
		var firstWait wait
		for c := range s.conns {
			w := c.wait()
			if !w.evictable || rejected[c] {
				continue
			}
			if first == nil || w.evictsBefore(firstWait) {
				first, firstWait = c, w
			}
		}
		if first == nil {
			return false
		}
		if first.evict() {
			s.evicted++
			return true
		}
		rejected[first] = true // a request has arrived
	}
}

// wait describes for what and since when a connection waits for its client.
type wait struct {
	evictable bool
	rank      int
	since     time.Time
}

// Ranks of waits, in the order in which connections are evicted: those that have not sent a whole head since they were
// opened, or whose request was refused; those that can send their next request on a new connection; and those whose
// request has begun.
const (
	rankUnproven = iota
	rankIdle
	rankBegun
)

func (w wait) evictsBefore(other wait) bool {
	if w.rank != other.rank {
		return w.rank < other.rank
	}
	return w.since.Before(other.since)
}

func (c *Conn) wait() wait {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := wait{evictable: !c.evicted && !c.ended && c.phase != phaseServing, since: c.since}
	switch {
	case c.phase == phaseRefused || !c.served:
		w.rank = rankUnproven
	case c.phase == phaseIdle:
		w.rank = rankIdle
	default:
		w.rank = rankBegun
	}
	return w
}

// remove removes a connection that http.Server is done with.
func (s *Server) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.conns[c]; !open {
		return
	}
	delete(s.conns, c)
	c.mu.Lock()
	if c.evicted {
		s.evicted--
	}
	c.mu.Unlock()
	s.cfg.Metrics.setOpen(s.cfg.Listener, len(s.conns))
}
