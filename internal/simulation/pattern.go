package simulation

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/findings"
)

// Pattern is a load pattern: a fleet, the load on it, the faults of its targets and what callers have to get.
type Pattern struct {
	// Name identifies the pattern. Answers names the decision that it tests, and Guards the failure without it.
	Name    string `toml:"name"`
	Answers string `toml:"answers"`
	Guards  string `toml:"guards"`
	// Instances and Targets are the numbers of load balancer instances and of targets.
	Instances int `toml:"instances"`
	Targets   int `toml:"targets"`
	// Slots and Queue are the requests that a target processes at once and those that wait in it.
	Slots int `toml:"slots"`
	Queue int `toml:"queue"`
	// Zones is the number of availability zones, among which instances and targets are divided evenly.
	Zones int `toml:"zones"`
	// Views is the number of parts into which the fleet is divided: an instance knows only those of its part.
	Views int `toml:"views"`
	// Warmup is the bound on requests to cold targets.
	Warmup Warmup `toml:"warmup"`
	// Duration is the time that is played.
	Duration Duration `toml:"duration"`
	// Options are the settings of the instances. Baseline, if set, are those of a second run for comparison.
	Options  Options       `toml:"options"`
	Baseline *Options      `toml:"baseline"`
	Loads    []Load        `toml:"load"`
	Faults   []Fault       `toml:"fault"`
	Expect   []Expectation `toml:"expect"`
}

// Options are settings of the instances.
type Options struct {
	// Selection is the selection method; empty means "ask".
	Selection string `toml:"selection"`
	// FirstAttemptShare is core.Policy.FirstAttemptShare.
	FirstAttemptShare float64 `toml:"first_share"`
	// RepeatRatio, if above 0, is the share of the requests that all instances may send again, in addition to RepeatSlack
	// per core.BudgetWindow.
	RepeatRatio float64 `toml:"repeat_ratio"`
	RepeatSlack float64 `toml:"repeat_slack"`
}

// Check returns an error if the options name an unknown selection method.
func (o Options) Check() error {
	if o.Selection != "" && !slices.Contains(core.Selections, core.Selection(o.Selection)) {
		return eris.Errorf("unknown selection %q", o.Selection)
	}
	return nil
}

// Load is a stream of requests of one kind.
type Load struct {
	// Class is the class of the requests, Rule their rule, Priority their priority.
	Class    string `toml:"class"`
	Rule     string `toml:"rule"`
	Priority int    `toml:"priority"`
	// Rate is the rate as a share of the capacity of the targets, PerSecond in requests per second; they add up.
	Rate      float64 `toml:"rate"`
	PerSecond float64 `toml:"per_second"`
	// From and For are the start and the length of the stream.
	From Duration `toml:"from"`
	For  Duration `toml:"for"`
	// RunTime is the time of a request on an undisturbed target. Objective and Deadline count from its arrival.
	RunTime   Duration `toml:"run_time"`
	Objective Duration `toml:"objective"`
	Deadline  Duration `toml:"deadline"`
	// CallerRetries is how often a caller sends a refused request again.
	CallerRetries int `toml:"caller_retries"`

	class core.Class
}

// The kinds of faults.
const (
	// FaultShed makes targets shed the share Strength of their requests although they have room.
	FaultShed = "shed"
	// FaultUnhealthy makes targets fail their probes while they serve.
	FaultUnhealthy = "unhealthy"
	// FaultHiddenSlowdown makes all targets slower by the factor Strength without reporting it.
	FaultHiddenSlowdown = "hidden-slowdown"
	// FaultRateLimit makes targets state that they accept Strength requests per second from all instances together.
	FaultRateLimit = "rate-limit"
	// FaultCold makes targets cold.
	FaultCold = "cold"
	// FaultEvacuate is an order to evacuate the zones of targets.
	FaultEvacuate = "evacuate"
	// FaultRestart restarts the share Strength of the instances at the beginning. They learn of each other in steps.
	FaultRestart = "restart"
	// FaultPartition partitions instances from all targets, zone by zone. Share and Skip are shares of the instances.
	FaultPartition = "partition"
)

var faultKinds = []string{
	FaultShed, FaultUnhealthy, FaultHiddenSlowdown, FaultRateLimit, FaultCold, FaultEvacuate, FaultRestart, FaultPartition,
}

