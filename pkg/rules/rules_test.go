package rules

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/findings"
)

const documentKeys = "service = \"registry\"\nepoch = 1\nrevision = 7\n"

// withRules returns a document whose rules begin on line 5.
func withRules(lines ...string) string {
	return documentKeys + "[rules]\n" + strings.Join(lines, "\n") + "\n"
}

func findingsIn(text string) []string {
	_, err := Parse("f", []byte(text))
	if err == nil {
		return nil
	}
	var lines []string
	for _, f := range err.(findings.List) {
		lines = append(lines, fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message))
	}
	return lines
}

// Guards against a mistake in a document that is not reported, or is reported at the wrong position.
func TestFindings(t *testing.T) {
	const ok = `a = { path = "/a", methods = ["GET"], deadline = "2s" } # ops`
	long := strings.Repeat("x", 1025)
	tests := []struct{ name, text, want string }{
		{"missing comment", withRules(`a = { path = "/a", methods = ["GET"], deadline = "2s" }`), `5:1: rule "a" has no comment`},
		{"empty comment", withRules(`a = { path = "/a", methods = ["GET"], deadline = "2s" } # `), `5:1: rule "a" has no comment`},
		{"unknown key", withRules(`a = { path = "/a", methods = ["GET"], deadline = "2s", retry = 1 } # ops`), `5:56: unknown key "retry"`},
		{"key twice", withRules(`a = { path = "/a", path = "/b", methods = ["GET"], deadline = "2s" } # ops`), `5:20: "path" is already given in column 7`},
		{"unknown class", withRules(`a = { path = "/a", class = "twice", deadline = "2s" } # ops`), `5:28: unknown class "twice"`},
		{"class of wrong type", withRules(`a = { path = "/a", class = 1, deadline = "2s" } # ops`), `5:28: unknown class "1"`},
		{"no default class, no methods", withRules(`a = { path = "/a", deadline = "2s" } # ops`), `5:1: rule "a" needs a class: its methods have no common default`},
		{"no default class, both kinds", withRules(`a = { path = "/a", methods = ["GET", "POST"], deadline = "2s" } # ops`), `5:1: rule "a" needs a class: its methods have no common default`},
		{"deadline without unit", withRules(`a = { path = "/a", class = "once", deadline = "2" } # ops`), `5:47: bad deadline "2"`},
		{"deadline of wrong type", withRules(`a = { path = "/a", class = "once", deadline = 2 } # ops`), `5:47: bad deadline "2"`},
		{"deadline too long", withRules(`a = { path = "/a", class = "once", deadline = "51s" } # ops`), `5:47: deadline 51s is out of range`},
		{"deadline negative", withRules(`a = { path = "/a", class = "once", deadline = "-1s" } # ops`), `5:47: deadline -1s is out of range`},
		{"missing deadline", withRules(`a = { path = "/a", class = "once" } # ops`), `5:1: rule "a" has no deadline`},
		{"missing path", withRules(`a = { class = "once", deadline = "2s" } # ops`), `5:1: rule "a" has no path`},
		{"body without unit", withRules(`a = { path = "/a", class = "once", deadline = "2s", body = "64" } # ops`), `5:60: bad body limit "64"`},
		{"body with decimal unit", withRules(`a = { path = "/a", class = "once", deadline = "2s", body = "64KB" } # ops`), `5:60: bad body limit "64KB"`},
		{"body zero", withRules(`a = { path = "/a", class = "once", deadline = "2s", body = "0B" } # ops`), `5:60: body limit 0B is out of range`},
		{"body too large", withRules(`a = { path = "/a", class = "once", deadline = "2s", body = "65MiB" } # ops`), `5:60: body limit 65MiB is out of range`},
		{"method unknown", withRules(`a = { path = "/a", methods = ["GTE"], class = "once", deadline = "2s" } # ops`), `5:31: bad method "GTE"`},
		{"method in lower case", withRules(`a = { path = "/a", methods = ["get"], class = "once", deadline = "2s" } # ops`), `5:31: bad method "get"`},
		{"method repeated", withRules(`a = { path = "/a", methods = ["GET", "GET"], deadline = "2s" } # ops`), `5:38: method GET is repeated`},
		{"methods empty", withRules(`a = { path = "/a", methods = [], class = "once", deadline = "2s" } # ops`), `5:20: bad methods`},
		{"path relative", withRules(`a = { path = "a", class = "once", deadline = "2s" } # ops`), `5:14: bad path pattern "a": does not begin with "/"`},
		{"path of wrong type", withRules(`a = { path = 1, class = "once", deadline = "2s" } # ops`), `5:14: bad path pattern "1": not a string`},
		{"path with star inside", withRules(`a = { path = "/*/a", class = "once", deadline = "2s" } # ops`), `5:14: bad path pattern "/*/a": "*" is only allowed as the last segment`},
		{"path with query", withRules(`a = { path = "/a?b", class = "once", deadline = "2s" } # ops`), `5:14: bad path pattern "/a?b": a query or fragment is not part of the path`},
		{"path encoded", withRules(`a = { path = "/a%20b", class = "once", deadline = "2s" } # ops`), `5:14: bad path pattern "/a%20b": patterns are compared with the decoded path`},
		{"path with empty segment", withRules(`a = { path = "/a//b", class = "once", deadline = "2s" } # ops`), `5:14: bad path pattern "/a//b": empty segment`},
		{"path with dot segment", withRules(`a = { path = "/a/../b", class = "once", deadline = "2s" } # ops`), `5:14: bad path pattern "/a/../b": "." and ".." are not allowed`},
		{"path with space", withRules(`a = { path = "/a b", class = "once", deadline = "2s" } # ops`), `5:14: bad path pattern "/a b": space or unprintable character`},
		{"path too long", withRules(`a = { path = "/` + long + `", class = "once", deadline = "2s" } # ops`), `5:14: bad path pattern "/` + long + `": longer than 1024 bytes`},
		{"name repeated", withRules(ok, ok), `6:1: "a" is already used on line 5`},
		{"bad rule name", withRules(`"a b" = { path = "/a", class = "once", deadline = "2s" } # ops`), `5:1: bad rule name "a b"`},
		{"duplicate", withRules(ok, `b = { path = "/a", methods = ["HEAD", "GET"], deadline = "2s" } # ops`), `6:1: rule "b" duplicates rule "a" on line 5 for GET /a`},
		{"duplicate, all methods", withRules(`a = { path = "/a", class = "once", deadline = "2s" } # ops`, `b = { path = "/a", class = "once", deadline = "2s" } # ops`), `6:1: rule "b" duplicates rule "a" on line 5 for all methods /a`},
		{"shadowed", withRules(`a = { path = "/a", class = "once", deadline = "2s" } # ops`, `b = { path = "/a", class = "once", methods = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"], deadline = "2s" } # ops`), `5:1: rule "a" is shadowed: other rules name every method of /a`},
		{"rule over several lines", withRules("a = { path = \"/a\", methods = [\n\"GET\"], deadline = \"2s\" } # ops"), `5:1: rule "a" spans several lines`},
		{"rule as table", withRules("[rules.a]", `path = "/a"`), `5:2: rule "a" spans several lines`},
		{"rule as dotted keys", withRules(`a.path = "/a"`), `5:1: rule "a.path" spans several lines`},
		{"not a rule", withRules(`a = "/a"`), `5:1: "a" is not a rule`},
		{"missing service", "epoch = 1\nrevision = 7\n[rules]\n", `0:0: service is missing`},
		{"missing epoch", "service = \"a\"\nrevision = 7\n[rules]\n", `0:0: epoch is missing`},
		{"missing revision", "service = \"a\"\nepoch = 7\n[rules]\n", `0:0: revision is missing`},
		{"missing rules", documentKeys, `0:0: table [rules] is missing`},
		{"rules repeated", withRules(ok, "[rules]"), `6:2: table [rules] is repeated`},
		{"rules as array", documentKeys + "[[rules]]\n[rules]\n", `4:3: unknown table "rules"`},
		{"unknown table", withRules(ok, "[other]", "x = 1"), `6:2: unknown table "other"`},
		{"unknown key at the top", "owner = 1\n" + withRules(ok), `1:1: unknown key "owner"`},
		{"bad service", strings.Replace(withRules(ok), "registry", "Registry", 1), `1:11: bad service`},
		{"reserved service", strings.Replace(withRules(ok), "registry", "burdockpitch", 1), `1:11: bad service`},
		{"bad epoch", strings.Replace(withRules(ok), "epoch = 1", "epoch = -1", 1), `2:9: bad epoch`},
		{"bad revision", strings.Replace(withRules(ok), "revision = 7", `revision = "7"`, 1), `3:12: bad revision`},
		{"bad based_on", "based_on = 1.2\n" + withRules(ok), `1:12: bad based_on`},
		{"based_on not lower", "based_on = \"1.7\"\n" + withRules(ok), `1:12: based_on 1.7 is not lower than the version 1.7`},
		{"invalid TOML", withRules(ok, `b = { path = "/b`), `6:17: invalid TOML: basic strings cannot have new lines`},
		{"too large", strings.Repeat("#", MaxDocumentBytes+1), `0:0: the document has 1048577 bytes`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, []string{tt.want}, findingsIn(tt.text)) })
	}
}

