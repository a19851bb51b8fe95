// Command harness starts instances of the load balancer as processes, with stand-ins of the platform's store, its servers
// and its requesters, and checks one rule.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

type lab struct {
	bin, dir string
	trouble  bool
	start    time.Time
	record   *os.File

	mu       sync.Mutex
	arrivals []*arrival
	answers  []*answer

	store       *store
	storeAddr   string
	servers     []*server
	serverCount int
	instances   []*instance
	idCount     int
}

// answer is what a requester saw of one request.
type answer struct {
	id, class, to string
	sent, end     time.Time
	status        int
	err           string // why there is no complete answer
	foreign       string // why a 2xx answer is not the server's own
	closes        bool
}

type instance struct {
	lab                          *lab
	name, zone                   string
	front, ready, control, admin string
	settings                     string
	cmd                          *exec.Cmd
	done                         chan struct{}
}

func (l *lab) event(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.3f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

func (l *lab) fatal(format string, args ...any) {
	l.event("could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	l.stopAll()
	os.Exit(exitNotRun)
}

func (l *lab) arrive(s *server, id, method string) *arrival {
	a := &arrival{at: time.Now(), server: s.id, id: id, method: method}
	l.event("server %s  gets %s %s", s.id, method, id)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
	return a
}

func (l *lab) ran(a *arrival) {
	l.mu.Lock()
	a.ran = true
	l.mu.Unlock()
}

func (l *lab) ended(a *arrival, how string) {
	l.mu.Lock()
	a.end, a.endAt = how, time.Now()
	l.mu.Unlock()
	l.event("server %s  ends %s: %s", a.server, a.id, how)
}

// freePort returns a port that is free on ip. Addresses are 127.0.0.0/8, so that other programs rarely use them.
func (l *lab) freePort(ip string) string {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		l.fatal("free port: %v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (l *lab) startStore() {
	l.store = newStore()
	ln, err := net.Listen("tcp", "127.0.3.1:0")
	if err != nil {
		l.fatal("store: %v", err)
	}
	l.storeAddr = ln.Addr().String()
	go func() { _ = http.Serve(ln, l.store) }()
}

// bounds are those of an installation that the settings hold.
type bounds struct {
	grace      int
	slack      float64
	probesPerS float64
	memoryMB   int
}

// addInstances prepares n instances with the settings that platform/settings.toml.tmpl gives for a small deployment.
func (l *lab) addInstances(zones []string, b bounds) {
	for i, zone := range zones {
		ip := fmt.Sprintf("127.0.1.%d", 10+i)
		l.instances = append(l.instances, &instance{
			lab: l, name: fmt.Sprintf("front-%d", i+1), zone: zone, front: l.freePort(ip), ready: l.freePort(ip),
			control: l.freePort(ip), admin: l.freePort(ip),
		})
	}
	var seeds []string
	for _, i := range l.instances[:min(3, len(l.instances))] {
		seeds = append(seeds, i.control)
	}
	for _, i := range l.instances {
		text, _ := json.Marshal(seeds)
		i.settings = filepath.Join(l.dir, i.name+".toml")
		content := fmt.Sprintf(`adapter = "platform"
zone = %q
listen = %q
ready_listen = %q
peer_listen = %q
peers = %s
peer_cross_every = 5
admin_listen = %q
admin_remote = true
platform = "http://%s"
selection = "ask"
first_start = true
lame_duck = "2500ms"
kill_after = "%ds"
[log]
verbosity = 2
[fleet]
repeat_ratio = 0.2
repeat_slack = %v
[ask]
per_target = %v
[queue]
first_share = 0.8
[connections]
idle_timeout = "9s"
[probe]
share = 0
[memory]
gc_percent = 25
process = "%dMiB"
`, i.zone, i.front, i.ready, i.control, text, i.admin, l.storeAddr, b.grace, b.slack, b.probesPerS, b.memoryMB)
		if err := os.WriteFile(i.settings, []byte(content), 0o600); err != nil {
			l.fatal("settings: %v", err)
		}
	}
}

// startProcess starts the instance with the command of the deploy file.
func (i *instance) startProcess() {
	log, err := os.Create(filepath.Join(i.lab.dir, i.name+".log"))
	if err != nil {
		i.lab.fatal("log: %v", err)
	}
	i.cmd = exec.Command(i.lab.bin, "serve", "--settings", i.settings)
	i.cmd.Stdout, i.cmd.Stderr = log, log
	i.cmd.Env = append(os.Environ(), "BURDOCKPITCH_BOOT="+i.settings)
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		i.lab.fatal("start %s: %v", i.name, err)
	}
	i.done = make(chan struct{})
	done, cmd := i.done, i.cmd
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		i.lab.event("instance %s ended: %v", i.name, err)
		close(done)
	}()
	i.lab.event("instance %s started", i.name)
}

func (i *instance) signal(s syscall.Signal) {
	i.lab.event("%v to instance %s", s, i.name)
	_ = i.cmd.Process.Signal(s)
}

func (l *lab) startInstances() {
	for _, i := range l.instances {
		i.startProcess()
	}
	for _, i := range l.instances {
		deadline := time.Now().Add(15 * time.Second)
		for {
			resp, err := http.Get("http://" + i.ready + "/-/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				l.fatal("instance %s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	l.event("all instances are ready")
}

// stopAll ends all processes that this case started.
func (l *lab) stopAll() {
	for _, i := range l.instances {
		if i.cmd == nil || i.cmd.Process == nil {
			continue
		}
		select {
		case <-i.done:
			continue
		default:
		}
		_ = i.cmd.Process.Signal(syscall.SIGCONT)
		_ = i.cmd.Process.Kill()
		<-i.done
	}
}

// route is one route of the configuration.
type route struct {
	Name, Kind, Prefix, Service string
	TimeoutMs, TargetMs         int
	Priority                    int
}

func configuration(version int, host string, routes []route, services []string) []byte {
	var rules, clusters []map[string]any
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": r.Name, "kind": r.Kind, "target_latency_ms": r.TargetMs, "priority": r.Priority,
			"match":  map[string]any{"prefix": r.Prefix},
			"action": map[string]any{"service": r.Service, "timeout_ms": r.TimeoutMs, "max_attempts": 2},
		})
	}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "health_path": "/health", "max_conns": 220, "protocol": "h1", "tls": false})
	}
	text, _ := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"host": host, "ruleset": rules}}, "clusters": clusters,
	})
	return text
}

