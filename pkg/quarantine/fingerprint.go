// Package quarantine decides which requests are no longer sent to targets because targets crash when they run them.
package quarantine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies repeats of a request on all instances, whatever request ID they have.
type Fingerprint struct {
	// Content is a hash of what the target sees of the request: method, host, path, query and body.
	Content uint64
	// Caller is a hash of the caller's address without the port.
	Caller uint64
}

// NewFingerprint returns the fingerprint of a request. Its cost is that of hashing the body. The uri holds path and
// query as the caller sent them.
func NewFingerprint(method, host, uri string, body []byte, callerIP string) Fingerprint {
	h := xxhash.New()
	for _, part := range []string{method, host, uri} {
		_, _ = h.WriteString(part) // a Digest does not return errors
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Fingerprint{Content: h.Sum64(), Caller: xxhash.Sum64String(callerIP)}
}

// String returns the form in logs, "content/caller" in hexadecimal.
func (f Fingerprint) String() string { return FormatContent(f.Content) + "/" + FormatContent(f.Caller) }

// FormatContent returns a content as it is written in logs.
func FormatContent(content uint64) string { return fmt.Sprintf("%016x", content) }
