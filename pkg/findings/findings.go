// Package findings collects the problems of a settings or rules text with their positions, so that all are reported
// together.
package findings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one problem at one position of a text.
type Finding struct {
	// File is the name of the checked text.
	File string `json:"file"`
	// Line and Column are 1-based; 0 means that the problem concerns the whole file.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Want says what is expected instead; empty if the message says it.
	Want string `json:"want,omitempty"`
}

// String returns "file:line:column: message (want ...)".
func (f Finding) String() string {
	text := fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
	if f.Want != "" {
		text += " (want " + f.Want + ")"
	}
	return text
}

// Error returns the same text as String.
func (f Finding) Error() string { return f.String() }

// List is a collection of findings; a non-empty list is an error.
type List []Finding

// Error returns all findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sort orders the list by line and column. Findings at the same position keep their order.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
