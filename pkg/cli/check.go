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
	// SettingsFile is the path of a settings file; empty for none.
	SettingsFile string
	// RulesFiles are the paths of rules files, one for each service.
	RulesFiles []string
	// AsJSON selects JSON instead of one line for each finding.
	AsJSON bool
}

// checkReport is the JSON output of Check.
type checkReport struct {
	Valid    bool          `json:"valid"`
	Findings findings.List `json:"findings"`
}

// Check prints all findings in the settings file, in each rules file, and in their combination. It returns ErrFindings
// if there are any, and another error if a file cannot be read.
func Check(out io.Writer, opts CheckOptions) error {
	list, err := collectFindings(opts)
	if err != nil {
		return err
	}
	if opts.AsJSON {
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

func collectFindings(opts CheckOptions) (findings.List, error) {
	var list findings.List
	var s *settings.Settings
	if opts.SettingsFile != "" {
		loaded, err := settings.Load(opts.SettingsFile)
		if settingsFindings, ok := err.(findings.List); ok {
			list = append(list, settingsFindings...)
		} else if err != nil {
			return nil, err
		} else {
			s = &loaded
		}
	}
	files, ruleFindings, err := readRules(opts.RulesFiles)
	if err != nil {
		return nil, err
	}
	list = append(list, ruleFindings...)
	for _, f := range files {
		if s != nil {
			list = append(list, s.CheckRules(f.path, f.doc)...)
		}
	}
	return append(list, checkDocumentSet(files)...), nil
}

// checkDocumentSet reports services with several documents, and paths and methods for which several services have a
// rule.
func checkDocumentSet(files []rulesFile) findings.List {
	var list findings.List
	byService := make(map[string]rulesFile)
	for _, f := range files {
		if other, ok := byService[f.doc.Service]; ok {
			list = append(list, findings.Finding{
				File: f.path, Message: fmt.Sprintf("service %s already has its rules in %s", f.doc.Service, other.path), Want: "one document for each service",
			})
			continue
		}
		byService[f.doc.Service] = f
	}
	for _, c := range rules.NewTable(documents(files)).Conflicts() {
		loser := byService[c.Loser]
		list = append(list, findings.Finding{
			File: loser.path, Line: ruleLine(loser.doc, c.LoserRule), Column: 1, Message: c.String(), Want: "one service for each path and method",
		})
	}
	return list
}

// ruleLine returns the line of the named rule, or 0 if the document does not have it.
func ruleLine(doc *rules.Document, name string) int {
	for _, r := range doc.Rules {
		if r.Name == name {
			return r.Line
		}
	}
	return 0
}
