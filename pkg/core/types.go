package core

import "time"

// Instant is a monotonic time since the start of the process. It is not comparable between processes.
type Instant = time.Duration

// RequestID identifies one request within one instance.
type RequestID uint64

// AttemptID identifies one attempt within one instance.
type AttemptID uint64

// TargetID identifies a target within a service. It consists of the ID and the start ID that discovery lists for the
// target, because addresses can be reused; for a target without an ID, it is the address.
type TargetID string

// Zone is the name of an availability zone.
type Zone string

// Class determines how requests are retried, hedged and queued. Rules assign it.
type Class uint8

// The classes of requests. In the queue, ClassPatient mostly yields to the other two, which have equal rank; SelectAsk
// orders waiting requests without regard to their class. For all classes, the maximum number of attempts, the deadline
// and the budgets bound retries and hedges.
const (
	// ClassOnce is non-idempotent work, of which at most one attempt may run. It is never hedged, and it is retried
	// only if all its earlier attempts are proved not to have run.
	ClassOnce Class = iota
	// ClassLookup is idempotent work with a short deadline. It may be retried even if an earlier attempt may have run,
	// and it may be hedged once.
	ClassLookup
	// ClassPatient is idempotent work with a long deadline, which is retried and hedged like ClassLookup. While
	// requests of other classes wait too, only one in patientShareDivisor requests that leave the queue is patient.
	ClassPatient
	numClasses
)

var classNames = [numClasses]string{"once", "lookup", "patient"}

// String returns the name of the class as written in rules.
func (c Class) String() string {
	if c < numClasses {
		return classNames[c]
	}
	return "invalid"
}

// ParseClass returns the class with the given name, and false if there is none.
func ParseClass(name string) (Class, bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}

// AttemptOutcome classifies how an attempt ended by what is known about its execution on the target.
type AttemptOutcome uint8

// The closed set of attempt outcomes.
const (
	// OutcomeNotSent: no byte of the request was written to the connection.
	OutcomeNotSent AttemptOutcome = iota
	// OutcomeRefused: the target declared that it did not run the request.
	OutcomeRefused
	// OutcomeAnswered: status, headers and the whole body of the response arrived. It is no 5xx response, and it does
	// not relay that an instance gave up on a nested call.
	OutcomeAnswered
	// OutcomeUnknown: everything else; the request may have run.
	OutcomeUnknown
)

// String returns the name of the outcome as used in logs and metrics.
func (o AttemptOutcome) String() string {
	switch o {
	case OutcomeNotSent:
		return "not-sent"
	case OutcomeRefused:
		return "refused"
	case OutcomeAnswered:
		return "answered"
	case OutcomeUnknown:
		return "unknown"
	}
	return "invalid"
}

// ProvesNotRun reports whether the outcome is proof that the attempt did not run.
func (o AttemptOutcome) ProvesNotRun() bool { return o == OutcomeNotSent || o == OutcomeRefused }

// Reason explains a refusal, retry, hedge, ejection or denial, or names the source of a leaving signal. It is a metric
// label, so the set is closed.
type Reason string

// Reasons for refusals.
const (
	ReasonNoTarget          Reason = "no-target"
	ReasonQueueFull         Reason = "queue-full"
	ReasonDeadline          Reason = "deadline"            // no time for an attempt; SelectAsk: or objective missed
	ReasonInfeasible        Reason = "infeasible-deadline" // queueing would take longer than the deadline allows
	ReasonRateLimit         Reason = "rate-limit"          // all targets limit their request rate or want none for now
	ReasonWarmup            Reason = "warm-up"             // cold targets admit no further request for now
	ReasonRetryBudget       Reason = "retry-budget"        // a retry is needed and the budget is used up
	ReasonAttemptsExhausted Reason = "attempts-exhausted"
	ReasonMayHaveRun        Reason = "may-have-run"   // a ClassOnce attempt ended without proof that it did not run
	ReasonStopping          Reason = "stopping"       // during the graceful stop: it would be queued, or may outlast the stop
	ReasonLoop              Reason = "loop"           // the request passed too many instances
	ReasonNestedGiveUp      Reason = "nested-give-up" // another instance gave up on a nested call of the target
	ReasonCallerLeft        Reason = "caller-left"
	ReasonUnreachable       Reason = "unreachable"     // relayed by another instance, and this one reaches no target either
	ReasonCrashesTargets    Reason = "crashes-targets" // targets crash when they run the request
	ReasonInternal          Reason = "internal-error"  // the reducer failed; set by the runtime
)

