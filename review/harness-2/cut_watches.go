package main

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds of a small deployment, as the pages state them.
const (
	drainBound   = 2000 * time.Millisecond // drain_ms
	stableWindow = 3000 * time.Millisecond // stable_window_ms
	applyBound   = 2000 * time.Millisecond // config_apply_ms
)

// cutAfter is the time after which the store cuts a watch that is waiting.
const cutAfter = 950 * time.Millisecond

// cutWatches removes the entry of a server that leaves while the store cuts the watches that wait, and counts the requests
// that reach the server later than drain_ms after that.
func cutWatches(l *lab) (broken bool, err error) {
	if l.store, err = startStore(freePort(l.newIP())); err != nil {
		return false, err
	}
	zones := []string{"muscat-a", "muscat-b", "muscat-c"}
	l.configure(7, []route{
		{"r-stock", "safe", "/stock/", "shopfloor", 600, 1200}, {"r-hold", "unsafe", "/hold/", "shopfloor", 800, 1500},
	}, "shopfloor")
	var servers []*server
	for n := range 6 {
		e := entry{Service: "shopfloor", Address: freePort(l.newIP()), Zone: zones[n%3], Slots: 3}
		s, err := l.startServer(fmt.Sprintf("i-%06x", 0xa10+n), e, 290*time.Millisecond)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	l.newInstances(zones...)
	if err := l.startAll(); err != nil {
		return false, err
	}
	if l.trouble {
		l.store.setCutAfter(cutAfter)
	}
	end := time.Now().Add(17 * time.Second)
	l.sendEvery(60*time.Millisecond, end, func(n int) request {
		r := request{method: http.MethodPost, path: fmt.Sprintf("/hold/%d", n), body: "piece", to: l.instances[n%3], budget: 3 * time.Second}
		if n%2 == 0 {
			r = request{method: http.MethodGet, path: fmt.Sprintf("/stock/%d", n), to: l.instances[n%3], budget: 2500 * time.Millisecond}
		}
		return r
	})
	time.Sleep(8 * time.Second)
	leaving := servers[0]
	removed := l.store.remove("servers/" + leaving.id)
	l.record("the entry of server %s is removed, and the store has confirmed it", leaving.id)
	time.Sleep(drainBound + 4*time.Second)
	leaving.exit()
	l.record("server %s exits; the store has cut %d watches", leaving.id, l.store.cuts)
	l.pending.Wait()
	sentAt := make(map[string]answer)
	for _, a := range l.answers {
		sentAt[a.id] = a
	}
	late, unfinished := 0, 0
	for _, a := range leaving.ran() {
		if sent := sentAt[a.id].sent; a.at.Sub(removed) > drainBound && sent.Sub(removed) > drainBound {
			late++
			l.record("late: request %s sent %.3f s and run %.3f s after the confirmation, answered %d", a.id, sent.Sub(removed).Seconds(), a.at.Sub(removed).Seconds(), sentAt[a.id].status)
			if !a.ended {
				unfinished++
			}
		}
	}
	l.record("%d requests that were sent later than %s after the confirmation reached the server that had left, %d of them were cut off by its end", late, drainBound, unfinished)
	fmt.Printf("%d late requests, %d cut off by the end of the server\n", late, unfinished)
	return late > 0, nil
}
