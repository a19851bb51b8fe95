package standin

import (
	"fmt"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// FormatMillis writes microseconds as milliseconds.
func FormatMillis(micros int64) string { return fmt.Sprintf("%.2f", float64(micros)/1000) }

// Quantiles are the percentiles that tables show.
var Quantiles = []float64{50, 99, 99.9}

// Percentiles returns the Quantiles and the maximum in milliseconds, as text.
func Percentiles(h *hdrhistogram.Histogram) []string {
	var cells []string
	for _, q := range Quantiles {
		cells = append(cells, FormatMillis(h.ValueAtQuantile(q)))
	}
	return append(cells, FormatMillis(h.Max()))
}

// FormatPercentiles returns the percentiles on one line.
func FormatPercentiles(h *hdrhistogram.Histogram) string {
	p := Percentiles(h)
	return fmt.Sprintf("p50 %s ms, p99 %s ms, p99.9 %s ms, maximum %s ms (%d requests)", p[0], p[1], p[2], p[3], h.TotalCount())
}

// String sums up the comparison.
func (c *Comparison) String() string {
	return fmt.Sprintf("%d run twice, %d not-run but ran, %d answered but never ran, %d wrong answers",
		len(c.RunTwice), len(c.NotRunButRan), len(c.AnsweredNeverRan), len(c.WrongAnswer))
}

// Table is a markdown table.
type Table struct {
	Title string
	Head  []string
	Rows  [][]string
}

// Add appends a row.
func (t *Table) Add(cells ...string) { t.Rows = append(t.Rows, cells) }

// String returns the markdown text.
func (t *Table) String() string {
	var b strings.Builder
	if t.Title != "" {
		fmt.Fprintf(&b, "%s\n\n", t.Title)
	}
	writeRow(&b, t.Head)
	writeRow(&b, make([]string, len(t.Head)), "---")
	for _, row := range t.Rows {
		writeRow(&b, row)
	}
	return b.String()
}

// writeRow writes one row; empty cells are filled with fill.
func writeRow(b *strings.Builder, cells []string, fill ...string) {
	for _, cell := range cells {
		if cell == "" && len(fill) > 0 {
			cell = fill[0]
		}
		fmt.Fprintf(b, "| %s ", cell)
	}
	b.WriteString("|\n")
}
