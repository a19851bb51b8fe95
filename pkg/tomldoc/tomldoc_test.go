package tomldoc

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against resuming at the wrong line after a syntax error, which loses entries or assigns them to another table.
func TestReadResumesAfterSyntaxError(t *testing.T) {
	tests := []struct{ name, text, entries, positions string }{
		{"broken value", "a = \nb = 1\n", "b", "1:5"},
		{"several", "a = \nb = 1\n\n  c\n# x\nd = 2 # y\n", "b d", "1:5 4:4"},
		{"unclosed bracket", "a = [\nb = 1\nc = 2", "b c", "1:1"},
		{"unclosed string", "a = '''\nb = 1\n", "b", "1:1"},
		{"broken header", "a = 1\n[t\nb = 1\n[u]\nc = 1\n", "a u.c", "2:3"},
		{"broken value below a broken header", "[t\nb = \nc = 1\n[u]\nd = 1", "u.d", "1:3 2:5"},
		{"rest of the line", "a = 1 2\nb = 1\n", "b", "1:7"},
		{"error at the end", "a = 1\nb", "a", "2:1"},
		{"dotted and quoted keys", "a.b = 1\n\"a.b\" = 2\n", `a.b "a.b"`, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			doc, found := Read("f", []byte(tt.text))
			var entries, positions []string
			for _, e := range doc.Entries {
				entries = append(entries, strings.TrimPrefix(e.Table+"."+e.Key, "."))
			}
			for _, f := range found {
				positions = append(positions, strings.SplitN(f.String(), ":", 2)[1][:3])
			}
			require.Equal(t, tt.entries, strings.Join(entries, " "))
			require.Equal(t, tt.positions, strings.Join(positions, " "))
		})
	}
}

// Guards against quadratic time on a text in which every line costs a pass over the rest, and against a report flooded
// with findings.
func TestSyntaxErrorCountIsLimited(t *testing.T) {
	_, found := Read("f", []byte(strings.Repeat("a = '''\n'\n", 1000)))
	require.LessOrEqual(t, len(found), maxSyntaxErrors)
}

// Guards against accepting values without a unit, with an ambiguous unit, or that overflow. -1 stands for an error.
func TestValuesNeedUnits(t *testing.T) {
	for text, want := range map[string]int64{"1B": 1, "64KiB": 64 << 10, "2MiB": 2 << 20, "": -1, "64": -1, "64KB": -1, "1.5KiB": -1, "-1B": -1, "1 KiB": -1, "9999999GiB": -1} {
		n, err := ParseSize(text)
		require.Equal(t, want < 0, err != nil, text)
		require.Equal(t, max(want, 0), n, text)
	}
	for text, want := range map[string]time.Duration{"2s": 2 * time.Second, "0s": 0, "1m30s": 90 * time.Second, "0": -1, "2": -1, "": -1, "2 s": -1, "2d": -1} {
		d, err := ParseDuration(text)
		require.Equal(t, want < 0, err != nil, text)
		require.Equal(t, max(want, 0), d, text)
	}
}
