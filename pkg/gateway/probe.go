package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/target"
)

// startProbe sends a health probe or load probe and reports the result to the reducer, which has already charged the
// probe to its budget.
func (e *engine) startProbe(effect core.Effect) {
	client, identity := e.clients.get(effect.Target)
	deadline := e.clock.timeAt(effect.At)
	go func() {
		defer e.recoverProbe(effect.Target)
		memory := e.bodyMemory.openHead(string(effect.Target))
		defer func() { memory.Release(e.clock.now()) }()
		ev, err := runProbe(client, effect.Target, target.Attempt{
			Method: http.MethodGet, URL: &url.URL{Path: e.probePath.Load()}, Host: string(effect.Target), Header: make(http.Header),
			Deadline: deadline, TargetIdentity: identity, Memory: memory,
		})
		e.metrics.probes.WithLabelValues(e.name, probeResult(ev)).Inc()
		e.countBrokenResponse(err)
		if ev.Unreachable {
			e.metrics.unconnected.WithLabelValues(e.name, connectFailureCause(err)).Inc()
		}
		e.logProbeOutage(ev, err)
		e.dispatch(ev)
	}()
}

// probeOutageThreshold is the number of consecutive failed probes at which an outage of the service is logged. A few
// targets that are down do not reach it, because probes of other targets succeed in between.
const probeOutageThreshold = 8

// logProbeOutage logs once when probeOutageThreshold probes of the service have failed in a row, and once when a probe
// succeeds again. Without the load reports of the probes no target has a free slot, so these lines explain the refusals
// that follow.
func (e *engine) logProbeOutage(ev core.ProbeEnded, err error) {
	if !ev.OK {
		if e.consecutiveProbeFailures.Add(1) == probeOutageThreshold {
			e.log.Info("probes are not answered", "probes", probeOutageThreshold, "target", ev.Target, "error", err.Error())
		}
		return
	}
	if n := e.consecutiveProbeFailures.Swap(0); n >= probeOutageThreshold {
		e.log.Info("probes are answered again", "unanswered", n)
	}
}

func probeResult(ev core.ProbeEnded) string {
	if ev.OK {
		return "ok"
	}
	return "failed"
}

// Errors of probes that received a response.
var (
	errProbeServerError = eris.New("health path returned a server error")
	errProbeOtherTarget = eris.New("response came from another target at the same address")
)

// runProbe sends a probe of a target. The error, nil for a successful probe, says why the probe failed. Any status below 500
// is a success. A response with another identity means that another target has taken over the address, so the expected
// target counts as leaving. A target that declares that it sheds load or drains is alive, so the probe succeeds.
func runProbe(client *target.Client, id core.TargetID, probe target.Attempt) (core.ProbeEnded, error) {
	start := time.Now()
	ev := core.ProbeEnded{Target: id}
	response, err := client.Send(context.Background(), probe)
	ev.Latency = time.Since(start)
	var failure *target.Error
	switch {
	case err == nil:
		err = discardProbeBody(response)
		ev.OK = err == nil && response.Status < http.StatusInternalServerError
		ev.Load, ev.Statement = loadReport(response.Metadata), statement(response.Metadata)
		if err == nil && !ev.OK {
			err = errProbeServerError
		}
		if other := response.Metadata.TargetIdentity; probe.TargetIdentity != "" && other != "" && other != probe.TargetIdentity {
			ev.OK, ev.Statement, err = false, core.Statement{Leaving: true}, errProbeOtherTarget
		}
	case errors.As(err, &failure) && failure.Outcome == core.OutcomeRefused:
		ev.OK, err = true, nil
		ev.Load, ev.Statement = loadReport(*failure.Metadata), statement(*failure.Metadata)
	case failure != nil:
		ev.Unreachable = failure.Unreachable
	}
	return ev, err
}

// discardProbeBody reads the body of a response to a probe, or the first maxBufferedBytes of it, so that its connection can
// be used again. The error says why the body is not whole.
func discardProbeBody(response *target.Response) error {
	defer response.Body.Close()
	if response.CloseDelimited {
		return errCloseDelimited
	}
	if _, err := io.CopyN(io.Discard, response.Body, maxBufferedBytes); err != io.EOF {
		return err
	}
	return nil
}
