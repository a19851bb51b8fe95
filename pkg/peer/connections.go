package peer

import (
	"net"
	"sync"
	"time"

	"github.com/burdockpitch/burdockpitch/internal/sockets"
)

// requestWait is how long a connection without a request is kept at the bound. It is several times what a request takes, so
// that of many instances that connect at once those that came first are served.
const requestWait = 100 * time.Millisecond

// connections are the accepted connections of a node. Those that have not made a request yet can come from anywhere: at the
// bound, a new connection replaces one of them. It is safe for concurrent use.
type connections struct {
	most int
	wait time.Duration // of a connection without a request, before it is replaced

	mu       sync.Mutex
	accepted map[net.Conn]acceptedConn // connections without a request
	proven   int                       // connections with a request
}

type acceptedConn struct {
	at time.Time
	ip string // of the other side
}

func newConnections(most int, wait time.Duration) *connections {
	return &connections{most: most, wait: wait, accepted: make(map[net.Conn]acceptedConn)}
}

// add adds a new connection, and returns the one that it replaces, which the caller has to close, or nil. It returns false
// if there is no room.
func (c *connections) add(conn net.Conn) (replaced net.Conn, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	added := acceptedConn{time.Now(), sockets.RemoteIP(conn.RemoteAddr().String())}
	if c.proven+len(c.accepted) >= c.most {
		replaced = c.replaceable(added)
		if replaced == nil {
			return nil, false
		}
		delete(c.accepted, replaced)
	}
	c.accepted[conn] = added
	return replaced, true
}

// replaceable returns the connection that a new one replaces, or nil: the oldest of the address with the most, if the
// address of the new one has fewer, else the oldest if it has had its time.
func (c *connections) replaceable(added acceptedConn) net.Conn {
	byIP := map[string]int{added.ip: 1}
	for _, a := range c.accepted {
		byIP[a.ip]++
	}
	most := 0
	for _, n := range byIP {
		most = max(most, n)
	}
	crowded := most > byIP[added.ip]
	var first net.Conn
	for conn, a := range c.accepted {
		if crowded && byIP[a.ip] < most {
			continue
		}
		if first == nil || a.at.Before(c.accepted[first].at) {
			first = conn
		}
	}
	if first != nil && !crowded && added.at.Sub(c.accepted[first].at) < c.wait {
		return nil
	}
	return first
}

// prove notes the first request on a connection. It returns false if the connection was replaced meanwhile.
func (c *connections) prove(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, waits := c.accepted[conn]; !waits {
		return false
	}
	delete(c.accepted, conn)
	c.proven++
	return true
}

// remove removes a connection that has ended or is served elsewhere, whether it was proven or not.
func (c *connections) remove(conn net.Conn, proven bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if proven {
		c.proven--
	} else {
		delete(c.accepted, conn)
	}
}
