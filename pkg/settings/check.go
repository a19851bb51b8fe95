package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/findings"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/tomldoc"
)

// numberBounds are the inclusive ranges of the numeric keys. Durations are in nanoseconds, sizes in bytes. The upper
// bounds only exclude values that cannot be intended, such as a ratio given in percent.
var numberBounds = []struct {
	key      string
	min, max float64
	want     string
}{
	{"peer_cross_every", 1, 100, "from 1 to 100"},
	{"lame_duck", 0, float64(10 * time.Minute), "from 0s to 10m"},
	{"stop_limit", float64(time.Second), float64(time.Hour), "from 1s to 1h"},
	{"instances", 1, 1000, "from 1 to 1000"},
	{"log.verbosity", 0, 2, "from 0 to 2"},
	{"log.lines_per_second", 0, 1_000_000, "from 0 to 1000000"},
	{"targets.slots", 1, 10_000, "from 1 to 10000"},
	{"connections.per_target", 1, 100_000, "from 1 to 100000"},
	{"connections.dial_timeout", float64(time.Millisecond), float64(10 * time.Second), "from 1ms to 10s"},
	{"connections.idle_timeout", float64(time.Second), float64(10 * time.Minute), "from 1s to 10m"},
	{"connections.wait_limit", float64(time.Millisecond), float64(time.Minute), "from 1ms to 1m"},
	{"connections.fresh_within", 0, float64(10 * time.Minute), "from 0s to 10m"},
	{"fleet.repeat_ratio", 0, 1, "a share from 0 to 1"},
	{"fleet.repeat_slack", 0, 1_000_000, "from 0 to 1000000"},
	{"fleet.warmup_overshoot", 1, 100, "from 1 to 100"},
	{"fleet.warmup_slack", 0, 10_000, "from 0 to 10000"},
	{"retry.ratio", 0, 1, "a share from 0 to 1"},
	{"retry.floor", 0, 10_000, "from 0 to 10000"},
	{"retry.max_attempts", 1, 10, "from 1 to 10"},
	{"hedge.ratio", 0, 1, "a share from 0 to 1"},
	{"hedge.floor", 0, 10_000, "from 0 to 10000"},
	{"hedge.quantile", 0.5, 0.999, "from 0.5 to 0.999"},
	{"probe.share", 0, 0.1, "a share from 0 to 0.1"},
	{"probe.cost", float64(10 * time.Microsecond), float64(time.Second), "from 10us to 1s"},
	{"kill_after", 0, float64(time.Hour), "from 0s to 1h"},
	{"ask.local", 0, 100, "from 0 to 100"},
	{"ask.remote", 1, 100, "from 1 to 100"},
	{"ask.subset", 0, 10_000, "from 0 to 10000"},
	{"ask.per_target", 0.1, 10_000, "from 0.1 to 10000"},
	{"ask.headroom", 0.1, 1, "a share from 0.1 to 1"},
	{"watch.wait", float64(10 * time.Millisecond), float64(30 * time.Second), "from 10ms to 30s"},
	{"watch.peer_wait", float64(10 * time.Millisecond), float64(time.Second), "from 10ms to 1s"},
	{"watch.max_age", float64(100 * time.Millisecond), float64(time.Minute), "from 100ms to 1m"},
	{"watch.timeout", float64(10 * time.Millisecond), float64(30 * time.Second), "from 10ms to 30s"},
	{"watch.gather", 0, float64(10 * time.Second), "from 0s to 10s"},
	{"watch.backoff_first", float64(time.Millisecond), float64(10 * time.Second), "from 1ms to 10s"},
	{"watch.backoff_limit", float64(time.Millisecond), float64(time.Minute), "from 1ms to 1m"},
	{"memory.limit", 0, float64(1 << 40), "from 0B to 1TiB"},
	{"memory.gc_percent", 1, 10_000, "from 1 to 10000"},
	{"memory.process", 0, float64(1 << 40), "from 0B to 1TiB"},
	{"memory.body_share", 0.01, 0.9, "a share from 0.01 to 0.9"},
	{"queue.limit", 1, 100_000, "from 1 to 100000"},
	{"queue.first_share", 0, 1, "a share from 0 to 1"},
	{"limits.body", 1, rules.MaxBodyBytes, "from 1B to 64MiB"},
	{"limits.header", 1 << 10, 1 << 20, "from 1KiB to 1MiB"},
	{"limits.header_timeout", float64(100 * time.Millisecond), float64(time.Minute), "from 100ms to 1m"},
	{"limits.idle_timeout", float64(100 * time.Millisecond), float64(24 * time.Hour), "from 100ms to 24h"},
	{"limits.connections", 0, 1_000_000, "from 0 to 1000000"},
	{"limits.descriptors", 0, 10_000_000, "from 0 to 10000000"},
	{"deadline.max", float64(rules.MinDeadline), float64(rules.MaxDeadline), "from 1ms to 50s"},
}

