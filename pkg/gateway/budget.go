package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

var budgetDesc = prometheus.NewDesc("burdockpitch_budget_window",
	"Requests, retries and hedges of the last 10 s, and the retries that the budget allows for them.", []string{"service", "kind"}, nil)

// NewBudgetCollector returns a collector of the gauges of the retry budget, by service and kind.
func (g *Gateway) NewBudgetCollector() prometheus.Collector { return budgetCollector{g} }

type budgetCollector struct{ gateway *Gateway }

// Describe implements prometheus.Collector.
func (budgetCollector) Describe(ch chan<- *prometheus.Desc) { ch <- budgetDesc }

// Collect implements prometheus.Collector.
func (c budgetCollector) Collect(ch chan<- prometheus.Metric) {
	for service, view := range c.gateway.Status() {
		for kind, value := range budgetValues(view.Budgets) {
			ch <- prometheus.MustNewConstMetric(budgetDesc, prometheus.GaugeValue, float64(value), service, kind)
		}
	}
}

func budgetValues(b core.BudgetView) map[string]int {
	return map[string]int{"requests": b.Requests, "retries": b.Retries, "hedges": b.Hedges, "limit": b.RetryLimit}
}
