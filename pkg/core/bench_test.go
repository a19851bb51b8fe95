package core

import (
	"fmt"
	"testing"
	"time"
)

// benchService returns a service with n targets in three zones, each with a load report and a latency estimate.
func benchService(n int, selection Selection) *Service {
	p := DefaultPolicy()
	p.Selection = selection
	p.Zone = "a"
	s := NewService(p)
	var list []Target
	for i := range n {
		list = append(list, Target{ID: TargetID(fmt.Sprintf("t%d", i)), Zone: Zone("abc"[i%3 : i%3+1]), Start: "1"})
	}
	s.Reduce(Input{Event: TargetsChanged{Targets: list}}, nil)
	for i, t := range s.listedTargets {
		now := Instant(i) * time.Microsecond
		s.recordLoad(now, t, LoadReport{InUse: i % 5, Slots: 4}, 0)
		s.latencies.median.observe(5 * time.Millisecond)
		s.observeLatency(now, t, time.Duration(4+i%3)*time.Millisecond)
	}
	return s
}

// BenchmarkChoose measures the choice of a target when all targets have capacity.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{15, 275, 1100} {
		for _, method := range []Selection{SelectLoad, SelectLoadLatency, SelectTwoChoices} {
			b.Run(fmt.Sprintf("targets=%d/%s", n, method), func(b *testing.B) {
				s := benchService(n, method)
				s.rng.Seed(1, 2)
				r := &request{class: ClassLookup, latencies: &s.latencies}
				b.ReportAllocs()
				for b.Loop() {
					if s.chooseTarget(10*time.Millisecond, r, false) == nil {
						b.Fatal("no target")
					}
				}
			})
		}
	}
}

// BenchmarkChooseWithoutCapacity measures the worst case, in which no target has capacity. The first choice scans all
// targets; the next ones return at once because the latest scan found none.
func BenchmarkChooseWithoutCapacity(b *testing.B) {
	for _, n := range []int{15, 275, 1100} {
		for _, name := range []string{"first", "next"} {
			b.Run(fmt.Sprintf("targets=%d/%s", n, name), func(b *testing.B) {
				s := benchService(n, SelectLoad)
				for _, t := range s.listedTargets {
					t.backoffUntil = time.Hour
				}
				r := &request{class: ClassLookup, latencies: &s.latencies}
				b.ReportAllocs()
				for b.Loop() {
					s.allFull = s.allFull && name == "next"
					if s.chooseTarget(10*time.Millisecond, r, false) != nil {
						b.Fatal("unexpected target")
					}
				}
			})
		}
	}
}

// BenchmarkRequest measures the three steps of a request that gets a response at once; step-ns is the mean of one step.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{15, 31, 275, 1100} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			s := benchService(n, SelectLoad)
			out := make([]Effect, 0, 16)
			var now Instant
			var id RequestID
			reduce := func(ev Event) []Effect {
				now += 50 * time.Microsecond
				out = s.Reduce(Input{Now: now, Rand: uint64(now), Event: ev}, out[:0])
				return out
			}
			b.ReportAllocs()
			for b.Loop() {
				id++
				a := reduce(RequestArrived{Request: id, Class: ClassLookup, Deadline: now + time.Second})[0].Attempt
				reduce(AttemptCommitted{Request: id, Attempt: a})
				reduce(AttemptEnded{Request: id, Attempt: a, Outcome: OutcomeAnswered, Load: LoadReport{InUse: 2, Slots: 4}})
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(3*b.N), "step-ns")
		})
	}
}

// BenchmarkBestReportedWithoutFreeSlots measures a choice among targets of which at most 36 have a recent load report,
// all without free slots.
func BenchmarkBestReportedWithoutFreeSlots(b *testing.B) {
	for _, n := range []int{15, 275, 1100} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			s := benchService(n, SelectAsk)
			now := 10 * time.Second
			for i := range min(n, 36) {
				s.recordLoad(now, s.listedTargets[i*(n/min(n, 36))], LoadReport{InUse: 4, Slots: 4, Slowdown: 1}, 0)
			}
			r := s.newRequest(now, RequestArrived{Request: 1, Class: ClassLookup, Deadline: now + time.Second, Objective: now + time.Second})
			b.ReportAllocs()
			for b.Loop() {
				if t, _ := s.bestReported(now, r, freshReportAge); t != nil {
					b.Fatal("unexpected target")
				}
			}
		})
	}
}
