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

// The phases of a run with a fault. PhaseOnset is the first 2 s of the fault, PhaseSustained the rest of it.
const (
	PhaseWarmUp    Phase = "warm-up"
	PhaseBefore    Phase = "before"
	PhaseOnset     Phase = "first 2 s"
	PhaseSustained Phase = "from 2 s"
)

// Stage is a part of the schedule with a constant mean rate.
type Stage struct {
	Phase Phase
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	// OnStart, if set, is called in its own goroutine when the stage starts.
	OnStart func()
}

// Mix gives the share of each class of requests; the shares add up to 1.
type Mix struct{ Lookup, Patient, Once float64 }

// DefaultMix consists mostly of lookups, with enough bookings (class "once") to compute percentiles.
var DefaultMix = Mix{Lookup: 0.6, Patient: 0.2, Once: 0.2}

// LoadConfig configures one run of the load generator.
type LoadConfig struct {
	// Endpoints are the addresses that requests are sent to, chosen at random for each request.
	Endpoints []string
	// Seed determines the arrival time, the class and the endpoint of each request.
	Seed uint64
	// Stages are run in order.
	Stages []Stage
	Mix    Mix
	// CallerTimeouts is how long a caller waits for its response, by class.
	CallerTimeouts map[core.Class]time.Duration
	// Deadline, if set, is sent with each request unless Dialect is set. It should be shorter than the caller timeout,
	// so that the response still arrives.
	Deadline time.Duration
	// Dialect, if set, writes the ID and the caller timeout of each request into the headers that another platform
	// uses. The Host header of each request is then Host, and the outcome is derived from the response status.
	Dialect wire.Dialect
	Host    string
	// ExpectedBody returns the expected response body for a request with the given ID and body. If it is nil, the ID is
	// expected.
	ExpectedBody func(id, body string) string
}

// expectedBody returns the expected response body for the request of an arrival.
func (c *LoadConfig) expectedBody(a arrival) string {
	if c.ExpectedBody == nil {
		return a.id
	}
	body := ""
	if a.class == core.ClassOnce {
		body = a.id
	}
	return c.ExpectedBody(a.id, body)
}

// DefaultCallerTimeouts returns the caller timeouts that apply unless others are configured.
func DefaultCallerTimeouts() map[core.Class]time.Duration {
	return map[core.Class]time.Duration{
		core.ClassLookup: 2 * time.Second, core.ClassPatient: 10 * time.Second, core.ClassOnce: 5 * time.Second,
	}
}

// arrival is one scheduled request.
type arrival struct {
	scheduledAt time.Duration // since the start of the run
	phase       Phase
	class       core.Class
	endpoint    int
	id          string
}

// schedule draws Poisson arrivals. The result depends only on the seed, the stages, the mix and the number of
// endpoints.
func schedule(cfg LoadConfig) []arrival {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	var list []arrival
	var stageStart time.Duration
	for _, s := range cfg.Stages {
		at := stageStart
		for {
			at += time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second))
			if at >= stageStart+s.Duration {
				break
			}
			class := cfg.Mix.draw(rng.Float64())
			id := fmt.Sprintf("%s-%d-%d", class, cfg.Seed, len(list))
			list = append(list, arrival{scheduledAt: at, phase: s.Phase, class: class, endpoint: rng.IntN(len(cfg.Endpoints)), id: id})
		}
		stageStart += s.Duration
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

// generator is the state of one run.
type generator struct {
	cfg       LoadConfig
	clients   []*http.Client // one for each endpoint
	startedAt time.Time
	records   []Record
}

