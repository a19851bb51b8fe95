package httpserver

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the Prometheus metrics of the servers of an instance.
type Metrics struct {
	open  *prometheus.GaugeVec
	ended *prometheus.CounterVec
}

// NewMetrics registers the metrics with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		open: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "burdockpitch", Name: "client_connections", Help: "Open connections of clients, by listener.",
		}, []string{"listener"}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "burdockpitch", Name: "client_connections_ended_total",
			Help: "Connections that were ended because of a limit on clients, by listener and reason.",
		}, []string{"listener", "reason"}),
	}
	reg.MustRegister(m.open, m.ended)
	return m
}

func (m *Metrics) setOpen(listener string, n int) {
	if m != nil {
		m.open.WithLabelValues(listener).Set(float64(n))
	}
}

// count counts a request that was refused, or a connection that was closed.
func (s *Server) count(reason Reason) {
	if m := s.cfg.Metrics; m != nil {
		m.ended.WithLabelValues(s.cfg.Listener, string(reason)).Inc()
	}
}
