package rules

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/tomldoc"
)

// Methods are the HTTP methods that a rule can name. CONNECT and TRACE are not served. The set is closed so that a
// typing error is reported instead of creating a rule that never matches.
var Methods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

// anyMethod is the key of a rule without methods, which matches all methods, where rules are compared by method.
const anyMethod = ""

func methodsOrAny(r Rule) []string {
	if len(r.Methods) == 0 {
		return []string{anyMethod}
	}
	return r.Methods
}

// isSafeMethod reports whether a method is safe by RFC 9110, that is, read-only. PUT and DELETE are idempotent but not
// safe.
func isSafeMethod(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}

const (
	wantMethods   = "a list of GET, HEAD, OPTIONS, POST, PUT, PATCH and DELETE"
	wantPath      = `a path such as "/records/1", or a prefix such as "/records/*"`
	wantClass     = `"lookup", "patient" or "once"`
	wantDeadline  = "a deadline from 1ms to 50s"
	wantBodyLimit = "a body limit from 1B to 64MiB"
)

func (c *checker) checkRule(e tomldoc.Entry) {
	if !c.checkRuleSyntax(e) {
		return
	}
	r := Rule{Name: e.Key, Line: e.Line, BodyLimit: DefaultBodyBytes, RequestedBy: e.Comment}
	fieldPositions := make(map[string]tomldoc.Pos)
	findingsBefore := len(c.found)
	for _, f := range e.Value.Fields {
		if first, ok := fieldPositions[f.Key]; ok {
			c.report(f.Pos, "each key once", "%q is already given in column %d", f.Key, first.Column)
			continue
		}
		fieldPositions[f.Key] = f.Pos
		c.checkField(&r, f)
	}
	for _, key := range []string{"path", "deadline"} {
		if _, ok := fieldPositions[key]; !ok {
			c.report(e.Pos, wantRule, "rule %q has no %s", r.Name, key)
		}
	}
	if _, ok := fieldPositions["class"]; !ok && len(c.found) == findingsBefore {
		c.setDefaultClass(&r, e.Pos)
	}
	if r.RequestedBy == "" {
		c.report(e.Pos, "a trailing comment that names who asked for the rule", "rule %q has no comment", r.Name)
	}
	if r.Path != "" {
		c.doc.Rules = append(c.doc.Rules, r)
		c.rulePositions = append(c.rulePositions, e.Pos)
	}
}

// checkRuleSyntax checks that an entry has a valid name and is one inline table on one line. It returns whether the
// fields of the rule can be read.
func (c *checker) checkRuleSyntax(e tomldoc.Entry) bool {
	if e.KeyParts > 1 {
		c.report(e.Pos, wantRule, "rule %q spans several lines", e.Key)
		return false
	}
	if e.Value.Kind != unstable.InlineTable {
		c.report(e.Pos, wantRule, "%q is not a rule", e.Key)
		return false
	}
	if !ruleNamePattern.MatchString(e.Key) {
		c.report(e.Pos, wantRuleName, "bad rule name %q", e.Key)
	}
	if e.LineCount > 1 {
		c.report(e.Pos, wantRule, "rule %q spans several lines", e.Key)
	}
	return true
}

func (c *checker) checkField(r *Rule, f tomldoc.Entry) {
	switch f.Key {
	case "path":
		c.checkPath(r, f.Value)
	case "methods":
		c.checkMethods(r, f.Value)
	case "class":
		class, ok := core.ParseClass(f.Value.Text)
		if f.Value.Kind != unstable.String || !ok {
			c.report(f.Value.Pos, wantClass, "unknown class %q", f.Value.Text)
		}
		r.Class = class
	case "deadline":
		c.checkDeadline(r, f.Value)
	case "body":
		c.checkBodyLimit(r, f.Value)
	default:
		c.report(f.Pos, "path, methods, class, deadline or body", "unknown key %q", f.Key)
	}
}

func (c *checker) checkPath(r *Rule, v tomldoc.Value) {
	reason := "not a string"
	if v.Kind == unstable.String {
		reason = invalidPathReason(v.Text)
	}
	if reason != "" {
		c.report(v.Pos, wantPath, "bad path pattern %q: %s", v.Text, reason)
		return
	}
	r.Path = v.Text
}

// invalidPathReason returns what is wrong with a path pattern, or "".
func invalidPathReason(pattern string) string {
	path := strings.TrimSuffix(pattern, "/*")
	switch {
	case len(pattern) > maxPathBytes:
		return "longer than 1024 bytes"
	case !strings.HasPrefix(pattern, "/"):
		return `does not begin with "/"`
	case strings.Contains(path, "*"):
		return `"*" is only allowed as the last segment`
	case strings.ContainsAny(path, "?#"):
		return "a query or fragment is not part of the path"
	case strings.Contains(path, "%"):
		return "patterns are compared with the decoded path"
	case strings.Contains(path, "//"):
		return "empty segment"
	case hasDotSegment(path):
		return `"." and ".." are not allowed`
	case !utf8.ValidString(path) || strings.ContainsFunc(path, func(c rune) bool { return !unicode.IsGraphic(c) || unicode.IsSpace(c) }):
		return "space or unprintable character"
	}
	return ""
}

func (c *checker) checkMethods(r *Rule, v tomldoc.Value) {
	if v.Kind != unstable.Array || len(v.Items) == 0 {
		c.report(v.Pos, wantMethods, "bad methods")
		return
	}
	for _, item := range v.Items {
		switch {
		case item.Kind != unstable.String || !slices.Contains(Methods, item.Text):
			c.report(item.Pos, wantMethods, "bad method %q", item.Text)
		case slices.Contains(r.Methods, item.Text):
			c.report(item.Pos, "each method once", "method %s is repeated", item.Text)
		default:
			r.Methods = append(r.Methods, item.Text)
		}
	}
}

func (c *checker) checkDeadline(r *Rule, v tomldoc.Value) {
	d, err := tomldoc.ParseDuration(v.Text)
	switch {
	case v.Kind != unstable.String || err != nil:
		c.report(v.Pos, tomldoc.WantDuration, "bad deadline %q", v.Text)
	case d < MinDeadline || d > MaxDeadline:
		c.report(v.Pos, wantDeadline, "deadline %s is out of range", v.Text)
	}
	r.Deadline = d
}

func (c *checker) checkBodyLimit(r *Rule, v tomldoc.Value) {
	n, err := tomldoc.ParseSize(v.Text)
	switch {
	case v.Kind != unstable.String || err != nil:
		c.report(v.Pos, tomldoc.WantSize, "bad body limit %q", v.Text)
	case n < 1 || n > MaxBodyBytes:
		c.report(v.Pos, wantBodyLimit, "body limit %s is out of range", v.Text)
	}
	r.BodyLimit = n
}

// setDefaultClass sets the class from the methods: lookup if all are safe, and once (at most one attempt of a request
// may run) if none is. A rule with methods of both kinds, or without methods, has no default and needs a class.
func (c *checker) setDefaultClass(r *Rule, at tomldoc.Pos) {
	safeMethods := 0
	for _, m := range r.Methods {
		if isSafeMethod(m) {
			safeMethods++
		}
	}
	switch {
	case len(r.Methods) == 0 || safeMethods > 0 && safeMethods < len(r.Methods):
		c.report(at, wantClass, "rule %q needs a class: its methods have no common default", r.Name)
	case safeMethods > 0:
		r.Class = core.ClassLookup
	default:
		r.Class = core.ClassOnce
	}
}
