// Package tomldoc parses TOML into entries with their positions and comments.
//
// Unlike a decoder it does not stop at the first syntax error, so that callers can report all findings of a text at
// once. It does not check for duplicate keys; that is left to the caller, which knows what a key means.
package tomldoc

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/burdockpitch/burdockpitch/pkg/findings"
)

// maxSyntaxErrors bounds the syntax errors reported for one text. Each error can cost a pass over the rest of the text,
// so the bound keeps the time linear in the size of the text.
const maxSyntaxErrors = 50

// Pos is a position in a text: line and column, both 1-based. Columns count bytes.
type Pos struct{ Line, Column int }

// Document holds the tables and entries of a TOML text, each in the order of the text.
type Document struct {
	Tables  []Table
	Entries []Entry
}

// Table is a table header.
type Table struct {
	Pos
	// Name is the dotted name of the table.
	Name string
	// Array is set for the "[[name]]" form.
	Array bool
}

// Entry is one key with its value.
type Entry struct {
	Pos
	// Table is the dotted name of the table header above the entry; empty at the top of the text.
	Table string
	// Key is the decoded key. Its dotted parts are joined by dots; a part that contains a dot is quoted.
	Key string
	// KeyParts is the number of dotted parts of the key.
	KeyParts int
	// Value has the position of its key if the parser reports no position for the value.
	Value Value
	// Comment is the trailing comment without "#" and surrounding space.
	Comment string
	// LineCount is the number of lines that the entry spans.
	LineCount int
}

// Value is a TOML value.
type Value struct {
	Pos
	// Kind is the type of the value, such as unstable.String or unstable.InlineTable.
	Kind unstable.Kind
	// Text is a decoded string, or a scalar as written.
	Text string
	// Items are the elements of an array.
	Items []Value
	// Fields are the entries of an inline table.
	Fields []Entry
}

// Read returns the parts of a text that can be parsed and a finding for each syntax error, up to a limit after which it
// stops. It never panics.
func Read(file string, text []byte) (*Document, findings.List) {
	r := &reader{file: file, text: text, lines: newLineIndex(text), doc: &Document{}}
	r.parser.KeepComments = true
	for start := 0; start >= 0; {
		start = r.readFrom(start)
	}
	return r.doc, r.found
}

type reader struct {
	file         string
	text         []byte
	lines        lineIndex
	parser       unstable.Parser
	parserOffset int // offset in text at which the parser's input begins
	lastEnd      int // offset after the line on which the last parsed expression ends
	doc          *Document
	found        findings.List

	table         string // name of the last valid table header
	inBrokenTable bool   // the last table header is invalid, so its entries belong to no known table
}

// readFrom parses expressions until the end of the text, where it returns -1, or until a syntax error, where it returns
// the offset at which parsing can resume.
func (r *reader) readFrom(start int) int {
	r.parserOffset, r.lastEnd = start, start
	r.parser.Reset(r.text[start:])
	for r.parser.NextExpression() {
		r.addExpression(r.parser.Expression())
	}
	err := r.parser.Error()
	if err == nil {
		return -1
	}
	r.reportSyntaxError(err)
	if len(r.found) >= maxSyntaxErrors {
		return -1
	}
	return r.resumeOffset()
}

// reportSyntaxError adds a finding for a syntax error. An error that is detected only on a later line, such as a
// missing bracket, is reported where the expression begins.
func (r *reader) reportSyntaxError(err error) {
	offset := r.lastEnd
	var syntax *unstable.ParserError
	if errors.As(err, &syntax) {
		offset = r.textOffset(syntax.Highlight)
	}
	at := r.lines.pos(offset)
	message := "invalid TOML: " + err.Error()
	if exprPos := r.lines.pos(r.brokenExpressionStart()); exprPos.Line < at.Line {
		message = fmt.Sprintf("invalid TOML, detected on line %d: %s", at.Line, err)
		at = exprPos
	}
	r.found = append(r.found, findings.Finding{File: r.file, Line: at.Line, Column: at.Column, Message: message})
}

// brokenExpressionStart returns the offset at which the expression after the last valid one begins.
func (r *reader) brokenExpressionStart() int {
	rest := r.text[r.lastEnd:]
	return r.lastEnd + len(rest) - len(bytes.TrimLeft(rest, whitespace))
}

// textOffset returns the offset in the text at which part, a subslice of the parser's input, begins. Both slices end
// their capacity at the same byte, so the difference of the capacities is the offset of part in the input. If part does
// not begin after lastEnd in the text, textOffset returns lastEnd.
func (r *reader) textOffset(part []byte) int {
	offset := r.parserOffset + cap(r.parser.Data()) - cap(part)
	if offset < r.lastEnd || offset > len(r.text) {
		return r.lastEnd
	}
	return offset
}

