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

// settingsPollInterval is the time between two looks at the settings file, which may change without a signal.
const settingsPollInterval = 2 * time.Second

// reloader puts changed settings in force while the instance runs. Only the addresses of peers can change; all other
// keys need a restart, which the log says.
type reloader struct {
	loadSettings func() (settings.Settings, error)
	setPeers     func(ctx context.Context, peers []string)
	log          logr.Logger
	current      settings.Settings
	// lastError is the error of the last look, so that it is logged once.
	lastError string
}

// run looks at the settings after each SIGHUP and from time to time, until ctx ends.
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

// reload takes what changed in the settings. Settings that are wrong change nothing.
func (r *reloader) reload(ctx context.Context, cause string) {
	s, err := r.loadSettings()
	if err != nil {
		if err.Error() != r.lastError {
			r.log.Error(err, "settings not reloaded, the former ones stay in force", "cause", cause)
		}
		r.lastError = err.Error()
		return
	}
	r.lastError = ""
	if reflect.DeepEqual(s, r.current) {
		if cause != "file" {
			r.log.Info("settings reloaded, nothing changed", "cause", cause)
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

// notifySIGHUP returns the channel of SIGHUP. Without it the signal would end the process.
func notifySIGHUP() (signals <-chan os.Signal, stop func()) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c, func() { signal.Stop(c) }
}
