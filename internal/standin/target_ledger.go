package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// Ledger counts the runs of each work id.
type Ledger map[string]int

// Merge adds the runs of other.
func (l Ledger) Merge(other Ledger) {
	for id, runs := range other {
		l[id] += runs
	}
}

// LedgerFileName returns the name of the ledger file of the target at addr.
func LedgerFileName(addr string) string { return strings.ReplaceAll(addr, ":", "-") + ".ledger" }

// ReadLedgerFile reads the log of a target, also after the target was killed.
func ReadLedgerFile(path string) (Ledger, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open ledger")
	}
	defer file.Close()
	l := make(Ledger)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		l[strings.TrimSpace(lines.Text())]++
	}
	return l, eris.Wrap(lines.Err(), "read ledger")
}

// OpenLedgerFile opens a log that targets append to. Each run is one write, so a killed target loses none.
func OpenLedgerFile(path string) (io.WriteCloser, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return file, eris.Wrap(err, "open ledger")
}

// ledger is the running record of one target.
type ledger struct {
	mu   sync.Mutex
	runs Ledger
	log  io.Writer // nil without a log
}

// add records a run before it starts. An error means that the run must not start, since nothing would show it.
func (l *ledger) add(id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.log != nil {
		if _, err := io.WriteString(l.log, id+"\n"); err != nil {
			return eris.Wrap(err, "write ledger")
		}
	}
	l.runs[id]++
	return nil
}

func (l *ledger) write(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l.runs)
}
