package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// maxLogLineBytes bounds a line of the log in bytes; a longer one ends the trace with an error.
const maxLogLineBytes = 1 << 20

// traceLine is one log line that names the request.
type traceLine struct {
	time   string
	prefix string // what stands before the JSON object, such as the name of an instance
	text   string
}

// Trace reads log lines of any number of instances and prints those of one request in the order of their time. Lines
// that are not JSON are passed over; what stands before the JSON object is kept, so that lines can be marked with the
// instance that wrote them. It returns ErrFindings if no line names the request.
func Trace(w io.Writer, log io.Reader, request string) error {
	var lines []traceLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if line, ok := parseTraceLine(scanner.Bytes(), request); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return eris.Wrap(err, "read log")
	}
	if len(lines) == 0 {
		fmt.Fprintf(w, "no line names request %q\n", request)
		return ErrFindings
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return strings.Compare(a.time, b.time) })
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l.text); err != nil {
			return eris.Wrap(err, "write trace")
		}
	}
	return nil
}

func parseTraceLine(text []byte, request string) (traceLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return traceLine{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal(text[start:], &fields) != nil || fields["request"] != request {
		return traceLine{}, false
	}
	line := traceLine{time: fmt.Sprint(fields["time"]), prefix: strings.TrimSpace(string(text[:start]))}
	line.text = strings.TrimSpace(fmt.Sprintf("%s %s %v", line.time, line.prefix, fields["msg"]))
	for _, key := range []string{"time", "level", "msg", "request"} {
		delete(fields, key)
	}
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		line.text += fmt.Sprintf(" %s=%v", key, fields[key])
	}
	return line, true
}
