// Package cli implements the operator's commands: checking files, explaining rules, printing the status of an instance
// and tracing a request in log files. The command line itself is defined in cmd/burdockpitch.
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

// ErrFindings is returned when the output already tells the operator what is wrong. The caller exits with an error code
// and prints no further message.
var ErrFindings = eris.New("findings")

// Version returns the module version and the Go version from the build information, or "unknown" without it.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}

// rulesFile is a rules file without findings.
type rulesFile struct {
	path string
	doc  *rules.Document
}

// readRules parses rules files. It returns the valid documents and the findings of all other files. The error is set
// only if a file cannot be read.
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
