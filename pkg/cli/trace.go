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

// maxLogLineBytes bounds the length of a log line; a longer one ends the trace with an error.
const maxLogLineBytes = 1 << 20

// traceLine is a log line of the traced request.
type traceLine struct {
	time   string
	prefix string // text before the JSON object, such as the name of an instance
	text   string // the line as it is printed
}

// Trace reads log lines of any number of instances and prints those of one request, sorted by time. It skips lines that
// are not JSON. Text before the JSON object is printed too, so that lines can be prefixed with the instance that wrote
// them. It returns ErrFindings if no line has the request ID.
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
		fmt.Fprintf(w, "no log line has request ID %q\n", request)
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

// parseTraceLine formats a log line. It returns false if the line belongs to another request or is not JSON.
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
