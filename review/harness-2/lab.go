package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab holds the stand-ins and the processes of one case.
type lab struct {
	root    string // of the project
	dir     string // temporary folder
	trouble bool
	began   time.Time
	store   *store

	recordMu sync.Mutex
	out      *bufio.Writer

	network   int // second byte of the loopback addresses of this run
	lastHost  int
	instances []*instance

	mu      sync.Mutex
	answers []answer
	nextID  int
	pending sync.WaitGroup
}

// record writes a line of record.txt.
func (l *lab) record(format string, args ...any) {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	fmt.Fprintf(l.out, "%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// seconds returns a time as record.txt states it.
func (l *lab) seconds(t time.Time) float64 { return t.Sub(l.began).Seconds() }

// newIP returns an unused loopback address.
func (l *lab) newIP() string {
	l.lastHost++
	return fmt.Sprintf("127.%d.%d.%d", l.network, 1+l.lastHost/200, 1+l.lastHost%200)
}

// freePort returns ip with a port that nothing listens on. The port is outside the range from which the kernel takes the
// ports of outgoing connections.
func freePort(ip string) string {
	for {
		address := fmt.Sprintf("%s:%d", ip, 10_000+rand.IntN(20_000))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address
		}
	}
}

// instance is a process of the program under test.
type instance struct {
	name                         string
	zone, ip                     string
	front, ready, control, admin string
	cmd                          *exec.Cmd
	done                         chan struct{}
}

// newInstances chooses the addresses of instances, one in each of the zones.
func (l *lab) newInstances(zones ...string) {
	for n, zone := range zones {
		ip := l.newIP()
		var ports []string // distinct
		for len(ports) < 4 {
			if port := freePort(ip); !slices.Contains(ports, port) {
				ports = append(ports, port)
			}
		}
		l.instances = append(l.instances, &instance{
			name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: ip,
			front: ports[0], ready: ports[1], control: ports[2], admin: ports[3],
		})
	}
}

// start starts an instance with the command and the template of the deploy file.
func (l *lab) start(i *instance, firstStart bool) error {
	var seeds []any
	for _, other := range l.instances[:min(3, len(l.instances))] {
		seeds = append(seeds, other.control)
	}
	fields := map[string]any{
		"node": i.name, "ip": i.ip, "zone": i.zone, "region": "region", "first_start": firstStart, "seeds": seeds,
		"listen":   map[string]any{"front": i.front, "ready": i.ready, "control": i.control},
		"limits":   map[string]any{"memory_mb": 284, "max_fds": 4100},
		"platform": map[string]any{"address": l.store.address},
		"bounds":   map[string]any{"grace_s": 6, "retry_budget_ratio": 0.2, "retry_budget_slack": 58, "probes_per_s": 60},
	}
	template, err := os.ReadFile(filepath.Join(l.root, "platform/settings.toml.tmpl"))
	if err != nil {
		return err
	}
	text := render(string(template), fields)
	text = strings.Replace(text, i.ip+":9900", i.admin, 1) // the port of the administration interface is free on this machine
	file := filepath.Join(l.dir, i.name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(l.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	i.cmd = exec.Command(filepath.Join(l.root, "target/burdockpitch"), "serve", "--settings", file)
	i.cmd.Dir, i.cmd.Stdout, i.cmd.Stderr = l.root, log, log
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.dir, "LANG=C", "BURDOCKPITCH_BOOT=" + file}
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		return err
	}
	done, cmd := make(chan struct{}), i.cmd
	i.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	l.record("instance %s starts, process %d", i.name, cmd.Process.Pid)
	return nil
}

func (l *lab) startAll() error {
	for _, i := range l.instances {
		if err := l.start(i, true); err != nil {
			return err
		}
	}
	for _, i := range l.instances {
		if err := i.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (i *instance) signal(s syscall.Signal) { _ = i.cmd.Process.Signal(s) }

func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.ready + "/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (i *instance) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if i.isReady() {
			return nil
		}
	}
	return fmt.Errorf("instance %s is not ready", i.name)
}

// stopAll ends the processes that this run has started.
func (l *lab) stopAll() {
	for _, i := range l.instances {
		if i.cmd != nil && i.cmd.Process != nil {
			i.signal(syscall.SIGCONT)
			_ = i.cmd.Process.Kill()
			<-i.done
		}
	}
}

