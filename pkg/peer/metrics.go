package peer

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of the exchange with other instances.
type Metrics struct {
	contacts           *prometheus.CounterVec
	droppedConnections *prometheus.CounterVec
	pulledDocuments    prometheus.Counter
	fleetSize          prometheus.Gauge
	panics             *prometheus.CounterVec
	traffic            *trafficMetrics
}

// NewMetrics registers the metrics with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	opts := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "burdockpitch", Name: name, Help: help}
	}
	m := &Metrics{
		contacts:           prometheus.NewCounterVec(opts("peer_contacts_total", "Contacts to other instances by result."), []string{"result"}),
		droppedConnections: prometheus.NewCounterVec(opts("peer_dropped_total", "Accepted connections dropped by reason."), []string{"reason"}),
		pulledDocuments:    prometheus.NewCounter(opts("peer_pulled_total", "Documents pulled from other instances.")),
		panics:             prometheus.NewCounterVec(opts("peer_panics_total", "Contained panics by task."), []string{"task"}),
		fleetSize: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "burdockpitch", Name: "fleet_size", Help: "Largest number of entry instances seen in ten minutes.",
		}),
	}
	m.traffic = newTrafficMetrics(reg)
	reg.MustRegister(m.contacts, m.droppedConnections, m.pulledDocuments, m.fleetSize, m.panics)
	return m
}
