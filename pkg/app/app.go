// Package app wires the parts of an entry instance and starts and stops them in order.
package app

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"github.com/burdockpitch/burdockpitch/pkg/admin"
	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/gateway"
	"github.com/burdockpitch/burdockpitch/pkg/peer"
	"github.com/burdockpitch/burdockpitch/pkg/platform"
	"github.com/burdockpitch/burdockpitch/pkg/settings"
	"github.com/burdockpitch/burdockpitch/pkg/target"
)

const readHeaderTimeout = 10 * time.Second

// Run serves until ctx ends, then stops gracefully.
func Run(ctx context.Context, s settings.Settings) error {
	c := dig.New()
	constructors := []any{
		func() settings.Settings { return s },
		newLogger, newRegistry, newGatewayConfig, gateway.NewMetrics, gateway.New, platform.NewMetrics, peer.NewMetrics,
		newStore, newNode, newReader, newFleet, newInstance,
	}
	for _, constructor := range constructors {
		if err := c.Provide(constructor); err != nil {
			return eris.Wrap(err, "wire instance")
		}
	}
	var runErr error
	if err := c.Invoke(func(i *instance) { runErr = i.run(ctx) }); err != nil {
		return eris.Wrap(dig.RootCause(err), "build instance")
	}
	return runErr
}

func newLogger() logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, nil))
}

func newRegistry() (*prometheus.Registry, prometheus.Registerer) {
	reg := prometheus.NewRegistry()
	return reg, reg
}

func newGatewayConfig(s settings.Settings) gateway.Config {
	policy := core.DefaultPolicy()
	policy.Zone = core.Zone(s.Zone)
	if s.Selection != "" {
		policy.Selection = core.Selection(s.Selection)
	}
	return gateway.Config{Policy: policy, Target: target.DefaultConfig()}
}

// instance is one running entry instance.
type instance struct {
	settings settings.Settings
	log      logr.Logger
	registry *prometheus.Registry
	gateway  *gateway.Gateway
	store    *platform.Store
	fleet    *fleet
	stopping atomic.Bool
}

func newInstance(
	s settings.Settings, log logr.Logger, reg *prometheus.Registry, g *gateway.Gateway, st *platform.Store, f *fleet,
) *instance {
	return &instance{settings: s, log: log, registry: reg, gateway: g, store: st, fleet: f}
}

// Ready reports why the instance may not receive callers, or nil.
func (i *instance) Ready() error {
	if i.stopping.Load() {
		return eris.New("stopping")
	}
	return i.fleet.ready()
}

// Configuration lists the documents in force.
func (i *instance) Configuration() []admin.ConfigurationEntry {
	docs := i.store.Documents()
	list := make([]admin.ConfigurationEntry, len(docs))
	for n, d := range docs {
		list[n] = admin.ConfigurationEntry{Service: d.Service, Version: d.Version, Rules: len(d.Rules)}
	}
	return list
}

func (i *instance) run(ctx context.Context) error {
	callers, err := net.Listen("tcp", i.settings.Listen)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	administration, err := net.Listen("tcp", i.settings.AdminListen)
	if err != nil {
		return eris.Wrap(err, "listen for administration")
	}
	peers, err := i.fleet.listen()
	if err != nil {
		return err
	}
	callerServer := &http.Server{Handler: i.gateway.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	adminServer := &http.Server{Handler: admin.NewHandler(i, i.registry), ReadHeaderTimeout: readHeaderTimeout}
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()

	var group errgroup.Group
	group.Go(func() error { return serve(callerServer, callers) })
	group.Go(func() error { return serve(adminServer, administration) })
	go i.fleet.run(background, peers)
	i.log.Info("instance started", "callers", callers.Addr().String(), "admin", administration.Addr().String())

	<-ctx.Done()
	i.stop(callerServer)
	_ = adminServer.Close()
	return group.Wait()
}

// stop lets the platform's balancer see the failing readiness before connections close.
func (i *instance) stop(callers *http.Server) {
	i.stopping.Store(true)
	i.log.Info("instance stopping")
	i.fleet.node.Leave(context.Background())
	callers.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.StopLimit.Std())
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		i.log.Error(err, "graceful stop cut requests")
	}
	i.log.Info("instance stopped")
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
		return eris.Wrapf(err, "serve %s", l.Addr())
	}
	return nil
}
