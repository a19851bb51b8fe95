// Package settings parses and checks the TOML settings of an instance.
//
// All findings of a text are reported together, each with its key and position.
package settings

import (
	"cmp"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/httpserver"
	"github.com/burdockpitch/burdockpitch/pkg/memorybudget"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/tomldoc"
)

// Duration is a time.Duration written with its unit, such as "150ms".
type Duration time.Duration

// UnmarshalText parses a duration with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := tomldoc.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Size is a number of bytes written with its binary unit, such as "64KiB".
type Size int64

// UnmarshalText parses a size with a unit.
func (s *Size) UnmarshalText(text []byte) error {
	v, err := tomldoc.ParseSize(string(text))
	*s = Size(v)
	return err
}

// Settings configures one instance. Addresses are "ip:port".
type Settings struct {
	// Adapter names the platform whose headers, configuration format and target entries are used. Default none: the
	// project's own.
	Adapter string `toml:"adapter"`
	// Zone is the availability zone of the instance. Required.
	Zone string `toml:"zone"`
	// Listen is the address for callers. Required.
	Listen string `toml:"listen"`
	// AdminListen is the address of the administration API. Default "127.0.0.1:9900".
	AdminListen string `toml:"admin_listen"`
	// ReadyListen is an address that answers every request with the readiness of the instance. Default none: readiness
	// is served on AdminListen only.
	ReadyListen string `toml:"ready_listen"`
	// AdminRemote allows an AdminListen that is not on loopback. The API has no authentication. Default false.
	AdminRemote bool `toml:"admin_remote"`
	// PeerListen is the address for other instances. Default none: the instance exchanges nothing with peers.
	PeerListen string `toml:"peer_listen"`
	// Peers are addresses of other instances, in addition to the instance list. Default none.
	Peers []string `toml:"peers"`
	// PeerCrossZoneRounds is the average number of exchange rounds, of one second each, and of pushed changes per contact
	// with an instance in another zone. Default 1.
	PeerCrossZoneRounds int `toml:"peer_cross_every"`
	// Platform is the base URL of the configuration service and instance list. Required.
	Platform string `toml:"platform"`
	// Selection is the method of choosing a target. Default "", which is the method of core.DefaultPolicy. The other
	// methods are for measurements.
	Selection string `toml:"selection"`
	// LameDuck is how long idle caller connections stay open after the stop signal. Default 5s.
	LameDuck Duration `toml:"lame_duck"`
	// StopLimit bounds a graceful stop, LameDuck included; requests that are still active then are aborted. Without
	// KillAfter it must exceed LameDuck plus Deadline.Max, so that only a stop that is stuck reaches it. Default 60s.
	StopLimit Duration `toml:"stop_limit"`
	// FirstStart states that the whole fleet starts for the first time, before there are callers. An instance then waits
	// for its peers before it reads the store of an adapter itself. Default false.
	FirstStart bool `toml:"first_start"`
	// KillAfter is the time after the stop signal at which the platform kills the process. If it is set, StopLimit must
	// be shorter and defaults to 9/10 of it; requests that need longer than StopLimit are aborted. Default 0s: never.
	KillAfter Duration `toml:"kill_after"`
	// Instances is the assumed number of instances. The limits that all instances share are divided by it, or by the
	// number of instances seen if that is larger; Connections.PerTarget is always divided by Instances. Default 14.
	Instances int `toml:"instances"`
	// Log configures the log.
	Log Log `toml:"log"`
	// Targets holds what is assumed of a target until it reports its own values.
	Targets Targets `toml:"targets"`
	// Connections configures the connections to targets.
	Connections Connections `toml:"connections"`
	// Fleet holds limits for all instances together.
	Fleet Fleet `toml:"fleet"`
	// Retry configures retries and bounds the attempts of a request.
	Retry Retry `toml:"retry"`
	// Hedge configures second attempts that run in parallel with a slow one.
	Hedge Hedge `toml:"hedge"`
	// Probe configures the health probes of targets and bounds their cost.
	Probe Probe `toml:"probe"`
	// LoadProbes configures the selection method "ask".
	LoadProbes LoadProbes `toml:"ask"`
	// Watch configures the reading of an adapter's store.
	Watch Watch `toml:"watch"`
	// Memory bounds the memory of the process.
	Memory Memory `toml:"memory"`
	// Queue configures the queue of requests that wait for a target.
	Queue Queue `toml:"queue"`
	// Limits bounds what a caller can send.
	Limits Limits `toml:"limits"`
	// Deadline bounds the deadlines of rules.
	Deadline Deadline `toml:"deadline"`
}