// render fills in a template with the syntax of the platform's pages, as far as the template of the project uses it.
func render(text string, fields map[string]any) string {
	lookup := func(path string) any {
		var value any = fields
		for _, name := range strings.Split(path, ".") {
			table, ok := value.(map[string]any)
			if !ok {
				return nil
			}
			value = table[name]
		}
		return value
	}
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		tag, after, _ := strings.Cut(rest, "}}")
		switch {
		case strings.HasPrefix(tag, "#"):
			section, following, _ := strings.Cut(after, "{{/"+tag[1:]+"}}")
			if lookup(tag[1:]) != nil {
				out.WriteString(render(section, fields))
			}
			text = following
			continue
		case strings.HasSuffix(tag, "|json"):
			value, _ := json.Marshal(lookup(strings.TrimSuffix(tag, "|json")))
			out.Write(value)
		default:
			fmt.Fprint(&out, lookup(tag))
		}
		text = after
	}
}

// request is one request of a requester.
type request struct {
	method, path, body string
	from               string // source address; empty for any
	budget             time.Duration
	to                 *instance
	header             map[string]string
}

// answer is what the requester saw of a request.
type answer struct {
	request
	id              string
	sent, ended     time.Time
	status          int
	signature, text string
	retryAfter      string
	err             error
	kept            bool // on a connection that had been used before
}

const host = "shop.example"

// send sends a request on a new connection and waits for its answer.
func (l *lab) send(r request) answer {
	dialer := &net.Dialer{Timeout: time.Second}
	if r.from != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(r.from)}
	}
	return l.sendOn(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}, r, false)
}

// sendOn sends a request with a transport and waits for its answer. Kept says that the connection has been used before.
func (l *lab) sendOn(transport *http.Transport, r request, kept bool) answer {
	l.mu.Lock()
	l.nextID++
	a := answer{request: r, id: fmt.Sprintf("%08x%08x", l.network, l.nextID), kept: kept}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), r.budget)
	defer cancel()
	var body io.Reader
	if r.body != "" {
		body = io.NopCloser(strings.NewReader(r.body))
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.to.front+r.path, body)
	if err != nil {
		panic(err)
	}
	req.Host, req.ContentLength = host, int64(len(r.body))
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(r.budget.Milliseconds(), 10))
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	a.sent = time.Now()
	resp, err := transport.RoundTrip(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.status, a.signature, a.text, a.retryAfter = resp.StatusCode, resp.Header.Get("Response-Signature"), string(text), resp.Header.Get("Retry-After")
	}
	a.ended, a.err = time.Now(), err
	l.record("request %s %s %s from %s to %s, sent at %.3f: status %d, signature %q, retry after %q, error %v",
		a.id, r.method, r.path, r.from, r.to.name, l.seconds(a.sent), a.status, a.signature, a.retryAfter, err)
	l.mu.Lock()
	l.answers = append(l.answers, a)
	l.mu.Unlock()
	return a
}

// sendEvery sends requests at an interval until the time end, each in a goroutine of its own.
func (l *lab) sendEvery(interval time.Duration, end time.Time, next func(n int) request) {
	l.pending.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			r := next(n)
			l.pending.Go(func() { l.send(r) })
			time.Sleep(interval)
		}
	})
}

// served reports whether an answer is a success with the signature and the body of a server.
func (a *answer) served() bool {
	return a.err == nil && a.status == http.StatusOK && a.signature != "" && a.text == answerBody(a.id, a.body)
}

// route is a rule of the operator's configuration.
type route struct {
	name, kind, prefix, service string
	objectiveMs, timeoutMs      int
}

// configure writes the operator's configuration.
func (l *lab) configure(version int, routes []route, services ...string) time.Time {
	var ruleset, clusters []any
	for _, r := range routes {
		ruleset = append(ruleset, map[string]any{
			"name": r.name, "kind": r.kind, "target_latency_ms": r.objectiveMs, "priority": 1,
			"match":  map[string]any{"prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_ms": r.timeoutMs, "max_attempts": 2},
		})
	}
	for _, name := range services {
		clusters = append(clusters, map[string]any{"name": name, "health_path": "/health", "max_conns": 220, "protocol": "h1", "tls": false})
	}
	return l.store.put("op/config", map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"host": host, "ruleset": ruleset}}, "clusters": clusters,
	})
}
