package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Table matches requests to rules. It is immutable and safe for concurrent use.
//
// The most specific path decides: an exact path before a prefix, a longer prefix before a shorter one. On one path, a
// rule that names the method decides before a rule for all methods. If rules of several services remain, the service
// that comes first by name decides, so that every instance with the same documents decides alike.
type Table struct {
	exact     map[string][]*Rule
	prefix    map[string][]*Rule
	depth     int // largest number of "/" in a stem of prefix
	conflicts []Conflict
}

// Conflict is a path and method for which several services have a rule.
type Conflict struct {
	Path string `json:"path"`
	// Method is empty for rules that match all methods.
	Method string `json:"method,omitempty"`
	// Winner and Loser are the services of the rule that decides and of the rule that does not.
	Winner string `json:"winner"`
	Loser  string `json:"loser"`
	// WinnerRule and LoserRule are the names of the rules.
	WinnerRule string `json:"winner_rule"`
	LoserRule  string `json:"loser_rule"`
}

// String describes the conflict.
func (c Conflict) String() string {
	method := c.Method
	if method == "" {
		method = "all methods"
	}
	return fmt.Sprintf("%s %s: rule %q of service %s decides, not rule %q of service %s",
		method, c.Path, c.WinnerRule, c.Winner, c.LoserRule, c.Loser)
}

// NewTable merges the rules of documents. The result does not depend on their order.
func NewTable(docs []*Document) *Table {
	t := &Table{exact: make(map[string][]*Rule), prefix: make(map[string][]*Rule)}
	for _, d := range inOrder(docs) {
		for i := range d.Rules {
			t.add(&d.Rules[i])
		}
	}
	return t
}

// inOrder sorts documents by service. Of several documents of one service only the newest counts.
func inOrder(docs []*Document) []*Document {
	sorted := slices.Clone(docs)
	slices.SortStableFunc(sorted, func(a, b *Document) int {
		if c := cmp.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(b.Epoch, a.Epoch), cmp.Compare(b.Revision, a.Revision))
	})
	return slices.CompactFunc(sorted, func(a, b *Document) bool { return a.Service == b.Service })
}

func (t *Table) add(r *Rule) {
	paths, key := t.exact, r.Path
	if stem, ok := strings.CutSuffix(r.Path, "/*"); ok {
		paths, key = t.prefix, stem
		t.depth = max(t.depth, strings.Count(stem, "/"))
	}
	for _, earlier := range paths[key] {
		t.compare(earlier, r)
	}
	paths[key] = append(paths[key], r)
}

// compare records for which methods an earlier rule of the same path keeps a later one from deciding.
func (t *Table) compare(earlier, later *Rule) {
	for _, m := range methodsOrAny(*later) {
		if slices.Contains(methodsOrAny(*earlier), m) {
			t.conflicts = append(t.conflicts, Conflict{
				Path: later.Path, Method: m, Winner: earlier.Service, Loser: later.Service,
				WinnerRule: earlier.Name, LoserRule: later.Name,
			})
		}
	}
}

// Conflicts returns where rules of several services compete, in a fixed order.
func (t *Table) Conflicts() []Conflict { return slices.Clone(t.conflicts) }

// Match returns the rule that decides for method and decoded path, or nil. It does not allocate.
//
// A path with a "." or ".." segment matches nothing: a target may resolve it to a path that another rule covers, with
// another class.
func (t *Table) Match(method, path string) *Rule {
	if hasDotSegment(path) {
		return nil
	}
	if r := matchMethod(t.exact[path], method); r != nil {
		return r
	}
	for stem, more := t.longestStem(path), true; more; stem, more = parent(stem) {
		if r := matchMethod(t.prefix[stem], method); r != nil {
			return r
		}
	}
	return nil
}

// longestStem cuts path to the depth of the deepest prefix, so that the cost of a match does not grow with the length
// of a hostile path.
func (t *Table) longestStem(path string) string {
	slashes := 0
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		if slashes == t.depth {
			return path[:i]
		}
		slashes++
	}
	return path
}

func parent(stem string) (string, bool) {
	i := strings.LastIndexByte(stem, '/')
	if i < 0 {
		return "", false
	}
	return stem[:i], true
}

func hasDotSegment(path string) bool {
	for rest := path; ; {
		i := strings.Index(rest, "/.")
		if i < 0 {
			return false
		}
		rest = rest[i+2:]
		after := strings.TrimPrefix(rest, ".")
		if rest == "" || rest[0] == '/' || after == "" || after[0] == '/' {
			return true
		}
	}
}

func matchMethod(candidates []*Rule, method string) *Rule {
	var all *Rule
	for _, r := range candidates {
		if len(r.Methods) == 0 {
			if all == nil {
				all = r
			}
			continue
		}
		if slices.Contains(r.Methods, method) {
			return r
		}
	}
	return all
}
