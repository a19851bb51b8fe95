package cli

import (
	"fmt"
	"io"
	"net/url"
	"strings"

	"github.com/docker/go-units"
	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// Explain prints which rule applies to a request with the given method and URL, and why the other rules with a matching
// path do not. It also prints the findings in the rules files. It returns ErrFindings if a file is invalid, and another
// error if a file cannot be read or if no rule applies.
func Explain(out io.Writer, files []string, method, rawURL string) error {
	u, err := url.Parse(rawURL)
	if err != nil {
		return eris.Wrap(err, "parse URL")
	}
	parsed, ruleFindings, err := readRules(files)
	if err != nil {
		return err
	}
	if ruleFindings = append(ruleFindings, checkDocumentSet(parsed)...); len(ruleFindings) > 0 {
		fmt.Fprintln(out, ruleFindings.Error())
	}
	if len(parsed) < len(files) {
		return ErrFindings
	}
	fileByService := make(map[string]string)
	for _, f := range parsed {
		fileByService[f.doc.Service] = f.path
	}
	explanation := rules.NewTable(documents(parsed)).Explain(method, u.Path)
	writeExplanation(out, explanation, fileByService)
	if explanation.Rule == nil {
		return eris.Errorf("%s %s: %s", method, u.Path, explanation.NoMatchReason)
	}
	return nil
}

func writeExplanation(out io.Writer, e rules.Explanation, fileByService map[string]string) {
	location := func(r *rules.Rule) string {
		return fmt.Sprintf("%s of service %s (%s:%d)", r.Name, r.Service, fileByService[r.Service], r.Line)
	}
	if r := e.Rule; r != nil {
		methods := "all"
		if len(r.Methods) > 0 {
			methods = strings.Join(r.Methods, ", ")
		}
		fmt.Fprintf(out, "rule:      %s\npath:      %s\nmethods:   %s\nclass:     %s\ndeadline:  %s\nbody:      %s\nasked by:  %s\n",
			location(r), r.Path, methods, r.Class, r.Deadline, units.BytesSize(float64(r.BodyLimit)), r.RequestedBy)
	}
	for _, other := range e.OtherCandidates {
		fmt.Fprintf(out, "not:       %s: %s\n", location(other.Rule), other.NotChosenReason)
	}
}
