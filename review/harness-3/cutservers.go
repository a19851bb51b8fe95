//go:build review3

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["cutservers"] = cutServers }

const (
	addedPath = "/miwu860/no6/" // of the route that is added later
	cutTime   = 5.0             // seconds; the default of the bench for servers that are cut off from the store
	cutShare  = 5               // one of cutShare servers is cut off, as by default
)

// addedConfiguration has the first route and one to the second service.
const addedConfiguration = `{"version":"00000009","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"listeners":[{"host":"ficu95.example","ruleset":[
{"name":"r-lookup","kind":"safe","target_latency_ms":300,"priority":2,"match":{"prefix":"/lohu930/"},"action":{"service":"huvo11a","timeout_ms":1000,"max_attempts":2}},
{"name":"r-added","kind":"safe","target_latency_ms":300,"priority":2,"match":{"prefix":"/miwu860/"},"action":{"service":"wuno96b","timeout_ms":1000,"max_attempts":2}}]}],
"clusters":[{"name":"huvo11a","health_path":"/health","max_conns":220,"protocol":"h1","tls":false},{"name":"wuno96b","health_path":"/health","max_conns":220,"protocol":"h1","tls":false}]}`

// cutServers plays a cut between the two servers of a service and the store, in which their entries expire, and a restore of
// the store from a copy of before the cut. Neither the instances nor the servers of the other service are disturbed. The
// operator has added the route to the service after the start.
func cutServers(rec *record, dir string, trouble bool) bool {
	const (
		end               = 60.0
		copiedAt, cutAt   = 5.0, 6.15
		awayAt, restoreAt = 10.9, 11.2
		steadyAt          = 30.0
	)
	st := newStore()
	l := listen()
	go st.serve(l)
	st.put("op/config", []byte(configuration))
	var first, added []*server
	for n := range 10 {
		zone := []string{"quebec-a", "quebec-b"}[n%2]
		if n < 10/cutShare {
			added = append(added, startServer(rec, fmt.Sprintf("i-%08x", 0x9c41d070+n), "wuno96b", zone, 4, 120*time.Millisecond))
		} else {
			first = append(first, startServer(rec, fmt.Sprintf("i-%08x", 0x7f3a91c0+n), "huvo11a", zone, 4, 120*time.Millisecond))
		}
	}
	var cut atomic.Bool
	checkIns := func() {
		for _, s := range first {
			s.checkIn(st)
		}
		for _, s := range added {
			if !cut.Load() {
				s.checkIn(st)
			}
		}
	}
	checkIns()
	list := newInstances(dir, l.Addr().String(), []string{"quebec-a", "quebec-b", "quebec-a"})
	for _, i := range list {
		i.start(dir)
	}
	awaitReady(list)
	st.put("op/config", []byte(addedConfiguration))
	time.Sleep(configApply)
	d := &deployment{rec: rec, store: st, instances: list, began: time.Now()}
	go func() {
		for range time.Tick(checkInInterval) {
			checkIns()
		}
	}()
	results := map[string]*deployment{lookupPath: d, addedPath: {began: d.began}}
	var group sync.WaitGroup
	for path, to := range results {
		group.Go(func() { d.ask(to, path, 10, end) })
	}
	if trouble {
		d.at(copiedAt)
		copied := st.copyNow()
		rec.say("copy of the store taken", "revision", copied.revision, "entries of servers", st.servers())
		d.at(cutAt)
		cut.Store(true)
		rec.say("the servers of the added route are cut off from the store", "servers", len(added))
		d.at(awayAt)
		rec.say("the store is away for a moment", "entries of servers", st.servers())
		st.setAway(true)
		d.at(restoreAt)
		cut.Store(false) // the next check-in is due later
		st.restore(copied)
		st.setAway(false)
		rec.say("the store is back from the copy, and the cut has ended", "entries of servers", st.servers())
		d.at(restoreAt + 2)
		rec.say("all servers have checked in again", "entries of servers", st.servers())
	}
	group.Wait()
	for from := 0.0; from < end; from += 5 {
		sent, served := d.served(from, from+5)
		sentAdded, servedAdded := results[addedPath].served(from, from+5)
		rec.say("served", "from", from, "first route", fmt.Sprintf("%d of %d", served, sent), "added route", fmt.Sprintf("%d of %d", servedAdded, sentAdded))
	}
	sent, served := d.served(steadyAt, end)
	sentAdded, servedAdded := results[addedPath].served(steadyAt, end)
	rec.say("from 18.8 s after the restore", "first route", fmt.Sprintf("%d of %d", served, sent), "added route", fmt.Sprintf("%d of %d", servedAdded, sentAdded))
	return sentAdded >= 20 && 4*servedAdded*sent < served*sentAdded
}

// ask sends requests for a path to all instances in turn until the end, and keeps their results.
func (d *deployment) ask(results *deployment, path string, perSecond int, end float64) {
	var group sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for n := 0; time.Since(d.began).Seconds() < end; n++ {
		<-tick.C
		i := d.instances[n%len(d.instances)]
		group.Go(func() {
			q := send(d.rec, i, "GET", host, path, "", time.Second)
			results.mu.Lock()
			defer results.mu.Unlock()
			results.requests = append(results.requests, q)
		})
	}
	group.Wait()
}