// Guards against a syntax error that hides the findings after it.
func TestAllFindingsAtOnce(t *testing.T) {
	text := withRules(`a = { path = "a", class = "x" }`, `b = [`, `c = { path = "/c", deadline = "2" } # ops`, `d = '''`, `e = 1`)
	var positions []string
	for _, line := range findingsIn(text) {
		positions = append(positions, line[:strings.Index(line, ": ")])
	}
	require.Equal(t, []string{"5:1", "5:1", "5:14", "5:27", "6:1", "7:31", "8:1", "9:1"}, positions)
}

// Guards against a field that is parsed wrongly or left at its default.
func TestParse(t *testing.T) {
	doc, err := Parse("f", []byte("based_on = \"1.6\"\n"+withRules(
		`bookings = { path = "/bookings/*", methods = ["POST"], deadline = "2s", body = "64KiB" } # asked by the registrar`,
		`records = { path = "/records/*", methods = ["GET", "HEAD"], deadline = "150ms" } # asked by the front desk`,
		`archive = { path = "/archive/*", class = "patient", deadline = "50s" } # asked by the archive`)))
	require.NoError(t, err)
	require.Equal(t, &Document{
		Service: "registry", Version: Version{1, 7}, BasedOn: &Version{1, 6},
		Rules: []Rule{
			{Name: "bookings", Service: "registry", Path: "/bookings/*", Methods: []string{"POST"}, Class: core.ClassOnce,
				Deadline: 2 * time.Second, BodyLimit: 64 << 10, RequestedBy: "asked by the registrar", Line: 6},
			{Name: "records", Service: "registry", Path: "/records/*", Methods: []string{"GET", "HEAD"}, Class: core.ClassLookup,
				Deadline: 150 * time.Millisecond, BodyLimit: DefaultBodyBytes, RequestedBy: "asked by the front desk", Line: 7},
			{Name: "archive", Service: "registry", Path: "/archive/*", Class: core.ClassPatient,
				Deadline: 50 * time.Second, BodyLimit: DefaultBodyBytes, RequestedBy: "asked by the archive", Line: 8},
		},
	}, doc)
}

