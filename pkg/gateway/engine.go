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
	"github.com/burdockpitch/burdockpitch/pkg/target"
)

// engine runs the reducer of one service: it feeds events in under one lock and performs the effects.
//
// Effects are performed while the lock is held, in their order. Each of them only starts a goroutine, cancels a
// context, sends on a buffered channel or sets a timer, so none blocks.
type engine struct {
	name    string
	clock   clock
	pauses  *pauses
	clients *clients
	metrics *Metrics
	log     logr.Logger
	// probePath is the path of probes.
	probePath atomicString
	// unanswered is the number of probes in a row without an answer.
	unanswered atomic.Int64

	mu      sync.Mutex
	service *core.Service
	pending map[core.RequestID]*exchange
	lastID  core.RequestID
	timer   *time.Timer
	effects []core.Effect
}

// exchange is one request of a caller with its attempts.
type exchange struct {
	id       core.RequestID
	attempt  target.Attempt // template of each attempt
	decided  chan decision  // buffered by one; receives the only decision
	attempts map[core.AttemptID]*flight
	done     bool          // decided
	sent     int           // attempts started
	last     core.TargetID // target of the last attempt
}

// flight is one attempt that is being sent.
type flight struct {
	target core.TargetID
	began  time.Time
	cancel context.CancelFunc
	answer *bufferedAnswer
	// taken is set when the answer was handed to the caller's goroutine, which then ends the attempt.
	taken bool
}

// decision is the end of a request: an answer to deliver or a refusal.
type decision struct {
	answer  *bufferedAnswer
	attempt core.AttemptID
	target  core.TargetID
	refusal core.Effect
	// attempts is the number of attempts that were started.
	attempts int
}

func newEngine(name string, cfg Config, p *pauses, cl *clients, m *Metrics, log logr.Logger) *engine {
	e := &engine{
		name: name, clock: p.clock, pauses: p, clients: cl, metrics: m, log: log.WithValues("service", name),
		service: core.NewService(cfg.Policy), pending: make(map[core.RequestID]*exchange),
	}
	e.probePath.Store(cfg.ProbePath)
	e.timer = time.AfterFunc(time.Hour, func() { e.dispatch(core.TimerFired{}) })
	return e
}

// dispatch applies one event and performs its effects.
func (e *engine) dispatch(ev core.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(ev)
}

func (e *engine) apply(ev core.Event) {
	in := core.Input{Now: e.clock.now(), Rand: rand.Uint64(), Event: ev}
	e.effects = e.service.Reduce(in, e.effects[:0])
	for _, effect := range e.effects {
		e.perform(effect)
	}
}

// submit starts a request and returns its exchange. The event's request number and deadline are filled in.
func (e *engine) submit(ev core.RequestArrived, a target.Attempt) *exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	x := &exchange{
		id: e.lastID, attempt: a, decided: make(chan decision, 1), attempts: make(map[core.AttemptID]*flight),
	}
	e.pending[x.id] = x
	ev.Request, ev.Deadline = x.id, e.clock.instant(a.Deadline)
	e.apply(ev)
	return x
}

func (e *engine) perform(effect core.Effect) {
	switch effect.Kind {
	case core.SendAttempt:
		e.send(effect)
	case core.CancelAttempt:
		e.cancel(effect)
	case core.Deliver:
		e.deliver(effect)
	case core.Refuse:
		e.refuse(effect)
	case core.SendProbe:
		e.probe(effect)
	case core.SetTimer:
		e.timer.Reset(max(effect.At-e.clock.now(), 0))
	default:
		e.metrics.count(e.name, effect)
	}
}

func (e *engine) send(effect core.Effect) {
	x := e.pending[effect.Request]
	ctx, cancel := context.WithCancel(context.Background())
	f := &flight{target: effect.Target, began: time.Now(), cancel: cancel}
	x.attempts[effect.Attempt] = f
	x.sent++
	x.last = effect.Target
	a := x.attempt
	a.Fresh = effect.FreshConnection
	if at := e.clock.time(effect.At); at.Before(a.Deadline) {
		a.Deadline = at
	}
	view := e.pauses.view()
	a.Current = func() bool { return e.pauses.holds(view) }
	client, instance := e.clients.get(effect.Target)
	a.Instance = instance
	e.logSend(x, effect)
	go e.runAttempt(ctx, client, x, effect.Attempt, f, a)
}