// RunLoad sends each request at its scheduled time, regardless of the state of earlier ones (open loop), and returns a
// record for each. It returns early, with the records so far, when ctx ends.
func RunLoad(ctx context.Context, cfg LoadConfig) *LoadResult {
	arrivals := schedule(cfg)
	g := &generator{cfg: cfg, records: make([]Record, len(arrivals))}
	for range cfg.Endpoints {
		g.clients = append(g.clients, newClient())
	}
	timer := newPreciseTimer()
	defer timer.close()
	var tasks sync.WaitGroup
	g.startedAt = time.Now()
	scheduleEnd := g.scheduleStageCallbacks(ctx, &tasks)
	sent := 0
	for i, a := range arrivals {
		if timer.sleep(ctx, time.Until(g.startedAt.Add(a.scheduledAt))) != nil {
			break
		}
		sent++
		tasks.Go(func() { g.records[i] = g.send(ctx, a) })
	}
	sleepUntil(ctx, scheduleEnd)
	tasks.Wait()
	for _, c := range g.clients {
		c.CloseIdleConnections()
	}
	result := &LoadResult{Records: g.records[:sent], WallTime: time.Since(g.startedAt)}
	for _, s := range cfg.Stages {
		result.PlannedDuration += s.Duration
	}
	result.moveInFlightToOnset(cfg.Stages)
	return result
}

// scheduleStageCallbacks starts a goroutine for each OnStart call, which waits for the start of its stage, and returns
// the end of the last stage.
func (g *generator) scheduleStageCallbacks(ctx context.Context, tasks *sync.WaitGroup) time.Time {
	at := g.startedAt
	for _, s := range g.cfg.Stages {
		if s.OnStart != nil {
			startAt := at
			tasks.Go(func() {
				if sleepContext(ctx, time.Until(startAt)) == nil {
					s.OnStart()
				}
			})
		}
		at = at.Add(s.Duration)
	}
	return at
}

func sleepUntil(ctx context.Context, t time.Time) { _ = sleepContext(ctx, time.Until(t)) }

const maxIdleConnsPerEndpoint = 1024

// newClient returns a client that keeps connections alive. The standard transport itself retries a GET once when a
// kept-alive connection breaks before the response; it never retries a POST.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerEndpoint, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}
}

// send sends one request and records its result.
func (g *generator) send(ctx context.Context, a arrival) Record {
	scheduled := g.startedAt.Add(a.scheduledAt)
	rec := Record{ID: a.id, Class: a.class, Phase: a.phase, Endpoint: a.endpoint, ScheduledAt: a.scheduledAt, SendLag: time.Since(scheduled)}
	ctx, cancel := context.WithTimeout(ctx, g.cfg.CallerTimeouts[a.class])
	defer cancel()
	resp, err := g.clients[a.endpoint].Do(g.request(ctx, a))
	if err != nil {
		rec.finish(scheduled, OutcomeBroken, err)
		return rec
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	rec.Status = resp.StatusCode
	if err != nil {
		rec.finish(scheduled, OutcomeBroken, err)
		return rec
	}
	if g.cfg.Dialect == nil {
		rec.finish(scheduled, outcomeFromResponse(resp), nil)
	} else {
		rec.finish(scheduled, outcomeFromStatus(resp.StatusCode), nil)
	}
	rec.Reason = resp.Header.Get(wire.HeaderReason)
	rec.WrongResponse = resp.StatusCode == http.StatusOK && string(body) != g.cfg.expectedBody(a)
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
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.cfg.Endpoints[a.endpoint]+path+a.id, body)
	if err != nil {
		panic(err) // the endpoint is not a valid address
	}
	req.Header.Set(WorkIDHeader, a.id)
	if d := g.cfg.Dialect; d != nil {
		req.Host = g.cfg.Host
		d.RewriteRequestHeaders(req.Header, wire.ForwardedRequest{RequestID: a.id})
		d.SetAttemptHeaders(req.Header, "", g.cfg.CallerTimeouts[a.class])
		return req
	}
	if g.cfg.Deadline > 0 {
		req.Header.Set(wire.HeaderDeadline, wire.FormatDeadline(g.cfg.Deadline))
	}
	return req
}

// outcomeFromStatus derives the outcome from the status of a response that has no outcome header.
func outcomeFromStatus(status int) wire.Outcome {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return wire.OutcomeNotRun
	case status < http.StatusInternalServerError:
		return wire.OutcomeAnswered
	}
	return wire.OutcomeUnknown
}

// outcomeFromResponse returns the outcome that the response reports. A response without the outcome header comes
// directly from a target.
func outcomeFromResponse(resp *http.Response) wire.Outcome {
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
