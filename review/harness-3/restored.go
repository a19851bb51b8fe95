//go:build review3

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["restored"] = restored }

const (
	host       = "ficu95.example"
	lookupPath = "/lohu930/2f"
)

// configuration is the operator's: a route for lookups and one for bookings, to one service.
const configuration = `{"version":"00000007","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"listeners":[{"host":"ficu95.example","ruleset":[
{"name":"r-lookup","kind":"safe","target_latency_ms":300,"priority":2,"match":{"prefix":"/lohu930/"},"action":{"service":"huvo11a","timeout_ms":1000,"max_attempts":2}},
{"name":"r-booking","kind":"unsafe","target_latency_ms":400,"priority":1,"match":{"prefix":"/pufi791/"},"action":{"service":"huvo11a","timeout_ms":1200,"max_attempts":2}}]}],
"clusters":[{"name":"huvo11a","health_path":"/health","max_conns":220,"protocol":"h1","tls":false}]}`

// deployment is a small deployment: a store, six servers that check in together, and three instances in two zones.
type deployment struct {
	rec       *record
	store     *store
	servers   []*server
	instances []*instance
	began     time.Time

	mu       sync.Mutex
	requests []request
}

func startDeployment(rec *record, dir string) *deployment {
	d := &deployment{rec: rec, store: newStore()}
	l := listen()
	go d.store.serve(l)
	d.store.put("op/config", []byte(configuration))
	for n := range 6 {
		zone := []string{"quebec-a", "quebec-b"}[n%2]
		s := startServer(rec, fmt.Sprintf("i-%08x", 0x7f3a91c0+n), "huvo11a", zone, 4, 120*time.Millisecond)
		d.servers = append(d.servers, s)
	}
	for _, s := range d.servers {
		s.checkIn(d.store)
	}
	d.instances = newInstances(dir, l.Addr().String(), []string{"quebec-a", "quebec-b", "quebec-a"})
	for _, i := range d.instances {
		i.start(dir)
	}
	awaitReady(d.instances)
	d.began = time.Now()
	go d.checkIns()
	return d
}

// checkIns lets all servers check in, one after the other within 0.1 s, every check-in interval.
func (d *deployment) checkIns() {
	for range time.Tick(checkInInterval) {
		for _, s := range d.servers {
			if !s.checkIn(d.store) {
				d.rec.add("check-in failed", "server", s.id)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// at waits until a time since the start of the traffic.
func (d *deployment) at(seconds float64) {
	time.Sleep(time.Until(d.began.Add(time.Duration(seconds * float64(time.Second)))))
}

// lookups sends lookups to all instances in turn until the end.
func (d *deployment) lookups(perSecond int, end float64) {
	var group sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for n := 0; time.Since(d.began).Seconds() < end; n++ {
		<-tick.C
		i := d.instances[n%len(d.instances)]
		group.Go(func() {
			q := send(d.rec, i, "GET", host, lookupPath, "", time.Second)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.requests = append(d.requests, q)
		})
	}
	group.Wait()
}

// served returns the number of requests that were sent between two times, and how many of them were served.
func (d *deployment) served(from, to float64) (sent, served int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, q := range d.requests {
		if at := q.sent.Sub(d.began).Seconds(); at >= from && at < to {
			sent++
			if q.served() {
				served++
			}
		}
	}
	return sent, served
}

// outageTime is the length of the outage; the deployments' longest is 4.5 s. Together with the time since the last check-in
// it is longer than three check-in intervals, after which the entries of silent servers expire.
const outageTime = 4.5

// recoverTime is the time in seconds after which the service has to be back.
const recoverTime = 15

// restored plays an outage of the store in which entries expire, and just after it a restore from a copy of before the
// outage. No server is disturbed. The servers' check-ins, 1.5 s apart, are next due after the restore, so that there is
// nothing that a server has written since the copy.
func restored(rec *record, dir string, trouble bool) bool {
	const end, restoredAt = 70.0, 11.8
	d := startDeployment(rec, dir)
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.lookups(30, end)
	}()
	if trouble {
		d.at(5)
		copied := d.store.copyNow()
		rec.say("copy of the store taken", "revision", copied.revision, "servers", d.store.servers())
		d.at(6.15)
		d.store.setAway(true)
		rec.say("the store is down")
		d.at(6.15 + outageTime)
		d.store.setAway(false)
		rec.say("the store is back", "servers", d.store.servers())
		d.at(restoredAt - 0.3)
		d.store.setAway(true)
		rec.say("the store is away for a moment", "servers", d.store.servers())
		d.at(restoredAt)
		d.store.restore(copied)
		d.store.setAway(false)
		rec.say("the store is back from the copy", "servers", d.store.servers())
		d.at(restoredAt + 2)
		rec.say("all servers have checked in again", "servers", d.store.servers())
	}
	<-done
	for from := 0.0; from < end; from += 5 {
		sent, served := d.served(from, from+5)
		rec.say("served", "from", from, "sent", sent, "served", served)
	}
	before, servedBefore := d.served(0, 5)
	sent, served := d.served(restoredAt+recoverTime, end)
	all, servedOfAll := d.served(0, end)
	rec.say("before the outage", "sent", before, "served", servedBefore)
	rec.say("later than recover_s after the restore", "sent", sent, "served", served)
	rec.say("the whole run", "owed", all, "refused or failed", all-servedOfAll)
	return 4*servedBefore >= before && 4*served < sent && 10*(all-servedOfAll) > 6*all
}