// Reasons for retries and hedges.
const (
	ReasonNotSent  Reason = "not-sent"
	ReasonShed     Reason = "shed"     // the target declared that it is overloaded
	ReasonDraining Reason = "draining" // the target declared that it drains
	ReasonExpired  Reason = "expired"  // the target declared that the deadline passed before it ran the request
	ReasonFailed   Reason = "failed"   // a connection error or a 5xx response
	ReasonSlow     Reason = "slow"     // no response in time; also the reason of hedges
)

// ReasonNoInstance is the reason of OutcomeNotSent for a relay: no other instance may be able to serve the request.
const ReasonNoInstance Reason = "no-instance"

// ReasonRelaysExhausted is the reason of CountDenied when a request is not relayed again, because the largest number of
// instances has declined it.
const ReasonRelaysExhausted Reason = "relays-exhausted"

// ReasonProbe is the reason of CountDenied when a budget denied a probe.
const ReasonProbe Reason = "probe"

// Sources of leaving signals. A probe is one as well (ReasonProbe).
const (
	ReasonList     Reason = "list"     // the target list
	ReasonResponse Reason = "response" // a response to a request
	ReasonPeer     Reason = "peer"     // a TargetLeaving event
)

// LoadReport is the load that a target reported about itself, as of the time it was sent.
type LoadReport struct {
	// InUse is the number of requests on the target, running or queued.
	InUse int
	// Slots is the number of requests that the target processes concurrently; 0 means that there is no report.
	Slots int
	// Slowdown is the current processing time on the target in multiples of the usual one; 0 means that it is not
	// reported. Headers and logs call it pace.
	Slowdown float64
}

// Statement is what a target states about itself on a response to a request or probe, apart from its load.
type Statement struct {
	// Responded is set if headers of the target arrived. Without them, the target states no request rate and does not
	// withdraw one either.
	Responded bool
	// Start is the start ID of the target that responded; empty when unknown.
	Start string
	// Leaving is set if the target drains.
	Leaving bool
	// RequestRate is the rate that the target accepts from all instances together, in requests per second; only valid if
	// HasRequestRate. A response without one ends an earlier limit.
	RequestRate    float64
	HasRequestRate bool
	// RetryAfter is how long the target wants no requests from this instance; zero if it does not say.
	RetryAfter time.Duration
	// Warmup is how much longer the target stays cold, zero if it is warm. Only valid if HasWarmup, and only on responses
	// to probes.
	Warmup    time.Duration
	HasWarmup bool
}

// Input is one event with the time and the random draw that make its processing deterministic.
type Input struct {
	// Now is the time of the event.
	Now Instant
	// Rand is a random draw; all random decisions of the step derive from it.
	Rand uint64
	// Event is what happened.
	Event Event
}

// Event is something that happened outside the reducer.
type Event interface{ event() }

// Target describes one target of a service as discovery lists it.
type Target struct {
	ID      TargetID
	Zone    Zone
	Start   string // start ID of the target's process, which changes with each restart; empty when unknown
	Leaving bool   // the target drains and must not get new attempts
	// Warmup is the remaining time during which the target is slower because it has just started.
	Warmup time.Duration
	// Revision identifies the version of the list entry. Warmup counts from the first list with this version; zero if the
	// list has no versions, then from the first one with the same Warmup.
	Revision uint64
}

// TargetsChanged replaces the list of targets. Targets that are no longer listed get no new attempts.
type TargetsChanged struct{ Targets []Target }

// PolicyChanged replaces the policy of the service.
type PolicyChanged struct{ Policy Policy }

// FleetChanged replaces the IDs of the instances that share the targets, this one included. They compare with
// Policy.InstanceID.
type FleetChanged struct{ Instances []string }

