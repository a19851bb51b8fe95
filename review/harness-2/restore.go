package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// drills is the largest number of drills in a run, each with a deployment of its own.
	drills = 6
	// leavingServers of siteServers leave at a time, as many as with the largest share of the site, 0.25.
	siteServers, leavingServers = 16, 4
	// awayTime is how long the store is away.
	awayTime = 2300 * time.Millisecond
	// expiryTime is three check-in intervals, after which the entry of a silent server is removed.
	expiryTime  = 4500 * time.Millisecond
	checkInTime = 1500 * time.Millisecond
)

// restored runs drills until one of them breaks the rule, each with new processes.
func restored(l *lab) (broken bool, err error) {
	for n := range drills {
		l.record("drill %d", n+1)
		late, err := l.restoredOnce()
		l.stopAll()
		if err != nil || late > 0 {
			return late > 0, err
		}
		l.instances, l.answers = nil, nil
	}
	return false, nil
}

// restoredOnce removes the entries of servers that leave, brings the store back from a copy that still has the entries, and
// counts the requests that reach the servers later than drain_ms after the removal, once the store is stable again.
func (l *lab) restoredOnce() (late int, err error) {
	if l.store, err = startStore(freePort(l.newIP())); err != nil {
		return 0, err
	}
	var zones []string
	for n := range 14 {
		zones = append(zones, []string{"muscat-a", "muscat-b", "muscat-c"}[n%3])
	}
	l.configure(7, []route{
		{"r-stock", "safe", "/stock/", "shopfloor", 600, 1200}, {"r-hold", "unsafe", "/hold/", "shopfloor", 800, 1500},
	}, "shopfloor")
	var servers []*server
	for n := range siteServers {
		e := entry{Service: "shopfloor", Address: freePort(l.newIP()), Zone: zones[n%3], Slots: 3}
		s, err := l.startServer(fmt.Sprintf("i-%06x", 0xa10+n), e, 100*time.Millisecond)
		if err != nil {
			return 0, err
		}
		servers = append(servers, s)
	}
	defer func() {
		for _, s := range servers {
			s.exit()
		}
	}()
	l.newInstances(zones...)
	if err := l.startAll(); err != nil {
		return 0, err
	}
	stopped, instances := make(chan struct{}), l.instances
	l.pending.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stopped:
				return
			case <-time.After(12 * time.Millisecond):
			}
			to := instances[rand.IntN(len(instances))]
			r := request{method: http.MethodPost, path: fmt.Sprintf("/hold/%d", n), body: "piece", to: to, budget: 3 * time.Second}
			if n%2 == 0 {
				r = request{method: http.MethodGet, path: fmt.Sprintf("/stock/%d", n), to: to, budget: 2500 * time.Millisecond}
			}
			l.pending.Go(func() { l.send(r) })
		}
	})
	time.Sleep(4 * time.Second)
	left := l.drill(servers[:leavingServers], servers[leavingServers:])
	close(stopped)
	l.pending.Wait()
	return l.countLate(left), nil
}

// departure is the removal of a server's entry.
type departure struct {
	removed time.Time // when the store confirmed it
	stable  time.Time // when the store was stable again after the drill; zero without one
}

// drill lets servers leave without reporting it before: their entries are removed, and they serve on for several seconds.
// Meanwhile the store is away for a moment and comes back from a copy of one second before the removal. The servers that
// stay write their entries again; those that leave don't check in any more, and their entries expire.
func (l *lab) drill(leaving, staying []*server) map[*server]departure {
	left := make(map[*server]departure)
	var stable time.Time
	saved := l.store.copy()
	time.Sleep(time.Second)
	for _, s := range leaving {
		left[s] = departure{removed: l.store.remove("servers/" + s.id)}
		l.record("the entry of server %s is removed, and the store has confirmed it", s.id)
	}
	time.Sleep(checkInTime)
	if l.trouble {
		l.store.goAway()
		l.record("the store is away")
	}
	time.Sleep(awayTime)
	if l.trouble {
		stable = l.store.restore(saved).Add(stableWindow)
		l.record("the store is back from a copy")
		for _, s := range staying {
			l.pending.Go(func() {
				time.Sleep(rand.N(checkInTime))
				s.entry.Sequence++
				l.store.put("servers/"+s.id, s.entry)
			})
		}
	}
	time.Sleep(expiryTime)
	if l.trouble {
		for _, s := range leaving {
			l.store.remove("servers/" + s.id)
		}
		l.record("the entries of the servers that have left are removed after three check-in intervals of silence")
	}
	time.Sleep(checkInTime)
	for s, d := range left {
		s.exit()
		l.record("server %s exits", s.id)
		left[s] = departure{removed: d.removed, stable: stable}
	}
	return left
}

// countLate counts the requests that reached servers later than drain_ms after their removal, while the store was stable.
func (l *lab) countLate(left map[*server]departure) (late int) {
	sentAt := make(map[string]answer)
	for _, a := range l.answers {
		sentAt[a.id] = a
	}
	unstable, unfinished := 0, 0
	for s, d := range left {
		for _, a := range s.ran() {
			request := sentAt[a.id]
			switch {
			case request.sent.Sub(d.removed) <= drainBound:
			case request.sent.Before(d.stable):
				unstable++
			default:
				late++
				if !a.ended {
					unfinished++
				}
				l.record("late: request %s, sent at %.3f to %s, %.3f s after the confirmation, run by %s, answered %d",
					a.id, l.seconds(request.sent), request.to.name, request.sent.Sub(d.removed).Seconds(), s.id, request.status)
			}
		}
	}
	l.record("%d requests were sent later than %s after the confirmation, while the store was stable, and reached a server that had left; %d of them were cut off by its end; %d more before the store was stable again",
		late, drainBound, unfinished, unstable)
	fmt.Printf("%d late requests while the store was stable, %d of them cut off, %d more before it was stable\n", late, unfinished, unstable)
	return late
}
