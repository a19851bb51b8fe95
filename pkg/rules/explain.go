package rules

import (
	"fmt"
	"slices"
	"strings"
)

// Explanation says which rule applies to a request and why the other candidates do not.
type Explanation struct {
	// Rule is the rule that applies; nil if there is none.
	Rule *Rule
	// OtherCandidates are the other rules whose path matches, the most specific first.
	OtherCandidates []Candidate
	// NoMatchReason says why no rule applies; empty if one does.
	NoMatchReason string
}

// Candidate is a rule whose path matches but which does not apply.
type Candidate struct {
	Rule            *Rule
	NotChosenReason string
}

// Explain returns which rule applies to a method and a decoded path on a host without rules of its own, and why the
// other rules that match the path do not.
func (t *Table) Explain(method, path string) Explanation {
	if hasDotSegment(path) {
		return Explanation{NoMatchReason: `a path with a "." or ".." segment matches no rule`}
	}
	explanation := Explanation{Rule: t.Match(method, path)}
	for _, r := range t.candidates(path) {
		if r != explanation.Rule {
			explanation.OtherCandidates = append(explanation.OtherCandidates, Candidate{Rule: r, NotChosenReason: notChosenReason(r, explanation.Rule, method)})
		}
	}
	switch {
	case explanation.Rule != nil:
	case len(explanation.OtherCandidates) == 0:
		explanation.NoMatchReason = "no rule has a matching path"
	default:
		explanation.NoMatchReason = fmt.Sprintf("no rule with a matching path has method %s", method)
	}
	return explanation
}

// candidates returns the rules whose path matches, the most specific first.
func (t *Table) candidates(path string) []*Rule {
	h := t.findHostRules("")
	if h == nil {
		return nil
	}
	list := slices.Clone(h.exactPaths[path])
	for prefix, more := h.longestPrefix(path), true; more; prefix, more = parentPrefix(prefix) {
		list = append(list, h.prefixPaths[prefix]...)
	}
	return list
}

// notChosenReason returns why winner applies and not r, whose path matches too. Winner is nil if no rule applies; then
// r does not have the method.
func notChosenReason(r, winner *Rule, method string) string {
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
