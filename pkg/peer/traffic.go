package peer

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Values of the label "direction" of the traffic metrics.
const (
	directionIn  = "in"
	directionOut = "out"
)

// messageNames maps the methods of net/rpc to values of the label "message" of the traffic metrics. The method is chosen
// by the peer, so that other ones share one value.
var messageNames = map[string]string{
	"Peer.Exchange": "exchange", "Peer.Pull": "pull", "Peer.Follow": "follow", reportCrashesMethod: "crashes",
}

// trafficMetrics counts the frames sent to and received from other instances.
type trafficMetrics struct {
	bytes    *prometheus.CounterVec
	messages *prometheus.CounterVec
}

func newTrafficMetrics(reg prometheus.Registerer) *trafficMetrics {
	labels := []string{"message", "direction", "zone"}
	m := &trafficMetrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "burdockpitch", Name: "peer_bytes_total",
			Help: "Bytes of requests and replies between instances, without those of TCP, by message, direction and zone of the other instance.",
		}, labels),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "burdockpitch", Name: "peer_messages_total",
			Help: "Requests and replies between instances by message, direction and zone of the other instance.",
		}, labels),
	}
	reg.MustRegister(m.bytes, m.messages)
	return m
}

// trafficCounter counts the frames of one connection.
type trafficCounter struct {
	metrics *trafficMetrics
	// zone returns the zone of the other instance: "own", "other" or "unknown".
	zone func() string
}

func (c *trafficCounter) count(method, direction string, size int) {
	if c == nil {
		return
	}
	name, ok := messageNames[method]
	if !ok {
		name = "invalid"
	}
	zone := c.zone()
	c.metrics.bytes.WithLabelValues(name, direction, zone).Add(float64(size))
	c.metrics.messages.WithLabelValues(name, direction, zone).Inc()
}

// trafficCounter returns the counter of a connection to or from another instance.
func (n *Node) trafficCounter(conn net.Conn) *trafficCounter {
	address := conn.RemoteAddr().String()
	return &trafficCounter{metrics: n.metrics.traffic, zone: func() string { return n.zoneLabel(address) }}
}

// zoneLabel returns whether the instance at an address is in the zone of this one.
func (n *Node) zoneLabel(address string) string {
	n.mu.Lock()
	zone := n.state.ZoneOf(address)
	n.mu.Unlock()
	switch zone {
	case "":
		return "unknown"
	case n.cfg.Zone:
		return "own"
	}
	return "other"
}

// newCountedCodec returns a codec that counts its frames.
func (n *Node) newCountedCodec(conn net.Conn, readLimit int) *codec {
	c := newCodec(conn, readLimit)
	c.traffic = n.trafficCounter(conn)
	return c
}
