package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/httpclient"
	"github.com/burdockpitch/burdockpitch/pkg/httpserver"
	"github.com/burdockpitch/burdockpitch/pkg/target"
)

// engine runs the reducer of one service: it applies events under a lock and performs the resulting effects.
//
// Effects are performed in order while the lock is held. None of them blocks: each starts a goroutine, cancels a
// context, sends on a buffered channel, sets a timer or counts.
type engine struct {
	name       string
	clock      clock
	pauses     *pauseDetector
	clients    *clients
	quarantine *Quarantine
	relays     *relays
	bodyMemory *bodyMemory
	stop       *stopState
	metrics    *Metrics
	log        logr.Logger
	probePath  atomicString
	// consecutiveProbeFailures is the number of probes that have failed since the last successful one.
	consecutiveProbeFailures atomic.Int64

	mu      sync.Mutex
	service *core.Service
	targets []core.Target // of the latest core.TargetsChanged
	pending map[core.RequestID]*pendingRequest
	lastID  core.RequestID
	timer   *time.Timer
	effects []core.Effect
}

// pendingRequest is a request of a caller with its attempts, until it is decided and its last attempt has ended.
type pendingRequest struct {
	id              core.RequestID
	attemptTemplate target.Attempt // copied for each attempt
	fingerprint     *fingerprinter
	memory          *heldMemory // of the body; nil if there is none
	head            *httpserver.RetainedHead
	decisionCh      chan decision // has a buffer of one, because it receives exactly one decision
	attempts        map[core.AttemptID]*attemptState
	decided         bool        // the decision has been sent
	crashed         atomic.Bool // a target has crashed during an attempt
	attemptsStarted int
	lastTarget      core.TargetID // target of the most recent attempt
}

// attemptState is an attempt that has not ended.
type attemptState struct {
	target   core.TargetID
	start    time.Time
	cancel   context.CancelFunc
	withdraw context.CancelFunc // ends the attempt unless it has a connection
	response *bufferedResponse
	memory   *heldMemory // of the response
	started  bool        // a goroutine runs the attempt and ends it
	// claimed is set once the response belongs to the caller's goroutine, which then ends the attempt and releases its
	// memory.
	claimed bool
}

// decision is the reducer's decision on a request: a response to deliver, or a refusal if response is nil.
type decision struct {
	response        *bufferedResponse
	attempt         core.AttemptID
	target          core.TargetID
	refusal         core.Effect
	attemptsStarted int
}

func (g *Gateway) newEngine(name string) *engine {
	e := &engine{
		name: name, clock: g.clock, pauses: g.pauses, clients: g.clients, quarantine: g.quarantine, relays: g.relays,
		bodyMemory: g.bodyMemory, stop: g.stop, metrics: g.metrics, log: g.log.WithValues("service", name),
		service: core.NewService(g.policyLocked(name)), pending: make(map[core.RequestID]*pendingRequest),
	}
	e.probePath.Store(g.cfg.ProbePath)
	e.timer = time.AfterFunc(time.Hour, func() { e.dispatch(core.TimerFired{}) }) // the first core.SetTimer replaces the hour
	return e
}

// dispatch applies an event and performs its effects.
func (e *engine) dispatch(ev core.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(ev)
}

// apply is dispatch for callers that hold the lock.
func (e *engine) apply(ev core.Event) {
	defer e.recoverReducer()
	in := core.Input{Now: e.clock.now(), Rand: rand.Uint64(), Event: ev}
	e.effects = e.service.Reduce(in, e.effects[:0])
	for _, effect := range e.effects {
		e.perform(effect)
	}
	if changed, ok := ev.(core.TargetsChanged); ok {
		e.targets = changed.Targets
	}
}

// submit starts a request. It sets the event's request ID and deadline, and whether the request is quarantined. The
// request is pending before it is checked, so that refuseQuarantined finds it if it is quarantined after the check. Until
// it is no longer pending, it is a holder of the memory of its head and body.
func (e *engine) submit(ev core.RequestArrived, a target.Attempt, f *fingerprinter, memory *heldMemory, head *httpserver.RetainedHead) *pendingRequest {
	e.quarantine.prepare(f)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	p := &pendingRequest{
		id: e.lastID, attemptTemplate: a, fingerprint: f, memory: memory.retain(), head: head, decisionCh: make(chan decision, 1), attempts: make(map[core.AttemptID]*attemptState),
	}
	e.pending[p.id] = p
	submitted := false
	defer func() {
		if !submitted { // a panic before the reducer knows the request
			p.decided = true
			e.removeIfFinished(p)
		}
	}()
	ev.Quarantined = e.quarantine.blocks(f)
	ev.Request, ev.Deadline = p.id, e.clock.offset(a.Deadline)
	e.apply(ev)
	submitted = true
	return p
}

