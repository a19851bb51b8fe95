// Package logging writes the structured log: JSON lines whose volume is bounded and which never block their writer.
package logging

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is the number of lines that wait for a slow reader of the log.
	maxQueuedLines = 1024
	// dropReportInterval is the shortest time between two lines that tell how many were dropped.
	dropReportInterval = time.Second
)

// Writer passes lines on to another writer from a goroutine of its own. A line that finds the queue full, or the rate
// used up, is dropped and counted. It is safe for concurrent use.
type Writer struct {
	out       io.Writer
	limiter   *rate.Limiter
	lines     chan []byte
	dropped   atomic.Int64
	stop      chan struct{} // closed by Close
	done      chan struct{} // closed when the queue was written after Close
	closeOnce sync.Once
}

// NewWriter returns a writer to out of at most linesPerSecond lines, of which twice as many may come at once; 0 means no
// bound. Close ends it.
func NewWriter(out io.Writer, linesPerSecond int) *Writer {
	limit := rate.Inf
	if linesPerSecond > 0 {
		limit = rate.Limit(linesPerSecond)
	}
	w := &Writer{
		out: out, limiter: rate.NewLimiter(limit, 2*linesPerSecond), lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close waits up to the given time for the queued lines to be written. Later lines are lost.
func (w *Writer) Close(timeout time.Duration) {
	w.closeOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// nextLine returns the nextLine line, or nil when the writer was closed and the queue is empty.
func (w *Writer) nextLine() []byte {
	select {
	case line := <-w.lines:
		return line
	default:
	}
	select {
	case line := <-w.lines:
		return line
	case <-w.stop:
		return nil
	}
}

// run writes the lines, and from time to time how many were dropped.
func (w *Writer) run() {
	defer close(w.done)
	dropLog := slog.New(slog.NewJSONHandler(w.out, nil))
	var reported int64
	var reportedAt time.Time
	for {
		line := w.nextLine()
		if line == nil {
			return
		}
		_, _ = w.out.Write(line) // there is nowhere to tell that the log cannot be written
		dropped := w.dropped.Load()
		if dropped > reported && time.Since(reportedAt) >= dropReportInterval {
			dropLog.Warn("log lines dropped", "lines", dropped-reported, "total", dropped)
			reported, reportedAt = dropped, time.Now()
		}
	}
}

// renameDebugLevel writes logr's verbosities as DEBUG: slog would name them by their distance from its own levels.
func renameDebugLevel(groups []string, a slog.Attr) slog.Attr {
	if level, ok := a.Value.Any().(slog.Level); ok && a.Key == slog.LevelKey && len(groups) == 0 && level < slog.LevelInfo {
		a.Value = slog.StringValue(slog.LevelDebug.String())
	}
	return a
}

// New returns a logger that writes JSON lines to w, and makes it the default logger, to which net/http writes.
func New(w io.Writer, verbosity int) logr.Logger {
	options := &slog.HandlerOptions{Level: slog.Level(-verbosity), ReplaceAttr: renameDebugLevel} // logr's V(n) is slog's level -n
	handler := slog.NewJSONHandler(w, options)
	slog.SetDefault(slog.New(handler))
	return logr.FromSlogHandler(handler)
}
