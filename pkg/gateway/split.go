package gateway

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// splitStep is 2^64 divided by the golden ratio. The multiples of it, modulo 2^64, are spread evenly: each stretch of
// the sequence covers the range of uint64 with nearly equal gaps.
const splitStep = 0x9E3779B97F4A7C15

// splitSequences holds, for each rule with a traffic split, the numbers by which the services of its requests are
// chosen. An instance sees few requests a second, and over so few, independent random numbers would miss the weights by
// far. Each sequence starts at a random number, so that instances do not choose the same service at the same time. The
// zero value has no rules. It is safe for concurrent use.
type splitSequences struct {
	byRule atomic.Pointer[map[string]*atomic.Uint64]
}

// setRules replaces the rules. A rule that keeps its name keeps its sequence.
func (s *splitSequences) setRules(docs []*rules.Document) {
	var former map[string]*atomic.Uint64
	if p := s.byRule.Load(); p != nil {
		former = *p
	}
	sequences := make(map[string]*atomic.Uint64)
	for _, d := range docs {
		for _, r := range d.Rules {
			if len(r.Split) == 0 {
				continue
			}
			if sequences[r.Name] = former[r.Name]; sequences[r.Name] == nil {
				sequences[r.Name] = &atomic.Uint64{}
				sequences[r.Name].Store(rand.Uint64())
			}
		}
	}
	s.byRule.Store(&sequences)
}

// next returns the next number of a rule's sequence, or 0 if the rule has no split.
func (s *splitSequences) next(rule string) uint64 {
	if p := s.byRule.Load(); p != nil {
		if sequence := (*p)[rule]; sequence != nil {
			return sequence.Add(splitStep)
		}
	}
	return 0
}
