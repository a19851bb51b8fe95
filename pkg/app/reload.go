package app

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockpitch/burdockpitch/pkg/settings"
)

// settingsPollInterval is the interval at which the settings file is read again, because it may change without a
// SIGHUP.
const settingsPollInterval = 2 * time.Second

// reloader applies changed settings while the instance runs. Only the addresses of peers can change; changes of all
// other keys take effect after a restart, which the log reports.
type reloader struct {
	loadSettings func() (settings.Settings, error)
	setPeers     func(ctx context.Context, peers []string)
	log          logr.Logger
	current      settings.Settings
	// lastError is the error of the last reload, or empty. An error that persists is logged once.
	lastError string
}

// run reloads the settings after each SIGHUP and every settingsPollInterval, until ctx ends.
func (r *reloader) run(ctx context.Context, sighup <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-sighup:
			r.reload(ctx, "SIGHUP")
		case <-ticker.C:
			r.reload(ctx, "file")
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the settings and applies the changes. Settings that cannot be read or are invalid are logged and
// ignored. The cause is "SIGHUP", or "file" for the periodic reload, which logs nothing if the settings are unchanged.
func (r *reloader) reload(ctx context.Context, cause string) {
	s, err := r.loadSettings()
	if err != nil {
		if err.Error() != r.lastError {
			r.log.Error(err, "cannot reload settings, keeping the current ones", "cause", cause)
		}
		r.lastError = err.Error()
		return
	}
	r.lastError = ""
	if reflect.DeepEqual(s, r.current) {
		if cause != "file" {
			r.log.Info("settings reloaded without changes", "cause", cause)
		}
		return
	}
	if !reflect.DeepEqual(s.Peers, r.current.Peers) {
		r.setPeers(ctx, s.Peers)
	}
	previous := r.current
	r.current = s
	previous.Peers = s.Peers
	r.log.Info("settings reloaded", "cause", cause, "peers", s.Peers, "needs_restart", !reflect.DeepEqual(s, previous))
}

// notifySIGHUP returns a channel that receives SIGHUP, and a function that ends the delivery. An unhandled SIGHUP would
// terminate the process.
func notifySIGHUP() (signals <-chan os.Signal, stop func()) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c, func() { signal.Stop(c) }
}
