package discovery

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the content hash used in the index, the xxhash64 of text in hexadecimal.
func Hash(text []byte) string { return strconv.FormatUint(xxhash.Sum64(text), 16) }