func mustParse(t testing.TB, service string, lines ...string) *Document {
	t.Helper()
	doc, err := Parse(service, []byte(strings.Replace(withRules(lines...), "registry", service, 1)))
	require.NoError(t, err)
	return doc
}

func tableDocuments(t *testing.T) []*Document {
	return []*Document{
		mustParse(t, "b", `all = { path = "/*", class = "lookup", deadline = "1s" } # ops`,
			`records = { path = "/records/*", methods = ["GET"], deadline = "1s" } # ops`),
		mustParse(t, "a", `list = { path = "/records/list", methods = ["GET"], deadline = "1s" } # ops`,
			`records = { path = "/records/*", methods = ["GET", "POST"], class = "once", deadline = "1s" } # ops`,
			`rest = { path = "/records/*", class = "patient", deadline = "1s" } # ops`),
	}
}

// Guards against a request that is routed to a less specific rule, and against a result that depends on the order in
// which an instance received the documents.
func TestMatchAndExplain(t *testing.T) {
	docs := tableDocuments(t)
	tests := []struct {
		method, path, want string
		others             []string
	}{
		{"GET", "/records/list", "a/list", []string{`a/records: path /records/* is less specific than /records/list`,
			`a/rest: path /records/* is less specific than /records/list`, `b/records: path /records/* is less specific than /records/list`,
			`b/all: path /* is less specific than /records/list`}},
		{"POST", "/records/list", "a/records", []string{`a/list: method POST is not one of GET`, `a/rest: rule "records" names method POST, this one matches all methods`,
			`b/records: method POST is not one of GET`, `b/all: path /* is less specific than /records/*`}},
		{"GET", "/records", "a/records", []string{`a/rest: rule "records" names method GET, this one matches all methods`,
			`b/records: service a comes before b by name`, `b/all: path /* is less specific than /records/*`}},
		{"PUT", "/records/a/b/c/", "a/rest", []string{`a/records: method PUT is not one of GET, POST`, `b/records: method PUT is not one of GET`,
			`b/all: path /* is less specific than /records/*`}},
		{"GET", "/recordsx", "b/all", nil},
		{"GET", "/records/../x", "", nil},
		{"GET", "/records/.", "", nil},
		{"GET", "/records/.x", "a/records", []string{`a/rest: rule "records" names method GET, this one matches all methods`,
			`b/records: service a comes before b by name`, `b/all: path /* is less specific than /records/*`}},
	}
	for _, order := range [][]*Document{docs, {docs[1], docs[0]}} {
		table := NewTable(order)
		require.Equal(t, []Conflict{{Path: "/records/*", Method: "GET", Winner: "a", Loser: "b", WinnerRule: "records", LoserRule: "records"}}, table.Conflicts())
		for _, tt := range tests {
			explanation := table.Explain(tt.method, tt.path)
			var others []string
			for _, c := range explanation.OtherCandidates {
				others = append(others, c.Rule.Service+"/"+c.Rule.Name+": "+c.NotChosenReason)
			}
			require.Equal(t, tt.others, others, tt.path)
			require.Same(t, table.Match(tt.method, tt.path), explanation.Rule)
			require.Equal(t, tt.want == "", explanation.Rule == nil)
			require.Equal(t, explanation.Rule == nil, explanation.NoMatchReason != "")
			if explanation.Rule != nil {
				require.Equal(t, tt.want, explanation.Rule.Service+"/"+explanation.Rule.Name, tt.path)
			}
		}
	}
}

