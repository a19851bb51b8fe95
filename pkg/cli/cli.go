// Package cli implements the operator's commands: it checks files, explains rules and prints the status of an
// instance. The commands themselves are defined in cmd/burdockpitch.
package cli

import (
	"encoding/json"
	"io"
	"os"
	"runtime/debug"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/findings"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// ErrFindings is returned when findings were printed; there is nothing else to say.
var ErrFindings = eris.New("findings")

// Version returns the version of the program from its build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}

// source is a checked rules file.
type source struct {
	file string
	doc  *rules.Document
}

// readRules parses the rules files. Findings of all files are returned together; the error is for unreadable files.
func readRules(files []string) ([]source, findings.List, error) {
	var sources []source
	var list findings.List
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, nil, eris.Wrap(err, "read rules")
		}
		doc, err := rules.Parse(file, text)
		if err != nil {
			list = append(list, err.(findings.List)...)
			continue
		}
		sources = append(sources, source{file, doc})
	}
	return sources, list, nil
}

func documents(sources []source) []*rules.Document {
	docs := make([]*rules.Document, len(sources))
	for i, s := range sources {
		docs[i] = s.doc
	}
	return docs
}

func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(v), "write")
}
