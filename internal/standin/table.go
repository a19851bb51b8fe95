package standin

import (
	"fmt"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// FormatMillis formats microseconds as milliseconds, without a unit.
func FormatMillis(micros int64) string { return fmt.Sprintf("%.2f", float64(micros)/1000) }

// ReportedPercentiles are the percentiles shown in tables.
var ReportedPercentiles = []float64{50, 99, 99.9}

// PercentileCells returns ReportedPercentiles and the maximum of h, which holds microseconds, as table cells in
// milliseconds.
func PercentileCells(h *hdrhistogram.Histogram) []string {
	var cells []string
	for _, p := range ReportedPercentiles {
		cells = append(cells, FormatMillis(h.ValueAtQuantile(p)))
	}
	return append(cells, FormatMillis(h.Max()))
}

// FormatPercentiles returns the percentiles, the maximum and the number of values of h on one line.
func FormatPercentiles(h *hdrhistogram.Histogram) string {
	p := PercentileCells(h)
	return fmt.Sprintf("p50 %s ms, p99 %s ms, p99.9 %s ms, maximum %s ms (%d requests)", p[0], p[1], p[2], p[3], h.TotalCount())
}

// String returns the numbers of discrepancies on one line.
func (d *Discrepancies) String() string {
	return fmt.Sprintf("%d run twice, %d not-run but ran, %d answered but never ran, %d wrong answers",
		len(d.DuplicateExecutions), len(d.RefusedButExecuted), len(d.AnsweredNotExecuted), len(d.WrongResponses))
}

// Table is a markdown table.
type Table struct {
	Title  string
	Header []string
	Rows   [][]string
}

// AddRow appends a row.
func (t *Table) AddRow(cells ...string) { t.Rows = append(t.Rows, cells) }

// String returns the markdown text.
func (t *Table) String() string {
	var b strings.Builder
	if t.Title != "" {
		fmt.Fprintf(&b, "%s\n\n", t.Title)
	}
	writeRow(&b, t.Header)
	writeRow(&b, make([]string, len(t.Header)), "---")
	for _, row := range t.Rows {
		writeRow(&b, row)
	}
	return b.String()
}

// writeRow writes one row. If fill is given, it replaces empty cells.
func writeRow(b *strings.Builder, cells []string, fill ...string) {
	for _, cell := range cells {
		if cell == "" && len(fill) > 0 {
			cell = fill[0]
		}
		fmt.Fprintf(b, "| %s ", cell)
	}
	b.WriteString("|\n")
}