// logSend logs an attempt with what its target was chosen for.
func (e *engine) logSend(x *exchange, effect core.Effect) {
	log := e.log.V(2)
	if !log.Enabled() {
		return
	}
	b := effect.DecisionInfo
	log.Info("attempt sent", "request", x.attempt.RequestID, "attempt", b.AttemptNumber, "target", effect.Target,
		"in_use", b.Report.InUse, "slots", b.Report.Slots, "pace", b.Report.Slowdown, "report_age_ms", b.ReportAge.Milliseconds(),
		"estimate", b.Estimate, "waited_ms", b.Waited.Milliseconds(), "waited_before_ms", b.WaitedBefore.Milliseconds(), "waiting", b.Waiting)
}

// logEnd logs how an attempt ended.
func (e *engine) logEnd(x *exchange, f *flight, ev core.AttemptEnded) {
	log := e.log.V(2)
	if !log.Enabled() {
		return
	}
	log.Info("attempt ended", "request", x.attempt.RequestID, "target", f.target, "outcome", ev.Outcome.String(),
		"reason", ev.Reason, "failed", ev.Failed, "duration_ms", time.Since(f.began).Milliseconds())
}

func (e *engine) cancel(effect core.Effect) {
	x := e.pending[effect.Request]
	if x == nil {
		return
	}
	if f := x.attempts[effect.Attempt]; f != nil && !f.taken {
		f.cancel()
	}
}

func (e *engine) deliver(effect core.Effect) {
	x := e.pending[effect.Request]
	f := x.attempts[effect.Attempt]
	f.taken = true
	x.done = true
	x.decided <- decision{answer: f.answer, attempt: effect.Attempt, target: f.target, attempts: x.sent}
}

func (e *engine) refuse(effect core.Effect) {
	x := e.pending[effect.Request]
	x.done = true
	x.decided <- decision{refusal: effect, target: x.last, attempts: x.sent}
	e.forget(x)
}

// forget drops a request that is decided and has no attempts left. One without attempts may still wait for a retry.
func (e *engine) forget(x *exchange) {
	if x.done && len(x.attempts) == 0 {
		delete(e.pending, x.id)
	}
}

// runAttempt sends one attempt and reports its end. When the answer is delivered, the caller's goroutine reports it.
func (e *engine) runAttempt(ctx context.Context, c *target.Client, x *exchange, id core.AttemptID, f *flight, a target.Attempt) {
	answer, err := c.Send(ctx, a)
	if failure := (*target.Error)(nil); errors.As(err, &failure) && failure.Reason == target.ReasonResumed {
		e.pauses.await(ctx) // the reducer chooses again, on the new view
	}
	if err == nil {
		buffered := bufferAnswer(answer)
		err = buffered.err
		if err == nil {
			e.commit(x, id, f, buffered)
			return
		}
		buffered.close()
	}
	e.end(x, id, attemptFailed(x.id, id, err))
}

// commit offers an answer to the reducer. An answer that is not taken is dropped and its attempt ended.
func (e *engine) commit(x *exchange, id core.AttemptID, f *flight, answer *bufferedAnswer) {
	e.mu.Lock()
	f.answer = answer
	e.apply(core.AttemptCommitted{Request: x.id, Attempt: id, Failed: answer.failed(), GaveUp: answer.gaveUp})
	taken := f.taken
	e.mu.Unlock()
	if taken {
		return
	}
	answer.close()
	end := delivered
	if !answer.complete {
		end = callerBroke // nobody wanted the rest
	}
	e.end(x, id, attemptDelivered(x.id, id, answer, end))
}

// end reports the end of an attempt and frees its resources.
func (e *engine) end(x *exchange, id core.AttemptID, ev core.AttemptEnded) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := x.attempts[id]
	f.cancel()
	delete(x.attempts, id)
	e.logEnd(x, f, ev)
	e.metrics.attemptSeconds.WithLabelValues(e.name, ev.Outcome.String()).Observe(time.Since(f.began).Seconds())
	e.metrics.attempts.WithLabelValues(e.name, ev.Outcome.String(), string(ev.Reason)).Inc()
	e.apply(ev)
	e.forget(x)
}