const whitespace = " \t\r\n"

// expressionStart matches a line on which a comment, a table header or a key with a value begins.
var expressionStart = regexp.MustCompile(`^(#|\[|[A-Za-z0-9_."'-]+[ \t]*=)`)

// resumeOffset returns the offset of the first line after an invalid expression that matches expressionStart, or -1 if
// there is none. Thus a missing closing quote or bracket does not hide findings on later lines.
func (r *reader) resumeOffset() int {
	broken := r.brokenExpressionStart()
	if broken == len(r.text) {
		return -1
	}
	r.inBrokenTable = r.inBrokenTable || r.text[broken] == '['
	for at := r.lineEnd(broken); at < len(r.text); at = r.lineEnd(at) {
		if expressionStart.Match(bytes.Trim(r.text[at:r.lineEnd(at)], whitespace)) {
			return at
		}
	}
	return -1
}

func (r *reader) addExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		r.addTable(n)
	case unstable.KeyValue:
		r.addEntry(n)
	case unstable.Comment:
		r.lastEnd = r.lineEnd(r.rangeEnd(n.Raw))
	}
}

func (r *reader) addTable(n *unstable.Node) {
	name, _, first, last := r.joinKey(n.Key())
	r.lastEnd = r.rangeEnd(last)
	if comment := n.Next(); comment != nil && comment.Kind == unstable.Comment {
		r.lastEnd = r.rangeEnd(comment.Raw)
	}
	r.lastEnd = r.lineEnd(r.lastEnd)
	r.table, r.inBrokenTable = name, false
	r.doc.Tables = append(r.doc.Tables, Table{Pos: r.pos(first), Name: name, Array: n.Kind == unstable.ArrayTable})
}

func (r *reader) addEntry(n *unstable.Node) {
	e := r.entry(n)
	r.lastEnd = r.rangeEnd(n.Raw)
	if comment := n.Next(); comment != nil && comment.Kind == unstable.Comment {
		e.Comment = strings.TrimSpace(strings.TrimPrefix(string(comment.Data), "#"))
		r.lastEnd = r.rangeEnd(comment.Raw)
	}
	r.lastEnd = r.lineEnd(r.lastEnd)
	if !r.inBrokenTable {
		r.doc.Entries = append(r.doc.Entries, e)
	}
}

func (r *reader) entry(n *unstable.Node) Entry {
	name, parts, first, _ := r.joinKey(n.Key())
	e := Entry{Pos: r.pos(first), Table: r.table, Key: name, KeyParts: parts}
	e.LineCount = r.lines.pos(r.rangeEnd(n.Raw)).Line - e.Line + 1
	e.Value = r.value(n.Value(), e.Pos)
	return e
}

func (r *reader) value(n *unstable.Node, at Pos) Value {
	v := Value{Pos: at, Kind: n.Kind, Text: string(n.Data)}
	if n.Raw.Length > 0 {
		v.Pos = r.pos(n.Raw)
	}
	children := n.Children()
	for children.Next() {
		switch c := children.Node(); {
		case c.Kind == unstable.Comment:
		case n.Kind == unstable.InlineTable:
			v.Fields = append(v.Fields, r.entry(c))
		case n.Kind == unstable.Array:
			v.Items = append(v.Items, r.value(c, v.Pos))
		}
	}
	return v
}

// joinKey returns the joined parts of a dotted key, their number and the ranges of the first and last part.
func (r *reader) joinKey(parts unstable.Iterator) (name string, n int, first, last unstable.Range) {
	for parts.Next() {
		part := parts.Node()
		text := string(part.Data)
		if strings.Contains(text, ".") {
			text = strconv.Quote(text) // a dot within a part does not separate parts
		}
		if n == 0 {
			first = part.Raw
			name = text
		} else {
			name += "." + text
		}
		last = part.Raw
		n++
	}
	return name, n, first, last
}

func (r *reader) pos(at unstable.Range) Pos { return r.lines.pos(r.parserOffset + int(at.Offset)) }

func (r *reader) rangeEnd(at unstable.Range) int {
	return r.parserOffset + int(at.Offset) + int(at.Length)
}

// lineEnd returns the offset after the line that contains offset, including its newline.
func (r *reader) lineEnd(offset int) int {
	if i := bytes.IndexByte(r.text[offset:], '\n'); i >= 0 {
		return offset + i + 1
	}
	return len(r.text)
}
