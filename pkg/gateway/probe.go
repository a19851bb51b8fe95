package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/target"
)

// probe measures a target outside of requests and reports the result to the reducer, which has paid for it from its
// budget.
func (e *engine) probe(effect core.Effect) {
	client, instance := e.clients.get(effect.Target)
	deadline := e.clock.time(effect.At)
	go func() {
		ev, err := runProbe(client, effect.Target, instance, e.probePath.Load(), deadline)
		e.metrics.probes.WithLabelValues(e.name, probeResult(ev)).Inc()
		e.noteProbe(ev, err)
		e.dispatch(ev)
	}()
}

// unansweredProbes is the number of probes in a row without an answer at which the service counts as out of reach. A few
// targets that are down do not reach it, because the probes of others are answered between theirs.
const unansweredProbes = 8

// noteProbe logs when probes of the service are no longer answered, and when they are again. Without their reports no target
// has room, so that this explains refusals.
func (e *engine) noteProbe(ev core.ProbeEnded, err error) {
	if !ev.OK {
		if e.unanswered.Add(1) == unansweredProbes {
			e.log.Info("probes are not answered", "probes", unansweredProbes, "target", ev.Target, "error", err.Error())
		}
		return
	}
	if n := e.unanswered.Swap(0); n >= unansweredProbes {
		e.log.Info("probes are answered again", "unanswered", n)
	}
}

func probeResult(ev core.ProbeEnded) string {
	if ev.OK {
		return "ok"
	}
	return "failed"
}

// Errors of probes that were answered.
var (
	errProbeStatus  = eris.New("health path answers with a failure")
	errProbeForeign = eris.New("another target has the address")
)

// runProbe sends one GET request and tells why it is no good probe. An answer of another target than the expected instance is that of a target that has
// taken over the address. A target that declares that it sheds or drains is alive, so the probe is good.
func runProbe(client *target.Client, id core.TargetID, instance, path string, deadline time.Time) (core.ProbeEnded, error) {
	start := time.Now()
	ev := core.ProbeEnded{Target: id}
	answer, err := client.Send(context.Background(), target.Attempt{
		Method: http.MethodGet, URL: &url.URL{Path: path}, Host: string(id), Header: make(http.Header), Deadline: deadline,
		Instance: instance,
	})
	ev.Latency = time.Since(start)
	var failure *target.Error
	switch {
	case err == nil:
		body := bufferAnswer(answer)
		body.close()
		ev.OK = body.err == nil && answer.Status < http.StatusInternalServerError
		ev.Load, ev.Start, ev.Leaving = reports(answer.Stated)
		if err = body.err; err == nil && !ev.OK {
			err = errProbeStatus
		}
		if other := answer.Stated.Instance; instance != "" && other != "" && other != instance {
			ev.OK, ev.Leaving, err = false, true, errProbeForeign
		}
	case errors.As(err, &failure) && failure.Outcome == core.OutcomeRefused:
		ev.OK, err = true, nil
		ev.Load, ev.Start, ev.Leaving = reports(failure.Stated)
	}
	return ev, err
}
