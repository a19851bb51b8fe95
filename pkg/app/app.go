// Package app wires the components of an instance, and starts and stops them in order.
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
	"github.com/burdockpitch/burdockpitch/pkg/httpserver"
	"github.com/burdockpitch/burdockpitch/pkg/logging"
	"github.com/burdockpitch/burdockpitch/pkg/peer"
	"github.com/burdockpitch/burdockpitch/pkg/quarantine"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/settings"
)

// logFlushTimeout bounds how long a stopped instance waits until its last log lines are written.
const logFlushTimeout = 200 * time.Millisecond

// Run serves requests until ctx ends, and then stops gracefully. It calls loadSettings after each SIGHUP and every
// settingsPollInterval. The log goes to standard output. It returns an error at once if the instance cannot start. The
// error of a listener that fails later is returned after the stop.
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
		newRegistry, newCapacityShares, newGatewayConfig, gateway.NewMetrics, gateway.New, discovery.NewMetrics, peer.NewMetrics,
		newConfigStore, newNode, newPlatformReader, newControlPlane, newInstance,
	}
	for _, constructor := range constructors {
		if err := c.Provide(constructor); err != nil {
			return eris.Wrap(err, "register constructors of the instance")
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

// applyMemorySettings configures the garbage collector of this process.
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

func newGatewayConfig(s settings.Settings, a Adapter, c capacityShares) gateway.Config {
	return gateway.Config{
		Policy: s.Policy(), Target: s.TargetConfig(), ProbePath: s.Probe.Path, Dialect: a.Dialect,
		Limits: httpserver.Limits{
			HeadBytes: int(s.Limits.Header), HeadTimeout: s.Limits.HeaderTimeout.Std(), IdleTimeout: s.Limits.IdleTimeout.Std(),
		},
		CallerConnections: c.callers, RelayConnections: c.relays,
		PeerAddress: s.PeerListen, BodyMemory: c.memory, BodyAllowance: bodyAllowance,
		ResponseHeadMemory: c.responseHeads,
		HoldUntilSynced:    s.Adapter == "", // the project's own platform may be behind the other instances
	}
}

// instance is a running instance. It implements admin.Source.
type instance struct {
	settings     settings.Settings
	log          logr.Logger
	registry     *prometheus.Registry
	gateway      *gateway.Gateway
	configStore  *discovery.ConfigStore
	controlPlane *controlPlane
	capacity     capacityShares
	stopping     atomic.Bool
}

func newInstance(
	s settings.Settings, log logr.Logger, reg *prometheus.Registry, g *gateway.Gateway, configStore *discovery.ConfigStore, c *controlPlane,
	capacity capacityShares,
) *instance {
	reg.MustRegister(g.NewUnusableCollector(), g.NewBudgetCollector())
	return &instance{settings: s, log: log, registry: reg, gateway: g, configStore: configStore, controlPlane: c, capacity: capacity}
}

// Ready implements admin.Source.
func (i *instance) Ready() error {
	if i.stopping.Load() {
		return eris.New("stopping")
	}
	return i.controlPlane.ready()
}

// Configuration implements admin.Source.
func (i *instance) Configuration() []admin.ConfigurationEntry {
	docs := i.configStore.Documents()
	list := make([]admin.ConfigurationEntry, len(docs))
	for n, d := range docs {
		list[n] = admin.ConfigurationEntry{Service: d.Service, Version: d.Version, BasedOn: d.BasedOn, Rules: len(d.Rules)}
	}
	return list
}

// Refused implements admin.Source.
func (i *instance) Refused() []admin.Refusal {
	var list []admin.Refusal
	for _, r := range i.configStore.LastRefused() {
		list = append(list, admin.Refusal{
			Service: r.Service, Version: r.Version, Source: r.Source, Time: r.Time, Reason: r.Reason, Findings: r.Findings,
		})
	}
	return list
}

// Conflicts implements admin.Source.
func (i *instance) Conflicts() []rules.Conflict {
	var docs []*rules.Document
	for _, d := range i.configStore.Documents() {
		docs = append(docs, d.Document)
	}
	return rules.NewTable(docs).Conflicts()
}

// Services implements admin.Source.
func (i *instance) Services() map[string]core.View { return i.gateway.Status() }

// EvacuatedZones implements admin.Source.
func (i *instance) EvacuatedZones() []string { return i.gateway.EvacuatedZones() }

// Instances implements admin.Source.
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

// Quarantined implements admin.Source.
func (i *instance) Quarantined() []admin.QuarantinedRequest {
	var list []admin.QuarantinedRequest
	for _, r := range i.gateway.Quarantine().Quarantined() {
		list = append(list, admin.QuarantinedRequest{
			Content: quarantine.FormatContent(r.Content), Crashes: r.Targets(), IdleSeconds: r.Age.Seconds(),
		})
	}
	return list
}

// run opens all listeners, serves until ctx ends and then stops gracefully. The control plane runs until the stop has
// finished.
func (i *instance) run(ctx context.Context) error {
	callerListener, err := sockets.ListenConfig().Listen(ctx, "tcp", i.settings.Listen)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	adminListener, err := sockets.ListenConfig().Listen(ctx, "tcp", i.settings.AdminListen)
	if err != nil {
		return eris.Wrap(err, "listen for administration")
	}
	peerListener, err := i.controlPlane.listenPeers(ctx)
	if err != nil {
		return err
	}
	readyListener, err := i.listenReady(ctx)
	if err != nil {
		return err
	}
	callerServer := i.gateway.NewServer()
	adminServer := i.newLocalServer("admin", admin.NewHandler(i, i.registry))
	backgroundCtx, cancelBackground := context.WithCancel(context.Background())
	defer cancelBackground()

	var group errgroup.Group
	group.Go(func() error { return serve(callerServer, callerListener) })
	group.Go(func() error { return serve(adminServer, adminListener) })
	readyServer := i.newLocalServer("ready", http.HandlerFunc(i.serveReady))
	if readyListener != nil {
		group.Go(func() error { return serve(readyServer, readyListener) })
	}
	servers := []*httpserver.Server{callerServer}
	if peerListener != nil {
		relayServer := i.gateway.NewRelayServer()
		relayListener := i.controlPlane.node.RelayListener(peerListener.Addr())
		group.Go(func() error { return serve(relayServer, relayListener) })
		servers = append(servers, relayServer)
	}
	go i.controlPlane.run(backgroundCtx, peerListener)
	i.log.Info("instance started", "callers", callerListener.Addr().String(), "admin", adminListener.Addr().String())

	<-ctx.Done()
	end := time.Now().Add(i.settings.StopLimit.Std())
	i.controlPlane.node.AnnounceLeaving(context.Background())
	i.stop(end, servers...)
	_ = adminServer.Close()
	_ = readyServer.Close()
	return group.Wait()
}

// listenReady opens the listener for readiness checks. It returns nil if the settings have no ready_listen.
func (i *instance) listenReady(ctx context.Context) (net.Listener, error) {
	if i.settings.ReadyListen == "" {
		return nil, nil
	}
	l, err := sockets.ListenConfig().Listen(ctx, "tcp", i.settings.ReadyListen)
	return l, eris.Wrap(err, "listen for readiness checks")
}

// serveReady responds to a readiness check with 200, or with 503 and the reason.
func (i *instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := i.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop shuts the instance down until end. During the lame-duck period the platform's load balancer sees the failing
// readiness check, and each response closes its caller's keep-alive connection. Idle connections stay open until the end
// of the period, because closing one could abort a request that the caller has already sent. Requests that are still
// active at the end, which were sent to targets before the stop, are aborted and counted.
func (i *instance) stop(end time.Time, servers ...*httpserver.Server) {
	i.stopping.Store(true)
	i.gateway.Drain(end)
	i.log.Info("instance stopping", "remaining_ms", time.Until(end).Milliseconds())
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	select {
	case <-time.After(i.settings.LameDuck.Std()):
	case <-ctx.Done():
	}
	var group errgroup.Group
	for _, server := range servers {
		group.Go(func() error { return server.Shutdown(ctx) })
	}
	if err := group.Wait(); err != nil {
		aborted := i.gateway.Active()
		i.gateway.CountAborted(aborted)
		i.log.Error(err, "graceful stop reached its limit", "aborted", aborted)
		for _, server := range servers {
			_ = server.Close()
		}
	}
	i.log.Info("instance stopped")
}

// serve runs s on l. It returns nil after s was closed or shut down.
func serve(s *httpserver.Server, l net.Listener) error {
	if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
		return eris.Wrapf(err, "serve %s", l.Addr())
	}
	return nil
}
