package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/httpserver"
)

// Metrics holds the Prometheus metrics of a Gateway.
type Metrics struct {
	requests     *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	retries      *prometheus.CounterVec
	hedges       *prometheus.CounterVec
	ejections    *prometheus.CounterVec
	probes       *prometheus.CounterVec
	budgetDenied *prometheus.CounterVec
	leaving      *prometheus.CounterVec
	rateLimits   *prometheus.CounterVec
	warmups      *prometheus.CounterVec
	notAdmitted  *prometheus.CounterVec
	crashes      *prometheus.CounterVec
	relays       *prometheus.CounterVec
	exhausted    *prometheus.CounterVec
	quarantined  prometheus.Gauge
	bodyBytes    prometheus.Gauge
	servers      *httpserver.Metrics
	unbuffered   *prometheus.CounterVec
	unreachable  *prometheus.GaugeVec
	unconnected  *prometheus.CounterVec
	broken       *prometheus.CounterVec
	aborted      prometheus.Counter
	panics       *prometheus.CounterVec

	requestSeconds *prometheus.HistogramVec
	attemptSeconds *prometheus.HistogramVec
}

// latencyBucketsSeconds are the histogram bounds. They range from the latency that an instance adds to the longest
// deadline. Up to 10 s, each is 1.5 to 2.5 times the one before.
var latencyBucketsSeconds = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5, 10, 50}

// NewMetrics registers the metrics with reg and panics if they are registered already. It exports a count of 0 for each
// refusal reason of this package.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "burdockpitch", Name: name, Help: help}, labels)
		reg.MustRegister(c)
		return c
	}
	m := &Metrics{
		requests:     counter("requests_total", "Requests by service, class and outcome.", "service", "class", "outcome"),
		refusals:     counter("refusals_total", "Refused requests by reason.", "service", "reason"),
		attempts:     counter("attempts_total", "Attempts by outcome and reason.", "service", "outcome", "reason"),
		retries:      counter("retries_total", "Attempts after the first by reason.", "service", "reason"),
		hedges:       counter("hedges_total", "Hedged attempts by reason.", "service", "reason"),
		probes:       counter("probes_total", "Probes of targets by result.", "service", "result"),
		ejections:    counter("ejections_total", "Ejected targets by reason.", "service", "reason"),
		panics:       counter("panics_total", "Contained panics by task.", "service", "task"),
		leaving:      counter("leaving_targets_total", "Targets that began to leave by the source of the first signal.", "service", "source"),
		relays:       counter("relays_total", "Requests relayed to other instances by zone and by what became of them.", "service", "zone", "result"),
		exhausted:    counter("relays_exhausted_total", "Requests that no further instance was asked to serve.", "service"),
		broken:       counter("broken_responses_total", "Attempts and probes that found no whole response, by cause.", "service", "cause"),
		unconnected:  counter("failed_connects_total", "Attempts and probes without a connection to their target.", "service", "cause"),
		crashes:      counter("target_crashes_total", "Attempts that a target broke off, after which it refused connections.", "service"),
		unbuffered:   counter("unbuffered_responses_total", "Responses passed on without a buffer for lack of memory.", "service"),
		rateLimits:   counter("rate_limit_changes_total", "Changes of the request rate that a target accepts.", "service"),
		warmups:      counter("warmup_changes_total", "Changes of targets to cold or warm.", "service", "state"),
		notAdmitted:  counter("warmup_not_admitted_total", "Requests that a cold target did not admit.", "service"),
		budgetDenied: counter("budget_denied_total", "Retries, hedges and probes denied by their budget.", "service", "reason"),
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "burdockpitch", Name: name, Help: help, Buckets: latencyBucketsSeconds,
		}, labels)
		reg.MustRegister(h)
		return h
	}
	m.requestSeconds = histogram("request_duration_seconds", "Time from the arrival of a request to the end of its answer.", "service", "outcome")
	m.attemptSeconds = histogram("attempt_duration_seconds", "Time from the choice of a target to the end of the attempt.", "service", "outcome")
	m.aborted = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "burdockpitch", Name: "stop_aborted_requests_total", Help: "Requests cut by the limit of a graceful stop.",
	})
	m.quarantined = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "burdockpitch", Name: "quarantined_requests", Help: "Requests that are withheld because targets crash when they run them.",
	})
	m.bodyBytes = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "burdockpitch", Name: "body_memory_bytes", Help: "Memory reserved for request bodies and buffered responses.",
	})
	m.unreachable = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: "burdockpitch", Name: "targets_unreachable", Help: "1 while this instance can connect to no target of the service.",
	}, []string{"service"})
	m.servers = httpserver.NewMetrics(reg)
	reg.MustRegister(m.aborted, m.quarantined, m.bodyBytes, m.unreachable)
	for _, r := range rejections {
		m.refusals.WithLabelValues("", string(r.reason))
	}
	return m
}

func (m *Metrics) recordEffect(service string, effect core.Effect) {
	switch effect.Kind {
	case core.CountRetry:
		m.retries.WithLabelValues(service, string(effect.Reason)).Inc()
	case core.CountHedge:
		m.hedges.WithLabelValues(service, string(effect.Reason)).Inc()
	case core.CountEjection:
		m.ejections.WithLabelValues(service, string(effect.Reason)).Inc()
	case core.CountDenied:
		switch effect.Reason {
		case core.ReasonWarmup:
			m.notAdmitted.WithLabelValues(service).Inc()
		case core.ReasonRelaysExhausted:
			m.exhausted.WithLabelValues(service).Inc()
		default:
			m.budgetDenied.WithLabelValues(service, string(effect.Reason)).Inc()
		}
	case core.ReportReachability:
		unreachable := 0.0
		if effect.Unreachable {
			unreachable = 1
		}
		m.unreachable.WithLabelValues(service).Set(unreachable)
	case core.ReportWarmup:
		state := "warm"
		if effect.Warmup > 0 {
			state = "cold"
		}
		m.warmups.WithLabelValues(service, state).Inc()
	case core.ReportRateLimit:
		m.rateLimits.WithLabelValues(service).Inc()
	case core.CountLeaving:
		m.leaving.WithLabelValues(service, string(effect.Reason)).Inc()
	}
}
