package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// stopCase sends SIGTERM to an instance while long requests are in progress. Each requester sends its next request on the
// same connection as soon as it has the answer.
func stopCase(l *lab) int {
	const (
		host    = "rooms.example"
		timeout = 5 * time.Second  // of the route
		budget  = 10 * time.Second // of the requester
		grace   = 6 * time.Second
		rtt     = 2 * time.Millisecond
	)
	l.startStore()
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var servers []*server
	for i := range 9 {
		servers = append(servers, l.startServer("archive", zones[i%3], 2))
	}
	l.store.put("op/config", configuration(5, host, []route{
		{Name: "r-run-logs", Kind: "safe", Prefix: "/run-logs/", Service: "archive", TimeoutMs: int(timeout.Milliseconds()), TargetMs: 3000, Priority: 2},
	}, []string{"archive"}))
	for _, s := range servers {
		l.store.put("servers/"+s.id, s.entry("ready", 0, 1))
	}
	l.addInstances(zones, bounds{grace: 6, slack: 194, probesPerS: 42, memoryMB: 284})
	l.startInstances()
	time.Sleep(3500 * time.Millisecond) // longer than stable_window_ms
	stopped := l.instances[0]

	var stopAt time.Time
	var mu sync.Mutex
	var group sync.WaitGroup
	lost := 0
	stopSignal := make(chan struct{})
	for n := range 12 {
		group.Go(func() {
			c, err := dial(stopped.front)
			if err != nil {
				l.event("dial: %v", err)
				return
			}
			defer c.Close()
			// Both requests take less than the longest work of this kind, 3.3 s. The first ends 3.06 to 3.20 s after the signal,
			// which comes 80 ms after it was sent; the second could end within grace_s.
			first := l.do(c, "run-logs", "GET", host, fmt.Sprintf("/run-logs/a%d/w%d", n, 3140+12*n), "", budget)
			if first.err != "" || first.closes {
				return // a connection that the answer closes gets no further request
			}
			<-stopSignal
			time.Sleep(rtt)
			second := l.do(c, "run-logs", "GET", host, fmt.Sprintf("/run-logs/b%d/w%d", n, 2600), "", budget)
			mu.Lock()
			defer mu.Unlock()
			passedOn := len(l.arrivalsOf(second.id)) > 0
			if second.err == "" || !passedOn || stopAt.IsZero() {
				return
			}
			if after := second.sent.Sub(stopAt); after > 3*time.Second && second.end.Sub(stopAt) < grace+time.Second {
				lost++
				l.event("LOST: request %s, sent %.2f s after SIGTERM and passed on to a server, ended without an answer %.2f s after SIGTERM",
					second.id, after.Seconds(), second.end.Sub(stopAt).Seconds())
			}
		})
	}
	time.Sleep(80 * time.Millisecond)
	if l.trouble {
		stopAt = time.Now()
		stopped.signal(syscall.SIGTERM)
		time.AfterFunc(grace, func() { stopped.signal(syscall.SIGKILL) })
	}
	close(stopSignal)
	group.Wait()
	l.event("lost: %d", lost)
	if lost > 0 {
		return exitBroken
	}
	return exitHeld
}
