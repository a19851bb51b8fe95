package core

import "time"

// Instant is a monotonic time since the start of the process. It is not comparable between processes.
type Instant = time.Duration

// RequestID identifies one request within one entry instance.
type RequestID uint64

// AttemptID identifies one attempt within one entry instance.
type AttemptID uint64

// TargetID identifies one target within one service: its address, or the identity of one start of it where addresses
// pass from one target to another.
type TargetID string

// Zone is the name of an availability zone.
type Zone string

// Class is the treatment that a rule asks for.
type Class uint8

// The classes of requests, in order of precedence under load.
const (
	// ClassOnce is non-idempotent work: at most one attempt may run.
	ClassOnce Class = iota
	// ClassLookup is idempotent work with a short deadline; it may be hedged.
	ClassLookup
	// ClassPatient is idempotent work with a long deadline that waits in the queue.
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

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}

// AttemptOutcome is what is known about one attempt.
type AttemptOutcome uint8

// The closed set of attempt outcomes.
const (
	// OutcomeNotSent: no byte of the request was written to the connection.
	OutcomeNotSent AttemptOutcome = iota
	// OutcomeRefused: the target declared that it did not run the request.
	OutcomeRefused
	// OutcomeAnswered: status, headers and the whole body arrived.
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

// Reason says why a request was refused, retried or hedged. It is a metric label, so the set is closed.
type Reason string

// Reasons for refusals.
const (
	ReasonNoTarget          Reason = "no-target"
	ReasonQueueFull         Reason = "queue-full"
	ReasonDeadline          Reason = "deadline"
	ReasonInfeasible        Reason = "infeasible-deadline"
	ReasonRetryBudget       Reason = "retry-budget"
	ReasonAttemptsExhausted Reason = "attempts-exhausted"
	ReasonMayHaveRun        Reason = "may-have-run"
	ReasonStopping          Reason = "stopping"
	ReasonLoop              Reason = "loop"
	ReasonNestedGiveUp      Reason = "nested-give-up"
	ReasonCallerLeft        Reason = "caller-left"
)

// Reasons for retries and hedges.
const (
	ReasonNotSent  Reason = "not-sent"
	ReasonShed     Reason = "shed"
	ReasonDraining Reason = "draining"
	ReasonExpired  Reason = "expired"
	ReasonFailed   Reason = "failed"
	ReasonSlow     Reason = "slow"
)

// ReasonProbe is the reason of a denied probe.
const ReasonProbe Reason = "probe"

// LoadReport is a target's own report of its load at the time it was sent.
type LoadReport struct {
	// InUse is the number of requests that the target holds.
	InUse int
	// Slots is the number of requests that the target works on at once; 0 means that no report is present.
	Slots int
	// Slowdown is how long work takes there at the moment, in multiples of the usual time; 0 means that it is not stated.
	Slowdown float64
}

// Input is one event with everything that makes a step deterministic.
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

// Target describes one member of a service as the instance list gives it.
type Target struct {
	ID      TargetID
	Zone    Zone
	Start   string // identifies one start of the target; empty when unknown
	Leaving bool
	// Warmup is how much longer the target is slow after its start.
	Warmup time.Duration
}

// TargetsChanged replaces the list of targets. Targets that are gone get no new work.
type TargetsChanged struct{ Targets []Target }

// PolicyChanged replaces the policy of the service.
type PolicyChanged struct{ Policy Policy }

// RequestArrived asks for a request to be served.
type RequestArrived struct {
	Request RequestID
	Class   Class
	// Rule names the rule that the request matched; requests of one rule and class take about the same time.
	Rule string
	// Deadline is the time at which the caller stops waiting.
	Deadline Instant
	// CallerTimeout is how long the caller says that it still waits; zero if it does not say so. It differs from Deadline where
	// the rule allows less.
	CallerTimeout time.Duration
	// Objective is the time until which an answer to a first attempt has its full value; zero stands for Deadline.
	Objective Instant
	// Priority ranks requests that wait for room, 0 first.
	Priority int
	// MaxAttempts bounds the attempts of the request; zero stands for Policy.MaxAttempts.
	MaxAttempts int
	// Hops is the number of entry instances passed before this one.
	Hops int
}

// AttemptCommitted reports that an answer is ready to be delivered: its head and first bytes are here, and for an
// answer that fits the buffer also the whole body. The slot is still held until AttemptEnded.
type AttemptCommitted struct {
	Request RequestID
	Attempt AttemptID
	// Failed marks a whole 5xx answer without a declaration. It is retried when the class and the budget allow that.
	Failed bool
	// GaveUp marks an answer on which an inner entry instance already gave up. It is always delivered.
	GaveUp bool
}

// AttemptEnded reports the final outcome of an attempt and frees its slot.
type AttemptEnded struct {
	Request RequestID
	Attempt AttemptID
	Outcome AttemptOutcome
	// Reason refines NotSent, Refused and Unknown.
	Reason Reason
	// Failed marks an answer or error that weighs against the target, such as a bare 5xx.
	Failed bool
	// GaveUp marks an answer on which an inner entry instance already gave up.
	GaveUp bool
	// Load is the report on the answer, if any.
	Load LoadReport
	// Start identifies the start of the target that answered; empty when unknown.
	Start string
	// Leaving marks a target that announced on the answer that it drains.
	Leaving bool
}

// CallerLeft reports that the caller no longer waits.
type CallerLeft struct{ Request RequestID }

// TargetLeaving reports a sign that a target leaves. It sticks for that start of the target.
type TargetLeaving struct {
	Target TargetID
	Start  string
}

// LoadReported brings a load report that did not ride on an answer of our own.
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
	OK      bool
	Latency time.Duration
	Load    LoadReport
	Leaving bool
	Start   string
}