// Log configures the log.
type Log struct {
	// Verbosity is the highest level that is written: 0 for changes of state, 1 for repeated events, 2 for individual
	// requests. Default 0.
	Verbosity int `toml:"verbosity"`
	// LinesPerSecond bounds the rate of log lines; lines above it are dropped and counted. 0 means no limit. Default 500.
	LinesPerSecond int `toml:"lines_per_second"`
}

// Targets holds what is assumed of a target until it reports its own values.
type Targets struct {
	// Slots is the number of requests that a target is assumed to process at once until it reports its own number.
	// Default 4.
	Slots int `toml:"slots"`
}

// Connections configures the connections to targets.
type Connections struct {
	// PerTarget bounds the connections that all instances together open to a target. Default 200.
	PerTarget int `toml:"per_target"`
	// DialTimeout bounds the time for a new connection. Default 1s.
	DialTimeout Duration `toml:"dial_timeout"`
	// IdleTimeout is how long an unused connection stays open. Default 30s.
	IdleTimeout Duration `toml:"idle_timeout"`
	// WaitLimit bounds the wait for a connection while all are in use; then another target is tried. Default 250ms.
	WaitLimit Duration `toml:"wait_limit"`
	// FreshWithin is how recently a reused connection must have received a byte to carry an attempt of class "once".
	// Default 1s.
	FreshWithin Duration `toml:"fresh_within"`
}

// Fleet holds limits for all instances together.
type Fleet struct {
	// RepeatRatio is the share of requests that may be sent again over 10 s, by retries and hedges: 9/10 of it
	// together, of which hedges may use 3/10 of the whole. It replaces the ratios and floors of Retry and Hedge.
	// Default 0: these apply as they are.
	RepeatRatio float64 `toml:"repeat_ratio"`
	// RepeatSlack is the number of requests that may be sent again per service and 10 s in addition to RepeatRatio. It
	// has no effect if RepeatRatio is 0. Each instance takes its share. Default 0.
	RepeatSlack float64 `toml:"repeat_slack"`
	// WarmupOvershoot and WarmupSlack bound the requests to a cold target in any one second: the rate that the
	// configuration of its service states times WarmupOvershoot, plus WarmupSlack. Defaults 1 and 2.
	WarmupOvershoot float64 `toml:"warmup_overshoot"`
	WarmupSlack     float64 `toml:"warmup_slack"`
}

// Retry configures retries and bounds the attempts of a request.
type Retry struct {
	// Ratio is the share of requests that may be retried over 10 s. Default 0.1.
	Ratio float64 `toml:"ratio"`
	// Floor is the number of retries that each instance may always make per 10 s and service. Default 10.
	Floor int `toml:"floor"`
	// MaxAttempts bounds the attempts of one request, hedges included. Default 4.
	MaxAttempts int `toml:"max_attempts"`
}

// Hedge configures second attempts that run in parallel with a slow one. Only idempotent requests are hedged.
type Hedge struct {
	// Ratio is the share of requests that may be hedged over 10 s; 0 together with a Floor of 0 disables hedging.
	// Default 0.05.
	Ratio float64 `toml:"ratio"`
	// Floor is the number of hedges that each instance may always make per 10 s and service. Default 5.
	Floor int `toml:"floor"`
	// Quantile is the quantile of recent latency after which an attempt is hedged. Default 0.95.
	Quantile float64 `toml:"quantile"`
}

// Probe configures the health probes of targets and bounds their cost.
type Probe struct {
	// Share is the share of the targets' slot time that all instances together spend on health probes. Default 0.005.
	Share float64 `toml:"share"`
	// Cost is the slot time that one health probe takes. Default 5ms.
	Cost Duration `toml:"cost"`
	// Path is the path that health probes and load probes request from a target. Default "/health".
	Path string `toml:"path"`
}

// LoadProbes configures the selection method "ask", which probes targets for their load before a request is sent.
type LoadProbes struct {
	// Local is the number of targets in the instance's own zone that are probed for a request. Default 5.
	Local int `toml:"local"`
	// Remote is the number of targets in any zone that are probed if none in the own zone is suitable. Default 5.
	Remote int `toml:"remote"`
	// Subset is the number of targets in the own zone from which an instance chooses those to probe, with half as many
	// in other zones. 0 means all. Default 12.
	Subset int `toml:"subset"`
	// PerTarget bounds the load probes per second that a target gets from all instances together, on average. Default 40.
	PerTarget float64 `toml:"per_target"`
	// Headroom is the share of a target's slots that is used; a target with up to three slots is used fully. Default 0.8.
	Headroom float64 `toml:"headroom"`
}

