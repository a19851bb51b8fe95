// Package e2e starts stand-ins and load balancer instances as separate processes on loopback, for end-to-end tests, the
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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
)

// pollInterval is the time between two checks of WaitFor.
const pollInterval = 10 * time.Millisecond

// Cluster is a set of child processes that Stop kills together. It is safe for concurrent use.
type Cluster struct {
	binaryDir string
	workDir   string // directory for settings files

	mu        sync.Mutex
	processes []*Process
}

// Process is a child process whose standard output and standard error are collected in memory.
type Process struct {
	cmd    *exec.Cmd
	done   chan struct{}
	output syncBuffer
	// unreadOutput is the end of the pipe for the output that is not read; nil if the output is collected.
	unreadOutput *os.File
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns the bytes written so far.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// NewCluster returns a cluster without processes. It runs the programs in binaryDir and writes settings files to
// workDir.
func NewCluster(binaryDir, workDir string) *Cluster {
	return &Cluster{binaryDir: binaryDir, workDir: workDir}
}

// BuildPrograms compiles all programs into dir.
func BuildPrograms(dir string) error {
	out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "github.com/burdockpitch/burdockpitch/cmd/...").CombinedOutput()
	return eris.Wrapf(err, "build programs: %s", out)
}

// Start starts a program of the binary directory. The kernel kills the process when this process dies.
func (c *Cluster) Start(program string, args ...string) (*Process, error) {
	return c.StartWith(StartOptions{}, program, args...)
}

// StartOptions are conditions under which a process runs.
type StartOptions struct {
	// Descriptors is the limit on open files of the process; 0 leaves it as it is.
	Descriptors int
	// OutputStalls connects the output of the process to a pipe that is not read.
	OutputStalls bool
}

// StartWith is Start under the given conditions.
func (c *Cluster) StartWith(o StartOptions, program string, args ...string) (*Process, error) {
	command := append([]string{filepath.Join(c.binaryDir, program)}, args...)
	if o.Descriptors > 0 {
		command = append([]string{"sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(o.Descriptors)}, command...)
	}
	p := &Process{cmd: exec.Command(command[0], command[1:]...), done: make(chan struct{})}
	p.cmd.Stdout = &p.output
	p.cmd.Stderr = &p.output
	if o.OutputStalls {
		reader, writer, err := os.Pipe()
		if err != nil {
			return nil, eris.Wrap(err, "make pipe")
		}
		defer writer.Close()
		p.unreadOutput = reader
		p.cmd.Stdout, p.cmd.Stderr = writer, writer
	}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", program)
	}
	go func() {
		_ = p.cmd.Wait()
		if p.unreadOutput != nil {
			_ = p.unreadOutput.Close()
		}
		close(p.done)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
	return p, nil
}

// StartInstance writes the settings, in TOML, to the file name.toml and starts a load balancer instance that reads it.
func (c *Cluster) StartInstance(name, settings string) (*Process, error) {
	file := filepath.Join(c.workDir, name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings")
	}
	return c.Start("burdockpitch", "serve", "--settings", file)
}

// Stop kills all processes, paused ones (SIGSTOP) included, and waits until they have exited.
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

// runningProcesses returns the processes that have not exited.
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

// PID returns the ID of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Pause sends SIGSTOP and waits until every thread of the process has stopped. On a busy machine, threads run on for
// some time after the signal was sent, and the process may still read what is sent to it meanwhile.
func (p *Process) Pause(ctx context.Context) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return eris.Wrap(err, "send SIGSTOP")
	}
	tasks := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "task")
	return WaitFor(ctx, "stop of all threads", func() error { return checkStopped(tasks) })
}

// checkStopped returns an error unless every thread listed in a task directory of /proc is stopped.
func checkStopped(tasks string) error {
	threads, err := os.ReadDir(tasks)
	if err != nil {
		return eris.Wrap(err, "list threads")
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(filepath.Join(tasks, thread.Name(), "stat"))
		if err != nil {
			return eris.Wrap(err, "read state of thread")
		}
		// The state follows the command name, which is in parentheses and may contain spaces.
		fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
		if len(fields) == 0 || fields[0] != "T" {
			return eris.Errorf("thread %s is not stopped: %v", thread.Name(), fields[:min(1, len(fields))])
		}
	}
	return nil
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the exit code. It is valid only after Done is closed.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Output returns the standard output and standard error of the process so far.
func (p *Process) Output() string { return p.output.String() }

// FreeAddress returns a loopback address with a port that was free during the call. Another process can take the port
// before the caller listens on it.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// WaitFor polls check until it succeeds or ctx ends. The error names the condition and wraps the last error of check.
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

// WaitStatus waits until a GET of url returns the status code.
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

// PublishDocument stores a configuration document on the platform stand-in at addr.
func PublishDocument(addr, document string) error {
	return put("http://"+addr+"/control/documents", strings.NewReader(document))
}

// PublishInstances replaces the instance list of the platform stand-in at addr.
func PublishInstances(addr string, list []discovery.Instance) error {
	body, err := json.Marshal(list)
	if err != nil {
		return eris.Wrap(err, "encode instance list")
	}
	return put("http://"+addr+"/control/instances", bytes.NewReader(body))
}

// Put sends a PUT request. Any status but 200 is an error.
func Put(url string, body []byte) error { return put(url, bytes.NewReader(body)) }

func put(url string, body io.Reader) error {
	req, err := http.NewRequest(http.MethodPut, url, body)
	if err != nil {
		return eris.Wrap(err, "build PUT request")
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "send PUT request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("PUT %s: status %d, want 200", url, resp.StatusCode)
	}
	return nil
}
