package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Phase names a part of a run, such as the time before a fault.
type Phase string

// The phases of a fault run.
const (
	PhaseWarmUp Phase = "warm-up"
	PhaseBefore Phase = "before"
	PhaseOnset  Phase = "first 2 s"
	PhaseAfter  Phase = "from 2 s"
)

// Stage is a part of the schedule with a constant rate.
type Stage struct {
	Phase Phase
	// Rate is the mean number of requests per second.
	Rate float64
	// Length is the duration of the stage.
	Length time.Duration
	// Begin, if set, is called in its own goroutine when the stage begins.
	Begin func()
}

// Mix gives the share of each class; the shares add up to 1.
type Mix struct{ Lookup, Patient, Once float64 }

// DefaultMix is mostly lookups, with enough bookings for percentiles.
var DefaultMix = Mix{Lookup: 0.6, Patient: 0.2, Once: 0.2}

// LoadConfig configures one run of the load generator.
type LoadConfig struct {
	// Entries are the addresses that requests are spread over at random.
	Entries []string
	// Seed fixes arrival times, classes and the entry of each request.
	Seed uint64
	// Stages are run one after the other.
	Stages []Stage
	// Mix gives the shares of the classes.
	Mix Mix
	// Wait is how long a caller waits for its answer, by class.
	Wait map[core.Class]time.Duration
	// Deadline, if set, is sent with each request. It should be shorter than Wait, so that the answer still arrives.
	Deadline time.Duration
	// Dialect, if set, writes id and deadline of each request in the headers of another platform, and Host is sent with
	// it. What the response says is then read from its status.
	Dialect wire.Dialect
	Host    string
	// Answer returns the body that a request with an id and a body is answered with; nil means the id.
	Answer func(id, body string) string
}

// answer returns the body that the request of an arrival is answered with.
func (c *LoadConfig) answer(a arrival) string {
	if c.Answer == nil {
		return a.id
	}
	body := ""
	if a.class == core.ClassOnce {
		body = a.id
	}
	return c.Answer(a.id, body)
}

// DefaultWait is how long callers wait unless configured.
func DefaultWait() map[core.Class]time.Duration {
	return map[core.Class]time.Duration{
		core.ClassLookup: 2 * time.Second, core.ClassPatient: 10 * time.Second, core.ClassOnce: 5 * time.Second,
	}
}

// arrival is one scheduled request.
type arrival struct {
	at    time.Duration // since the start of the run
	phase Phase
	class core.Class
	entry int
	id    string
}

// schedule draws Poisson arrivals. It depends on the seed, the stages, the mix and the number of entries only.
func schedule(cfg LoadConfig) []arrival {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	var list []arrival
	var begin time.Duration
	for _, s := range cfg.Stages {
		at := begin
		for {
			at += time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second))
			if at >= begin+s.Length {
				break
			}
			class := cfg.Mix.draw(rng.Float64())
			id := fmt.Sprintf("%s-%d-%d", class, cfg.Seed, len(list))
			list = append(list, arrival{at: at, phase: s.Phase, class: class, entry: rng.IntN(len(cfg.Entries)), id: id})
		}
		begin += s.Length
	}
	return list
}

func (m Mix) draw(u float64) core.Class {
	switch {
	case u < m.Lookup:
		return core.ClassLookup
	case u < m.Lookup+m.Patient:
		return core.ClassPatient
	}
	return core.ClassOnce
}

// generator is one run.
type generator struct {
	cfg     LoadConfig
	clients []*http.Client // one for each entry
	base    time.Time
	records []Record
}

// RunLoad sends the scheduled requests, whatever happens to earlier ones, and returns a record for each. It returns
// early, with the records so far, when ctx ends.
func RunLoad(ctx context.Context, cfg LoadConfig) *LoadResult {
	arrivals := schedule(cfg)
	g := &generator{cfg: cfg, records: make([]Record, len(arrivals))}
	for range cfg.Entries {
		g.clients = append(g.clients, newCaller())
	}
	timer := newSleeper()
	defer timer.close()
	var flights sync.WaitGroup
	g.base = time.Now()
	begun := g.beginStages(ctx, &flights)
	sent := 0
	for i, a := range arrivals {
		if timer.sleep(ctx, time.Until(g.base.Add(a.at))) != nil {
			break
		}
		sent++
		flights.Go(func() { g.records[i] = g.send(ctx, a) })
	}
	sleepUntilEnd(ctx, begun)
	flights.Wait()
	for _, c := range g.clients {
		c.CloseIdleConnections()
	}
	result := &LoadResult{Records: g.records[:sent], Wall: time.Since(g.base)}
	for _, s := range cfg.Stages {
		result.Planned += s.Length
	}
	result.assignOnset(cfg.Stages)
	return result
}