// Fault is a fault of some targets.
type Fault struct {
	// Kind is one of the Fault constants.
	Kind string `toml:"kind"`
	// Share is the share of the targets that are affected.
	Share float64 `toml:"share"`
	// Skip is the share of the targets that precede the affected ones.
	Skip     float64  `toml:"skip"`
	Strength float64  `toml:"strength"`
	From     Duration `toml:"from"`
	For      Duration `toml:"for"`
}

// Expectation is what callers have to get. Zero values are not checked.
type Expectation struct {
	// Class restricts the expectation to requests of one class; empty means all.
	Class string `toml:"class"`
	// From and To limit it to requests that arrive in this time.
	From Duration `toml:"from"`
	To   Duration `toml:"to"`
	// InTime and Answered are the least shares of requests that are answered within their objective, and at all.
	InTime   float64 `toml:"in_time"`
	Answered float64 `toml:"answered"`
	// AboveBaseline is by how much the share in time has to exceed that of the baseline.
	AboveBaseline float64 `toml:"above_baseline"`
	// RefusedWithin is the longest time until a request of which no attempt was sent is refused.
	RefusedWithin Duration `toml:"refused_within"`
	// AttemptsPerRequest is the largest number of attempts per request of a caller, over the whole run.
	AttemptsPerRequest float64 `toml:"attempts_per_request"`
	// RepeatRatio and RepeatSlack bound the attempts after the first of their request that reach targets in each
	// core.BudgetWindow from From to To: the ratio times the requests in it, or in one before it, plus the slack.
	RepeatRatio float64 `toml:"repeat_ratio"`
	RepeatSlack float64 `toml:"repeat_slack"`
	// RateLimitFactor and RateLimitSlack bound the requests that reach a target in each rateLimitWindow from From to To:
	// the factor times what its rate limit allows in that time, plus the slack.
	RateLimitFactor float64 `toml:"rate_limit_factor"`
	RateLimitSlack  float64 `toml:"rate_limit_slack"`
}

// startRepeatShare is the share of Options.RepeatRatio for an instance that has just started: pkg/settings gives it a tenth
// of what the fleet may send again, and nine tenths to others.
const startRepeatShare = 1.0 / 9

// rateLimitWindow is the time over which the requests to a target with a rate limit are counted.
const rateLimitWindow = 4 * time.Second

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// capacity is the number of requests per second that the undisturbed targets answer with one slot free, for requests
// with the run time of the first load.
func (p *Pattern) capacity() float64 {
	return float64(p.Targets*(p.Slots-1)) * (1 - slowShare) / p.Loads[0].RunTime.Std().Seconds()
}

// zone returns the name of a zone; numbers count on from the last one.
func (p *Pattern) zone(n int) core.Zone { return core.Zone(fmt.Sprint("zone-", n%p.Zones)) }

// view returns the instances that instance n knows, itself included.
func (p *Pattern) view(instances []string, n int) []string {
	var known []string
	for i, id := range instances {
		if i%p.Views == n%p.Views {
			known = append(known, id)
		}
	}
	return known
}

// affectedTargets returns the number of targets that have a fault; they are the first ones after Fault.Skip.
func (p *Pattern) affectedTargets(f Fault) int { return int(f.Share*float64(p.Targets) + 0.5) }

// policy returns the policy of the instances.
func (o Options) policy(p *Pattern) core.Policy {
	policy := core.DefaultPolicy()
	policy.Selection = core.SelectAsk
	if o.Selection != "" {
		policy.Selection = core.Selection(o.Selection)
	}
	policy.InstanceCount, policy.SlotsPerTarget = p.Instances, p.Slots
	p.Warmup.applyTo(&policy)
	policy.LoadProbesPerTarget, policy.HedgeRatio, policy.HedgeFloor = 60, 0, 0
	policy.FirstAttemptShare = o.FirstAttemptShare
	if o.RepeatRatio > 0 {
		policy.RetryRatio, policy.RetryFloor, policy.RetriesIncludeHedges = o.RepeatRatio, 0, true
		policy.RetrySlack, policy.StartRetryRatio = o.RepeatSlack, o.RepeatRatio*startRepeatShare
	}
	return policy
}

//go:embed patterns/*.toml
var patternFiles embed.FS

