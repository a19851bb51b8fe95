package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
)

const (
	watchWait    = 30 * time.Second
	readTimeout  = 5 * time.Second
	retryPause   = 500 * time.Millisecond
	maxDocument  = 1 << 20 // bytes; the platform's limit for one value
	maxListBytes = 8 << 20
)

// Sink receives what the reader learns. Calls come from the reader's goroutines.
type Sink interface {
	// OfferDocument gets the bytes of a document that may be new.
	OfferDocument(source string, text []byte)
	// SetInstances gets a new snapshot of the instance list.
	SetInstances(list InstanceList)
}

// Reader watches the index and the instance list.
type Reader struct {
	base   string
	client *http.Client
	sink   Sink
	log    logr.Logger
}

// NewReader returns a reader for the platform at base.
func NewReader(base string, sink Sink, log logr.Logger) *Reader {
	return &Reader{base: base, client: &http.Client{}, sink: sink, log: log}
}

// WatchIndex fetches changed documents until ctx ends.
func (r *Reader) WatchIndex(ctx context.Context) {
	seen := make(map[string]IndexEntry)
	var after uint64
	for ctx.Err() == nil {
		var index Index
		if err := r.watch(ctx, PathIndex, after, &index); err != nil {
			r.pause(ctx, "watch index", err)
			continue
		}
		if err := r.fetchChanged(ctx, index, seen); err != nil {
			r.pause(ctx, "fetch document", err)
			continue
		}
		after = index.Sequence
	}
}

func (r *Reader) fetchChanged(ctx context.Context, index Index, seen map[string]IndexEntry) error {
	for _, e := range index.Entries {
		if seen[e.Service] == e {
			continue
		}
		text, err := r.get(ctx, PathDocuments+url.PathEscape(e.Service), readTimeout, maxDocument)
		if err != nil {
			return err
		}
		r.sink.OfferDocument("platform", text)
		seen[e.Service] = e
	}
	return nil
}

// WatchInstances passes on each snapshot of the instance list until ctx ends.
func (r *Reader) WatchInstances(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		var list InstanceList
		if err := r.watch(ctx, PathInstances, after, &list); err != nil {
			r.pause(ctx, "watch instances", err)
			continue
		}
		if list.Sequence != after {
			r.sink.SetInstances(list)
		}
		after = list.Sequence
	}
}

func (r *Reader) watch(ctx context.Context, path string, after uint64, into any) error {
	query := fmt.Sprintf("%s?after=%d&wait=%s", path, after, watchWait)
	text, err := r.get(ctx, query, watchWait+readTimeout, maxListBytes)
	if err != nil {
		return err
	}
	return eris.Wrapf(json.Unmarshal(text, into), "decode %s", path)
}

func (r *Reader) get(ctx context.Context, path string, timeout time.Duration, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.base+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build platform request")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "read platform")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("read %s: status %d", path, resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", path)
	}
	if int64(len(text)) > limit {
		return nil, eris.Errorf("read %s: more than %d bytes", path, limit)
	}
	return text, nil
}

func (r *Reader) pause(ctx context.Context, what string, err error) {
	r.log.Info("platform read failed", "operation", what, "error", err.Error())
	select {
	case <-time.After(retryPause):
	case <-ctx.Done():
	}
}

// Hash returns the content hash used in the index.
func Hash(text []byte) string { return strconv.FormatUint(xxhash.Sum64(text), 16) }