// RequestArrived submits a request.
type RequestArrived struct {
	Request RequestID
	Class   Class
	// Rule names the rule that the request matched; requests of one rule and class take about the same time.
	Rule string
	// Deadline is the time by which the request has to be answered: the end of the rule's time limit or of
	// CallerTimeout, whichever comes first.
	Deadline Instant
	// CallerTimeout is how long the caller states that it still waits; zero if it does not state it.
	CallerTimeout time.Duration
	// Objective is the latency objective: the time by which the caller should have a response if it has not made
	// earlier attempts. Zero stands for Deadline.
	Objective Instant
	// Priority orders queued requests with SelectAsk; 0 is the highest. The other selection methods ignore it.
	Priority int
	// MaxAttempts bounds the attempts of the request; zero stands for Policy.MaxAttempts.
	MaxAttempts int
	// Hops is the number of instances that the request passed before this one.
	Hops int
	// Quarantined is set if targets crash when they run the request, so that it must not be sent.
	Quarantined bool
	// Relayed is set if another instance, which can connect to no target, has relayed the request. It is not relayed
	// again.
	Relayed bool
}

// RequestQuarantined reports that targets crash when they run a request that has arrived before. It gets no further
// attempt. Its attempts in flight are cancelled if the request is idempotent, which may save their targets.
type RequestQuarantined struct{ Request RequestID }

// AttemptCommitted reports that a response is ready to be delivered: its header and first bytes have arrived, and also
// the whole body if it fits the buffer. The attempt still counts as in flight until AttemptEnded.
type AttemptCommitted struct {
	Request RequestID
	Attempt AttemptID
	// Failed marks a complete 5xx response, unless the target declares in it that it did not run the request. The
	// request is retried if the class and the budget allow that.
	Failed bool
	// GaveUp marks a response that relays that another instance, further down the call chain, gave up on a nested call
	// of the target. The response is delivered even if Failed is set, because the request is not retried.
	GaveUp bool
	// Statement is what the target states on the response. It applies before the body has been passed on, which can take
	// as long as the caller reads.
	Statement Statement
}

// AttemptEnded reports the final outcome of an attempt and frees its slot.
type AttemptEnded struct {
	Request RequestID
	Attempt AttemptID
	Outcome AttemptOutcome
	// Reason refines OutcomeNotSent, OutcomeRefused and OutcomeUnknown.
	Reason Reason
	// Failed marks a response or error that counts as a failure of the target, such as a 5xx response in which the
	// target does not declare that it did not run the request.
	Failed bool
	// GaveUp marks a response that relays that another instance, further down the call chain, gave up on a nested call
	// of the target. The request is then not retried.
	GaveUp bool
	// Unreachable is set if no connection to the target could be opened.
	Unreachable bool
	// Load is the load report on the response, if any.
	Load LoadReport
	// Statement is what the target states on the response. It is ignored if AttemptCommitted has reported it.
	Statement Statement
}

// CallerLeft reports that the caller no longer waits for the response.
type CallerLeft struct{ Request RequestID }

// TargetLeaving is a leaving signal: a process of the target drains. The signal applies to that process only, even if
// it arrives before the process is listed.
type TargetLeaving struct {
	Target TargetID
	Start  string // start ID of the process that drains; empty stands for the current one
}

// LoadReported delivers a load report that did not come with a response to this instance.
type LoadReported struct {
	Target TargetID
	Load   LoadReport
	// Age is how old the report is at the time of the event.
	Age time.Duration
}

// ProbeEnded reports the end of a probe.
type ProbeEnded struct {
	Target TargetID
	// OK is false when the probe failed or timed out.
	OK bool
	// Unreachable is set if no connection to the target could be opened.
	Unreachable bool
	Latency     time.Duration
	Load        LoadReport
	Statement   Statement
}

// ConnectionChecked reports whether a connection to a target could be opened.
type ConnectionChecked struct {
	Target TargetID
	OK     bool
	// Unreachable is set if it could not. Neither is set if none was tried, because too many are open.
	Unreachable bool
}

// Resumed reports that the process was paused (SIGSTOP, suspend) for Gap.
type Resumed struct{ Gap time.Duration }

// StopRequested begins the graceful stop. Requests with a later deadline than LatestDeadline may outlast the instance:
// from now on none of them is sent to a target or relayed, and those that wait are refused. New requests with an earlier
// deadline are served if they need not be queued.
type StopRequested struct{ LatestDeadline Instant }

// TimerFired reports that the time of the last SetTimer effect has come.
type TimerFired struct{}

func (TargetsChanged) event()     {}
func (PolicyChanged) event()      {}
func (FleetChanged) event()       {}
func (RequestArrived) event()     {}
func (RequestQuarantined) event() {}
func (AttemptCommitted) event()   {}
func (AttemptEnded) event()       {}
func (CallerLeft) event()         {}
func (TargetLeaving) event()      {}
func (LoadReported) event()       {}
func (ProbeEnded) event()         {}
func (ConnectionChecked) event()  {}
func (Resumed) event()            {}
func (StopRequested) event()      {}
func (TimerFired) event()         {}

