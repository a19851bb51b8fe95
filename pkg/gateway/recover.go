package gateway

import (
	"runtime/debug"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

// This file contains panics, so that an unexpected error costs the requests of one service and not the process.

var errPanic = eris.New("attempt ended by a panic")

// recoverReducer ends a panic of the reducer or of one of its effects. The state of the service may be inconsistent, so
// it is replaced. Requests that are not decided yet are refused, and their attempts are cancelled. It must be deferred
// while the lock is held.
func (e *engine) recoverReducer() {
	cause := recover()
	if cause == nil {
		return
	}
	e.logPanic("decision", cause)
	e.service = e.service.Successor()
	for _, p := range e.pending {
		for id, state := range p.attempts {
			if !state.claimed {
				state.cancel()
			}
			if !state.started { // nothing else would end it
				state.memory.release()
				delete(p.attempts, id)
			}
		}
		if !p.decided {
			e.refuse(core.Effect{Kind: core.Refuse, Request: p.id, Reason: core.ReasonInternal, NotRun: p.attemptsStarted == 0})
		}
	}
	if targets := e.targets; len(targets) > 0 {
		e.targets = nil // not applied again if they are what causes the panic
		e.apply(core.TargetsChanged{Targets: targets})
	}
}

// recoverAttempt ends a panic while an attempt runs. The request may have been executed. It must be deferred.
func (e *engine) recoverAttempt(p *pendingRequest, id core.AttemptID) {
	if cause := recover(); cause != nil {
		e.logPanic("attempt", cause)
		e.endAttempt(p, id, newFailedEvent(p.id, id, errPanic))
	}
}

// recoverProbe ends a panic while a probe runs. It must be deferred.
func (e *engine) recoverProbe(target core.TargetID) {
	if cause := recover(); cause != nil {
		e.logPanic("probe", cause)
		e.dispatch(core.ProbeEnded{Target: target})
	}
}

// recoverConnectionCheck ends a panic while a connection is checked. It must be deferred.
func (e *engine) recoverConnectionCheck() {
	if cause := recover(); cause != nil {
		e.logPanic("connection check", cause)
	}
}

func (e *engine) logPanic(task string, cause any) {
	e.metrics.panics.WithLabelValues(e.name, task).Inc()
	e.log.Info("panic contained", "task", task, "cause", eris.Errorf("%v", cause).Error(), "stack", string(debug.Stack()))
}
