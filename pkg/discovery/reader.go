package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/httpclient"
)

const (
	maxDocumentBytes = 1 << 20 // the platform's limit for one value
	maxListBytes     = 8 << 20 // 1,100 servers take about 150 KB
	maxDrainBytes    = 4 << 10 // read from an error response to reuse its connection
)

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	// Base is the URL of the platform, without a path.
	Base string
	// ID names this reader to the platform.
	ID string
	// Wait is how long a watch waits for a change. It bounds how long an unresponsive connection goes unnoticed.
	Wait time.Duration
	// Timeout bounds each read. A watch may take Wait in addition.
	Timeout time.Duration
	// Rate is the maximum number of reads per second of this instance, Burst the number of reads that it may make at
	// once after a time without reads.
	Rate, Burst float64
	// BackoffInitial and BackoffMax bound the pause after a failed read.
	BackoffInitial, BackoffMax time.Duration
	// FetchJitter is the longest random delay between a change of the index and the fetch of documents. It keeps the
	// readers from fetching all at the same time.
	FetchJitter time.Duration
}

// DefaultReaderConfig returns the documented defaults.
//
// 14 instances reading at their full rate take 70 of the platform's 2,000 reads per second; a fleet of 100 would take a
// quarter. The burst covers the first read of the 36 documents of the design scale.
func DefaultReaderConfig(base, id string) ReaderConfig {
	return ReaderConfig{
		Base: base, ID: id, Wait: 10 * time.Second, Timeout: 3 * time.Second, Rate: 5, Burst: 50,
		BackoffInitial: 100 * time.Millisecond, BackoffMax: 2 * time.Second, FetchJitter: 100 * time.Millisecond,
	}
}

// Sink receives the results of a Reader. Calls come from several goroutines.
type Sink interface {
	// OfferDocument receives the text of a document that may be new, and the service under which it is stored.
	OfferDocument(source, service string, text []byte)
	// HasDocument reports whether the document that the entry names is in force, so that it need not be fetched.
	HasDocument(e IndexEntry) bool
	// SetInstances receives a new snapshot of the instance list.
	SetInstances(list InstanceList)
}

// Reader watches the index and the instance list. It is safe for concurrent use.
type Reader struct {
	cfg     ReaderConfig
	client  *http.Client
	limiter *tokenBucket
	sink    Sink
	metrics *Metrics
	log     logr.Logger

	synced     chan struct{} // closed once indexRead and listRead are set
	syncedOnce sync.Once
	indexRead  atomic.Bool // the index and its documents were read once
	listRead   atomic.Bool // the instance list was read once and, if there is one, passed to the sink

	mu      sync.Mutex
	fetched map[string]IndexEntry // entries whose documents were fetched

	invalidEntries atomic.Int64 // of the instance list that was read last

	listReads     atomic.Uint64 // reads of the instance list started so far; the new count is the ID of a read
	deliverMu     sync.Mutex    // held while a list is passed to the sink
	lastDelivered uint64        // ID of the read whose list was passed to the sink last; guarded by deliverMu
}

// NewReader returns a reader that passes its results to sink.
func NewReader(cfg ReaderConfig, sink Sink, m *Metrics, log logr.Logger) *Reader {
	return &Reader{
		cfg: cfg, client: newClient(cfg), limiter: newTokenBucket(cfg.Rate, cfg.Burst), sink: sink, metrics: m, log: log,
		synced: make(chan struct{}), fetched: make(map[string]IndexEntry),
	}
}

// newClient returns a client that does not keep unresponsive connections: TCP keepalive closes those whose remote
// machine is gone, and the deadline of each call closes all others.
func newClient(cfg ReaderConfig) *http.Client {
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: cfg.Timeout, Interval: time.Second, Count: 3}
	dialer := &net.Dialer{Timeout: cfg.Timeout, KeepAliveConfig: keepAlive}
	return httpclient.NewClient(&http.Transport{DialContext: dialer.DialContext, MaxIdleConns: 4, IdleConnTimeout: time.Minute})
}

