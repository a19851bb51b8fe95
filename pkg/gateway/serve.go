package gateway

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/httpserver"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Handler returns the HTTP handler for callers. It has none of the limits that NewServer sets.
func (g *Gateway) Handler() http.Handler {
	r := chi.NewRouter()
	r.NotFound(g.serve) // rules match all paths and methods, including methods unknown to chi
	r.MethodNotAllowed(g.serve)
	r.Handle("/*", http.HandlerFunc(g.serve))
	return r
}

// call is a request of a caller that is being served.
type call struct {
	*callerWriter
	r        *http.Request
	metadata wire.RequestMetadata
	arrived  time.Time
	rule     *rules.Rule
	service  string               // selected from the rule's traffic split
	relayed  *wire.RelayedRequest // set if another instance relayed the request
	memory   *heldMemory          // of the body; nil if there is none
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) { g.serveCall(g.newCall(w, r)) }

func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request) *call {
	c := &call{callerWriter: g.newCallerWriter(w), r: r, arrived: time.Now(), metadata: g.cfg.Dialect.ParseRequest(r.Header)}
	c.requestID = c.metadata.ID
	if c.requestID == "" {
		c.requestID = rand.Text() // at least 128 random bits, so unique across all instances
	}
	return c
}

func (g *Gateway) serveCall(c *call) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	defer c.releaseBody()
	body, rejected := g.acceptOnCurrentView(c)
	if rejected != nil {
		g.reject(c, *rejected)
		return
	}
	e := g.engine(c.service)
	head := httpserver.FromContext(c.r.Context()).RetainHead()
	p := e.submit(c.arrivedEvent(g.clock), c.newAttemptTemplate(body), c.newFingerprinter(body), c.memory, head)
	g.respond(c, e, p)
}

// arrivedEvent returns the event that submits the request to the reducer.
func (c *call) arrivedEvent(ck clock) core.RequestArrived {
	ev := core.RequestArrived{
		Class: c.rule.Class, Rule: c.rule.Name, Priority: c.rule.Priority, MaxAttempts: c.rule.MaxAttempts, Hops: c.metadata.Hops,
	}
	if c.metadata.HasCallerTimeout {
		ev.CallerTimeout = c.metadata.CallerTimeout
	}
	if c.relayed != nil {
		ev.Relayed, ev.MaxAttempts = true, c.relayed.Attempts
	}
	if c.rule.Objective > 0 {
		ev.Objective = ck.offset(c.arrived.Add(c.rule.Objective))
	}
	return ev
}

// acceptOnCurrentView accepts a request under rules that were read after the last pause. If the process is paused while
// the body is read, it matches the request again.
func (g *Gateway) acceptOnCurrentView(c *call) ([]byte, *rejection) {
	g.awaitSync(c)
	g.awaitRefresh(c)
	generation := g.pauses.generation()
	body, rejected := g.accept(c)
	for rejected == nil && !g.pauses.isCurrent(generation) && c.r.Context().Err() == nil {
		g.awaitRefresh(c)
		generation = g.pauses.generation()
		rejected = g.rematch(c, len(body))
	}
	return body, rejected
}