// Watch configures how an instance reads the store of an adapter.
type Watch struct {
	// Wait is how long a watch waits for a change, and thus how old a view becomes before it is confirmed. Default 1s.
	Wait Duration `toml:"wait"`
	// PeerWait is how long a watch on another instance waits for a change or a confirmation. Default 1s.
	PeerWait Duration `toml:"peer_wait"`
	// MaxAge is the age of a view at which an instance stops relying on peers and reads the store itself. Default 1.4s.
	MaxAge Duration `toml:"max_age"`
	// Share lets instances read the store through each other, so that few of them call it. Default true.
	Share bool `toml:"share"`
	// Timeout bounds a call. A watch may take Wait plus Timeout. Default 500ms.
	Timeout Duration `toml:"timeout"`
	// MaxBatchDelay is the longest random pause after changes, in which further changes are collected. Default 300ms.
	MaxBatchDelay Duration `toml:"gather"`
	// BackoffInitial and BackoffMax bound the pause after a failed call. Defaults 50ms and 800ms.
	BackoffInitial Duration `toml:"backoff_first"`
	BackoffMax     Duration `toml:"backoff_limit"`
}

// Memory bounds the memory of the process.
type Memory struct {
	// Limit is the memory size near which the garbage collector runs more often. Default 7/10 of Process, or none if that is
	// unknown.
	Limit Size `toml:"limit"`
	// GCPercent is the growth of the heap, in percent, at which the garbage collector runs. Default 100.
	GCPercent int `toml:"gc_percent"`
	// Process is the size at which the platform kills the process. Default 0B: unknown, without a bound on bodies.
	Process Size `toml:"process"`
	// BodyShare is the share of Process that request bodies and buffered responses may take together. Default 0.25.
	BodyShare float64 `toml:"body_share"`
}

// Queue configures the queue of requests that wait for a target.
type Queue struct {
	// Limit is the number of requests of each class that may wait per service; with the selection method "ask", of all
	// classes together. Default 256.
	Limit int `toml:"limit"`
	// FirstAttemptShare distinguishes first attempts of callers from caller retries. A request whose caller timeout is
	// below this share of the longest one seen for its rule counts as a retry after a refusal, and its objective counts
	// from the first attempt. Default 0: every request counts as a first attempt.
	FirstAttemptShare float64 `toml:"first_share"`
}

// MinConnections is the lowest bound on connections that leaves some for callers.
const MinConnections = 64

// Limits bounds what a caller can send.
type Limits struct {
	// Body caps the body limits of rules. Default 64MiB.
	Body Size `toml:"body"`
	// Header is the largest size of a request head. Default 64KiB.
	Header Size `toml:"header"`
	// HeaderTimeout is the time that a caller may take to send a request head. Default 10s.
	HeaderTimeout Duration `toml:"header_timeout"`
	// IdleTimeout is how long a caller's connection stays open between two requests. Default 10m.
	IdleTimeout Duration `toml:"idle_timeout"`
	// Connections bounds the open connections of all listeners together. Default 0: half of Descriptors, or a quarter of
	// the memory of the process, whichever is reached first. Another value is at least MinConnections.
	Connections int `toml:"connections"`
	// Descriptors is the number of file descriptors that the process may have open. Default 0: the limit of the system.
	Descriptors int `toml:"descriptors"`
}

// Deadline bounds the deadlines of rules.
type Deadline struct {
	// Max caps the deadlines of rules. Default 50s.
	Max Duration `toml:"max"`
}

// Default returns the defaults. The required keys Zone, Listen and Platform are empty.
func Default() Settings {
	p, t := core.DefaultPolicy(), target.DefaultConfig()
	return Settings{
		AdminListen: "127.0.0.1:9900", PeerCrossZoneRounds: 1,
		LameDuck:  Duration(5 * time.Second),
		StopLimit: Duration(60 * time.Second),
		Instances: p.InstanceCount,
		Log:       Log{LinesPerSecond: 500},
		Targets:   Targets{Slots: p.SlotsPerTarget},
		Connections: Connections{
			PerTarget:   200,
			DialTimeout: Duration(t.DialTimeout),
			IdleTimeout: Duration(t.IdleTimeout),
			WaitLimit:   Duration(t.WaitLimit),
			FreshWithin: Duration(t.FreshWithin),
		},
		Fleet:      Fleet{WarmupOvershoot: p.WarmupOvershoot, WarmupSlack: p.WarmupSlack},
		Retry:      Retry{Ratio: p.RetryRatio, Floor: p.RetryFloor, MaxAttempts: p.MaxAttempts},
		Hedge:      Hedge{Ratio: p.HedgeRatio, Floor: p.HedgeFloor, Quantile: p.HedgeQuantile},
		Probe:      Probe{Share: 0.005, Cost: Duration(5 * time.Millisecond), Path: "/health"},
		LoadProbes: LoadProbes{Local: p.LoadProbesLocal, Remote: p.LoadProbesRemote, Subset: p.LoadProbeSubset, PerTarget: p.LoadProbesPerTarget, Headroom: p.Headroom},
		Watch: Watch{
			Wait: Duration(time.Second), PeerWait: Duration(time.Second), MaxAge: Duration(1400 * time.Millisecond),
			Share: true, Timeout: Duration(500 * time.Millisecond), MaxBatchDelay: Duration(300 * time.Millisecond),
			BackoffInitial: Duration(50 * time.Millisecond), BackoffMax: Duration(800 * time.Millisecond),
		},
		Memory:   Memory{GCPercent: 100, BodyShare: 0.25},
		Queue:    Queue{Limit: p.QueueLimit},
		Limits:   Limits{Body: rules.MaxBodyBytes, Header: Size(httpserver.DefaultLimits.HeadBytes), HeaderTimeout: Duration(httpserver.DefaultLimits.HeadTimeout), IdleTimeout: Duration(httpserver.DefaultLimits.IdleTimeout)},
		Deadline: Deadline{Max: Duration(rules.MaxDeadline)},
	}
}

