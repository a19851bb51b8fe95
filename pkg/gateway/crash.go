package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/burdockpitch/burdockpitch/internal/sockets"
	"github.com/burdockpitch/burdockpitch/pkg/quarantine"
	"github.com/burdockpitch/burdockpitch/pkg/target"
)

// crashCheckTimeout bounds the connection that tells whether a target still accepts any. A crashed one refuses it within
// a round trip.
const crashCheckTimeout = 100 * time.Millisecond

// fingerprinter computes the fingerprint of a request when it is needed for the first time, because the cost is that of
// hashing the body. It is safe for concurrent use.
type fingerprinter struct {
	request  *http.Request
	body     []byte
	callerIP string

	once  sync.Once
	value quarantine.Fingerprint
}

func (f *fingerprinter) get() quarantine.Fingerprint {
	f.once.Do(func() {
		f.value = quarantine.NewFingerprint(f.request.Method, f.request.Host, f.request.URL.RequestURI(), f.body, f.callerIP)
	})
	return f.value
}

// callerIP returns the address of the caller, also if another instance relayed the request.
func (c *call) callerIP() string {
	if c.relayed != nil {
		return c.relayed.CallerIP
	}
	return sockets.RemoteIP(c.r.RemoteAddr)
}

func (c *call) newFingerprinter(body []byte) *fingerprinter {
	return &fingerprinter{request: c.r, body: body, callerIP: c.callerIP()}
}

// checkCrash reports a crash of the target if it broke off an attempt and refuses connections since.
func (e *engine) checkCrash(c *target.Client, p *pendingRequest, state *attemptState, err error) {
	var failure *target.Error
	if !errors.As(err, &failure) || !failure.BrokeOff {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if !c.RefusesConnections(ctx) {
		return
	}
	e.metrics.crashes.WithLabelValues(e.name).Inc()
	e.log.Info("target crashed during a request", "request", p.attemptTemplate.RequestID, "fingerprint", p.fingerprint.get().String(), "target", state.target,
		"error", err.Error())
	p.crashed.Store(true)
	e.quarantine.RecordCrash(p.fingerprint.get(), string(state.target), time.Since(state.start))
}
