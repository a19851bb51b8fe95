package peer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFleetTraffic prints what instances send and receive per second, and fails above the 15 KB/s that all control of
// an instance may take: in a calm fleet, and while 22 targets per second crash under five requests each.
func BenchmarkFleetTraffic(b *testing.B) {
	for _, size := range []int{124, 300, 1100} {
		for _, crashes := range []int{0, 22} {
			b.Run(fmt.Sprintf("instances=%d/crashes=%d", size, crashes), func(b *testing.B) {
				for b.Loop() {
					f := newFleet(size)
					if crashes > 0 {
						f.flap(crashes)
					}
					if size <= 300 {
						f.runUntil(10 * time.Second)
					} else {
						f.runUntil(3 * time.Second) // each takes some seconds of processor time
					}
					t := f.traffic(f.now)
					b.ReportMetric(t.medianBytes, "B/s-median")
					b.ReportMetric(t.maxBytes, "B/s-busiest")
					b.ReportMetric(t.crossBytes, "B/s-other-zones")
					b.ReportMetric(t.contacts, "contacts/s")
					if t.maxBytes > 15000 {
						b.Errorf("%.0f bytes per second at the busiest instance", t.maxBytes)
					}
				}
			})
		}
	}
}