func (c *checker) checkRanges() {
	for _, b := range numberBounds {
		v := c.fields[b.key]
		var n float64
		if v.CanInt() {
			n = float64(v.Int())
		} else {
			n = v.Float()
		}
		if inRange := n >= b.min && n <= b.max; !inRange && !c.invalid[b.key] { // NaN is not in range
			c.invalid[b.key] = true
			c.report(c.valuePositions[b.key], b.want, "%s is out of range", b.key)
		}
	}
}

// stopLimitFraction is the default of stop_limit as a fraction of kill_after: a graceful stop then aborts the requests
// in flight itself before the platform kills the process.
const stopLimitFraction = 0.9

// memoryLimitFraction is the default of memory.limit as a fraction of memory.process. What the garbage collector does not
// see, such as received bytes that were not read, needs the rest.
const memoryLimitFraction = 0.7

// setDerivedDefaults sets the defaults that depend on other keys.
func (c *checker) setDerivedDefaults() {
	if _, given := c.valuePositions["stop_limit"]; !given && c.settings.KillAfter > 0 {
		c.settings.StopLimit = Duration(stopLimitFraction * float64(c.settings.KillAfter))
	}
	if _, given := c.valuePositions["memory.limit"]; !given {
		c.settings.Memory.Limit = Size(memoryLimitFraction * float64(c.settings.Memory.Process))
	}
}

// checkCombinations checks required keys, addresses and names, and keys against each other. It skips checks that
// involve a key in checker.invalid.
func (c *checker) checkCombinations() {
	c.checkNames()
	listeners := c.checkListeners()
	c.checkPortConflicts(listeners)
	s := c.settings
	c.require(s.LameDuck < s.StopLimit, "a lame_duck shorter than stop_limit",
		fmt.Sprintf("lame_duck %s is not shorter than stop_limit %s", s.LameDuck.Std(), s.StopLimit.Std()), "lame_duck", "stop_limit")
	c.require(s.KillAfter == 0 || s.StopLimit < s.KillAfter, "a stop_limit shorter than kill_after",
		fmt.Sprintf("stop_limit %s is not shorter than kill_after %s", s.StopLimit.Std(), s.KillAfter.Std()), "stop_limit", "kill_after")
	// With kill_after, stop_limit may abort requests. A lame_duck that is not below stop_limit is reported above.
	c.require(s.KillAfter > 0 || s.LameDuck >= s.StopLimit || s.LameDuck+s.Deadline.Max < s.StopLimit, "a stop_limit longer than lame_duck plus deadline.max",
		fmt.Sprintf("stop_limit %s can abort a request that arrives in the lame-duck period (%s) and may take %s",
			s.StopLimit.Std(), s.LameDuck.Std(), s.Deadline.Max.Std()), "stop_limit", "deadline.max", "lame_duck")
	c.require(s.Connections.PerTarget >= s.Instances, "at least one connection for each instance",
		"connections.per_target is lower than instances", "connections.per_target", "instances")
	c.require(s.Connections.FreshWithin <= s.Connections.IdleTimeout, "a fresh_within of at most idle_timeout",
		"connections.fresh_within is longer than connections.idle_timeout", "connections.fresh_within", "connections.idle_timeout")
	c.require(s.Connections.DialTimeout <= s.Deadline.Max, "a dial_timeout of at most deadline.max",
		"connections.dial_timeout is longer than every deadline", "connections.dial_timeout", "deadline.max")
	c.require(strings.HasPrefix(s.Probe.Path, "/"), `a path such as "/health"`, "probe.path does not begin with a slash", "probe.path")
	c.require(s.Retry.MaxAttempts > 1 || s.Hedge.Ratio == 0 && s.Hedge.Floor == 0 && s.Retry.Ratio == 0 && s.Retry.Floor == 0,
		"ratios and floors of 0 with one attempt, or more attempts",
		"retries or hedges are allowed, but retry.max_attempts allows one attempt", "retry.max_attempts", "hedge.ratio", "hedge.floor", "retry.ratio", "retry.floor")
	c.require(s.Limits.Connections == 0 || s.Limits.Connections >= MinConnections, fmt.Sprintf("0, or at least %d", MinConnections),
		"limits.connections leaves none for callers", "limits.connections")
	c.checkMemory()
}

// minProcessBytes is less than any instance runs in. A smaller size is a mistaken unit and would refuse nearly every body.
const minProcessBytes = 16 << 20

func (c *checker) checkMemory() {
	m := c.settings.Memory
	c.require(m.Process == 0 || m.Process >= minProcessBytes, "0B, or at least 16MiB", "memory.process is too small for an instance", "memory.process")
	c.require(m.Process == 0 || m.Limit <= m.Process, "a limit of at most memory.process",
		"memory.limit is larger than memory.process, at which the process is killed", "memory.limit", "memory.process")
	_, shareGiven := c.valuePositions["memory.body_share"]
	c.require(m.Process > 0 || !shareGiven, "memory.process with memory.body_share",
		"memory.body_share has no effect without memory.process", "memory.body_share", "memory.process")
}