// EffectKind tells which action the runtime has to take for an Effect.
type EffectKind uint8

// The kinds of effects.
const (
	// SendAttempt: send the request to Target before Deadline.
	SendAttempt EffectKind = iota + 1
	// RelayAttempt: relay the request to another instance, which may make MaxAttempts attempts before Deadline At.
	// AttemptCommitted and AttemptEnded report on it as on an attempt. OutcomeRefused means that the other instance did
	// not run the request and that a further one may serve it.
	RelayAttempt
	// CheckConnection: open a connection to Target until At. ConnectionChecked follows.
	CheckConnection
	// CancelAttempt: cancel the attempt; its AttemptEnded still follows.
	CancelAttempt
	// Deliver: pass the response of the attempt to the caller.
	Deliver
	// Refuse: tell the caller at once that the request was refused.
	Refuse
	// SendProbe: probe Target with the deadline At. ProbeEnded follows in any case, not much later than At.
	SendProbe
	// SetTimer: send TimerFired at At. It replaces the earlier timer of the service.
	SetTimer
	// CountRetry: an attempt after the first was started for Reason.
	CountRetry
	// CountHedge: a hedged attempt was started.
	CountHedge
	// CountEjection: Target was ejected for Reason.
	CountEjection
	// CountDenied: a retry, hedge or probe was denied by its budget, a request was not admitted by a cold target
	// (ReasonWarmup) or was not relayed again (ReasonRelaysExhausted).
	CountDenied
	// CountLeaving: Target is leaving since this step. Reason is the source of the signal.
	CountLeaving
	// ReportRateLimit: Target has changed the request rate that it accepts to Rate, or accepts any rate again if Unlimited.
	ReportRateLimit
	// ReportWarmup: Target has become cold for Warmup, or warm if Warmup is 0. Only if requests to cold targets are bounded.
	ReportWarmup
	// ReportReachability: no connection to any target of the service can be opened (Unreachable), or one has responded
	// again.
	ReportReachability
)

// Effect is one action for the runtime, as plain data. Fields that the kind does not use are zero.
type Effect struct {
	Kind    EffectKind
	Request RequestID
	Attempt AttemptID
	Target  TargetID
	// FreshConnection requires a connection that is new or on which bytes were received recently (ClassOnce).
	FreshConnection bool
	// At is the time of a timer or the deadline of an attempt or probe.
	At Instant
	// MaxAttempts is the number of attempts that another instance may make (RelayAttempt).
	MaxAttempts int
	// Declined is the number of instances to which the request was relayed before, and which did not serve it (RelayAttempt).
	Declined int
	// NotRun is set on Refuse when every attempt is proved not to have run.
	NotRun bool
	// Reason explains Refuse and the Count kinds.
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries (Refuse).
	RetryAfter time.Duration
	// Rate is a request rate in requests per second (ReportRateLimit).
	Rate float64
	// Unlimited is set if the target no longer limits the rate (ReportRateLimit).
	Unlimited bool
	// Warmup is how much longer a target is cold (ReportWarmup).
	Warmup time.Duration
	// Unreachable is set if no target can be reached (ReportReachability).
	Unreachable bool
	// DecisionInfo holds the inputs of the decision (SendAttempt, RelayAttempt and Refuse).
	DecisionInfo DecisionInfo
}

// DecisionInfo holds the inputs of a decision about a request. It is for logs only.
type DecisionInfo struct {
	// Report is the latest load report of the target, and ReportAge its age; Report.Slots is 0 without a report.
	Report    LoadReport
	ReportAge time.Duration
	// Estimate is the expected time to the response, in multiples of the time on an undisturbed target (no other load,
	// no slowdown); 0 if it was not estimated.
	Estimate float64
	// Waited is the time from the arrival of the request to the decision.
	Waited time.Duration
	// WaitedBefore is a lower bound of the time that the caller spent on earlier attempts; 0 for a first attempt.
	WaitedBefore time.Duration
	// RunTime is the expected processing time of the request on an undisturbed target; 0 if it is not estimated.
	RunTime time.Duration
	// AttemptNumber numbers the attempts of the request from 1; on a refusal it is the number of attempts made.
	AttemptNumber int
	// Waiting is the number of queued requests.
	Waiting int
}
