package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Documents are compressed on the way between instances. A configuration with a thousand routes is several hundred
// kilobytes of repetitive text, and an instance passes it to up to eight others over a link that may carry only 10 Mbit/s.

const (
	// minCompressedSize is the size in bytes below which compressing a document is not worth the time.
	minCompressedSize = 1 << 10
	// maxCachedDocuments is the number of compressed documents that an instance keeps, since it sends the newest ones to
	// several others.
	maxCachedDocuments = 4
)

// documentCompressor compresses documents and keeps the latest results. It is safe for concurrent use.
type documentCompressor struct {
	mu     sync.Mutex
	cached []compressedDocument // oldest first
}

type compressedDocument struct {
	hash       uint64 // of the text
	size       int    // of the text, in bytes
	compressed []byte
}

// compress returns the text to send: as it is if it is short, otherwise compressed. The caller must not change the
// result.
func (c *documentCompressor) compress(text []byte) (plain, compressed []byte) {
	if len(text) < minCompressedSize {
		return text, nil
	}
	hash := xxhash.Sum64(text)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.cached {
		if d.hash == hash && d.size == len(text) {
			return nil, d.compressed
		}
	}
	compressed = deflate(text)
	if len(c.cached) == maxCachedDocuments {
		c.cached = c.cached[1:]
	}
	c.cached = append(c.cached, compressedDocument{hash: hash, size: len(text), compressed: compressed})
	return nil, compressed
}

func deflate(text []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // only for an invalid level
	}
	_, _ = w.Write(text) // writing to a bytes.Buffer does not fail
	_ = w.Close()
	return out.Bytes()
}

// originalDocument returns the text of a document that was sent plain or compressed. It fails if the text is longer than
// maxDocumentSize.
func originalDocument(plain, compressed []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return plain, nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDocumentSize+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress document")
	}
	if len(text) > maxDocumentSize {
		return nil, eris.New("decompressed document is too large")
	}
	return text, nil
}