// require reports a condition that does not hold, at the position of the first of its keys that the text contains. It
// reports nothing if one of the keys is in checker.invalid.
func (c *checker) require(ok bool, want, message string, keys ...string) {
	if ok || slices.ContainsFunc(keys, func(k string) bool { return c.invalid[k] }) {
		return
	}
	var at tomldoc.Pos
	for _, k := range keys {
		if position, given := c.valuePositions[k]; given {
			at = position
			break
		}
	}
	c.report(at, want, "%s", message)
}

// checkNames checks zone, platform and selection.
func (c *checker) checkNames() {
	c.require(c.settings.Zone != "", "the availability zone of the instance", "zone is missing", "zone")
	c.require(c.settings.Platform != "", "the base URL of the platform", "platform is missing", "platform")
	if c.settings.Platform != "" {
		u, err := url.Parse(c.settings.Platform)
		ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" && u.Fragment == ""
		c.require(ok, `a URL such as "http://10.0.0.5:9801"`, "platform is not a base URL", "platform")
	}
	selection := core.Selection(c.settings.Selection)
	c.require(selection == "" || slices.Contains(core.Selections, selection), `"random", "round-robin", "two-choices", "load", "load-latency" or "ask"`,
		fmt.Sprintf("unknown selection %q", c.settings.Selection), "selection")
}

// listener is an address on which the instance listens, with the key that gives it.
type listener struct {
	key  string
	addr netip.AddrPort
}

// checkListeners checks the listen addresses and the peers one by one, and returns the valid listen addresses.
func (c *checker) checkListeners() []listener {
	c.require(c.settings.Listen != "", "the address for callers", "listen is missing", "listen")
	var valid []listener
	for _, l := range []struct{ key, text string }{
		{"listen", c.settings.Listen}, {"admin_listen", c.settings.AdminListen}, {"peer_listen", c.settings.PeerListen}, {"ready_listen", c.settings.ReadyListen},
	} {
		if l.text == "" && l.key != "admin_listen" {
			continue
		}
		addr, err := parseAddress(l.text)
		c.require(err == nil, `an address "ip:port"`, fmt.Sprintf("bad address %q for %s", l.text, l.key), l.key)
		if err == nil {
			valid = append(valid, listener{l.key, addr})
		}
	}
	for _, l := range valid {
		c.require(l.key != "admin_listen" || c.settings.AdminRemote || l.addr.Addr().IsLoopback(), "a loopback address, or admin_remote = true",
			"admin_listen is not on loopback", "admin_listen")
	}
	c.checkPeers()
	return valid
}

func (c *checker) checkPeers() {
	if c.invalid["peers"] {
		return
	}
	seen := make(map[string]bool)
	for _, p := range c.peers {
		addr, err := parseAddress(p.Text)
		switch {
		case err != nil || addr.Addr().IsUnspecified():
			c.report(p.Pos, `an address "ip:port"`, "bad address %q in peers", p.Text)
		case seen[p.Text]:
			c.report(p.Pos, "each peer once", "peer %s is repeated", p.Text)
		}
		seen[p.Text] = true
	}
}

// parseAddress parses "ip:port"; ":port" stands for all interfaces. Port 0 is an error.
func parseAddress(text string) (netip.AddrPort, error) {
	if strings.HasPrefix(text, ":") {
		text = "[::]" + text
	}
	addr, err := netip.ParseAddrPort(text)
	if err == nil && addr.Port() == 0 {
		err = fmt.Errorf("address %q has port 0", text)
	}
	return addr, err
}

// checkPortConflicts reports listeners that take the same port of the same address. An unspecified address conflicts
// with all addresses.
func (c *checker) checkPortConflicts(listeners []listener) {
	for i, later := range listeners {
		for _, earlier := range listeners[:i] {
			a, b := earlier.addr, later.addr
			same := a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
			c.require(!same, "a port for each listener", fmt.Sprintf("%s and %s take the same port", earlier.key, later.key), later.key, earlier.key)
		}
	}
}

// CheckRules reports the rules of a document whose deadline or body limit the settings lower. Such rules are valid, but
// do not take effect as written.
func (s Settings) CheckRules(file string, doc *rules.Document) findings.List {
	var found findings.List
	for _, r := range doc.Rules {
		if r.Deadline > s.Deadline.Max.Std() {
			found = append(found, findings.Finding{File: file, Line: r.Line, Column: 1,
				Message: fmt.Sprintf("rule %q: the settings lower its deadline %s to %s", r.Name, r.Deadline, s.Deadline.Max.Std()),
				Want:    "a deadline of at most deadline.max of the settings"})
		}
		if limit := s.MaxBody(); r.BodyLimit > limit {
			found = append(found, findings.Finding{File: file, Line: r.Line, Column: 1,
				Message: fmt.Sprintf("rule %q: the settings lower its body limit of %d bytes to %d", r.Name, r.BodyLimit, limit),
				Want:    "a body limit of at most limits.body of the settings, and half of memory.process times memory.body_share"})
		}
	}
	return found
}
