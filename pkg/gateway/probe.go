package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/target"
)

// probe measures a target outside of requests and reports the result to the reducer, which has paid for it from its
// budget.
func (e *engine) probe(effect core.Effect) {
	client, instance := e.clients.get(effect.Target)
	deadline := e.clock.time(effect.At)
	go func() {
		ev := runProbe(client, effect.Target, instance, e.probePath.Load(), deadline)
		e.metrics.probes.WithLabelValues(e.name, probeResult(ev)).Inc()
		e.dispatch(ev)
	}()
}

func probeResult(ev core.ProbeEnded) string {
	if ev.OK {
		return "ok"
	}
	return "failed"
}

// runProbe sends one GET request. An answer of another target than the expected instance is that of a target that has
// taken over the address. A target that declares that it sheds or drains is alive, so the probe is good.
func runProbe(client *target.Client, id core.TargetID, instance, path string, deadline time.Time) core.ProbeEnded {
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
		if other := answer.Stated.Instance; instance != "" && other != "" && other != instance {
			ev.OK, ev.Leaving = false, true
		}
	case errors.As(err, &failure) && failure.Outcome == core.OutcomeRefused:
		ev.OK = true
		ev.Load, ev.Start, ev.Leaving = reports(failure.Stated)
	}
	return ev
}
