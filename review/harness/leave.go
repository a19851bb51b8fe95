package main

import (
	"fmt"
	"sync"
	"time"
)

// leaveLab is a small deployment with traffic, in which server K leaves without reporting that it drains.
type leaveLab struct {
	*lab
	host    string
	stable  []*server
	k       *server
	stop    chan struct{}
	traffic sync.WaitGroup
}

const (
	lookupMs, bookingMs = 120, 160
	drainTime           = 2000 * time.Millisecond // drain_ms
	stableWindow        = 3000 * time.Millisecond // stable_window_ms
	checkIn             = 1500 * time.Millisecond // heartbeat_ms
)

func (l *lab) newLeaveLab() *leaveLab {
	d := &leaveLab{lab: l, host: "registre.example", stop: make(chan struct{})}
	l.startStore()
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range 4 {
		d.stable = append(d.stable, l.startServer("registre", zones[i%3], 4))
	}
	d.writeConfiguration()
	for _, s := range d.stable {
		l.store.put("servers/"+s.id, s.entry("ready", 0, 1))
	}
	l.addInstances(zones, bounds{grace: 6, slack: 56, probesPerS: 60, memoryMB: 284})
	l.startInstances()
	d.traffic.Go(d.sendRequests)
	return d
}

func (d *leaveLab) writeConfiguration() {
	d.store.put("op/config", configuration(5, d.host, []route{
		{Name: "r-lookup", Kind: "safe", Prefix: "/lookup/", Service: "registre", TimeoutMs: 1000, TargetMs: 300, Priority: 2},
		{Name: "r-booking", Kind: "unsafe", Prefix: "/booking/", Service: "registre", TimeoutMs: 1200, TargetMs: 400, Priority: 1},
	}, []string{"registre"}))
}

// sendRequests sends 80 requests a second, lookups and bookings in turn, to the instances in turn.
func (d *leaveLab) sendRequests() {
	ticker := time.NewTicker(12500 * time.Microsecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-d.stop:
			return
		}
		front := d.instances[n%len(d.instances)].front
		d.traffic.Go(func() {
			if n%2 == 0 {
				d.request(front, "lookup", "GET", d.host, fmt.Sprintf("/lookup/%d/w%d", n, lookupMs), "", time.Second)
			} else {
				d.request(front, "booking", "POST", d.host, fmt.Sprintf("/booking/%d/w%d", n, bookingMs), fmt.Sprintf("booking %d", n), 1200*time.Millisecond)
			}
		})
	}
}

func (d *leaveLab) endTraffic() {
	close(d.stop)
	d.traffic.Wait()
}

// arrivalsAt returns the requests that reached a server after a time.
func (d *leaveLab) arrivalsAt(s *server, after time.Time) []*arrival {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*arrival
	for _, a := range d.arrivals {
		if a.server == s.id && a.at.After(after) {
			list = append(list, a)
		}
	}
	return list
}

// judge counts the requests that reached K after a time, and the bookings among them that their requesters lost.
func (d *leaveLab) judge(bound time.Time) int {
	late := d.arrivalsAt(d.k, bound)
	before := len(d.arrivalsAt(d.k, time.Time{})) - len(late)
	answers := map[string]*answer{}
	d.mu.Lock()
	for _, a := range d.answers {
		answers[a.id] = a
	}
	d.mu.Unlock()
	lost := 0
	for _, a := range late {
		got := answers[a.id]
		what := got.err
		if what == "" {
			what = fmt.Sprint(got.status)
		}
		d.event("DRAIN: request %s reached server %s %.2f s after the bound; the requester got %s", a.id, d.k.id, a.at.Sub(bound).Seconds(), what)
		if got.class == "booking" && got.status != 200 {
			lost++
		}
	}
	d.event("requests at K: %d up to the bound, %d after it; bookings among these without a 200: %d", before, len(late), lost)
	if before == 0 {
		d.event("K got no request at all, so that this run shows nothing")
		return exitNotRun
	}
	if len(late) > 0 {
		return exitBroken
	}
	return exitHeld
}

// restoreCase restores the store from a copy that is a few seconds old, after K has left.
func restoreCase(l *lab) int {
	d := l.newLeaveLab()
	time.Sleep(stableWindow)
	// K starts. It writes its entry at each check-in, as long as the time of its warm-up changes.
	d.k = l.startServer("registre", "zone-a", 4)
	key := "servers/" + d.k.id
	l.store.put(key, d.k.entry("ready", 3000, 1))
	time.Sleep(checkIn)
	l.store.put(key, d.k.entry("ready", 1500, 2))
	time.Sleep(checkIn / 2)
	saved := l.store.copy()
	l.event("a copy of the store is made")
	time.Sleep(checkIn / 2)
	l.store.put(key, d.k.entry("ready", 0, 3))
	time.Sleep(500 * time.Millisecond)
	l.store.remove(key)
	leftAt := time.Now()
	l.event("the entry of K, server %s, is removed: it leaves without reporting that it drains, and serves for some seconds", d.k.id)
	time.Sleep(1500 * time.Millisecond)
	bound := leftAt.Add(drainTime)
	if l.trouble {
		l.store.setDown(true)
		l.event("the store is away")
		time.Sleep(300 * time.Millisecond)
		l.store.restore(saved)
		l.store.setDown(false)
		back := time.Now()
		l.event("the store is back from the copy, which is %.1f s old", time.Since(leftAt).Seconds()+checkIn.Seconds()/2+0.5)
		d.writeConfiguration()
		for n, s := range d.stable {
			time.AfterFunc(time.Duration(n)*150*time.Millisecond, func() { l.store.put("servers/"+s.id, s.entry("ready", 0, 2)) })
		}
		// K has left and writes nothing. Its entry in the copy ends after three check-in intervals of silence.
		time.AfterFunc(3*checkIn, func() {
			l.store.remove(key)
			l.event("the store removes the entry of K after three check-in intervals of silence")
		})
		// Only requests at instances in touch count: from stable_window_ms after the store is back.
		if touch := back.Add(stableWindow); touch.After(bound) {
			bound = touch
		}
	}
	time.Sleep(time.Until(leftAt.Add(6200 * time.Millisecond)))
	d.k.exit()
	time.Sleep(1500 * time.Millisecond)
	d.endTraffic()
	return d.judge(bound)
}

// watchCutCase lets the store cut each watch that has waited for 700 ms, for some seconds in which K leaves.
func watchCutCase(l *lab) int {
	d := l.newLeaveLab()
	d.k = l.startServer("registre", "zone-a", 4)
	key := "servers/" + d.k.id
	l.store.put(key, d.k.entry("ready", 0, 1))
	time.Sleep(stableWindow + time.Second)
	if l.trouble {
		l.store.setCutAfter(700 * time.Millisecond)
		l.event("from now on the store cuts each watch that has waited for 700 ms; it answers all calls")
	}
	time.Sleep(4 * time.Second)
	l.store.remove(key)
	leftAt := time.Now()
	l.event("the entry of K, server %s, is removed: it leaves without reporting that it drains, and serves for some seconds", d.k.id)
	time.Sleep(5 * time.Second)
	d.k.exit()
	l.event("watches cut: %d", l.store.setCutAfter(0))
	time.Sleep(1500 * time.Millisecond)
	d.endTraffic()
	return d.judge(leftAt.Add(drainTime))
}
