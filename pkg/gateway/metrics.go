package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

// Metrics are the counters of the caller side.
type Metrics struct {
	requests  *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	retries   *prometheus.CounterVec
	hedges    *prometheus.CounterVec
	ejections *prometheus.CounterVec
	probes    *prometheus.CounterVec
	denied    *prometheus.CounterVec
	aborted   prometheus.Counter
}

// NewMetrics registers the counters with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "burdockpitch", Name: name, Help: help}, labels)
		reg.MustRegister(c)
		return c
	}
	m := &Metrics{
		requests:  counter("requests_total", "Requests by service, class and outcome.", "service", "class", "outcome"),
		refusals:  counter("refusals_total", "Refused requests by reason.", "service", "reason"),
		attempts:  counter("attempts_total", "Attempts by outcome and reason.", "service", "outcome", "reason"),
		retries:   counter("retries_total", "Attempts after the first by reason.", "service", "reason"),
		hedges:    counter("hedges_total", "Hedged attempts by reason.", "service", "reason"),
		probes:    counter("probes_total", "Probes of targets by result.", "service", "result"),
		ejections: counter("ejections_total", "Ejected targets by reason.", "service", "reason"),
		denied:    counter("budget_denied_total", "Retries, hedges and probes denied by their budget.", "service", "reason"),
	}
	m.aborted = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "burdockpitch", Name: "stop_aborted_requests_total", Help: "Requests cut by the limit of a graceful stop.",
	})
	reg.MustRegister(m.aborted)
	for _, r := range rejections {
		m.refusals.WithLabelValues("", string(r.reason))
	}
	return m
}

func (m *Metrics) count(service string, effect core.Effect) {
	switch effect.Kind {
	case core.CountRetry:
		m.retries.WithLabelValues(service, string(effect.Reason)).Inc()
	case core.CountHedge:
		m.hedges.WithLabelValues(service, string(effect.Reason)).Inc()
	case core.CountEjection:
		m.ejections.WithLabelValues(service, string(effect.Reason)).Inc()
	case core.CountDenied:
		m.denied.WithLabelValues(service, string(effect.Reason)).Inc()
	}
}
