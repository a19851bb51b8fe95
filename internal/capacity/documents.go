package capacity

import (
	"compress/gzip"
	"fmt"
	"io"
	"strings"

	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// generateDocument returns a document of at most size bytes for service, and its number of rules.
func generateDocument(service string, size int) (string, int) {
	var b strings.Builder
	fmt.Fprintf(&b, "service = %q\nepoch = 3\nrevision = 20000\n[rules]\n", service)
	for i := 0; ; i++ {
		line := fmt.Sprintf("rule-%d = { path = \"/%s/%d/*\", methods = [\"POST\"], class = \"once\", deadline = \"2s\", body = \"64KiB\" } # asked by team %d\n",
			i, service, i, i%17)
		if b.Len()+len(line) > size {
			return b.String(), i
		}
		b.WriteString(line)
	}
}

// measureDocuments measures one document: the time to check it, the memory of its rules and its size after gzip.
func measureDocuments(w io.Writer) error {
	printTableHeader(w, "One document", "size", "rules", "check", "memory of its rules", "compressed by gzip")
	for _, size := range []int{64 << 10, 256 << 10, 512 << 10, 1 << 20} {
		text, count := generateDocument("service-00", size)
		if _, err := rules.Parse("capacity", []byte(text)); err != nil {
			return err
		}
		check := medianDuration(func() { _, _ = rules.Parse("capacity", []byte(text)) })
		bytes := retainedHeapBytes(func() any {
			d, _ := rules.Parse("capacity", []byte(text))
			return d
		})
		compressed, err := gzipSize([]byte(text))
		if err != nil {
			return err
		}
		printRow(w, cells(fmt.Sprintf("%d B", len(text)), count, formatMillis(check), fmt.Sprintf("%.1f MB", float64(bytes)/1e6),
			fmt.Sprintf("%d B", compressed)))
	}
	return nil
}

// gzipSize returns the size of text after compression at the default level.
func gzipSize(text []byte) (int, error) {
	size := byteCounter(0)
	z := gzip.NewWriter(&size)
	if _, err := z.Write(text); err != nil {
		return 0, err
	}
	err := z.Close()
	return int(size), err
}

// measureRoutingTable measures the routing table. Each change of a document rebuilds it from all documents.
func measureRoutingTable(w io.Writer) error {
	printTableHeader(w, "Routing table", "documents of 1 MiB", "build", "texts, rules and table in memory")
	for _, n := range []int{12, 24, serviceCount} {
		var docs []*rules.Document
		bytes := retainedHeapBytes(func() any {
			var texts []string
			for i := range n {
				text, _ := generateDocument(fmt.Sprintf("service-%02d", i), 1<<20)
				d, err := rules.Parse("capacity", []byte(text))
				if err != nil {
					return err
				}
				texts, docs = append(texts, text), append(docs, d)
			}
			return []any{texts, rules.NewTable(docs)}
		})
		if len(docs) != n {
			return fmt.Errorf("only %d of %d generated documents are valid", len(docs), n)
		}
		build := medianDuration(func() { rules.NewTable(docs) })
		printRow(w, cells(n, formatMillis(build), fmt.Sprintf("%.0f MB", float64(bytes)/1e6)))
	}
	return nil
}
