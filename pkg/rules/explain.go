package rules

import (
	"fmt"
	"slices"
	"strings"
)

// Explanation tells which rule decides for a request and why the other candidates do not.
type Explanation struct {
	// Rule decides; nil when none does.
	Rule *Rule
	// Others are the remaining rules whose path matches, the most specific first.
	Others []Candidate
	// Problem says why no rule decides; empty when one does.
	Problem string
}

// Candidate is a rule whose path matches but which does not decide.
type Candidate struct {
	Rule *Rule
	// Why says why the rule does not decide.
	Why string
}

// Explain returns which rule decides for method and decoded path, and why the other rules on that path do not.
func (t *Table) Explain(method, path string) Explanation {
	if hasDotSegment(path) {
		return Explanation{Problem: `a path with a "." or ".." segment matches no rule`}
	}
	x := Explanation{Rule: t.Match(method, path)}
	for _, r := range t.candidates(path) {
		if r != x.Rule {
			x.Others = append(x.Others, Candidate{Rule: r, Why: why(r, x.Rule, method)})
		}
	}
	switch {
	case x.Rule != nil:
	case len(x.Others) == 0:
		x.Problem = "no rule has a matching path"
	default:
		x.Problem = fmt.Sprintf("no rule with a matching path has method %s", method)
	}
	return x
}

// candidates returns the rules whose path matches, the most specific first.
func (t *Table) candidates(path string) []*Rule {
	h := t.lookup("")
	if h == nil {
		return nil
	}
	list := slices.Clone(h.exact[path])
	for stem, more := h.longestStem(path), true; more; stem, more = parent(stem) {
		list = append(list, h.prefix[stem]...)
	}
	return list
}

// why tells why r does not decide although its path matches.
func why(r, winner *Rule, method string) string {
	switch {
	case len(r.Methods) > 0 && !slices.Contains(r.Methods, method):
		return fmt.Sprintf("method %s is not one of %s", method, strings.Join(r.Methods, ", "))
	case r.Path != winner.Path:
		return fmt.Sprintf("path %s is less specific than %s", r.Path, winner.Path)
	case len(r.Methods) == 0 && len(winner.Methods) > 0:
		return fmt.Sprintf("rule %q names method %s, this one matches all methods", winner.Name, method)
	default:
		return fmt.Sprintf("service %s comes before %s by name", winner.Service, r.Service)
	}
}
