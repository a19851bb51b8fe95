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

// Explain prints which rule decides for a request and why the others do not. It returns ErrFindings if the rules have
// findings, which it prints, and another error if no rule decides.
func Explain(out io.Writer, files []string, method, address string) error {
	u, err := url.Parse(address)
	if err != nil {
		return eris.Wrap(err, "read URL")
	}
	sources, problems, err := readRules(files)
	if err != nil {
		return err
	}
	if problems = append(problems, together(sources)...); len(problems) > 0 {
		fmt.Fprintln(out, problems.Error())
	}
	if len(sources) < len(files) {
		return ErrFindings
	}
	where := make(map[string]string)
	for _, s := range sources {
		where[s.doc.Service] = s.file
	}
	x := rules.NewTable(documents(sources)).Explain(method, u.Path)
	writeExplanation(out, x, where)
	if x.Rule == nil {
		return eris.Errorf("%s %s: %s", method, u.Path, x.NoMatchReason)
	}
	return nil
}

func writeExplanation(out io.Writer, x rules.Explanation, where map[string]string) {
	place := func(r *rules.Rule) string {
		return fmt.Sprintf("%s of service %s (%s:%d)", r.Name, r.Service, where[r.Service], r.Line)
	}
	if r := x.Rule; r != nil {
		methods := "all"
		if len(r.Methods) > 0 {
			methods = strings.Join(r.Methods, ", ")
		}
		fmt.Fprintf(out, "rule:      %s\npath:      %s\nmethods:   %s\nclass:     %s\ndeadline:  %s\nbody:      %s\nasked by:  %s\n",
			place(r), r.Path, methods, r.Class, r.Deadline, units.BytesSize(float64(r.BodyLimit)), r.RequestedBy)
	}
	for _, c := range x.OtherCandidates {
		fmt.Fprintf(out, "not:       %s: %s\n", place(c.Rule), c.NotChosenReason)
	}
}
