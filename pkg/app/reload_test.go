package app

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/settings"
)

// Guards against a SIGHUP that terminates the process with requests in flight because nothing handles the signal, as
// seen in the fault run "mix --seed 497003165015" of wusta-gate.
func TestSIGHUPReloadsWithoutExit(t *testing.T) {
	sighup, stop := notifySIGHUP()
	defer stop()
	applied := make(chan []string, 1)
	changed := settings.Default()
	changed.Peers = []string{"127.0.0.1:1"}
	r := &reloader{
		loadSettings: func() (settings.Settings, error) { return changed, nil },
		setPeers:     func(_ context.Context, peers []string) { applied <- peers },
		log:          logr.Discard(), current: settings.Default(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go r.run(ctx, sighup)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case peers := <-applied:
		require.Equal(t, changed.Peers, peers)
	case <-time.After(10 * time.Second):
		t.Fatal("settings were not reloaded within 10 s after SIGHUP")
	}
}

// Guards against invalid settings that replace the current ones.
func TestInvalidSettingsKeepCurrent(t *testing.T) {
	r := &reloader{
		loadSettings: func() (settings.Settings, error) { return settings.Settings{}, errors.New("line 3: bad value") },
		setPeers:     func(context.Context, []string) { t.Error("peers were replaced from invalid settings") },
		log:          logr.Discard(), current: settings.Default(),
	}
	r.reload(t.Context(), "SIGHUP")
	require.Equal(t, settings.Default(), r.current)
}