// Synced returns a channel that is closed after the platform's index, all its documents and the instance list were read
// once.
func (r *Reader) Synced() <-chan struct{} { return r.synced }

// Run watches the index and the instance list until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	go r.WatchInstances(ctx)
	r.WatchIndex(ctx)
}

// WatchIndex fetches changed documents until ctx ends.
func (r *Reader) WatchIndex(ctx context.Context) {
	var after uint64
	r.watchLoop(ctx, "index", func() error {
		var index Index
		if err := r.watch(ctx, PathIndex, after, r.cfg.Wait, &index); err != nil {
			return err
		}
		if after != 0 && index.Sequence != after && !sleep(ctx, rand.N(r.cfg.FetchJitter+1)) {
			return ctx.Err()
		}
		if err := r.fetchChanged(ctx, index); err != nil {
			return err
		}
		after = index.Sequence
		r.indexRead.Store(true)
		r.closeSyncedIfRead()
		return nil
	})
}

// WatchInstances passes each snapshot of the instance list to the sink until ctx ends.
func (r *Reader) WatchInstances(ctx context.Context) {
	var after uint64
	r.watchLoop(ctx, "instances", func() error {
		readID := r.listReads.Add(1)
		list, err := r.readInstanceList(ctx, after, r.cfg.Wait)
		if err != nil {
			return err
		}
		if list.Sequence == after || r.deliverList(readID, list) {
			after = list.Sequence
		}
		r.listRead.Store(true)
		r.closeSyncedIfRead()
		return nil
	})
}

// deliverList passes a list to the sink, unless the list of a later read was passed before: while the process is
// paused, the response to an earlier read can stay unread and become outdated. Sequence numbers do not show this,
// because they may decrease. It reports whether it passed the list.
func (r *Reader) deliverList(readID uint64, list InstanceList) bool {
	r.deliverMu.Lock()
	defer r.deliverMu.Unlock()
	if readID < r.lastDelivered {
		return false
	}
	r.lastDelivered = readID
	r.sink.SetInstances(list)
	return true
}

// Refresh reads the index, its changed documents and the instance list once, without waiting for a change. It is meant
// for an instance that was paused and whose view may be outdated. It returns the first error.
func (r *Reader) Refresh(ctx context.Context) error {
	var index Index
	err := r.watch(ctx, PathIndex, 0, 0, &index)
	if err == nil {
		err = r.fetchChanged(ctx, index)
	}
	readID := r.listReads.Add(1)
	list, errList := r.readInstanceList(ctx, 0, 0)
	if errList == nil {
		r.deliverList(readID, list)
	}
	if err != nil {
		return err
	}
	return errList
}

func (r *Reader) closeSyncedIfRead() {
	if r.indexRead.Load() && r.listRead.Load() {
		r.syncedOnce.Do(func() { close(r.synced) })
	}
}