// conn is a requester's connection that is kept for several requests.
type conn struct {
	net.Conn
	r  *bufio.Reader
	to string
}

func dial(address string) (*conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, r: bufio.NewReader(c), to: address}, nil
}

func (l *lab) newID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idCount++
	return fmt.Sprintf("%016x", 0xab00000000000000+uint64(l.idCount))
}

// do sends one request on c and waits for its answer.
func (l *lab) do(c *conn, class, method, host, path, body string, deadline time.Duration) *answer {
	id := l.newID()
	a := &answer{id: id, class: class, to: c.to, sent: time.Now()}
	l.mu.Lock()
	l.answers = append(l.answers, a)
	l.mu.Unlock()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method != "GET" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	l.event("requester sends %s %s %s %s to %s", class, method, path, id, c.to)
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		return l.finish(a, "write: "+err.Error())
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return l.finish(a, "no answer: "+err.Error())
	}
	text, err := io.ReadAll(resp.Body)
	a.status, a.closes = resp.StatusCode, resp.Close
	if err != nil {
		return l.finish(a, "answer broke off: "+err.Error())
	}
	if resp.StatusCode/100 == 2 {
		switch {
		case !strings.HasSuffix(resp.Header.Get("Response-Signature"), "."+id):
			a.foreign = "signature of another request or none"
		case string(text) != id+":"+body:
			a.foreign = "body is not the server's"
		}
	}
	return l.finish(a, "")
}

func (l *lab) finish(a *answer, err string) *answer {
	a.end = time.Now()
	a.err = err
	what := err
	if err == "" {
		what = fmt.Sprint(a.status)
	}
	l.event("requester: %s -> %s %s", a.id, what, a.foreign)
	return a
}

var errNoConnection = errors.New("no connection")

// request sends one request on a new connection.
func (l *lab) request(address, class, method, host, path, body string, deadline time.Duration) *answer {
	c, err := dial(address)
	if err != nil {
		a := &answer{id: l.newID(), class: class, to: address, sent: time.Now()}
		l.mu.Lock()
		l.answers = append(l.answers, a)
		l.mu.Unlock()
		return l.finish(a, fmt.Sprintf("%v: %v", errNoConnection, err))
	}
	defer c.Close()
	return l.do(c, class, method, host, path, body, deadline)
}

func (l *lab) arrivalsOf(id string) []*arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*arrival
	for _, a := range l.arrivals {
		if a.id == id {
			list = append(list, a)
		}
	}
	return list
}