// Resumed reports that the process did not run for Gap.
type Resumed struct{ Gap time.Duration }

// StopRequested begins the graceful stop. New requests are still served until the runtime closes its listeners.
type StopRequested struct{}

// TimerFired reports that the time of the last SetTimer effect has come.
type TimerFired struct{}

func (TargetsChanged) event()   {}
func (PolicyChanged) event()    {}
func (RequestArrived) event()   {}
func (AttemptCommitted) event() {}
func (AttemptEnded) event()     {}
func (CallerLeft) event()       {}
func (TargetLeaving) event()    {}
func (LoadReported) event()     {}
func (ProbeEnded) event()       {}
func (Resumed) event()          {}
func (StopRequested) event()    {}
func (TimerFired) event()       {}

// EffectKind tells which action an Effect asks for.
type EffectKind uint8

// The kinds of effects.
const (
	// SendAttempt: send the request to Target before Deadline.
	SendAttempt EffectKind = iota + 1
	// CancelAttempt: cancel the attempt; its AttemptEnded still follows.
	CancelAttempt
	// Deliver: pass the answer of the attempt to the caller.
	Deliver
	// Refuse: tell the caller at once that the request was given up.
	Refuse
	// SendProbe: measure Target; ProbeEnded follows soon after At.
	SendProbe
	// SetTimer: send TimerFired at At. It replaces the earlier timer of the service.
	SetTimer
	// CountRetry: an attempt after the first was started for Reason.
	CountRetry
	// CountHedge: a hedged attempt was started.
	CountHedge
	// CountEjection: Target was ejected for Reason.
	CountEjection
	// CountDenied: a retry, hedge or probe was denied by its budget.
	CountDenied
)

// Effect is one action for the runtime, as plain data. Fields that the kind does not name are zero.
type Effect struct {
	Kind    EffectKind
	Request RequestID
	Attempt AttemptID
	Target  TargetID
	// FreshConnection asks for a connection that is new or answered recently (ClassOnce).
	FreshConnection bool
	// At is the time of a timer or the deadline of an attempt or probe.
	At Instant
	// NotRun is set on Refuse when every attempt is proved not to have run.
	NotRun bool
	// Reason explains Refuse and the Count kinds.
	Reason Reason
	// RetryAfter tells the caller when to ask again (Refuse).
	RetryAfter time.Duration
	// DecisionInfo is what the decision rests on (SendAttempt and Refuse).
	DecisionInfo DecisionInfo
}

// DecisionInfo is what a decision about a request rests on. It is for logs only.
type DecisionInfo struct {
	// Report is the load that the target told last, and Age the time since then; Report.Slots is 0 without a report.
	Report    LoadReport
	ReportAge time.Duration
	// Estimate is when the target was expected to answer, in multiples of an undisturbed run; 0 if it was not estimated.
	Estimate float64
	// Waited is the time from the arrival of the request to the decision.
	Waited time.Duration
	// WaitedBefore is how long the caller has waited at least for earlier attempts; 0 for a first one.
	WaitedBefore time.Duration
	// RunTime is how long an undisturbed target is expected to work on the request; 0 if it is not estimated.
	RunTime time.Duration
	// AttemptNumber numbers the attempts of the request from 1; on a refusal it is the number of attempts made.
	AttemptNumber int
	// Waiting is the number of requests that wait for room.
	Waiting int
}