// watchLoop repeats step until ctx ends, with growing pauses while it fails. Of consecutive failures only the 1st, 2nd,
// 4th, 8th and so on are logged, since a platform can be down for hours; the metrics count all.
func (r *Reader) watchLoop(ctx context.Context, operation string, step func() error) {
	pauses := backoff{initialPause: r.cfg.BackoffInitial, maxPause: r.cfg.BackoffMax}
	failures := 0
	for ctx.Err() == nil {
		err := step()
		if err == nil && failures > 0 {
			r.log.Info("platform read succeeds again", "operation", operation, "failures", failures)
		}
		if err == nil {
			failures = 0
			pauses.reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		r.client.CloseIdleConnections()
		failures++
		if failures&(failures-1) == 0 {
			r.log.Info("platform read failed", "operation", operation, "error", err.Error(), "failures", failures)
		}
		sleep(ctx, pauses.pause())
	}
}

// fetchChanged fetches the documents whose entries changed. One failed fetch does not stop the others; the last error
// is returned, so that the caller retries.
func (r *Reader) fetchChanged(ctx context.Context, index Index) error {
	var lastErr error
	for _, e := range index.Entries {
		if r.isFetched(e) || r.sink.HasDocument(e) {
			continue
		}
		if err := r.fetch(ctx, e); err != nil {
			lastErr = err
			continue
		}
		r.markFetched(e)
	}
	return lastErr
}

// fetch reads one document. The document is offered even if its hash differs from the index, because the index may lag
// behind. The mismatch is also returned as an error, so that the caller retries, because the document may be the one
// that lags.
func (r *Reader) fetch(ctx context.Context, e IndexEntry) error {
	text, err := r.get(ctx, PathDocuments+url.PathEscape(e.Service), r.cfg.Timeout, maxDocumentBytes)
	if err != nil {
		return err
	}
	r.sink.OfferDocument("platform", e.Service, text)
	if got := Hash(text); got != e.Hash {
		r.metrics.reads.WithLabelValues("hash-mismatch").Inc()
		return eris.Errorf("document of %s has hash %s, the index says %s", e.Service, got, e.Hash)
	}
	return nil
}

func (r *Reader) isFetched(e IndexEntry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fetched[e.Service] == e
}

func (r *Reader) markFetched(e IndexEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fetched[e.Service] = e
}

// watch sends a long poll and decodes the response. With after and wait set to 0, it is a plain read.
func (r *Reader) watch(ctx context.Context, path string, after uint64, wait time.Duration, into any) error {
	text, err := r.get(ctx, watchQuery(path, after, wait), wait+r.cfg.Timeout, maxListBytes)
	if err != nil {
		return err
	}
	return eris.Wrapf(httpclient.DecodeJSON(text, into), "decode %s", path)
}

// readInstanceList reads the instance list, or waits for a change of it. It logs the number of invalid entries when that changes.
func (r *Reader) readInstanceList(ctx context.Context, after uint64, wait time.Duration) (InstanceList, error) {
	text, err := r.get(ctx, watchQuery(PathInstances, after, wait), wait+r.cfg.Timeout, maxListBytes)
	if err != nil {
		return InstanceList{}, err
	}
	list, invalid, err := parseInstanceList(text)
	if n := invalid.count; err == nil && r.invalidEntries.Swap(n) != n && n > 0 {
		r.log.Info("ignoring entries of the instance list that are not valid", "entries", n, "error", invalid.first.Error())
	}
	return list, err
}

func watchQuery(path string, after uint64, wait time.Duration) string {
	return fmt.Sprintf("%s?after=%d&wait=%s", path, after, wait)
}

// get reads a path within the rate limit and the timeout, and counts the result. The body may have up to limit bytes.
func (r *Reader) get(ctx context.Context, path string, timeout time.Duration, limit int64) ([]byte, error) {
	if !sleep(ctx, r.limiter.reserve(time.Now())) {
		return nil, ctx.Err()
	}
	text, result, err := r.read(ctx, path, timeout, limit)
	if ctx.Err() == nil {
		r.metrics.reads.WithLabelValues(result).Inc()
	}
	return text, err
}

// read sends one request and returns the body, and the result as the label of the metric.
func (r *Reader) read(ctx context.Context, path string, timeout time.Duration, limit int64) ([]byte, string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.cfg.Base+path, nil)
	if err != nil {
		return nil, "failed", eris.Wrap(err, "build platform request")
	}
	req.Header.Set(HeaderReader, r.cfg.ID)
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, "failed", eris.Wrap(err, "read platform")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
		return nil, "status", eris.Errorf("read %s: status %d", path, resp.StatusCode)
	}
	text, err := httpclient.ReadBody(resp, limit)
	switch {
	case errors.Is(err, httpclient.ErrBodyTooLarge):
		return nil, "too-large", eris.Wrapf(err, "read %s", path)
	case err != nil:
		return nil, "failed", eris.Wrapf(err, "read %s", path)
	}
	return text, "ok", nil
}
