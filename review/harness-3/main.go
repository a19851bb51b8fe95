//go:build review3

// Command harness-3 runs the scripts of the third review against the project's own programs, on loopback addresses.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func random() float64 { return rand.Float64() }

// check ends a case that cannot run.
func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		stopAll()
		os.Exit(exitNotRun)
	}
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{file: f, began: time.Now()}
}

// add writes one line: the time in seconds, what happened, and pairs of names and values.
func (r *record) add(what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s", time.Since(r.began).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(r.file, " %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(r.file)
}

// say is add, and prints the line too.
func (r *record) say(what string, pairs ...any) {
	r.add(what, pairs...)
	fmt.Printf("%8.3f %s %v\n", time.Since(r.began).Seconds(), what, pairs)
}

// instance is a process of the project.
type instance struct {
	name, zone, caller, ready, peer, admin, settings string
	cmd                                              *exec.Cmd
}

var (
	instancesMu sync.Mutex
	started     []*exec.Cmd
)

// stopAll ends all processes that the case has started.
func stopAll() {
	instancesMu.Lock()
	defer instancesMu.Unlock()
	for _, c := range started {
		_ = c.Process.Kill()
		_, _ = c.Process.Wait()
	}
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

// newInstances prepares instances with the settings that the platform's template gives on a small deployment.
func newInstances(dir, storeAddress string, zones []string) []*instance {
	var list []*instance
	for n, zone := range zones {
		list = append(list, &instance{
			name: fmt.Sprintf("front-%d", n+1), zone: zone, caller: freeAddress(), ready: freeAddress(), peer: freeAddress(), admin: freeAddress(),
		})
	}
	var seeds []string
	for _, i := range list[:min(3, len(list))] {
		seeds = append(seeds, fmt.Sprintf("%q", i.peer))
	}
	for _, i := range list {
		i.settings = filepath.Join(dir, i.name+".toml")
		text := fmt.Sprintf(`adapter = "platform"
zone = %q
listen = %q
ready_listen = %q
peer_listen = %q
peers = [%s]
peer_cross_every = 5
admin_listen = %q
admin_remote = true
platform = "http://%s"
selection = "ask"
first_start = true
lame_duck = "2500ms"
kill_after = "6s"
[log]
verbosity = 2
[fleet]
repeat_ratio = 0.2
repeat_slack = 56
[ask]
per_target = 60
[queue]
first_share = 0.8
[connections]
idle_timeout = "9s"
[probe]
share = 0
[limits]
descriptors = 4100
[memory]
gc_percent = 25
process = "284MiB"
`, i.zone, i.caller, i.ready, i.peer, strings.Join(seeds, ","), i.admin, storeAddress)
		check(os.WriteFile(i.settings, []byte(text), 0o600))
	}
	return list
}

// start starts the process of an instance.
func (i *instance) start(dir string) {
	log, err := os.OpenFile(filepath.Join(dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	i.cmd = exec.Command("target/burdockpitch", "serve", "--settings", i.settings)
	i.cmd.Stdout, i.cmd.Stderr = log, log
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(i.cmd.Start())
	instancesMu.Lock()
	started = append(started, i.cmd)
	instancesMu.Unlock()
}

// awaitReady waits until all instances say that they are ready.
func awaitReady(list []*instance) {
	for _, i := range list {
		for end := time.Now().Add(15 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			resp, err := http.Get("http://" + i.ready + "/-/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				check(fmt.Errorf("%s is not ready", i.name))
			}
		}
	}
}

// request is one request of a client and its answer.
type request struct {
	id, method, path, body, instance string
	sent, ended                      time.Time
	status                           int
	signature, answer, err           string
}

// served reports whether the answer is a success with a server's signature and whole body.
func (q *request) served() bool {
	return q.err == "" && q.status == http.StatusOK && q.signature != "" && q.answer == q.id+":"+q.body
}

var lastRequest atomic.Int64

// send sends one request on a new connection, and waits at most its time.
func send(rec *record, i *instance, method, host, path, body string, budget time.Duration) request {
	q := request{id: fmt.Sprintf("r%06x", lastRequest.Add(1)), method: method, path: path, body: body, instance: i.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+i.caller+path, strings.NewReader(body))
	check(err)
	r.Host = host
	r.Header.Set("Request-Id", q.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	rec.add("sent", "request", q.id, "to", i.name, "method", method, "path", path)
	resp, err := client.Do(r)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		q.status, q.signature, q.answer = resp.StatusCode, resp.Header.Get("Response-Signature"), string(text)
	}
	if err != nil {
		q.err = err.Error()
	}
	q.ended = time.Now()
	rec.add("answered", "request", q.id, "by", i.name, "status", q.status, "signature", q.signature, "error", q.err)
	return q
}

var cases = map[string]func(rec *record, dir string, trouble bool) (broken bool){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review-3")
	check(err)
	time.AfterFunc(118*time.Second, func() { check(fmt.Errorf("the case takes too long")) })
	rec := newRecord(os.Args[2])
	broken := run(rec, dir, os.Getenv("TROUBLE") != "0")
	stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	if broken {
		rec.say("the rule was broken")
		os.Exit(exitBroken)
	}
	rec.say("the rule held")
	os.Exit(exitHeld)
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	return l
}
