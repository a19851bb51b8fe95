package httpclient

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/memorybudget"
)

const testHeadLimit = 1 << 10

// received is what became of the bytes of a server.
type received struct {
	size  int   // bytes that were deliverable
	whole bool  // the response is complete
	clean bool  // it is complete if the connection ends now
	cause Cause // of the error, if any
}

// receiveParts passes the bytes of a server to a response as a Conn does.
func receiveParts(method string, parts ...string) received {
	r := response{headLimit: testHeadLimit, toHEAD: method == http.MethodHead}
	var got received
	var held []byte
	for _, part := range parts {
		if part == "" || r.complete() {
			continue
		}
		held = append(held, part...)
		n, err := r.receive(held, 0)
		if broken := (*Error)(nil); errors.As(err, &broken) {
			got.cause = broken.Cause
			return got
		}
		if got.size += n; n > 0 {
			held = nil
		}
	}
	got.whole, got.clean = r.complete(), r.endsCleanly()
	return got
}

// Guards against bytes that pass as a response although they are none, or whose end is not where another recipient sees it.
// Each response arrives whole and in two parts that are cut at any place.
func TestResponses(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	)
	whole := func(size int) received { return received{size: size, whole: true, clean: true} }
	all := func(text string) received { return whole(len(text)) }
	isMalformed := received{cause: CauseMalformed}
	type testCase struct {
		method, text string
		want         received
	}
	cases := map[string]testCase{
		"length":                   {"GET", ok + "Content-Length: 2\r\n\r\nok", all(ok + "Content-Length: 2\r\n\r\nok")},
		"length, equal twice":      {"GET", ok + "Content-Length: 2\r\ncontent-length:2 \r\n\r\nok", all(ok + "Content-Length: 2\r\ncontent-length:2 \r\n\r\nok")},
		"length, bytes after it":   {"GET", ok + "Content-Length: 2\r\n\r\nokHTTP/1.1", whole(len(ok + "Content-Length: 2\r\n\r\nok"))},
		"no reason phrase":         {"GET", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", all("HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n")},
		"any field name":           {"GET", ok + "!#$%&'*+-.^_`|~x9: \t\xff\r\nContent-Length: 0\r\n\r\n", all(ok + "!#$%&'*+-.^_`|~x9: \t\xff\r\nContent-Length: 0\r\n\r\n")},
		"lines that end with LF":   {"GET", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", all("HTTP/1.1 200 OK\nContent-Length: 2\n\nok")},
		"length of HEAD":           {"HEAD", ok + "Content-Length: 9\r\n\r\n", all(ok + "Content-Length: 9\r\n\r\n")},
		"chunks of HEAD":           {"HEAD", chunked, all(chunked)},
		"204":                      {"GET", "HTTP/1.1 204 No Content\r\n\r\n", all("HTTP/1.1 204 No Content\r\n\r\n")},
		"304 with a length":        {"GET", "HTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n", all("HTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n")},
		"chunks":                   {"GET", chunked + "2\r\nok\r\n0A;e=\"v\"\r\n0123456789\r\n0\r\n\r\n", all(chunked + "2\r\nok\r\n0A;e=\"v\"\r\n0123456789\r\n0\r\n\r\n")},
		"trailer":                  {"GET", chunked + "0\r\nSum: 7\r\n\r\n", all(chunked + "0\r\nSum: 7\r\n\r\n")},
		"interim responses":        {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n", all("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n")},
		"ends with the connection": {"GET", ok + "\r\nsome", received{size: len(ok + "\r\nsome"), clean: true}},

		"unfinished head":    {"GET", ok + "Content-Length: 2\r\n", received{}},
		"unfinished body":    {"GET", ok + "Content-Length: 3\r\n\r\nok", received{size: len(ok + "Content-Length: 3\r\n\r\nok")}},
		"unfinished chunk":   {"GET", chunked + "3\r\nok", received{size: len(chunked + "3\r\nok")}},
		"no last chunk":      {"GET", chunked + "2\r\nok\r\n", received{size: len(chunked + "2\r\nok\r\n")}},
		"unfinished trailer": {"GET", chunked + "0\r\nSum: 7\r\n", received{size: len(chunked + "0\r\nSum: 7\r\n")}},
		"only interim":       {"GET", "HTTP/1.1 100 Continue\r\n\r\n", received{}},

		"large head":               {"GET", ok + "A: " + strings.Repeat("a", testHeadLimit), received{cause: CauseHeadTooLarge}},
		"interim heads beyond it":  {"GET", strings.Repeat("HTTP/1.1 100 C\r\n\r\n", testHeadLimit/18+1), received{cause: CauseHeadTooLarge}},
		"large trailer":            {"GET", chunked + "0\r\nA: " + strings.Repeat("a", maxTrailerBytes), received{cause: CauseHeadTooLarge}},
		"head without end":         {"GET", strings.Repeat("x", 100), isMalformed},
		"empty lines":              {"GET", "\r\n\r\n" + ok + "\r\n", isMalformed},
		"version 2":                {"GET", "HTTP/2.0 200 OK\r\n\r\n", isMalformed},
		"version without a number": {"GET", "HTTP/1.x 200 OK\r\n\r\n", isMalformed},
		"protocol switch":          {"GET", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", isMalformed},
		"no status":                {"GET", "HTTP/1.1\r\n\r\n", isMalformed},
		"short status":             {"GET", "HTTP/1.1 20\r\n\r\n", isMalformed},
		"long status":              {"GET", "HTTP/1.1 2000 OK\r\n\r\n", isMalformed},
		"status with a sign":       {"GET", "HTTP/1.1 +20 OK\r\n\r\n", isMalformed},
		"two blanks":               {"GET", "HTTP/1.1  200 OK\r\n\r\n", isMalformed},
		"control in the reason":    {"GET", "HTTP/1.1 200 O\x00K\r\n\r\n", isMalformed},
		"line breaks of two kinds": {"GET", ok + "Content-Length: 2\n\r\nok", isMalformed},
		"empty line of one kind":   {"GET", ok + "Content-Length: 9\r\n\nA: b\r\n\r\n", isMalformed},
		"no colon":                 {"GET", ok + "Content-Length\r\n\r\n", isMalformed},
		"continued line":           {"GET", ok + "A: b\r\n Content-Length: 9\r\n\r\n", isMalformed},
		"no name":                  {"GET", ok + ": b\r\n\r\n", isMalformed},
		"two lengths":              {"GET", ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nokk", isMalformed},
		"list of lengths":          {"GET", ok + "Content-Length: 2, 2\r\n\r\nok", isMalformed},
		"negative length":          {"GET", ok + "Content-Length: -2\r\n\r\nok", isMalformed},
		"empty length":             {"GET", ok + "Content-Length: \r\n\r\nok", isMalformed},
		"length that overflows":    {"GET", ok + "Content-Length: 9223372036854775808\r\n\r\nok", isMalformed},
		"length and chunks":        {"GET", ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", isMalformed},
		"chunks and length":        {"GET", ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n", isMalformed},
		"chunks of version 1.0":    {"GET", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", isMalformed},
		"other transfer encoding":  {"GET", ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", isMalformed},
		"chunked twice":            {"GET", ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", isMalformed},
		"size that is no number":   {"GET", chunked + "x\r\n", isMalformed},
		"no size":                  {"GET", chunked + "\r\n", isMalformed},
		"size that overflows":      {"GET", chunked + "ffffffffffffffff\r\n", isMalformed},
		"long size":                {"GET", chunked + strings.Repeat("0", 17), isMalformed},
		"blank within a size":      {"GET", chunked + "1 0\r\n", isMalformed},
		"long extension":           {"GET", chunked + "1;" + strings.Repeat("e", maxChunkLine), isMalformed},
		"chunk longer than stated": {"GET", chunked + "2\r\nokk\r\n", isMalformed},
		"LF after a size":          {"GET", chunked + "2\nok\r\n0\r\n\r\n", isMalformed},
		"LF in the trailer":        {"GET", chunked + "0\r\nSum: 7\n\r\n", isMalformed},
	}
	for status := range 1000 {
		if status < 100 || status > 599 {
			cases[fmt.Sprintf("status %03d", status)] = testCase{"GET", fmt.Sprintf("HTTP/1.1 %03d X\r\nContent-Length: 0\r\n\r\n", status), isMalformed}
		}
	}
	for c := range 128 {
		if isLetter(byte(c)) || isDigit(byte(c)) || strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			continue
		}
		for place, name := range map[string]string{"first": "%cContent-Length: 2", "inner": "Content%c-Length: 2", "last": "Content-Length%c: 2"} {
			if c == ':' && place != "first" {
				continue // ends the name
			}
			line := fmt.Sprintf(name, c)
			cases[fmt.Sprintf("byte %d %s in a name", c, place)] = testCase{"GET", ok + line + "\r\n\r\nok", isMalformed}
			cases[fmt.Sprintf("byte %d %s in a name of the trailer", c, place)] = testCase{"GET", chunked + "0\r\n" + line + "\r\n\r\n", isMalformed}
		}
		if isControl(byte(c)) {
			cases[fmt.Sprintf("byte %d in a value", c)] = testCase{"GET", ok + fmt.Sprintf("A: b%cc\r\n\r\n", c), isMalformed}
		}
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, receiveParts(tc.method, tc.text))
			for n := range len(tc.text) {
				got := receiveParts(tc.method, tc.text[:n], tc.text[n:])
				if tc.want.cause != "" {
					require.Equal(t, tc.want.cause, got.cause, "cut at %d", n)
					continue
				}
				require.Equal(t, tc.want, got, "cut at %d", n)
			}
		})
	}
}

// Guards against a response that takes more memory than is reserved for it, and against ordinary heads that depend on the
// memory that others leave.
func TestResponseMemory(t *testing.T) {
	const total = 1 << 20
	head := func(lines int) string {
		return "HTTP/1.1 200 OK\r\n" + strings.Repeat("k: v\r\n", lines) + "Transfer-Encoding: chunked\r\n\r\n"
	}
	trailer := "0\r\n" + strings.Repeat("k: v\r\n", 600) + "\r\n"
	for name, tc := range map[string]struct {
		text     string
		used     int64 // by others
		cause    Cause
		reserves bool
	}{
		"ordinary head":                    {text: head(20), used: total},
		"large head":                       {text: head(500), reserves: true},
		"large head, no memory":            {text: head(500), used: total, cause: CauseHeadMemory},
		"large head, little memory":        {text: head(500), used: total - 1000, cause: CauseHeadMemory},
		"ordinary head and trailer":        {text: head(20) + "0\r\nk: v\r\n\r\n", used: total},
		"ordinary head, large trailer":     {text: head(20) + trailer, reserves: true},
		"ordinary head, trailer no memory": {text: head(20) + trailer, used: total, cause: CauseHeadMemory},
	} {
		t.Run(name, func(t *testing.T) {
			budget := memorybudget.New(total)
			for _, other := range []string{"a", "b", "c", "d"} {
				_, reason := budget.Reserve(other, tc.used/4)
				require.Equal(t, memorybudget.Granted, reason)
			}
			before := budget.Used()
			memory, _ := budget.Reserve("server", 0)
			r := response{headLimit: 1 << 20, memory: memory}
			_, err := r.receive([]byte(tc.text), 0)
			if tc.cause != "" {
				var broken *Error
				require.ErrorAs(t, err, &broken)
				require.Equal(t, tc.cause, broken.Cause)
			} else {
				require.NoError(t, err)
			}
			require.Equal(t, tc.reserves, budget.Used() > before)
			memory.Release(0)
			require.Equal(t, before, budget.Used())
		})
	}
}

// FuzzResponse requires that net/http sees the same end as this package in every response that this package takes as whole,
// and that the names of all fields are tokens.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;e\r\nok\r\n0\r\nSum: 7\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.0 304 X\r\nContent-Length: 9\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\n\r\nok",
	} {
		f.Add(text, false)
		f.Add(text, true)
	}
	f.Fuzz(func(t *testing.T, text string, toHEAD bool) {
		method := http.MethodGet
		if toHEAD {
			method = http.MethodHead
		}
		got := receiveParts(method, text)
		if !got.clean {
			return
		}
		reader := bufio.NewReader(bytes.NewReader([]byte(text[:got.size])))
		for {
			resp, err := http.ReadResponse(reader, &http.Request{Method: method})
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			for _, h := range []http.Header{resp.Header, resp.Trailer} {
				for name := range h {
					require.True(t, validName([]byte(name)), "%q", name)
				}
			}
			if resp.StatusCode >= http.StatusOK {
				break
			}
		}
		require.Zero(t, reader.Buffered())
	})
}
