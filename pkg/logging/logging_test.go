package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// Guards against requests that block because the reader of the log has stalled, and against lines that are dropped
// without a report.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out, 0)
	log := New(w, 0)
	done := make(chan struct{})
	go func() {
		for range 3 * maxQueuedLines {
			log.Info("line")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocked for 10 s on a blocked output")
	}
	require.GreaterOrEqual(t, w.Dropped(), int64(maxQueuedLines))
	close(out.release)
	w.Close(10 * time.Second)
	require.Contains(t, out.buf.String(), "log lines dropped")
}

// Guards against an unlimited log volume under load. A busy machine may take long enough for the rate to admit lines
// beyond the burst.
func TestLineRateIsLimited(t *testing.T) {
	const rate, burst, total = 10, 20, 1000
	var out bytes.Buffer
	start := time.Now()
	w := NewWriter(&out, rate)
	log := New(w, 0)
	for range total {
		log.Info("line")
	}
	allowed := burst + int(rate*time.Since(start).Seconds())
	w.Close(10 * time.Second)
	written := strings.Count(out.String(), `"msg":"line"`)
	require.LessOrEqual(t, written, allowed)
	require.Equal(t, int64(total-written), w.Dropped())
}

// Guards against lines that are not JSON, and against lines above the configured verbosity.
func TestLinesAreJSON(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out, 0)
	log := New(w, 1)
	log.Info("first", "n", 1)
	log.V(1).Info("second")
	log.V(2).Info("third")
	w.Close(10 * time.Second)
	var levels []string
	for line := range strings.Lines(out.String()) {
		var fields struct{ Level, Msg string }
		require.NoError(t, json.Unmarshal([]byte(line), &fields))
		levels = append(levels, fields.Level+" "+fields.Msg)
	}
	require.Equal(t, []string{"INFO first", "DEBUG second"}, levels)
}

// Guards against lines that take as much memory as callers want: their texts are cut, and the lines that wait for a slow
// reader are bounded in bytes.
func TestQueuedBytesAreBounded(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out, 0)
	log := New(w, 0)
	long := strings.Repeat("\xff", 10*maxValueBytes)
	for range maxQueuedLines {
		log.Info("line", "id", long)
		log.Error(errors.New(long), "line")
		require.LessOrEqual(t, w.queued.Load(), int64(maxQueuedBytes))
	}
	require.Positive(t, w.Dropped())
	close(out.release)
	w.Close(10 * time.Second)
	require.Zero(t, w.queued.Load())
	for line := range strings.Lines(out.buf.String()) {
		require.LessOrEqual(t, len(line), 7*maxValueBytes)
		require.True(t, json.Valid([]byte(line)))
	}
}
