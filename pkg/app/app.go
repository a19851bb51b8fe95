// Package app wires the parts of an entry instance and starts and stops them in order.
package app

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"github.com/burdockpitch/burdockpitch/internal/sockets"
	"github.com/burdockpitch/burdockpitch/pkg/admin"
	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/gateway"
	"github.com/burdockpitch/burdockpitch/pkg/logging"
	"github.com/burdockpitch/burdockpitch/pkg/peer"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/settings"
)

// logFlushTimeout bounds the time for which a stopped instance waits until its last log lines are written.
const logFlushTimeout = 200 * time.Millisecond

// Run serves until ctx ends, then stops gracefully. Load reads the settings again; it is called after SIGHUP and from
// time to time.
func Run(ctx context.Context, s settings.Settings, adapter Adapter, loadSettings func() (settings.Settings, error)) error {
	sighup, stopNotify := notifySIGHUP()
	defer stopNotify()
	applyMemorySettings(s.Memory)
	logWriter := logging.NewWriter(os.Stdout, s.Log.LinesPerSecond)
	defer logWriter.Close(logFlushTimeout)
	c := dig.New()
	constructors := []any{
		func() settings.Settings { return s },
		func() Adapter { return adapter },
		func() logr.Logger { return logging.New(logWriter, s.Log.Verbosity) },
		newRegistry, newGatewayConfig, gateway.NewMetrics, gateway.New, discovery.NewMetrics, peer.NewMetrics,
		newStore, newNode, newPlatformReader, newControlPlane, newInstance,
	}
	for _, constructor := range constructors {
		if err := c.Provide(constructor); err != nil {
			return eris.Wrap(err, "wire instance")
		}
	}
	var runErr error
	invoke := func(inst *instance, log logr.Logger) {
		r := &reloader{loadSettings: loadSettings, setPeers: inst.controlPlane.node.SetSeeds, log: log, current: s}
		go r.run(ctx, sighup)
		runErr = inst.run(ctx)
	}
	if err := c.Invoke(invoke); err != nil {
		return eris.Wrap(dig.RootCause(err), "build instance")
	}
	return runErr
}

// applyMemorySettings makes the runtime collect memory as the settings ask.
func applyMemorySettings(m settings.Memory) {
	debug.SetGCPercent(m.GCPercent)
	if m.Limit > 0 {
		debug.SetMemoryLimit(int64(m.Limit))
	}
}

func newRegistry() (*prometheus.Registry, prometheus.Registerer) {
	reg := prometheus.NewRegistry()
	return reg, reg
}

func newGatewayConfig(s settings.Settings, a Adapter) gateway.Config {
	return gateway.Config{
		Policy: s.Policy(), Target: s.TargetConfig(), ProbePath: s.Probe.Path, Dialect: a.Dialect, HeaderLimits: headerLimits(s),
	}
}

// headerLimits returns the settings' limits on request heads.
func headerLimits(s settings.Settings) gateway.HeaderLimits {
	return gateway.HeaderLimits{Timeout: s.Limits.HeaderTimeout.Std(), MaxBytes: int(s.Limits.Header)}
}

// instance is one running entry instance.
type instance struct {
	settings     settings.Settings
	log          logr.Logger
	registry     *prometheus.Registry
	gateway      *gateway.Gateway
	store        *discovery.ConfigStore
	controlPlane *controlPlane
	stopping     atomic.Bool
}

func newInstance(
	s settings.Settings, log logr.Logger, reg *prometheus.Registry, g *gateway.Gateway, st *discovery.ConfigStore, c *controlPlane,
) *instance {
	return &instance{settings: s, log: log, registry: reg, gateway: g, store: st, controlPlane: c}
}

// Ready reports why the instance may not receive callers, or nil.
func (i *instance) Ready() error {
	if i.stopping.Load() {
		return eris.New("stopping")
	}
	return i.controlPlane.ready()
}

// Configuration lists the documents in force.
func (i *instance) Configuration() []admin.ConfigurationEntry {
	docs := i.store.Documents()
	list := make([]admin.ConfigurationEntry, len(docs))
	for n, d := range docs {
		list[n] = admin.ConfigurationEntry{Service: d.Service, Version: d.Version, BasedOn: d.BasedOn, Rules: len(d.Rules)}
	}
	return list
}