// Patterns returns the patterns of this package, sorted by file name.
func Patterns() ([]*Pattern, error) {
	names, err := fs.Glob(patternFiles, "patterns/*.toml")
	if err != nil {
		return nil, eris.Wrap(err, "list patterns")
	}
	var list []*Pattern
	for _, name := range names {
		text, err := patternFiles.ReadFile(name)
		if err != nil {
			return nil, eris.Wrap(err, "read pattern")
		}
		p, err := Parse(path.Base(name), text)
		if err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, nil
}

// Parse parses and checks a pattern. The error is a findings.List; file is the name of the source in the findings.
func Parse(file string, text []byte) (*Pattern, error) {
	p := &Pattern{Instances: 14, Targets: 16, Slots: 3, Queue: 6, Zones: 1, Views: 1}
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(p)
	if err != nil {
		return nil, decodeFindings(file, err)
	}
	c := patternChecker{file: file}
	c.check(p)
	return p, c.found.Err()
}

// decodeFindings converts an error of the TOML decoder.
func decodeFindings(file string, err error) findings.List {
	const want = "a load pattern in TOML"
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var list findings.List
		for _, e := range strict.Errors {
			line, column := e.Position()
			list = append(list, findings.Finding{File: file, Line: line, Column: column, Message: fmt.Sprintf("unknown key %q", e.Key()), Want: want})
		}
		return list
	}
	finding := findings.Finding{File: file, Message: err.Error(), Want: want}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		finding.Line, finding.Column = decode.Position()
	}
	return findings.List{finding}
}

// patternChecker collects the findings of one pattern.
type patternChecker struct {
	file  string
	found findings.List
}

func (c *patternChecker) report(ok bool, want, format string, args ...any) {
	if !ok {
		c.found = append(c.found, findings.Finding{File: c.file, Message: fmt.Sprintf(format, args...), Want: want})
	}
}

func (c *patternChecker) check(p *Pattern) {
	c.report(p.Name != "", "a name", "the pattern has no name")
	c.report(p.Duration > 0, "a duration above 0", "duration %s", p.Duration.Std())
	c.report(p.Instances > 0 && p.Targets > 0 && p.Slots > 1, "at least one instance, one target and two slots",
		"%d instances, %d targets, %d slots", p.Instances, p.Targets, p.Slots)
	c.report(p.Zones > 0 && p.Views > 0, "at least one zone and one view", "%d zones, %d views", p.Zones, p.Views)
	const wantSelection = "ask, load, load-latency, two-choices, round-robin or random"
	c.report(p.Options.Check() == nil, wantSelection, "options: unknown selection %q", p.Options.Selection)
	if p.Baseline != nil {
		c.report(p.Baseline.Check() == nil, wantSelection, "baseline: unknown selection %q", p.Baseline.Selection)
	}
	c.report(len(p.Loads) > 0, "at least one load", "the pattern has no load")
	for i := range p.Loads {
		c.checkLoad(i, &p.Loads[i])
	}
	for i, f := range p.Faults {
		c.report(slices.Contains(faultKinds, f.Kind), "one of "+strings.Join(faultKinds, ", "), "fault %d: unknown kind %q", i+1, f.Kind)
		c.report(f.Share >= 0 && f.Skip >= 0 && f.Skip+f.Share <= 1 && f.For > 0, "shares from 0 to 1 and a length above 0",
			"fault %d: share %v after %v for %s", i+1, f.Share, f.Skip, f.For.Std())
	}
	for i, e := range p.Expect {
		_, known := core.ParseClass(e.Class)
		c.report(known || e.Class == "", "lookup, patient, once or no class", "expectation %d: unknown class %q", i+1, e.Class)
		c.report(e.AboveBaseline == 0 || p.Baseline != nil, "a table [baseline]", "expectation %d compares with a baseline", i+1)
	}
}

// checkLoad checks a load and sets its class.
func (c *patternChecker) checkLoad(i int, l *Load) {
	class, known := core.ParseClass(l.Class)
	l.class = class
	c.report(known, "lookup, patient or once", "load %d: unknown class %q", i+1, l.Class)
	c.report(l.Rate >= 0 && l.PerSecond >= 0 && l.Rate+l.PerSecond > 0, "a rate above 0", "load %d: rate %v, %v per second", i+1, l.Rate, l.PerSecond)
	c.report(l.For > 0 && l.RunTime > 0 && l.Objective > 0 && l.Deadline >= l.Objective,
		"a length, a run time and an objective above 0, and a deadline of at least the objective",
		"load %d: for %s, run time %s, objective %s, deadline %s", i+1, l.For.Std(), l.RunTime.Std(), l.Objective.Std(), l.Deadline.Std())
}