func (e *engine) perform(effect core.Effect) {
	switch effect.Kind {
	case core.SendAttempt:
		e.startAttempt(effect)
	case core.RelayAttempt:
		e.startRelay(effect)
	case core.CheckConnection:
		e.checkConnection(effect)
	case core.CancelAttempt:
		e.cancelAttempt(effect)
	case core.Deliver:
		e.deliver(effect)
	case core.Refuse:
		e.refuse(effect)
	case core.SendProbe:
		e.startProbe(effect)
	case core.SetTimer:
		e.timer.Reset(max(effect.At-e.clock.now(), 0))
	default:
		e.logTargetChange(effect)
		e.metrics.recordEffect(e.name, effect)
	}
}

// logTargetChange logs the effects that report what a target has stated about itself.
func (e *engine) logTargetChange(effect core.Effect) {
	switch effect.Kind {
	case core.CountLeaving:
		e.log.Info("target is leaving", "target", effect.Target, "source", effect.Reason)
	case core.ReportReachability:
		e.log.Info("reachability of targets changed", "unreachable", effect.Unreachable)
	case core.ReportWarmup:
		e.log.Info("warm-up of target changed", "target", effect.Target, "cold", effect.Warmup > 0, "cold_ms", effect.Warmup.Milliseconds())
	case core.ReportRateLimit:
		e.log.Info("request rate of target changed", "target", effect.Target, "per_second", effect.Rate, "unlimited", effect.Unlimited)
	}
}

// newAttempt registers an attempt and returns it with the context that cancels it.
func (e *engine) newAttempt(effect core.Effect) (ctx context.Context, p *pendingRequest, state *attemptState, a target.Attempt) {
	p = e.pending[effect.Request]
	ctx, cancel := context.WithCancel(context.Background())
	connectCtx, withdraw := context.WithCancel(ctx)
	state = &attemptState{
		target: effect.Target, start: time.Now(), cancel: cancel, withdraw: withdraw,
		memory: e.bodyMemory.openResponse(p.fingerprint.callerIP, responseAccount(effect)),
	}
	p.attempts[effect.Attempt] = state
	p.attemptsStarted++
	p.lastTarget = effect.Target
	a = p.attemptTemplate
	a.Fresh, a.ConnectContext, a.Memory = effect.FreshConnection, connectCtx, state.memory.head
	if at := e.clock.timeAt(effect.At); at.Before(a.Deadline) {
		a.Deadline = at
	}
	return ctx, p, state, a
}

// relayAccount is the account of the heads of relayed responses, whose instance is chosen later.
const relayAccount = "instances"

// responseAccount returns the account that the head of the response to an attempt is held for.
func responseAccount(effect core.Effect) string {
	if effect.Kind == core.RelayAttempt {
		return relayAccount
	}
	return string(effect.Target)
}

func (e *engine) startAttempt(effect core.Effect) {
	ctx, p, state, a := e.newAttempt(effect)
	generation := e.pauses.generation()
	a.IsCurrent = func() bool { return e.mayBeSent(p) && e.pauses.isCurrent(generation) }
	client, identity := e.clients.get(effect.Target)
	a.TargetIdentity = identity
	e.logAttemptSent(p, effect)
	state.started = true
	go e.runAttempt(ctx, client, p, effect.Attempt, state, a)
}

// logAttemptSent logs an attempt with the load data that its target was selected by.
func (e *engine) logAttemptSent(p *pendingRequest, effect core.Effect) {
	log := e.log.V(2)
	if !log.Enabled() {
		return
	}
	info := effect.DecisionInfo
	log.Info("attempt sent", "request", p.attemptTemplate.RequestID, "attempt", info.AttemptNumber, "target", effect.Target,
		"in_use", info.Report.InUse, "slots", info.Report.Slots, "pace", info.Report.Slowdown, "report_age_ms", info.ReportAge.Milliseconds(),
		"estimate", info.Estimate, "waited_ms", info.Waited.Milliseconds(), "waited_before_ms", info.WaitedBefore.Milliseconds(), "waiting", info.Waiting)
}

func (e *engine) logAttemptEnded(p *pendingRequest, state *attemptState, ev core.AttemptEnded) {
	log := e.log.V(2)
	if !log.Enabled() {
		return
	}
	log.Info("attempt ended", "request", p.attemptTemplate.RequestID, "target", state.target, "outcome", ev.Outcome.String(),
		"reason", ev.Reason, "failed", ev.Failed, "duration_ms", time.Since(state.start).Milliseconds())
}

func (e *engine) cancelAttempt(effect core.Effect) {
	p := e.pending[effect.Request]
	if p == nil {
		return
	}
	if state := p.attempts[effect.Attempt]; state != nil && !state.claimed {
		state.cancel()
	}
}

