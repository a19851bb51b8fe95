package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// pageReaders requesters read the page, one every readerInterval: 91 a second, less than 1.7 times the 57 of the site.
	pageReaders    = 12
	readerInterval = 11 * time.Millisecond
	// crashingServers is a quarter of the servers of the service.
	crashingServers = 4
)

// busiest returns crashingServers servers of those that run a request.
func busiest(servers []*server) []*server {
	sorted := slices.Clone(servers)
	slices.SortStableFunc(sorted, func(a, b *server) int { return len(b.slots) - len(a.slots) })
	return sorted[:crashingServers]
}

// massCrash lets a quarter of the servers of a service crash while several requesters read the same page, and compares
// afterwards how often that page, whose route was added later, and the pages of the first routes are served.
func massCrash(l *lab) (broken bool, err error) {
	if l.store, err = startStore(freePort(l.newIP())); err != nil {
		return false, err
	}
	zones := []string{"muscat-a", "muscat-b", "muscat-c"}
	routes := []route{
		{"r-stock", "safe", "/stock/", "shopfloor", 600, 1200}, {"r-hold", "unsafe", "/hold/", "shopfloor", 800, 1500},
	}
	l.configure(7, routes, "shopfloor", "offcut-book")
	var servers []*server
	for n := range 16 {
		e := entry{Service: "shopfloor", Address: freePort(l.newIP()), Zone: zones[n%3], Slots: 3}
		s, err := l.startServer(fmt.Sprintf("i-%06x", 0xa10+n), e, 220*time.Millisecond)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	l.newInstances(zones...)
	if err := l.startAll(); err != nil {
		return false, err
	}
	page := func(n int, to *instance) request {
		return request{method: http.MethodGet, path: "/spring/offers", from: fmt.Sprintf("127.%d.100.%d", l.network, 1+n), to: to, budget: 2500 * time.Millisecond}
	}
	stock := func(n int, to *instance) request {
		return request{method: http.MethodGet, path: fmt.Sprintf("/stock/%d", n), from: fmt.Sprintf("127.%d.100.%d", l.network, 1+n%40), to: to, budget: 2500 * time.Millisecond}
	}
	time.Sleep(3 * time.Second)
	l.configure(12, append(routes, route{"r-spring", "safe", "/spring/", "shopfloor", 600, 1200}), "shopfloor", "offcut-book")
	l.record("the operator adds the route /spring/")
	time.Sleep(4 * time.Second)
	for n := range pageReaders {
		l.pending.Go(func() { l.send(page(n, l.instances[0])) })
		time.Sleep(readerInterval)
	}
	time.Sleep(2 * readerInterval)
	crashing := busiest(servers)
	if l.trouble {
		for _, s := range crashing {
			s.exit()
			l.record("server %s crashes", s.id)
		}
	}
	time.Sleep(4500 * time.Millisecond) // three check-in intervals of silence
	if l.trouble {
		for n, s := range crashing {
			l.store.remove("servers/" + s.id)
			e := entry{Service: "offcut-book", Address: s.entry.Address, Zone: s.entry.Zone, Slots: 3}
			if _, err := l.startServer(fmt.Sprintf("i-%06x", 0xb20+n), e, 550*time.Millisecond); err != nil {
				return false, err
			}
		}
		l.record("the entries of the crashed servers are removed, and their addresses belong to servers of another service")
	}
	time.Sleep(2*stableWindow + time.Second)
	l.pending.Wait()
	l.mu.Lock()
	before := len(l.answers)
	l.mu.Unlock()
	l.record("steady state begins")
	end := time.Now().Add(15 * time.Second)
	l.sendEvery(250*time.Millisecond, end, func(n int) request { return page(20+n%12, l.instances[n%3]) })
	l.sendEvery(250*time.Millisecond, end, func(n int) request { return stock(n, l.instances[n%3]) })
	time.Sleep(time.Until(end))
	l.pending.Wait()
	var added, addedServed, first, firstServed int
	for _, a := range l.answers[before:] {
		served := 0
		if a.served() {
			served = 1
		}
		if a.path == "/spring/offers" {
			added, addedServed = added+1, addedServed+served
		} else {
			first, firstServed = first+1, firstServed+served
		}
	}
	l.record("steady state: %d of %d requests on the added route served, %d of %d on the first routes", addedServed, added, firstServed, first)
	fmt.Printf("%d of %d on the added route served, %d of %d on the first routes\n", addedServed, added, firstServed, first)
	if added < 20 || firstServed == 0 {
		return false, fmt.Errorf("too few requests: %d on the added route, %d of %d served on the first", added, firstServed, first)
	}
	return float64(addedServed)/float64(added) < 0.25*float64(firstServed)/float64(first), nil
}
