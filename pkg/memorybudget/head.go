package memorybudget

import "net/http"

// HeadAllowance is the memory for a head that needs no reservation. It covers ordinary heads, so that large ones of others
// cannot keep the memory from them.
const HeadAllowance = 12 << 10

// firstHeadBytes is the size of the first buffer of GrowHead. It is below HeadAllowance.
const firstHeadBytes = 8 << 10

// GrowHead returns a larger buffer with the content of one that an unfinished head has filled, or nil if reserve refuses the
// bytes that both take. The first one replaces a buffer that belongs to net/http.
func GrowHead(buffer []byte, ofNetHTTP bool, reserve func(n int64) bool) []byte {
	size := 2 * len(buffer)
	if ofNetHTTP {
		size = max(firstHeadBytes, size)
	}
	// The former buffer is garbage from now on, but still takes memory.
	if !reserve(int64(size + len(buffer))) {
		return nil
	}
	return append(make([]byte, 0, size), buffer...)[:size]
}

// MissingForHead returns how many of n bytes are neither reserved for a head nor in its allowance.
func MissingForHead(n, reserved int64) int64 { return max(n-max(reserved, HeadAllowance), 0) }

// Bytes that a parsed head takes for each of its bytes and for each header line: the values and the names, the entries of
// two maps, as it was received and as it is passed on, and what the maps leave behind as they grow.
const (
	parsedBytesPerByte = 3
	parsedBytesPerLine = 256
)

// ParsedBytes estimates the memory that a head, or a trailer, takes once it has been parsed.
func ParsedBytes(size, lines int) int64 {
	return parsedBytesPerByte*int64(size) + parsedBytesPerLine*int64(lines)
}

// HeaderParsedBytes is ParsedBytes for header lines that have been parsed.
func HeaderParsedBytes(h http.Header) int64 {
	size, lines := 0, 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value)
			lines++
		}
	}
	return ParsedBytes(size, lines)
}
