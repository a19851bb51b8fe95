// Package gateway is the caller side of an entry instance: it turns HTTP requests into events for the reducer and
// performs the reducer's effects.
//
// It decides nothing about targets, retries or refusals; those decisions are made in package core.
package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/platform"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Config configures the caller side.
type Config struct {
	// Policy applies to each service.
	Policy core.Policy
	// Target configures the connections to targets.
	Target target.Config
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	cfg     Config
	clock   clock
	clients *clients
	metrics *Metrics
	log     logr.Logger
	table   atomic.Pointer[rules.Table]
	lastID  atomic.Uint64

	mu      sync.Mutex
	engines map[string]*engine
}

// New returns a gateway without rules and targets.
func New(cfg Config, m *Metrics, log logr.Logger) *Gateway {
	g := &Gateway{
		cfg: cfg, clock: newClock(), clients: newClients(cfg.Target), metrics: m, log: log,
		engines: make(map[string]*engine),
	}
	g.table.Store(rules.NewTable(nil))
	return g
}

// SetDocuments puts new rules in force for requests that arrive from now on.
func (g *Gateway) SetDocuments(docs []*rules.Document) { g.table.Store(rules.NewTable(docs)) }

// SetInstances replaces the targets of each service.
func (g *Gateway) SetInstances(list platform.InstanceList) {
	byService := make(map[string][]core.Target)
	keep := make(map[core.TargetID]bool)
	for _, i := range list.Instances {
		if i.Service == platform.ServiceEntry {
			continue
		}
		t := core.Target{
			ID: core.TargetID(i.Address), Zone: core.Zone(i.Zone), Start: i.Start,
			Leaving: i.State == platform.StateLeaving,
		}
		byService[i.Service] = append(byService[i.Service], t)
		keep[t.ID] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for name := range byService {
		g.engineLocked(name)
	}
	for name, e := range g.engines {
		e.dispatch(core.TargetsChanged{Targets: byService[name]})
	}
	g.clients.retain(keep)
}

func (g *Gateway) engine(name string) *engine {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.engineLocked(name)
}

func (g *Gateway) engineLocked(name string) *engine {
	e := g.engines[name]
	if e == nil {
		e = newEngine(name, g.cfg.Policy, g.clock, g.clients, g.metrics, g.log)
		g.engines[name] = e
	}
	return e
}

// Handler returns the HTTP handler for callers.
func (g *Gateway) Handler() http.Handler {
	r := chi.NewRouter()
	r.Handle("/*", http.HandlerFunc(g.serve))
	return r
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	rule := g.table.Load().Match(r.Method, r.URL.Path)
	if rule == nil {
		reject(w, http.StatusNotFound, "no-rule")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, rule.BodyLimit))
	if err != nil {
		rejectBody(w, err)
		return
	}
	e := g.engine(rule.Service)
	x := e.submit(rule.Class, wire.ParseHops(r.Header), g.attempt(r, rule, body))
	g.await(w, r, e, x)
}

func (g *Gateway) attempt(r *http.Request, rule *rules.Rule, body []byte) target.Attempt {
	limit := rule.Deadline
	if asked, ok := wire.ParseDeadline(r.Header); ok && asked < limit {
		limit = asked
	}
	header := r.Header.Clone()
	removeHopByHop(header)
	wire.StripFromCaller(header)
	header.Set(wire.HeaderHops, strconv.Itoa(wire.ParseHops(r.Header)+1))
	if header.Get(wire.HeaderRequestID) == "" {
		header.Set(wire.HeaderRequestID, strconv.FormatUint(g.lastID.Add(1), 36))
	}
	return target.Attempt{
		Method: r.Method, URL: r.URL, Host: r.Host, Header: header, Body: body, Deadline: time.Now().Add(limit),
	}
}

// await waits for the decision on a request and answers its caller.
func (g *Gateway) await(w http.ResponseWriter, r *http.Request, e *engine, x *exchange) {
	var d decision
	select {
	case d = <-x.decided:
	case <-r.Context().Done():
		e.dispatch(core.CallerLeft{Request: x.id})
		d = <-x.decided
	}
	if d.answer == nil {
		e.metrics.refusals.WithLabelValues(e.name, string(d.refusal.Reason)).Inc()
		writeRefusal(w, d.refusal)
		return
	}
	whole := writeAnswer(w, d.answer)
	d.answer.close()
	e.metrics.requests.WithLabelValues(e.name, x.class.String(), string(wire.OutcomeAnswered)).Inc()
	e.end(x, d.attempt, attemptAnswered(x.id, d.attempt, d.answer, whole))
	if !whole {
		panic(http.ErrAbortHandler) // the caller must see a broken answer, not a clean end
	}
}

func writeRefusal(w http.ResponseWriter, refusal core.Effect) {
	outcome := wire.OutcomeUnknown
	status := http.StatusBadGateway
	if refusal.NotRun {
		outcome = wire.OutcomeNotRun
		status = http.StatusServiceUnavailable
	}
	h := w.Header()
	h.Set(wire.HeaderOutcome, string(outcome))
	h.Set(wire.HeaderReason, string(refusal.Reason))
	h.Set("Retry-After", strconv.Itoa(int((refusal.RetryAfter+time.Second-1)/time.Second)))
	w.WriteHeader(status)
}

// writeAnswer passes the answer on and reports whether all of it was written.
func writeAnswer(w http.ResponseWriter, a *bufferedAnswer) bool {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	removeHopByHop(h)
	wire.StripFromTarget(h)
	h.Set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.first); err != nil {
		return false
	}
	if a.complete {
		return true
	}
	_, err := io.Copy(w, a.Body)
	return err == nil
}

func reject(w http.ResponseWriter, status int, reason core.Reason) {
	w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeNotRun))
	w.Header().Set(wire.HeaderReason, string(reason))
	w.WriteHeader(status)
}

func rejectBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		reject(w, http.StatusRequestEntityTooLarge, "body-too-large")
		return
	}
	reject(w, http.StatusBadRequest, "body-broken")
}
