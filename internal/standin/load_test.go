package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Guards against a comparison that misses one kind of contradiction, which would make every fault run look clean.
func TestCompareFindsEachContradiction(t *testing.T) {
	r := &LoadResult{Records: []Record{
		{ID: "ok", Class: core.ClassOnce, Outcome: wire.OutcomeAnswered, Status: 200},
		{ID: "twice", Class: core.ClassOnce, Outcome: wire.OutcomeUnknown, Status: 502},
		{ID: "hedged", Class: core.ClassLookup, Outcome: wire.OutcomeAnswered, Status: 200},
		{ID: "ran", Class: core.ClassLookup, Outcome: wire.OutcomeNotRun, Status: 503},
		{ID: "never", Class: core.ClassOnce, Outcome: wire.OutcomeAnswered, Status: 200},
		{ID: "wrong", Class: core.ClassLookup, Outcome: wire.OutcomeAnswered, Status: 200, Wrong: true},
	}}
	ledger := Ledger{"ok": 1, "twice": 1, "hedged": 2, "wrong": 1}
	ledger.Merge(Ledger{"twice": 1, "ran": 1})
	c := r.Compare(ledger)
	require.Equal(t, &Comparison{
		RunTwice: []string{"twice"}, NotRunButRan: []string{"ran"}, AnsweredNeverRan: []string{"never"},
		WrongAnswer: []string{"wrong"},
	}, c)
	require.False(t, c.Clean())
}

// Guards against methods that are compared on different schedules.
func TestScheduleDependsOnTheSeedOnly(t *testing.T) {
	cfg := LoadConfig{
		Entries: []string{"a", "b"}, Seed: 7, Mix: DefaultMix,
		Stages: []Stage{{Phase: PhaseBefore, Rate: 500, Length: time.Second}, {Phase: PhaseAfter, Rate: 50, Length: time.Second}},
	}
	first := schedule(cfg)
	cfg.Entries = []string{"c", "d"}
	require.Equal(t, first, schedule(cfg))
	cfg.Seed = 8
	require.NotEqual(t, first, schedule(cfg))
}
