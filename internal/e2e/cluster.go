// Package e2e starts the stand-ins and entry instances as separate processes on loopback, for end-to-end tests, the
// demo and measurements.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
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

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
)

const pollInterval = 10 * time.Millisecond

// Cluster is a set of processes. Stop ends all of them.
type Cluster struct {
	binaryDir string // directory of the built binaries
	workDir   string // directory for settings files

	mu        sync.Mutex
	processes []*Process
}

// Process is one started process.
type Process struct {
	cmd    *exec.Cmd
	done   chan struct{}
	output syncBuffer
}

// syncBuffer collects the output of a process.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends p.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns what was written so far.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// NewCluster returns a cluster that runs the programs in binaries and writes settings files to work.
func NewCluster(binaryDir, workDir string) *Cluster {
	return &Cluster{binaryDir: binaryDir, workDir: workDir}
}

// Start starts a program with arguments. The process is killed if this process dies.
func (c *Cluster) Start(program string, args ...string) (*Process, error) {
	p := &Process{cmd: exec.Command(filepath.Join(c.binaryDir, program), args...), done: make(chan struct{})}
	p.cmd.Stdout = &p.output
	p.cmd.Stderr = &p.output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", program)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
	return p, nil
}

// StartInstance starts an entry instance with the given settings text.
func (c *Cluster) StartInstance(name, settings string) (*Process, error) {
	file := filepath.Join(c.workDir, name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings")
	}
	return c.Start("burdockpitch", "serve", "--settings", file)
}

// Stop kills every process that still runs and waits for its end.
func (c *Cluster) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range c.processes {
		<-p.done
	}
	c.processes = nil
}

// runningProcesses returns the processes that have not ended.
func (c *Cluster) runningProcesses() []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*Process
	for _, p := range c.processes {
		select {
		case <-p.done:
		default:
			list = append(list, p)
		}
	}
	return list
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the exit code of an ended process.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Output returns what the process printed so far.
func (p *Process) Output() string { return p.output.String() }

// FreeAddress returns a loopback address with a port that was free a moment ago.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// WaitFor polls check until it succeeds or ctx ends.
func WaitFor(ctx context.Context, condition string, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return eris.Wrapf(err, "wait for %s", condition)
		}
	}
}

// WaitStatus waits until a GET of url is answered with the status.
func WaitStatus(ctx context.Context, url string, status int) error {
	return WaitFor(ctx, url, func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := controlClient.Do(req)
		if err != nil {
			return err
		}
		resp.Body.Close()
		if resp.StatusCode != status {
			return eris.Errorf("status %d, want %d", resp.StatusCode, status)
		}
		return nil
	})
}

// PublishDocument publishes a document on the platform stand-in at addr.
func PublishDocument(addr, text string) error {
	return put("http://"+addr+"/control/documents", strings.NewReader(text))
}

// PublishInstances replaces the instance list of the platform stand-in at addr.
func PublishInstances(addr string, list []discovery.Instance) error {
	text, err := json.Marshal(list)
	if err != nil {
		return eris.Wrap(err, "encode instance list")
	}
	return put("http://"+addr+"/control/instances", bytes.NewReader(text))
}

// Put stores a text with a PUT of url.
func Put(url string, text []byte) error { return put(url, bytes.NewReader(text)) }

func put(url string, body io.Reader) error {
	req, err := http.NewRequest(http.MethodPut, url, body)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "put")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("put %s: status %d", url, resp.StatusCode)
	}
	return nil
}
