// Package admin serves the administration API, readiness and metrics of an entry instance.
//
// It only reads. A change made here would be forgotten when the instance is replaced, so operators publish changes
// through the platform.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// Source gives the API its content. Implementations are safe for concurrent use.
type Source interface {
	// Ready returns nil when the instance may receive callers.
	Ready() error
	// Configuration lists the documents in force.
	Configuration() []ConfigurationEntry
}

// ConfigurationEntry is one document in force.
type ConfigurationEntry struct {
	Service string `json:"service"`
	rules.Version
	// Rules is the number of rules in the document.
	Rules int `json:"rules"`
}

// NewHandler returns the handler of the administration API.
func NewHandler(src Source, gatherer prometheus.Gatherer) http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/health", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, state{"ok"}) })
	r.Get("/v1/ready", func(w http.ResponseWriter, _ *http.Request) { ready(w, src) })
	r.Get("/v1/configuration", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, src.Configuration()) })
	r.Handle("/metrics", promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{}))
	return r
}

type state struct {
	State string `json:"state"`
}

func ready(w http.ResponseWriter, src Source) {
	if err := src.Ready(); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, state{err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, state{"ready"})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
