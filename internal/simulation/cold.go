package simulation

import (
	"fmt"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

const (
	// coldSlowdown is the additional slowdown of a cold target.
	coldSlowdown = 2
	// entryInterval is the longest time until a cold target has written its list entry again, and entryDelay the longest
	// time until an instance receives it.
	entryInterval = 1500 * time.Millisecond
	entryDelay    = time.Second
	// coldWindow is the time over which the requests to a cold target are counted.
	coldWindow = time.Second
)

// Warmup is the bound on requests to cold targets. Without a rate there is none.
type Warmup struct {
	// PerSecond is the rate that a cold target tolerates, Overshoot and Slack are those of core.Policy.
	PerSecond float64 `toml:"per_second"`
	Overshoot float64 `toml:"overshoot"`
	Slack     float64 `toml:"slack"`
	// Time is how long a target is cold after its start.
	Time Duration `toml:"time"`
}

// bound returns the largest number of requests that a cold target may get within coldWindow.
func (w Warmup) bound() float64 { return w.PerSecond*w.Overshoot + w.Slack }

// applyTo sets the policy of the instances.
func (w Warmup) applyTo(policy *core.Policy) {
	policy.HasPeers = w.PerSecond > 0
	policy.Warmup, policy.WarmupRate, policy.WarmupOvershoot, policy.WarmupSlack = w.Time.Std(), w.PerSecond, w.Overshoot, w.Slack
}

// warmupStatement adds to a statement for how long the target stays cold.
func (t *target) warmupStatement(now core.Instant, st core.Statement) core.Statement {
	st.HasWarmup, st.Warmup = true, max(t.coldUntil-now, 0)
	return st
}

// setCold makes targets cold. They write their list entries again at different times, and each instance receives these
// later.
func (f *fleet) setCold(ids []core.TargetID, until core.Instant) {
	for _, id := range ids {
		t := f.targets[id]
		t.coldFrom, t.coldUntil, t.coldArrivals = f.now, until, nil
		f.schedule(f.randomTime(entryInterval), func() { f.writeEntry(id) })
	}
}

// restart replaces instances by new processes. Each learns of some others after its first exchange, and of all later. Their
// requests in progress are lost.
func (f *fleet) restart(instances []*instance) {
	for _, i := range instances {
		i.startService()
		for _, step := range []struct {
			after time.Duration
			known int
		}{{400 * time.Millisecond, 3}, {1400 * time.Millisecond, len(i.view) / 4}, {2800 * time.Millisecond, len(i.view)}} {
			service := i.service
			i.schedule(step.after+f.randomTime(200*time.Millisecond), func() {
				if i.service == service {
					i.apply(core.FleetChanged{Instances: i.some(step.known)})
				}
			})
		}
	}
}

// some returns a number of the instances in the view of i, itself included.
func (i *instance) some(count int) []string {
	known := []string{i.policy.InstanceID}
	for _, n := range i.rng.Perm(len(i.view)) {
		if id := i.view[n]; id != i.policy.InstanceID && len(known) < count {
			known = append(known, id)
		}
	}
	return known
}

// startService starts the process of i.
func (i *instance) startService() {
	i.service, i.startedAt = core.NewService(i.policy), i.now
	i.timerNumber++ // ignores the timer of the former process
	i.list = append([]core.Target(nil), i.fleet.list...)
	i.apply(core.TargetsChanged{Targets: append([]core.Target(nil), i.list...)})
}

func (f *fleet) randomTime(limit time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(limit))
}

// writeEntry writes the list entry of a target. Each instance receives it at another time.
func (f *fleet) writeEntry(id core.TargetID) {
	for n := range f.list {
		if f.list[n].ID == id {
			f.list[n].Revision++
			f.list[n].Warmup = max(f.targets[id].coldUntil-f.now, 0)
		}
	}
	list := append([]core.Target(nil), f.list...)
	for _, i := range f.instances {
		i.schedule(f.randomTime(entryDelay), func() { i.receiveList(list) })
	}
}

// receiveList applies the newest of the received versions of each entry.
func (i *instance) receiveList(list []core.Target) {
	for n, entry := range list {
		if entry.Revision >= i.list[n].Revision {
			i.list[n] = entry
		}
	}
	i.apply(core.TargetsChanged{Targets: append([]core.Target(nil), i.list...)})
}

// recordArrival records a request that reaches t, also against an order to evacuate its zone or while it is cold. A request
// that was sent before does not count.
func (t *target) recordArrival(now, sentAt core.Instant) {
	t.arrivals = append(t.arrivals, now)
	if t.evacuated && sentAt > t.evacuatedFrom {
		t.despiteOrder++
	}
	if now >= t.coldUntil || sentAt < t.coldFrom {
		return
	}
	t.coldArrivals = append(t.coldArrivals, now)
	n := 0
	for n < len(t.coldArrivals) && now-t.coldArrivals[len(t.coldArrivals)-1-n] < coldWindow {
		n++
	}
	t.mostWhileCold = max(t.mostWhileCold, n)
}

// checkCold returns what a run does not meet of the bound on requests to cold targets.
func (r *Result) checkCold(p *Pattern) []string {
	if bound := p.Warmup.bound(); float64(r.mostWhileCold) > bound {
		return []string{fmt.Sprintf("%s: %d requests reached a cold target within %s, want at most %.2f", p.Name, r.mostWhileCold, coldWindow, bound)}
	}
	return nil
}