// Load reads and checks a settings file. The error for an invalid text is a findings.List.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Fractions of Fleet.RepeatRatio and Fleet.RepeatSlack for retries and hedges together, for hedges alone, and of
// Fleet.RepeatRatio for an instance that has just started. The tenth that repeatFraction leaves covers the latter, and
// requests that two instances count at different times.
const (
	repeatFraction = 0.9
	hedgeFraction  = 0.3
	startFraction  = 0.1
)

// Policy returns the policy that applies to every service.
func (s Settings) Policy() core.Policy {
	p := core.DefaultPolicy()
	p.Zone = core.Zone(s.Zone)
	if s.Selection != "" {
		p.Selection = core.Selection(s.Selection)
	}
	p.SlotsPerTarget = s.Targets.Slots
	p.InstanceCount = s.Instances
	p.QueueLimit, p.FirstAttemptShare = s.Queue.Limit, s.Queue.FirstAttemptShare
	p.MaxAttempts = s.Retry.MaxAttempts
	p.RetryRatio, p.StartRetryRatio, p.RetryFloor = s.Retry.Ratio, s.Retry.Ratio, s.Retry.Floor
	p.HedgeRatio, p.HedgeFloor, p.HedgeQuantile = s.Hedge.Ratio, s.Hedge.Floor, s.Hedge.Quantile
	if f := s.Fleet; f.RepeatRatio > 0 {
		p.RetriesIncludeHedges = true
		p.RetryRatio, p.HedgeRatio = f.RepeatRatio*repeatFraction, f.RepeatRatio*hedgeFraction
		p.StartRetryRatio = f.RepeatRatio * startFraction
		p.RetryFloor, p.HedgeFloor = 0, 0
		p.RetrySlack, p.HedgeSlack = f.RepeatSlack*repeatFraction, f.RepeatSlack*hedgeFraction
	}
	p.ProbeShare, p.ProbeCost = s.Probe.Share, s.Probe.Cost.Std()
	p.LoadProbesLocal, p.LoadProbesRemote, p.LoadProbeSubset = s.LoadProbes.Local, s.LoadProbes.Remote, s.LoadProbes.Subset
	p.InstanceID = cmp.Or(s.PeerListen, s.Listen) // other instances know the peer address
	p.WarmupOvershoot, p.WarmupSlack = s.Fleet.WarmupOvershoot, s.Fleet.WarmupSlack
	p.HasPeers = slices.ContainsFunc(s.Peers, func(address string) bool { return address != s.PeerListen })
	p.LoadProbesPerTarget, p.Headroom = s.LoadProbes.PerTarget, s.LoadProbes.Headroom
	return p
}

// BodyMemory returns the bound on the bytes of bodies in memory, or 0 if there is none.
func (s Settings) BodyMemory() int64 { return int64(float64(s.Memory.Process) * s.Memory.BodyShare) }

// MaxBody returns the cap on the body limits of rules: Limits.Body, or the largest body that BodyMemory can hold if that
// is less.
func (s Settings) MaxBody() int64 {
	if bound := s.BodyMemory(); bound > 0 {
		return min(int64(s.Limits.Body), memorybudget.MaxBody(bound))
	}
	return int64(s.Limits.Body)
}

// TargetConfig returns the configuration of the connections to one target. An instance opens its share of
// Connections.PerTarget, at least one connection.
func (s Settings) TargetConfig() target.Config {
	return target.Config{
		DialTimeout:    s.Connections.DialTimeout.Std(),
		MaxConnections: max(s.Connections.PerTarget/s.Instances, 1),
		WaitLimit:      s.Connections.WaitLimit.Std(),
		FreshWithin:    s.Connections.FreshWithin.Std(),
		IdleTimeout:    s.Connections.IdleTimeout.Std(),
	}
}
