package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/target"
)

// connectFailureCause returns why a connection could not be opened, as a metric label.
func connectFailureCause(err error) string {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.As(err, &netErr) && netErr.Timeout():
		return "timeout"
	}
	return "other"
}

// checkConnection opens a connection to a target, which serves the next attempt on it, and reports whether it could.
func (e *engine) checkConnection(effect core.Effect) {
	client, _ := e.clients.get(effect.Target)
	deadline := e.clock.timeAt(effect.At)
	go func() {
		defer e.recoverConnectionCheck()
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		err := client.Connect(ctx)
		failure := (*target.Error)(nil)
		e.dispatch(core.ConnectionChecked{Target: effect.Target, OK: err == nil, Unreachable: errors.As(err, &failure) && failure.Unreachable})
	}()
}
