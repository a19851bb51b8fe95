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

// Methods are the methods that a rule can name. CONNECT and TRACE are not served. The set is closed so that a typing
// error is a finding and not a rule that never matches.
var Methods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

// anyMethod stands for the methods of a rule that names none.
const anyMethod = ""

func methodsOrAny(r Rule) []string {
	if len(r.Methods) == 0 {
		return []string{anyMethod}
	}
	return r.Methods
}

func isIdempotent(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}

const (
	wantMethods  = "a list of GET, HEAD, OPTIONS, POST, PUT, PATCH and DELETE"
	wantPath     = `a path such as "/records/1", or a prefix such as "/records/*"`
	wantClass    = `"lookup", "patient" or "once"`
	wantDeadline = "a deadline from 1ms to 50s"
	wantBody     = "a body limit from 1B to 64MiB"
)

func (c *checker) rule(e tomldoc.Entry) {
	if !c.ruleForm(e) {
		return
	}
	r := Rule{Name: e.Key, Line: e.Line, BodyLimit: DefaultBody, RequestedBy: e.Comment}
	have := make(map[string]tomldoc.Pos)
	count := len(c.problems)
	for _, f := range e.Value.Fields {
		if first, ok := have[f.Key]; ok {
			c.report(f.Pos, "each key once", "%q is already given in column %d", f.Key, first.Column)
			continue
		}
		have[f.Key] = f.Pos
		c.field(&r, f)
	}
	for _, key := range []string{"path", "deadline"} {
		if _, ok := have[key]; !ok {
			c.report(e.Pos, wantRule, "rule %q has no %s", r.Name, key)
		}
	}
	if _, ok := have["class"]; !ok && len(c.problems) == count {
		c.defaultClass(&r, e.Pos)
	}
	if r.RequestedBy == "" {
		c.report(e.Pos, "a trailing comment that names who asked for the rule", "rule %q has no comment", r.Name)
	}
	if r.Path != "" {
		c.doc.Rules = append(c.doc.Rules, r)
		c.places = append(c.places, e.Pos)
	}
}

// ruleForm checks that an entry is one inline table on one line, and reports whether its fields can be read.
func (c *checker) ruleForm(e tomldoc.Entry) bool {
	if e.Parts > 1 {
		c.report(e.Pos, wantRule, "rule %q spans several lines", e.Key)
		return false
	}
	if e.Value.Kind != unstable.InlineTable {
		c.report(e.Pos, wantRule, "%q is not a rule", e.Key)
		return false
	}
	if !ruleName.MatchString(e.Key) {
		c.report(e.Pos, wantRuleName, "bad rule name %q", e.Key)
	}
	if e.Lines > 1 {
		c.report(e.Pos, wantRule, "rule %q spans several lines", e.Key)
	}
	return true
}

func (c *checker) field(r *Rule, f tomldoc.Entry) {
	switch f.Key {
	case "path":
		c.path(r, f.Value)
	case "methods":
		c.methods(r, f.Value)
	case "class":
		class, ok := core.ParseClass(f.Value.Text)
		if f.Value.Kind != unstable.String || !ok {
			c.report(f.Value.Pos, wantClass, "unknown class %q", f.Value.Text)
		}
		r.Class = class
	case "deadline":
		c.deadline(r, f.Value)
	case "body":
		c.body(r, f.Value)
	default:
		c.report(f.Pos, "path, methods, class, deadline or body", "unknown key %q", f.Key)
	}
}

func (c *checker) path(r *Rule, v tomldoc.Value) {
	problem := "not a string"
	if v.Kind == unstable.String {
		problem = pathProblem(v.Text)
	}
	if problem != "" {
		c.report(v.Pos, wantPath, "bad path pattern %q: %s", v.Text, problem)
		return
	}
	r.Path = v.Text
}

// pathProblem returns what is wrong with a path pattern, or "".
func pathProblem(pattern string) string {
	stem := strings.TrimSuffix(pattern, "/*")
	switch {
	case len(pattern) > maxPath:
		return "longer than 1024 bytes"
	case !strings.HasPrefix(pattern, "/"):
		return `does not begin with "/"`
	case strings.Contains(stem, "*"):
		return `"*" is only allowed as the last segment`
	case strings.ContainsAny(stem, "?#"):
		return "a query or fragment is not part of the path"
	case strings.Contains(stem, "%"):
		return "patterns are compared with the decoded path"
	case strings.Contains(stem, "//"):
		return "empty segment"
	case hasDotSegment(stem):
		return `"." and ".." are not allowed`
	case !utf8.ValidString(stem) || strings.ContainsFunc(stem, func(c rune) bool { return !unicode.IsGraphic(c) || unicode.IsSpace(c) }):
		return "space or unprintable character"
	}
	return ""
}

func (c *checker) methods(r *Rule, v tomldoc.Value) {
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

func (c *checker) deadline(r *Rule, v tomldoc.Value) {
	d, err := tomldoc.ParseDuration(v.Text)
	switch {
	case v.Kind != unstable.String || err != nil:
		c.report(v.Pos, tomldoc.WantDuration, "bad deadline %q", v.Text)
	case d < MinDeadline || d > MaxDeadline:
		c.report(v.Pos, wantDeadline, "deadline %s is out of range", v.Text)
	}
	r.Deadline = d
}

func (c *checker) body(r *Rule, v tomldoc.Value) {
	n, err := tomldoc.ParseSize(v.Text)
	switch {
	case v.Kind != unstable.String || err != nil:
		c.report(v.Pos, tomldoc.WantSize, "bad body limit %q", v.Text)
	case n < 1 || n > MaxBody:
		c.report(v.Pos, wantBody, "body limit %s is out of range", v.Text)
	}
	r.BodyLimit = n
}

// defaultClass applies the default from the methods: idempotent methods are lookups, all others are at most once. A
// rule with methods of both kinds, or without methods, has no default.
func (c *checker) defaultClass(r *Rule, at tomldoc.Pos) {
	idempotent := 0
	for _, m := range r.Methods {
		if isIdempotent(m) {
			idempotent++
		}
	}
	switch {
	case len(r.Methods) == 0 || idempotent > 0 && idempotent < len(r.Methods):
		c.report(at, wantClass, "rule %q needs a class: its methods have no common default", r.Name)
	case idempotent > 0:
		r.Class = core.ClassLookup
	default:
		r.Class = core.ClassOnce
	}
}
