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
	// OtherCandidates are the remaining rules whose path matches, the most specific first.
	OtherCandidates []Candidate
	// NoMatchReason says why no rule decides; empty when one does.
	NoMatchReason string
}

// Candidate is a rule whose path matches but which does not decide.
type Candidate struct {
	Rule *Rule
	// NotChosenReason says why the rule does not decide.
	NotChosenReason string
}

// Explain returns which rule decides for method and decoded path, and why the other rules on that path do not.
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

// notChosenReason tells notChosenReason r does not decide although its path matches.
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
