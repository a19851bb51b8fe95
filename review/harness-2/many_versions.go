package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryLimitMB = 284 // memory_mb, taken as MiB like the template of the settings does
	// largeRoutes routes make a configuration of about 1 MB, below value_bytes (1,048,576).
	largeRoutes = 5800
	// versionInterval is gap_s of config_storm, versions the number of configurations.
	versionInterval = 330 * time.Millisecond
	versions        = 250
	// keptConnections is the number of requesters of each instance, each with one connection that it keeps.
	keptConnections = 6
	restartDelay    = 300 * time.Millisecond
)

// manyVersions changes a large configuration many times. The platform kills a process that exceeds its memory.
func manyVersions(l *lab) (broken bool, err error) {
	if l.store, err = startStore(freePort(l.newIP())); err != nil {
		return false, err
	}
	zones := []string{"muscat-a", "muscat-b", "muscat-c"}
	configuration := func(version int) []route {
		routes := []route{
			{"r-stock", "safe", "/stock/", "shopfloor", 600, 1200}, {"r-hold", "unsafe", "/hold/", "shopfloor", 800, 1500},
		}
		for n := range largeRoutes {
			routes = append(routes, route{fmt.Sprintf("r-idle-%04d", n), "safe", fmt.Sprintf("/idle%04d/", n), "offcut-book", 600, 1200 + version})
		}
		return routes
	}
	l.configure(7, configuration(0), "shopfloor", "offcut-book")
	var servers []*server
	for n := range 12 {
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
	end := time.Now().Add((versions + 6) * versionInterval)
	stopped := make(chan struct{})
	var platform sync.WaitGroup
	killed := make([]int, len(l.instances))
	for n, i := range l.instances {
		platform.Go(func() { killed[n] = l.enforceMemory(i, stopped) })
		for range keptConnections {
			l.pending.Go(func() { l.keepSending(i, end) })
		}
	}
	if l.trouble {
		for n := range versions {
			l.configure(8+n, configuration(n+1), "shopfloor", "offcut-book")
			time.Sleep(versionInterval)
		}
		l.record("the store has confirmed %d versions", versions)
	}
	time.Sleep(time.Until(end))
	l.pending.Wait()
	close(stopped)
	platform.Wait()
	passedOn := make(map[string]bool)
	for _, s := range servers {
		for _, a := range s.ran() {
			passedOn[a.id] = true
		}
	}
	lost := make(map[string]int)
	for _, a := range l.answers {
		if a.kept && a.err != nil && passedOn[a.id] {
			lost[a.to.name]++
		}
	}
	for n, i := range l.instances {
		l.record("%s: killed %d times for its memory, %d requests on kept connections passed on and cut", i.name, killed[n], lost[i.name])
		fmt.Printf("%s: killed %d times for its memory, %d requests on kept connections passed on and cut\n", i.name, killed[n], lost[i.name])
		broken = broken || killed[n] > 0 && lost[i.name] > 3
	}
	return broken, nil
}

// enforceMemory kills an instance when its memory exceeds the limit, as the platform does, and starts it again. It returns
// how often it did so.
func (l *lab) enforceMemory(i *instance, stopped <-chan struct{}) (killed int) {
	peak, reported := 0, 0
	for {
		select {
		case <-stopped:
			return killed
		case <-time.After(50 * time.Millisecond):
		}
		mb := residentMB(i.cmd.Process.Pid)
		if peak = max(peak, mb); peak >= reported+20 {
			l.record("%s: %d MB resident", i.name, peak)
			reported = peak
		}
		if mb <= memoryLimitMB {
			continue
		}
		killed++
		l.record("%s: %d MB resident, more than %d: the platform kills it", i.name, mb, memoryLimitMB)
		i.signal(syscall.SIGKILL)
		<-i.done
		time.Sleep(restartDelay)
		if err := l.start(i, false); err != nil {
			l.record("%v", err)
			return killed
		}
		peak, reported = 0, 0
	}
}

// residentMB returns the memory of a process that this run has started, in MiB.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kb, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	return kb / 1024
}

// keepSending sends reservations one after the other on one connection, which it opens again when it breaks.
func (l *lab) keepSending(i *instance, end time.Time) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for n, used := 0, false; time.Now().Before(end); n++ {
		a := l.sendOn(transport, request{method: http.MethodPost, path: fmt.Sprintf("/hold/%d", n), body: "piece", to: i, budget: 3 * time.Second}, used)
		if used = a.err == nil; !used {
			time.Sleep(200 * time.Millisecond)
		}
	}
}
