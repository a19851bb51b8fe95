package discovery_test

import (
	"io"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
)

// Guards against a grace period, in which removed targets are used, because watches are cut late in their wait: the source was
// there all the while.
func TestWatchesThatAreCutLateAreNoOutage(t *testing.T) {
	s := &fakeSource{cutAfter: 1400 * time.Millisecond, cutErr: io.ErrUnexpectedEOF}
	s.set("stays", "leaves")
	cfg, r := watcherConfig, &recorder{}
	cfg.Wait = 1500 * time.Millisecond
	w := discovery.NewWatcher(cfg, s, nil, r, discovery.NewMetrics(prometheus.NewRegistry()), logr.Discard())
	go w.Run(t.Context())
	require.Eventually(t, func() bool { return r.count() == 2 }, 10*time.Second, time.Millisecond)
	time.Sleep(2 * cfg.Wait)
	s.remove("leaves")
	require.Eventually(t, func() bool { return r.count() == 1 }, time.Second, time.Millisecond)
}
