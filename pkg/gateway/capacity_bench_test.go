package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockpitch/burdockpitch/pkg/target"
)

// BenchmarkCallProcessorTime reports the CPU time of a call, including time in the kernel. It calls the handler
// directly and so leaves out the instance's HTTP server. The target's HTTP server costs about as much and is included,
// because the target runs in the same process.
func BenchmarkCallProcessorTime(b *testing.B) {
	for _, size := range []int{0, 16 << 10, 32 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			body := bytes.Repeat([]byte("x"), size)
			serve := func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(size))
				_, _ = w.Write(body)
			}
			var targets []string
			for range 8 { // enough slots that no call waits
				targets = append(targets, newHandlerTarget(b, serve))
			}
			h := newFixture(b, logr.Discard(), Config{}, targets...).Handler()
			b.ReportAllocs()
			b.ResetTimer()
			before := processorTime(b)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					w := httptest.NewRecorder()
					h.ServeHTTP(w, httptest.NewRequest("GET", "/r/1", nil))
					if w.Code != http.StatusOK {
						b.Error(w.Code)
					}
				}
			})
			b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkProbeProcessorTime reports the CPU time of an attempt without the gateway, including the target's side.
func BenchmarkProbeProcessorTime(b *testing.B) {
	addr := newHandlerTarget(b, func(http.ResponseWriter, *http.Request) {})
	client := target.NewClient(addr, target.DefaultConfig())
	defer client.Close()
	before := processorTime(b)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := client.Send(b.Context(), target.Attempt{
				Method: "GET", URL: &url.URL{Path: "/"}, Header: http.Header{}, Deadline: time.Now().Add(time.Minute),
			})
			if err != nil {
				b.Error(err)
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body) // otherwise the connection is not reused
			resp.Body.Close()
		}
	})
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}