// Refused lists the last refused document of each service.
func (i *instance) Refused() []admin.Refusal {
	var list []admin.Refusal
	for _, r := range i.store.LastRefused() {
		list = append(list, admin.Refusal{
			Service: r.Service, Version: r.Version, Source: r.Source, Time: r.Time, Reason: r.Reason, Findings: r.Findings,
		})
	}
	return list
}

// Conflicts lists where documents in force compete.
func (i *instance) Conflicts() []rules.Conflict {
	var docs []*rules.Document
	for _, d := range i.store.Documents() {
		docs = append(docs, d.Document)
	}
	return rules.NewTable(docs).Conflicts()
}

// Services returns a view of each service.
func (i *instance) Services() map[string]core.View { return i.gateway.Status() }

// Instances lists the other entry instances that are known.
func (i *instance) Instances() []admin.Instance {
	var list []admin.Instance
	for _, member := range i.controlPlane.node.Members() {
		state := discovery.StateLive
		if member.Leaving {
			state = discovery.StateLeaving
		}
		list = append(list, admin.Instance{
			Address: member.Address, Zone: member.Zone, Start: member.Start, State: string(state), InContact: member.InContact,
		})
	}
	return list
}

func (i *instance) run(ctx context.Context) error {
	callerListener, err := sockets.ListenConfig().Listen(ctx, "tcp", i.settings.Listen)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	adminListener, err := net.Listen("tcp", i.settings.AdminListen)
	if err != nil {
		return eris.Wrap(err, "listen for administration")
	}
	peerListener, err := i.controlPlane.listenPeers()
	if err != nil {
		return err
	}
	readyListener, err := i.listenReady()
	if err != nil {
		return err
	}
	callerServer := i.gateway.NewServer()
	adminServer := &http.Server{Handler: admin.NewHandler(i, i.registry)}
	headerLimits(i.settings).Apply(adminServer)
	backgroundCtx, cancelBackground := context.WithCancel(context.Background())
	defer cancelBackground()

	var group errgroup.Group
	group.Go(func() error { return serve(callerServer, callerListener) })
	group.Go(func() error { return serve(adminServer, adminListener) })
	readyServer := &http.Server{Handler: http.HandlerFunc(i.serveReady), ReadHeaderTimeout: readyHeaderTimeout}
	if readyListener != nil {
		group.Go(func() error { return serve(readyServer, readyListener) })
	}
	go i.controlPlane.run(backgroundCtx, peerListener)
	i.log.Info("instance started", "callers", callerListener.Addr().String(), "admin", adminListener.Addr().String())

	<-ctx.Done()
	i.controlPlane.node.AnnounceLeaving(context.Background())
	i.stop(callerServer)
	_ = adminServer.Close()
	_ = readyServer.Close()
	return group.Wait()
}

// readyHeaderTimeout bounds the time for the head of a question for readiness.
const readyHeaderTimeout = 5 * time.Second

// listenReady opens the listener for questions for readiness; nil if the settings name none.
func (i *instance) listenReady() (net.Listener, error) {
	if i.settings.ReadyListen == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", i.settings.ReadyListen)
	return l, eris.Wrap(err, "listen for questions for readiness")
}

// serveReady answers with the readiness: 200, or 503 with the reason.
func (i *instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := i.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop ends the instance without cutting a request. During the lame-duck period the platform's balancer sees the failing
// readiness, and callers are moved off their kept-alive connections by the answers to their own requests: closing an idle
// connection earlier could cut a request that is on its way.
func (i *instance) stop(server *http.Server) {
	i.stopping.Store(true)
	i.gateway.Drain()
	i.log.Info("instance stopping")
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.StopLimit.Std())
	defer cancel()
	select {
	case <-time.After(i.settings.LameDuck.Std()):
	case <-ctx.Done():
	}
	if err := server.Shutdown(ctx); err != nil {
		aborted := i.gateway.Active()
		i.gateway.CountAborted(aborted)
		i.log.Error(err, "graceful stop reached its limit", "aborted", aborted)
		_ = server.Close()
	}
	i.log.Info("instance stopped")
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
		return eris.Wrapf(err, "serve %s", l.Addr())
	}
	return nil
}
