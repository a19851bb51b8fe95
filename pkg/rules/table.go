package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Table matches requests to rules. It is immutable and safe for concurrent use.
//
// The rule with the most specific path applies: an exact path takes precedence over a prefix, a longer prefix over a
// shorter one. On the same path, a rule that names the method takes precedence over a rule for all methods. If rules of
// several services remain, the first service by name takes precedence, so that all instances with the same documents
// route alike.
//
// If a host has rules of its own, only these apply to it.
type Table struct {
	hosts     map[string]*hostRules
	conflicts []Conflict
}

// hostRules holds the rules of one host.
type hostRules struct {
	exactPaths     map[string][]*Rule
	prefixPaths    map[string][]*Rule
	maxPrefixDepth int // largest number of "/" in a key of prefixPaths
}

// Conflict is a path and method for which several services have a rule.
type Conflict struct {
	Path string `json:"path"`
	// Method is empty for rules that match all methods.
	Method string `json:"method,omitempty"`
	// Winner and Loser are the services of the rule that applies and of the rule that does not.
	Winner string `json:"winner"`
	Loser  string `json:"loser"`
	// WinnerRule and LoserRule are the names of the rules.
	WinnerRule string `json:"winner_rule"`
	LoserRule  string `json:"loser_rule"`
}

// String describes the conflict for logs and reports.
func (c Conflict) String() string {
	method := c.Method
	if method == "" {
		method = "all methods"
	}
	return fmt.Sprintf("%s %s: rule %q of service %s takes precedence over rule %q of service %s",
		method, c.Path, c.WinnerRule, c.Winner, c.LoserRule, c.Loser)
}

// NewTable merges the rules of documents. The result does not depend on their order.
func NewTable(docs []*Document) *Table {
	t := &Table{hosts: make(map[string]*hostRules)}
	for _, d := range newestByService(docs) {
		for i := range d.Rules {
			t.addRule(&d.Rules[i])
		}
	}
	return t
}

// newestByService returns the newest document of each service, sorted by service.
func newestByService(docs []*Document) []*Document {
	sorted := slices.Clone(docs)
	slices.SortStableFunc(sorted, func(a, b *Document) int {
		if c := cmp.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(b.Epoch, a.Epoch), cmp.Compare(b.Revision, a.Revision))
	})
	return slices.CompactFunc(sorted, func(a, b *Document) bool { return a.Service == b.Service })
}

func (t *Table) addRule(r *Rule) {
	h := t.hostRulesFor(r.Host)
	paths, key := h.exactPaths, r.Path
	if prefix, ok := strings.CutSuffix(r.Path, "/*"); ok {
		paths, key = h.prefixPaths, prefix
		h.maxPrefixDepth = max(h.maxPrefixDepth, strings.Count(prefix, "/"))
	}
	for _, earlier := range paths[key] {
		t.addConflicts(earlier, r)
	}
	paths[key] = append(paths[key], r)
}

// hostRulesFor returns the rules of a host, which it adds to the table if there are none.
func (t *Table) hostRulesFor(name string) *hostRules {
	h := t.hosts[name]
	if h == nil {
		h = &hostRules{exactPaths: make(map[string][]*Rule), prefixPaths: make(map[string][]*Rule)}
		t.hosts[name] = h
	}
	return h
}

// addConflicts records the methods for which an earlier rule takes precedence over a later one on the same path.
func (t *Table) addConflicts(earlier, later *Rule) {
	for _, m := range methodsOrAny(*later) {
		if slices.Contains(methodsOrAny(*earlier), m) {
			t.conflicts = append(t.conflicts, Conflict{
				Path: later.Path, Method: m, Winner: earlier.Service, Loser: later.Service,
				WinnerRule: earlier.Name, LoserRule: later.Name,
			})
		}
	}
}

// Conflicts returns the paths and methods for which several services have a rule. The order depends only on the
// documents.
func (t *Table) Conflicts() []Conflict { return slices.Clone(t.conflicts) }

// Empty reports whether the table holds no rule.
func (t *Table) Empty() bool { return len(t.hosts) == 0 }

// Match returns the rule that applies to a method and a decoded path on a host without rules of its own, or nil.
func (t *Table) Match(method, path string) *Rule { return t.MatchHost("", method, path) }

// MatchHost returns the rule that applies to a host as given in a request, a method and a decoded path, or nil. It does
// not allocate for a host in lower case.
//
// A path with a "." or ".." segment matches nothing: a target may resolve it to a path that another rule covers, with
// another class.
func (t *Table) MatchHost(host, method, path string) *Rule {
	h := t.findHostRules(host)
	if h == nil || hasDotSegment(path) {
		return nil
	}
	if r := matchMethod(h.exactPaths[path], method, path); r != nil {
		return r
	}
	for prefix, more := h.longestPrefix(path), true; more; prefix, more = parentPrefix(prefix) {
		if r := matchMethod(h.prefixPaths[prefix], method, path); r != nil {
			return r
		}
	}
	return nil
}

// findHostRules returns the rules for a host as given in a request, with or without a port. A host without rules of its
// own gets the rules for all hosts, nil if there are none.
func (t *Table) findHostRules(host string) *hostRules {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	if h := t.hosts[strings.ToLower(host)]; h != nil {
		return h
	}
	return t.hosts[""]
}

// longestPrefix cuts path to the depth of the deepest prefix rule, so that the cost of a match does not grow with the
// length of a malicious path.
func (t *hostRules) longestPrefix(path string) string {
	slashes := 0
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		if slashes == t.maxPrefixDepth {
			return path[:i]
		}
		slashes++
	}
	return path
}

// parentPrefix returns prefix without its last segment, and false if it has none. The empty prefix is that of "/*".
func parentPrefix(prefix string) (string, bool) {
	i := strings.LastIndexByte(prefix, '/')
	if i < 0 {
		return "", false
	}
	return prefix[:i], true
}

func hasDotSegment(path string) bool {
	for rest := path; ; {
		i := strings.Index(rest, "/.")
		if i < 0 {
			return false
		}
		rest = rest[i+2:]
		afterDots := strings.TrimPrefix(rest, ".") // rest follows "/.", afterDots follows "/." or "/.."
		if rest == "" || rest[0] == '/' || afterDots == "" || afterDots[0] == '/' {
			return true
		}
	}
}

func matchMethod(candidates []*Rule, method, path string) *Rule {
	var anyMethodRule *Rule
	for _, r := range candidates {
		if r.ExcludeBase && len(path) < len(r.Path)-1 {
			continue // the base path itself
		}
		if len(r.Methods) == 0 {
			if anyMethodRule == nil {
				anyMethodRule = r
			}
			continue
		}
		if slices.Contains(r.Methods, method) {
			return r
		}
	}
	return anyMethodRule
}
