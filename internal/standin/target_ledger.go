package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Ledger holds the number of executions of each work ID.
type Ledger map[string]int

// Merge adds the counts of other.
func (l Ledger) Merge(other Ledger) {
	for id, executions := range other {
		l[id] += executions
	}
}

// LedgerFileName returns the name of the ledger file of the target at addr.
func LedgerFileName(addr string) string { return strings.ReplaceAll(addr, ":", "-") + ".ledger" }

// Execution is one execution of a request.
type Execution struct {
	// ID is the work ID of the request.
	ID string
	// At is the time at which the request took its slot, by the clock of the target's machine.
	At time.Time
}

// ReadLedgerFile reads the ledger file of a target, even if the target was killed.
func ReadLedgerFile(path string) (Ledger, error) {
	executions, err := ReadExecutions(path)
	if err != nil {
		return nil, err
	}
	l := make(Ledger)
	for _, e := range executions {
		l[e.ID]++
	}
	return l, nil
}

// ReadExecutions reads the executions of a target from its ledger file, in the order of their start. An incomplete last
// line is left out, because its execution has not started.
func ReadExecutions(path string) ([]Execution, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read ledger")
	}
	var executions []Execution
	for line := range strings.Lines(string(text)) {
		line, complete := strings.CutSuffix(line, "\n")
		if !complete {
			break
		}
		at, id, _ := strings.Cut(line, " ")
		ns, err := strconv.ParseInt(at, 10, 64)
		if err != nil {
			return nil, eris.Wrapf(err, "parse ledger %s", path)
		}
		executions = append(executions, Execution{ID: id, At: time.Unix(0, ns)})
	}
	return executions, nil
}

// OpenLedgerFile opens a ledger file that a target appends to. Each execution is a single write, so a killed target
// loses none.
func OpenLedgerFile(path string) (io.WriteCloser, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return file, eris.Wrap(err, "open ledger")
}

// executionRecorder records the executions of one target.
type executionRecorder struct {
	mu     sync.Mutex
	counts Ledger
	file   io.Writer // nil without a ledger file
}

// add records an execution before it starts. After an error the execution must not start, since the ledger would not
// show it.
func (e *executionRecorder) add(id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.file != nil {
		if _, err := fmt.Fprintf(e.file, "%d %s\n", time.Now().UnixNano(), id); err != nil {
			return eris.Wrap(err, "write ledger")
		}
	}
	e.counts[id]++
	return nil
}

func (e *executionRecorder) getLedger(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.counts)
}
