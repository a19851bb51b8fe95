// Package rules turns rules text into a checked routing table.
//
// A document holds the rules of one service, one rule per line, each with a trailing comment that names who asked for
// it. Whether a document is valid depends on its bytes alone.
package rules

import (
	"strings"
	"time"

	"github.com/docker/go-units"
	"github.com/pelletier/go-toml/v2"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/findings"
)

// Version orders the documents of one service: the higher epoch wins, then the higher revision.
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch < w.Epoch
	}
	return v.Revision < w.Revision
}

// Rule routes the requests that match a path and method to the document's service.
type Rule struct {
	// Name identifies the rule within its document.
	Name string
	// Service is the service that serves matching requests.
	Service string
	// Path is an exact path, or a prefix that ends in "/*".
	Path string
	// Methods are the HTTP methods that match; empty means all.
	Methods []string
	// Class is the treatment of matching requests.
	Class core.Class
	// Deadline is the time within which the caller gets its answer.
	Deadline time.Duration
	// BodyLimit bounds the request body in bytes.
	BodyLimit int64
	// RequestedBy is the trailing comment: who asked for the rule.
	RequestedBy string
	// Line is the line of the rule in its document, 1-based.
	Line int
}

// Document is the checked content of one service's rules text.
type Document struct {
	Service string
	Version
	Rules []Rule
}

type rawDocument struct {
	Service  string             `toml:"service"`
	Epoch    uint64             `toml:"epoch"`
	Revision uint64             `toml:"revision"`
	Rules    map[string]rawRule `toml:"rules"`
}

type rawRule struct {
	Path     string   `toml:"path"`
	Methods  []string `toml:"methods"`
	Class    string   `toml:"class"`
	Deadline string   `toml:"deadline"`
	Body     string   `toml:"body"`
}

const defaultBodyLimit = 1 << 20 // bytes

// Parse checks text and returns its document. The error is a findings.List.
func Parse(file string, text []byte) (*Document, error) {
	var raw rawDocument
	if err := toml.Unmarshal(text, &raw); err != nil {
		return nil, findings.List{{File: file, Message: err.Error()}}
	}
	doc := &Document{Service: raw.Service, Version: Version{raw.Epoch, raw.Revision}}
	var problems findings.List
	for name, r := range raw.Rules {
		rule, err := r.check(name, raw.Service)
		if err != nil {
			problems = append(problems, findings.Finding{File: file, Message: err.Error()})
			continue
		}
		doc.Rules = append(doc.Rules, rule)
	}
	return doc, problems.Err()
}

func (r rawRule) check(name, service string) (Rule, error) {
	class, ok := core.ParseClass(r.Class)
	if !ok {
		return Rule{}, findings.Finding{Message: "unknown class " + r.Class}
	}
	deadline, err := time.ParseDuration(r.Deadline)
	if err != nil {
		return Rule{}, err
	}
	limit := int64(defaultBodyLimit)
	if r.Body != "" {
		if limit, err = units.RAMInBytes(r.Body); err != nil {
			return Rule{}, err
		}
	}
	return Rule{Name: name, Service: service, Path: r.Path, Methods: r.Methods, Class: class, Deadline: deadline, BodyLimit: limit}, nil
}

// Table matches requests to rules. It is immutable and safe for concurrent use.
type Table struct {
	exact  map[string][]*Rule
	prefix map[string][]*Rule
}

// NewTable merges the rules of documents.
func NewTable(docs []*Document) *Table {
	t := &Table{exact: make(map[string][]*Rule), prefix: make(map[string][]*Rule)}
	for _, d := range docs {
		for i := range d.Rules {
			r := &d.Rules[i]
			if stem, ok := strings.CutSuffix(r.Path, "/*"); ok {
				t.prefix[stem] = append(t.prefix[stem], r)
				continue
			}
			t.exact[r.Path] = append(t.exact[r.Path], r)
		}
	}
	return t
}

// Match returns the most specific rule for method and path, or nil.
func (t *Table) Match(method, path string) *Rule {
	if r := matchMethod(t.exact[path], method); r != nil {
		return r
	}
	for stem := path; ; {
		if r := matchMethod(t.prefix[stem], method); r != nil {
			return r
		}
		i := strings.LastIndexByte(stem, '/')
		if i < 0 {
			return nil
		}
		stem = stem[:i]
	}
}

func matchMethod(candidates []*Rule, method string) *Rule {
	for _, r := range candidates {
		if len(r.Methods) == 0 {
			return r
		}
		for _, m := range r.Methods {
			if m == method {
				return r
			}
		}
	}
	return nil
}
