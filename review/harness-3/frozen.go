//go:build review3

package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

func init() { cases["frozen"] = frozen }

const (
	freezeTime   = 4 * time.Second         // the deployments' longest is 4.0 s
	configApply  = 2000 * time.Millisecond // config_apply_ms
	stableWindow = 3 * time.Second         // stable_window_ms
	rounds       = 3
	roundTime    = 32 * time.Second // an instance that had no recent data is left out by others for 30 s
	askInterval  = 40 * time.Millisecond
	askTime      = 3500 * time.Millisecond
)

// routedConfiguration is a version of the configuration that sends the route to one of two services.
func routedConfiguration(version int, service string) []byte {
	return []byte(fmt.Sprintf(`{"version":"%08x","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"listeners":[{"host":%q,"ruleset":[{"name":"r-lookup","kind":"safe","target_latency_ms":300,"priority":2,"match":{"prefix":"/lohu930/"},"action":{"service":%q,"timeout_ms":1000,"max_attempts":2}}]}],
"clusters":[{"name":"huvo11a","health_path":"/health","max_conns":220,"protocol":"h1","tls":false},{"name":"wuno96b","health_path":"/health","max_conns":220,"protocol":"h1","tls":false}]}`,
		version, host, service))
}

// inOrder sorts the instances as they choose whom to follow: the first one reads the store, and the next one takes its place
// when it fails. The order is that of a hash of the address and of the random ID of the start, which the administration API
// of the other instances states.
func inOrder(list []*instance) []*instance {
	starts := make(map[string]string)
	for _, i := range list {
		resp, err := http.Get("http://" + i.admin + "/v1/instances")
		check(err)
		var answer struct {
			Instances []struct{ Address, Start string }
		}
		check(json.NewDecoder(resp.Body).Decode(&answer))
		resp.Body.Close()
		for _, other := range answer.Instances {
			starts[other.Address] = other.Start
		}
	}
	rank := func(i *instance) uint64 { return xxhash.Sum64String(i.peer + "/" + starts[i.peer]) }
	return slices.SortedFunc(slices.Values(list), func(a, b *instance) int { return cmp.Compare(rank(a), rank(b)) })
}

// frozen freezes the first two of four instances, three times, and moves the route to the other service just after. The two
// instances that run on must follow within config_apply_ms.
func frozen(rec *record, dir string, trouble bool) bool {
	st := newStore()
	l := listen()
	go st.serve(l)
	services := []string{"huvo11a", "wuno96b"}
	version := 7
	st.put("op/config", routedConfiguration(version, services[0]))
	var servers []*server
	for n := range 4 {
		service := services[n%len(services)]
		servers = append(servers, startServer(rec, fmt.Sprintf("%s-%d", service, n), service, "quebec-a", 4, 20*time.Millisecond))
	}
	checkAll := func() {
		for _, s := range servers {
			s.checkIn(st)
		}
	}
	checkAll()
	go func() {
		for range time.Tick(checkInInterval) {
			checkAll()
		}
	}()
	list := newInstances(dir, l.Addr().String(), []string{"quebec-a", "quebec-a", "quebec-a", "quebec-a"})
	for _, i := range list {
		i.start(dir)
	}
	awaitReady(list)
	time.Sleep(2 * stableWindow)
	list = inOrder(list)

	broken := 0
	for round := range rounds {
		time.Sleep(time.Duration(random() * float64(time.Second)))
		began := time.Now()
		for _, i := range list[:2] {
			if trouble {
				rec.say("freeze", "instance", i.name)
				check(i.cmd.Process.Signal(syscall.SIGSTOP))
			}
		}
		time.Sleep(50 * time.Millisecond)
		version++
		old, service := services[version%2], services[(version+1)%2]
		st.put("op/config", routedConfiguration(version, service))
		confirmed := time.Now()
		rec.say("configuration confirmed", "version", version, "route to", service)
		var group sync.WaitGroup
		var late atomic.Int64
		for _, i := range list[2:] {
			group.Go(func() { late.Add(int64(askFor(rec, i, old, confirmed))) })
		}
		group.Wait()
		broken += int(late.Load())
		time.Sleep(time.Until(began.Add(freezeTime)))
		for _, i := range list[:2] {
			if trouble {
				check(i.cmd.Process.Signal(syscall.SIGCONT))
			}
		}
		rec.say("end of the freeze", "requests too late", late.Load())
		if round < rounds-1 {
			time.Sleep(time.Until(began.Add(roundTime)))
		}
	}
	rec.say("requests that were handled as only an older version allows", "count", broken)
	return broken > 0
}

// askFor sends requests to an instance, and returns how many of them the old service ran although they were sent later than
// configApply after the confirmation of the version that has moved the route.
func askFor(rec *record, i *instance, old string, confirmed time.Time) (late int) {
	last := time.Duration(0)
	for time.Since(confirmed) < askTime {
		q := send(rec, i, "GET", host, lookupPath, "", time.Second)
		if age := q.sent.Sub(confirmed); q.served() && strings.HasPrefix(q.signature, old) {
			last = age
			if age > configApply {
				late++
				rec.add("handled as only an older version allows", "request", q.id, "instance", i.name, "sent after the confirmation", age)
			}
		}
		time.Sleep(askInterval)
	}
	rec.say("last request run by the old service", "instance", i.name, "sent after the confirmation", last)
	return late
}