// beginStages calls Begin of each stage at its time and returns the end of the last stage.
func (g *generator) beginStages(ctx context.Context, flights *sync.WaitGroup) time.Time {
	at := g.base
	for _, s := range g.cfg.Stages {
		if s.Begin != nil {
			begin := at
			flights.Go(func() {
				if sleepCoarse(ctx, time.Until(begin)) == nil {
					s.Begin()
				}
			})
		}
		at = at.Add(s.Length)
	}
	return at
}

func sleepUntilEnd(ctx context.Context, end time.Time) { _ = sleepCoarse(ctx, time.Until(end)) }

const maxIdlePerEntry = 1024

// newCaller returns a client that keeps connections alive. The standard transport repeats a GET once by itself when a
// kept-alive connection breaks before the answer; it never repeats a POST.
func newCaller() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerEntry, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}
}

// send sends one request and records its end.
func (g *generator) send(ctx context.Context, a arrival) Record {
	due := g.base.Add(a.at)
	rec := Record{ID: a.id, Class: a.class, Phase: a.phase, Entry: a.entry, At: a.at, Lag: time.Since(due)}
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Wait[a.class])
	defer cancel()
	resp, err := g.clients[a.entry].Do(g.request(ctx, a))
	if err != nil {
		rec.end(due, OutcomeBroken, err)
		return rec
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	rec.Status = resp.StatusCode
	if err != nil {
		rec.end(due, OutcomeBroken, err)
		return rec
	}
	if g.cfg.Dialect == nil {
		rec.end(due, told(resp), nil)
	} else {
		rec.end(due, toldByStatus(resp.StatusCode), nil)
	}
	rec.Reason = resp.Header.Get(wire.HeaderReason)
	rec.Wrong = resp.StatusCode == http.StatusOK && string(body) != g.cfg.answer(a)
	return rec
}

func (g *generator) request(ctx context.Context, a arrival) *http.Request {
	method, path, body := http.MethodGet, "/records/", io.Reader(nil)
	switch a.class {
	case core.ClassPatient:
		path = "/archive/"
	case core.ClassOnce:
		method, path, body = http.MethodPost, "/bookings/", strings.NewReader(a.id)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.cfg.Entries[a.entry]+path+a.id, body)
	if err != nil {
		panic(err) // the address is not an address
	}
	req.Header.Set(LedgerHeader, a.id)
	if d := g.cfg.Dialect; d != nil {
		req.Host = g.cfg.Host
		d.RewriteRequestHeaders(req.Header, wire.ForwardedRequest{RequestID: a.id})
		d.SetAttemptHeaders(req.Header, "", g.cfg.Wait[a.class])
		return req
	}
	if g.cfg.Deadline > 0 {
		req.Header.Set(wire.HeaderDeadline, wire.FormatDeadline(g.cfg.Deadline))
	}
	return req
}

// toldByStatus returns what a status says about the execution where no header does.
func toldByStatus(status int) wire.Outcome {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return wire.OutcomeNotRun
	case status < http.StatusInternalServerError:
		return wire.OutcomeAnswered
	}
	return wire.OutcomeUnknown
}

// told returns what the response says about the execution. A response without the header comes from a target itself.
func told(resp *http.Response) wire.Outcome {
	if outcome := resp.Header.Get(wire.HeaderOutcome); outcome != "" {
		return wire.Outcome(outcome)
	}
	if _, refused := wire.ParseDeclaration(resp.Header); refused {
		return wire.OutcomeNotRun
	}
	if resp.StatusCode < http.StatusInternalServerError {
		return wire.OutcomeAnswered
	}
	return wire.OutcomeUnknown
}