// awaitSync waits for MarkSynced, but not beyond the deadline of the request, and not if the stop turns it away. A request
// that matches no rule does not wait, because it is rejected.
func (g *Gateway) awaitSync(c *call) {
	select {
	case <-g.synced:
		return
	default:
	}
	rule := c.matchIn(g.ruleTable.Load())
	if rule == nil {
		return
	}
	ctx, cancel := g.stop.whileAllowed(c.r.Context(), c.deadline(rule))
	defer cancel()
	timer := time.NewTimer(c.timeLimit(rule))
	defer timer.Stop()
	select {
	case <-g.synced:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitRefresh waits until the view is not stale, unless the caller leaves or the stop turns the request away.
func (g *Gateway) awaitRefresh(c *call) {
	if !g.pauses.stale() {
		return
	}
	ctx := c.r.Context()
	if rule := c.matchIn(g.ruleTable.Load()); rule != nil {
		var cancel context.CancelFunc
		ctx, cancel = g.stop.whileAllowed(ctx, c.deadline(rule))
		defer cancel()
	}
	g.pauses.awaitRefresh(ctx)
}

// matchIn returns the rule of a table that the request matches, or nil.
func (c *call) matchIn(table *rules.Table) *rules.Rule {
	return table.MatchHost(c.r.Host, c.r.Method, c.r.URL.Path)
}

// timeLimit returns the time from the arrival of the request to its deadline: the rule's, or the caller's if it is
// shorter.
func (c *call) timeLimit(rule *rules.Rule) time.Duration {
	if c.metadata.HasCallerTimeout {
		return min(rule.Deadline, c.metadata.CallerTimeout)
	}
	return rule.Deadline
}

// allowedDuringStop reports whether a request that has been read by now may still be sent. A stop counts its time limit
// from now, so that a slow upload does not leave the target less time than usual.
func (g *Gateway) allowedDuringStop(c *call) bool {
	return g.stop.allows(time.Now().Add(c.timeLimit(c.rule)))
}

// deadline returns the time at which the request is refused if it has not been answered.
func (c *call) deadline(rule *rules.Rule) time.Time { return c.arrived.Add(c.timeLimit(rule)) }

// rematch matches a request whose body was already read under an earlier rule, and checks the body's length in bytes
// against the new rule.
func (g *Gateway) rematch(c *call, length int) *rejection {
	if rejected := g.match(c); rejected != nil {
		return rejected
	}
	switch {
	case !g.allowedDuringStop(c):
		return &rejectStopping
	case int64(length) > c.rule.BodyLimit:
		return &rejectBodyTooLarge
	}
	return nil
}

// match sets the rule and the service of a request, or returns a rejection if no rule matches.
func (g *Gateway) match(c *call) *rejection {
	table := g.ruleTable.Load()
	c.rule = c.matchIn(table)
	switch {
	case c.rule != nil && c.relayed != nil && c.rule.RoutesTo(c.relayed.Service):
		c.service = c.relayed.Service
		return nil
	case c.rule != nil:
		c.service = c.rule.ChooseService(g.splits.next(c.rule.Name))
		return nil
	case table.Empty():
		return &rejectNoConfiguration
	}
	return &rejectNoRule
}

// accept matches a request and reads its body.
func (g *Gateway) accept(c *call) ([]byte, *rejection) {
	switch {
	case c.r.Method == http.MethodConnect:
		return nil, &rejectConnect
	case len(c.r.Header["Upgrade"]) > 0:
		return nil, &rejectUpgrade
	}
	if rejected := g.match(c); rejected != nil {
		return nil, rejected
	}
	if !g.allowedDuringStop(c) {
		return nil, &rejectStopping
	}
	if c.r.ContentLength > c.rule.BodyLimit {
		return nil, &rejectBodyTooLarge // checked before the first read, which sends 100 Continue
	}
	if c.r.ContentLength == 0 {
		return nil, nil
	}
	return g.readBody(c)
}

// newAttemptTemplate returns the request as it is sent to targets.
func (c *call) newAttemptTemplate(body []byte) target.Attempt {
	header := c.r.Header.Clone()
	removeHopByHop(header)
	wire.SanitizeRequest(c.r.Trailer)
	c.dialect.RewriteRequestHeaders(header, wire.ForwardedRequest{RequestID: c.requestID, Hops: c.metadata.Hops + 1})
	return target.Attempt{
		RequestID: c.requestID,
		Method:    c.r.Method, URL: c.r.URL, Host: c.r.Host, Header: header, Body: body, Trailer: c.r.Trailer,
		Deadline: c.deadline(c.rule),
	}
}

// respond waits for the decision on a request and writes the response or the refusal.
func (g *Gateway) respond(c *call, e *engine, p *pendingRequest) {
	d := waitForDecision(c.r.Context(), e, p)
	if d.response == nil {
		g.refuse(c, d)
		return
	}
	relayed := wire.RelayedResponse{Outcome: d.response.outcome()}
	if d.response.Metadata.Leaving {
		relayed.LeavingTarget, relayed.Start = string(d.target), d.response.Metadata.StartID
	}
	c.setRelayHeaders(relayed)
	end := c.deliver(e, p, d)
	outcome := d.response.outcome()
	if end != delivered {
		outcome = wire.OutcomeUnknown
	}
	g.recordResult(c, result{target: d.target, attempts: d.attemptsStarted, outcome: outcome, status: d.response.Status})
	if end != delivered {
		if !c.r.ProtoAtLeast(1, 1) {
			httpserver.FromContext(c.r.Context()).Reset() // without chunks, the body seems complete when the connection ends cleanly
		}
		panic(http.ErrAbortHandler) // closes the connection, so that the caller can detect the truncation
	}
}

// deliver writes a response, ends its attempt and releases its memory, also if it panics.
func (c *call) deliver(e *engine, p *pendingRequest, d decision) (end deliveryResult) {
	defer d.response.memory.release()
	if d.response.complete {
		// The attempt ends before the response is written, so that a slow caller does not occupy the target's slot.
		e.endAttempt(p, d.attempt, newDeliveredEvent(p.id, d.attempt, d.response, delivered))
		return c.writeResponse(d.response)
	}
	end = callerFailed // if the write panics
	defer func() {
		d.response.close()
		e.endAttempt(p, d.attempt, newDeliveredEvent(p.id, d.attempt, d.response, end))
	}()
	return c.writeResponse(d.response)
}

// waitForDecision returns the decision on a request. If the caller disconnects first, it informs the reducer, which may
// still let a non-idempotent attempt in progress end before it decides.
func waitForDecision(ctx context.Context, e *engine, p *pendingRequest) decision {
	select {
	case d := <-p.decisionCh:
		return d
	case <-ctx.Done():
		e.dispatch(core.CallerLeft{Request: p.id})
		return <-p.decisionCh
	}
}

func (g *Gateway) refuse(c *call, d decision) {
	outcome := wire.OutcomeUnknown
	if d.refusal.NotRun {
		outcome = wire.OutcomeNotRun
	}
	res := result{
		target: d.target, attempts: d.attemptsStarted, outcome: outcome, reason: d.refusal.Reason, status: refusalStatus(d.refusal),
		decisionInfo: d.refusal.DecisionInfo, retryAfter: d.refusal.RetryAfter,
	}
	g.sendRefusal(c, res)
}

// sendRefusal writes and records a refusal.
func (g *Gateway) sendRefusal(c *call, res result) {
	c.setRelayHeaders(wire.RelayedResponse{Outcome: res.outcome, Reason: string(res.reason)})
	c.writeRefusal(res.status, res.outcome, res.reason, res.retryAfter)
	g.recordResult(c, res)
}

func (g *Gateway) reject(c *call, rejected rejection) {
	// A rejection before the body is read does not wait for it, which might never arrive.
	bodyUnread := rejected.bodyUnread || c.r.ContentLength != 0 && c.memory == nil
	discards := bodyUnread && !c.awaitsContinue()
	c.releaseBody()
	if rejected.immediate || bodyUnread {
		c.Header().Set("Connection", "close") // or net/http would read the body before it sends the refusal
	}
	g.sendRefusal(c, result{
		outcome: wire.OutcomeNotRun, reason: rejected.reason, status: rejected.status, retryAfter: rejected.retryAfter,
	})
	if discards {
		g.activeRequests.Add(-1) // it is answered, so that a stop that reaches its limit does not count it as aborted
		defer g.activeRequests.Add(1)
		c.discardBody()
	}
}

// setRelayHeaders informs the instance that relayed the request, if any.
func (c *call) setRelayHeaders(r wire.RelayedResponse) {
	if c.relayed != nil {
		r.SetHeaders(c.Header())
	}
}

// result is the end of a request, for metrics and the log.
type result struct {
	target   core.TargetID
	attempts int
	outcome  wire.Outcome
	status   int
	// reason and retryAfter are set for refusals, decisionInfo for those by the reducer.
	reason       core.Reason
	retryAfter   time.Duration
	decisionInfo core.DecisionInfo
}

// recordResult updates the metrics and logs the request. Answered requests are logged at verbosity 1 only.
func (g *Gateway) recordResult(c *call, res result) {
	var service, class, rule string
	if c.rule != nil {
		service, class, rule = c.service, c.rule.Class.String(), c.rule.Name
	}
	g.metrics.requests.WithLabelValues(service, class, string(res.outcome)).Inc()
	g.metrics.requestSeconds.WithLabelValues(service, string(res.outcome)).Observe(time.Since(c.arrived).Seconds())
	if res.reason != "" {
		g.metrics.refusals.WithLabelValues(service, string(res.reason)).Inc()
	}
	log := g.log
	if res.outcome == wire.OutcomeAnswered {
		log = log.V(1)
	}
	if !log.Enabled() {
		return
	}
	if info := res.decisionInfo; res.reason != "" {
		log = log.WithValues("waiting", info.Waiting, "run_ms", info.RunTime.Milliseconds(),
			"waited_before_ms", info.WaitedBefore.Milliseconds(), "retry_after_ms", res.retryAfter.Milliseconds())
	}
	log.Info("request", "request", c.requestID, "service", service, "rule", rule, "target", res.target, "attempts", res.attempts,
		"outcome", res.outcome, "reason", res.reason, "status", res.status, "duration", time.Since(c.arrived).String())
}