func (e *engine) deliver(effect core.Effect) {
	p := e.pending[effect.Request]
	state := p.attempts[effect.Attempt]
	state.claimed = true
	p.decided = true
	p.decisionCh <- decision{response: state.response, attempt: effect.Attempt, target: state.target, attemptsStarted: p.attemptsStarted}
}

func (e *engine) refuse(effect core.Effect) {
	p := e.pending[effect.Request]
	p.decided = true
	p.decisionCh <- decision{refusal: effect, target: p.lastTarget, attemptsStarted: p.attemptsStarted}
	e.removeIfFinished(p)
}

// removeIfFinished removes a request that is decided and has no attempts left. An undecided request without attempts
// stays, because it may wait for a retry.
func (e *engine) removeIfFinished(p *pendingRequest) {
	if !p.decided || len(p.attempts) > 0 || e.pending[p.id] != p {
		return
	}
	delete(e.pending, p.id)
	p.memory.release()
	p.head.Release()
	if p.crashed.Load() {
		e.quarantine.RecordEnd(p.fingerprint.get())
	}
}

// runAttempt sends an attempt and reports its end, unless the response is delivered: then the caller's goroutine
// reports it.
func (e *engine) runAttempt(ctx context.Context, c *target.Client, p *pendingRequest, id core.AttemptID, state *attemptState, a target.Attempt) {
	defer e.recoverAttempt(p, id)
	response, err := c.Send(ctx, a)
	if failure := (*target.Error)(nil); errors.As(err, &failure) && failure.Reason == target.ReasonOutdated {
		e.pauses.awaitRefresh(ctx) // so that the reducer selects again from the refreshed targets
	}
	if err == nil {
		buffered := e.bufferResponse(response, state)
		err = buffered.err
		if err == nil {
			e.offerResponse(p, id, state, buffered)
			return
		}
		buffered.close()
	}
	e.countBrokenResponse(err)
	e.checkCrash(c, p, state, err)
	ev := newFailedEvent(p.id, id, err)
	if ev.Unreachable {
		e.metrics.unconnected.WithLabelValues(e.name, connectFailureCause(err)).Inc()
	}
	e.endAttempt(p, id, ev)
}

// countBrokenResponse counts an error that says what a target or another instance sent in place of a response.
func (e *engine) countBrokenResponse(err error) {
	if broken := (*httpclient.Error)(nil); errors.As(err, &broken) {
		e.metrics.broken.WithLabelValues(e.name, string(broken.Cause)).Inc()
	}
}

// bufferResponse reads the first bytes of a response into memory of the attempt.
func (e *engine) bufferResponse(response *target.Response, state *attemptState) *bufferedResponse {
	buffered := bufferResponse(response, state.memory)
	if buffered.unbuffered {
		e.metrics.unbuffered.WithLabelValues(e.name).Inc()
	}
	return buffered
}

// offerResponse offers a response to the reducer. If the reducer does not deliver it, the response is dropped and the
// attempt ends.
func (e *engine) offerResponse(p *pendingRequest, id core.AttemptID, state *attemptState, response *bufferedResponse) {
	e.mu.Lock()
	state.response = response
	e.apply(core.AttemptCommitted{
		Request: p.id, Attempt: id, Failed: response.isServerError(), GaveUp: response.gaveUp, Statement: statement(response.Metadata),
	})
	claimed := state.claimed
	e.mu.Unlock()
	if claimed {
		return
	}
	response.close()
	end := delivered
	if !response.complete {
		end = callerFailed // the rest of the body is not read
	}
	e.endAttempt(p, id, newDeliveredEvent(p.id, id, response, end))
}

// endAttempt reports the end of an attempt and frees its resources.
func (e *engine) endAttempt(p *pendingRequest, id core.AttemptID, ev core.AttemptEnded) {
	if ev.Outcome == core.OutcomeAnswered {
		p.fingerprint.get() // which may hash a long body, before the lock of the service
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	state := p.attempts[id]
	if state == nil {
		return // ended by recoverAttempt
	}
	state.cancel()
	if !state.claimed {
		state.memory.release()
	}
	delete(p.attempts, id)
	e.logAttemptEnded(p, state, ev)
	e.metrics.attemptSeconds.WithLabelValues(e.name, ev.Outcome.String()).Observe(time.Since(state.start).Seconds())
	e.metrics.attempts.WithLabelValues(e.name, ev.Outcome.String(), string(ev.Reason)).Inc()
	if ev.Outcome == core.OutcomeAnswered {
		e.quarantine.recordResponse(p.fingerprint) // before the request ends, so that its crashes are not reported
	}
	e.apply(ev)
	e.removeIfFinished(p)
}
