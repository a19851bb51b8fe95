// Package logging writes the structured log as JSON lines. Their rate is limited, and writing them never blocks.
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
	// maxQueuedLines and maxQueuedBytes bound the lines that wait for a slow reader of the log.
	maxQueuedLines = 1024
	maxQueuedBytes = 2 << 20
	// maxValueBytes bounds a text in a line. Some come from callers, and take up to six times their size as JSON.
	maxValueBytes = 4 << 10
	// dropReportInterval is the shortest time between two lines that report dropped lines.
	dropReportInterval = time.Second
)

// Writer writes lines to another writer from a separate goroutine. A line above the rate limit, or one that finds the
// queue full, is dropped and counted. It is safe for concurrent use.
type Writer struct {
	out       io.Writer
	limiter   *rate.Limiter
	lines     chan []byte
	queued    atomic.Int64 // bytes in lines
	dropped   atomic.Int64
	stop      chan struct{} // closed by Close
	done      chan struct{} // closed once the queue has been written after Close
	closeOnce sync.Once
}

// NewWriter returns a writer to out of at most linesPerSecond lines per second, with bursts of twice as many; 0 means
// no limit. The caller must call Close to end its goroutine.
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
	size := int64(len(line))
	if w.queued.Add(size) <= maxQueuedBytes {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.queued.Add(-size)
	w.dropped.Add(1)
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close waits up to timeout for the queued lines to be written. Lines written later are lost.
func (w *Writer) Close(timeout time.Duration) {
	w.closeOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// nextLine waits for the next line. It returns nil once the writer is closed and the queue is empty.
func (w *Writer) nextLine() []byte {
	// Queued lines are taken first: the select below chooses at random between a queued line and stop, and choosing
	// stop would lose the queued lines.
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

// run writes the queued lines and reports dropped lines, at most once per dropReportInterval.
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
		w.queued.Add(-int64(len(line)))
		_, _ = w.out.Write(line) // a write error of the log itself cannot be reported anywhere
		dropped := w.dropped.Load()
		if dropped > reported && time.Since(reportedAt) >= dropReportInterval {
			dropLog.Warn("log lines dropped", "lines", dropped-reported, "total", dropped)
			reported, reportedAt = dropped, time.Now()
		}
	}
}

// rewriteAttr writes logr's verbosities above 0 as DEBUG, and cuts long texts. slog would write V(1) relative to its own
// levels, as DEBUG+3.
func rewriteAttr(groups []string, a slog.Attr) slog.Attr {
	switch value := a.Value.Any().(type) {
	case string:
		a.Value = slog.StringValue(cut(value))
	case error:
		a.Value = slog.StringValue(cut(value.Error()))
	}
	if level, ok := a.Value.Any().(slog.Level); ok && a.Key == slog.LevelKey && len(groups) == 0 && level < slog.LevelInfo {
		a.Value = slog.StringValue(slog.LevelDebug.String())
	}
	return a
}

// cut returns the first maxValueBytes of a text, with a mark if there are more.
func cut(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	return text[:maxValueBytes] + "..."
}

// New returns a logger that writes messages up to the given logr verbosity to w as JSON lines. It also installs the
// same handler as the default of slog, through which net/http logs.
func New(w io.Writer, verbosity int) logr.Logger {
	options := &slog.HandlerOptions{Level: slog.Level(-verbosity), ReplaceAttr: rewriteAttr} // logr's V(n) is slog's level -n
	handler := slog.NewJSONHandler(w, options)
	slog.SetDefault(slog.New(handler))
	return logr.FromSlogHandler(handler)
}
