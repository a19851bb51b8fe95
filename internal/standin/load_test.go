package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Guards against a comparison that misses one kind of discrepancy, so that a fault run with such errors passes.
func TestCompareWithLedgerFindsEachDiscrepancy(t *testing.T) {
	r := &LoadResult{Records: []Record{
		{ID: "ok", Class: core.ClassOnce, Outcome: wire.OutcomeAnswered, Status: 200},
		{ID: "twice", Class: core.ClassOnce, Outcome: wire.OutcomeUnknown, Status: 502},
		{ID: "hedged", Class: core.ClassLookup, Outcome: wire.OutcomeAnswered, Status: 200},
		{ID: "ran", Class: core.ClassLookup, Outcome: wire.OutcomeNotRun, Status: 503},
		{ID: "never", Class: core.ClassOnce, Outcome: wire.OutcomeAnswered, Status: 200},
		{ID: "wrong", Class: core.ClassLookup, Outcome: wire.OutcomeAnswered, Status: 200, WrongResponse: true},
	}}
	ledger := Ledger{"ok": 1, "twice": 1, "hedged": 2, "wrong": 1}
	ledger.Merge(Ledger{"twice": 1, "ran": 1})
	d := r.CompareWithLedger(ledger)
	require.Equal(t, &Discrepancies{
		DuplicateExecutions: []string{"twice"}, RefusedButExecuted: []string{"ran"}, AnsweredNotExecuted: []string{"never"},
		WrongResponses: []string{"wrong"},
	}, d)
	require.False(t, d.IsEmpty())
}

// Guards against selection methods that are compared on different schedules, because the schedule depends on the
// addresses.
func TestScheduleDependsOnSeedNotAddresses(t *testing.T) {
	cfg := LoadConfig{
		Endpoints: []string{"a", "b"}, Seed: 7, Mix: DefaultMix,
		Stages: []Stage{{Phase: PhaseBefore, Rate: 500, Duration: time.Second}, {Phase: PhaseSustained, Rate: 50, Duration: time.Second}},
	}
	first := schedule(cfg)
	cfg.Endpoints = []string{"c", "d"}
	require.Equal(t, first, schedule(cfg))
	cfg.Seed = 8
	require.NotEqual(t, first, schedule(cfg))
}

// Guards against figures from before a fault that include requests affected by it, and against a goodput above the
// capacity because responses after the end of the schedule are counted.
func TestPhaseAndGoodputUseEndOfRequest(t *testing.T) {
	load := &LoadResult{PlannedDuration: 4 * time.Second, Records: []Record{
		{Phase: PhaseBefore, ScheduledAt: time.Second, Latency: time.Second, Outcome: wire.OutcomeAnswered, Status: 200, Class: core.ClassLookup},
		{Phase: PhaseBefore, ScheduledAt: time.Second, Latency: 2 * time.Second, Outcome: wire.OutcomeAnswered, Status: 200, Class: core.ClassLookup},
		{Phase: PhaseSustained, ScheduledAt: 3 * time.Second, Latency: 2 * time.Second, Outcome: wire.OutcomeAnswered, Status: 200, Class: core.ClassLookup},
	}}
	load.moveInFlightToOnset([]Stage{{Phase: PhaseBefore, Duration: 2 * time.Second}, {Phase: PhaseOnset, Duration: 2 * time.Second}})
	require.Equal(t, []Phase{PhaseBefore, PhaseOnset, PhaseSustained},
		[]Phase{load.Records[0].Phase, load.Records[1].Phase, load.Records[2].Phase})
	var r FaultResult
	r.Add(load, &Discrepancies{}, RunStats{FaultDuration: 2 * time.Second})
	require.InDelta(t, 0.5, r.goodput(core.ClassLookup), 1e-9)
}

// Guards against a load generator that counts a refusal of another platform as a served request, or the reverse.
func TestOutcomeFromStatus(t *testing.T) {
	for status, want := range map[int]wire.Outcome{
		200: wire.OutcomeAnswered, 404: wire.OutcomeAnswered, 429: wire.OutcomeNotRun, 503: wire.OutcomeNotRun,
		500: wire.OutcomeUnknown, 502: wire.OutcomeUnknown, 504: wire.OutcomeUnknown,
	} {
		require.Equal(t, want, outcomeFromStatus(status), status)
	}
}
