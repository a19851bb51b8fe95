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

// rulesFile is a checked rules file.
type rulesFile struct {
	path string
	doc  *rules.Document
}

// readRules parses the rules files. Findings of all files are returned together; the error is for unreadable files.
func readRules(paths []string) ([]rulesFile, findings.List, error) {
	var parsed []rulesFile
	var list findings.List
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, nil, eris.Wrap(err, "read rules")
		}
		doc, err := rules.Parse(path, text)
		if err != nil {
			list = append(list, err.(findings.List)...)
			continue
		}
		parsed = append(parsed, rulesFile{path, doc})
	}
	return parsed, list, nil
}

func documents(files []rulesFile) []*rules.Document {
	docs := make([]*rules.Document, len(files))
	for i, f := range files {
		docs[i] = f.doc
	}
	return docs
}

func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(v), "write")
}
