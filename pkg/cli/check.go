package cli

import (
	"fmt"
	"io"

	"github.com/burdockpitch/burdockpitch/pkg/findings"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/settings"
)

// CheckOptions selects what Check reads and how it reports.
type CheckOptions struct {
	// Settings is a settings file; empty for none.
	Settings string
	// Rules are the documents, one for each service.
	Rules []string
	// JSON selects JSON output.
	JSON bool
}

// checkReport is the JSON output of Check.
type checkReport struct {
	Valid    bool          `json:"valid"`
	Findings findings.List `json:"findings"`
}

// Check prints all findings in settings and rules, each by itself and together. It returns ErrFindings if there are any.
func Check(out io.Writer, o CheckOptions) error {
	list, err := collect(o)
	if err != nil {
		return err
	}
	if o.JSON {
		err = writeJSON(out, checkReport{Valid: len(list) == 0, Findings: append(findings.List{}, list...)})
	} else {
		err = writeFindings(out, list)
	}
	if err == nil && len(list) > 0 {
		err = ErrFindings
	}
	return err
}

func writeFindings(out io.Writer, list findings.List) error {
	if len(list) == 0 {
		_, err := fmt.Fprintln(out, "no findings")
		return err
	}
	_, err := fmt.Fprintln(out, list.Error())
	return err
}

func collect(o CheckOptions) (findings.List, error) {
	var list findings.List
	var s *settings.Settings
	if o.Settings != "" {
		loaded, err := settings.Load(o.Settings)
		if problems, ok := err.(findings.List); ok {
			list = append(list, problems...)
		} else if err != nil {
			return nil, err
		} else {
			s = &loaded
		}
	}
	sources, problems, err := readRules(o.Rules)
	if err != nil {
		return nil, err
	}
	list = append(list, problems...)
	for _, src := range sources {
		if s != nil {
			list = append(list, s.CheckRules(src.file, src.doc)...)
		}
	}
	return append(list, together(sources)...), nil
}

// together reports what is wrong with the documents as a set.
func together(sources []source) findings.List {
	var list findings.List
	first := make(map[string]source)
	for _, s := range sources {
		if other, ok := first[s.doc.Service]; ok {
			list = append(list, findings.Finding{
				File: s.file, Message: fmt.Sprintf("service %s already has its rules in %s", s.doc.Service, other.file), Want: "one document for each service",
			})
			continue
		}
		first[s.doc.Service] = s
	}
	for _, c := range rules.NewTable(documents(sources)).Conflicts() {
		loser := first[c.Loser]
		list = append(list, findings.Finding{
			File: loser.file, Line: lineOf(loser.doc, c.LoserRule), Column: 1, Message: c.String(), Want: "one service for each path and method",
		})
	}
	return list
}

func lineOf(doc *rules.Document, name string) int {
	for _, r := range doc.Rules {
		if r.Name == name {
			return r.Line
		}
	}
	return 0
}