// Guards against an old document that stays in the table together with a newer one of the same service, and against
// WithLimits changing the documents it copies.
func TestNewestDocumentOfServiceApplies(t *testing.T) {
	older := mustParse(t, "a", `old = { path = "/old", class = "once", deadline = "1s" } # ops`)
	newer := mustParse(t, "a", `new = { path = "/new", class = "once", deadline = "9s", body = "2MiB" } # ops`)
	newer.Revision++
	table := NewTable(WithLimits([]*Document{older, newer}, 3*time.Second, 1<<20))
	require.Nil(t, table.Match("GET", "/old"))
	r := table.Match("GET", "/new")
	require.Equal(t, 3*time.Second, r.Deadline)
	require.EqualValues(t, 1<<20, r.BodyLimit)
	require.Equal(t, 9*time.Second, newer.Rules[0].Deadline)
}

// Guards against input that makes the parser panic or return different findings each time, against accepted text that a
// TOML decoder rejects, and against rules that do not match their own path.
func FuzzParse(f *testing.F) {
	f.Add([]byte(withRules(`a = { path = "/a", methods = ["GET"], deadline = "2s" } # ops`)))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Parse("f", text)
		_, errAgain := Parse("f", text)
		require.Equal(t, err, errAgain)
		if err != nil {
			require.NotEmpty(t, err.(findings.List))
			return
		}
		var decoded map[string]any
		require.NoError(t, toml.Unmarshal(text, &decoded))
		table := NewTable([]*Document{doc})
		for i := range doc.Rules {
			method := "PURGE" // no rule can name it, so only a rule for all methods matches
			if named := doc.Rules[i].Methods; len(named) > 0 {
				method = named[0]
			}
			require.Same(t, &doc.Rules[i], table.Match(method, doc.Rules[i].Path))
		}
	})
}

// largeDocument has n rules. With n = 10,000 it is below the size limit of a document.
func largeDocument(n int) []byte {
	var text strings.Builder
	text.WriteString(documentKeys + "[rules]\n")
	for i := range n {
		fmt.Fprintf(&text, "r%d = { path = \"/p/%d/*\", methods = [\"GET\"], deadline = \"2s\" } # ops\n", i, i)
	}
	return []byte(text.String())
}

func BenchmarkParse10000Rules(b *testing.B) {
	text := largeDocument(10_000)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := Parse("f", text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMatchAmong10000Rules(b *testing.B) {
	doc, err := Parse("f", largeDocument(10_000))
	require.NoError(b, err)
	table := NewTable([]*Document{doc})
	paths := map[string]string{
		"hit": "/p/9999/a/b", "miss": "/q/9999/a/b", "hostile": strings.Repeat("/a", 4096), "dots": strings.Repeat("/.a", 2048),
	}
	for name, path := range paths {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Match("GET", path)
			}
		})
	}
}

// Guards against missing or invalid files of the fuzz corpus, without which the fuzz target runs on almost no input.
func TestFuzzCorpusIsPresent(t *testing.T) {
	files, err := filepath.Glob("testdata/fuzz/FuzzParse/*")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 10)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(string(text), "go test fuzz v1\n"), file)
	}
}
