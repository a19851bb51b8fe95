// Package admin serves the administration API of an instance, which includes readiness and metrics.
//
// The API is read-only. A change made here would be lost when the instance is replaced, so operators publish changes
// through the platform.
package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/findings"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// Source provides the state that the API reports. Implementations are safe for concurrent use.
type Source interface {
	// Ready returns nil when the instance can take requests, else an error with the reason.
	Ready() error
	// Configuration lists the documents in force, one for each service.
	Configuration() []ConfigurationEntry
	// Refused lists the last refused document of each service, unless a document of the service came into force since.
	Refused() []Refusal
	// Conflicts lists paths and methods for which documents of several services have a rule.
	Conflicts() []rules.Conflict
	// Services returns a snapshot of each service's targets, queues and budgets, keyed by service name.
	Services() map[string]core.View
	// EvacuatedZones lists the availability zones that are evacuated, sorted.
	EvacuatedZones() []string
	// Instances lists the other instances of the load balancer that this one knows of.
	Instances() []Instance
	// Quarantined lists the requests that are withheld because targets crash when they run them.
	Quarantined() []QuarantinedRequest
}

// NewHandler returns the handler of the administration API. Each request reads the current state from src; metrics come
// from gatherer.
func NewHandler(src Source, gatherer prometheus.Gatherer) http.Handler {
	h := handler{src}
	r := chi.NewRouter()
	r.Get(PathHealth, jsonHandler(func() any { return State{"ok"} }))
	r.Get(PathReady, h.ready)
	r.Get(PathConfiguration, jsonHandler(h.configuration))
	r.Get(PathTargets, jsonHandler(h.targets))
	r.Get(PathInstances, jsonHandler(func() any { return Instances{emptyIfNil(src.Instances())} }))
	r.Get(PathBudgets, jsonHandler(h.budgets))
	r.Get(PathQuarantine, jsonHandler(func() any { return Quarantine{emptyIfNil(src.Quarantined())} }))
	r.Post(PathCheck, h.check)
	r.Get(PathMetrics, promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{}).ServeHTTP)
	return r
}

type handler struct{ src Source }

func jsonHandler(content func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, content()) }
}

func (h handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.src.Ready(); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, State{err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, State{"ready"})
}

func (h handler) configuration() any {
	return Configuration{
		InForce: emptyIfNil(h.src.Configuration()), Refused: emptyIfNil(h.src.Refused()), Conflicts: emptyIfNil(h.src.Conflicts()),
	}
}

func (h handler) targets() any {
	views := h.src.Services()
	list := Targets{EvacuatedZones: h.src.EvacuatedZones(), Services: []ServiceTargets{}}
	for _, name := range slices.Sorted(maps.Keys(views)) {
		list.Services = append(list.Services, ServiceTargets{
			Service: name, Unreachable: views[name].Unreachable, Targets: emptyIfNil(views[name].Targets),
		})
	}
	return list
}

func (h handler) budgets() any {
	views := h.src.Services()
	list := Budgets{Services: []ServiceBudgets{}}
	for _, name := range slices.Sorted(maps.Keys(views)) {
		v := views[name]
		b := ServiceBudgets{Service: name, BudgetView: v.Budgets, Queued: v.Queued}
		if b.Queued == nil {
			b.Queued = map[string]int{}
		}
		list.Services = append(list.Services, b)
	}
	return list
}

// check validates the rules document in the request body without putting it in force.
func (h handler) check(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, rules.MaxDocumentBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeJSON(w, http.StatusRequestEntityTooLarge, State{fmt.Sprintf("a document has at most %d bytes", rules.MaxDocumentBytes)})
		return
	case err != nil:
		writeJSON(w, http.StatusBadRequest, State{"the request body is not whole"})
		return
	}
	writeJSON(w, http.StatusOK, checkDocument(text, h.src.Configuration()))
}

func checkDocument(text []byte, inForce []ConfigurationEntry) CheckResult {
	doc, err := rules.Parse("rules", text)
	result := CheckResult{
		Valid: err == nil, Service: doc.Service, Version: doc.Version, Rules: len(doc.Rules), Findings: findings.List{}, Notes: []string{},
	}
	if err != nil {
		result.Findings = err.(findings.List)
		return result
	}
	for _, e := range inForce {
		if e.Service == doc.Service {
			result.Notes = append(result.Notes, compareVersions(doc, e.Version)...)
		}
	}
	return result
}

// compareVersions returns notes for the author of doc. One says that instances would ignore doc because its version is
// not higher than inForce. The other says that doc was derived from another version than inForce, so publishing it may
// revert changes made in inForce.
func compareVersions(doc *rules.Document, inForce rules.Version) []string {
	var notes []string
	if !inForce.Less(doc.Version) {
		notes = append(notes, fmt.Sprintf("version %s is not higher than %s in force and would be ignored", doc.Version, inForce))
	}
	if doc.BasedOn != nil && *doc.BasedOn != inForce {
		notes = append(notes, fmt.Sprintf("the document is based on %s, but %s is in force", doc.BasedOn, inForce))
	}
	return notes
}

// emptyIfNil replaces a nil slice by an empty one, so that JSON shows [] and not null.
func emptyIfNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
