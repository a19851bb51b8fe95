package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func effects(s *State, now time.Duration, ev Event) []Effect {
	return s.Reduce(Input{Now: now, Event: ev}, nil)
}

// Guards against suspicions that cost messages although the request was answered, and against a suspicion with two
// crashed targets that waits for the end of its request.
func TestSuspicionsAreReportedWhenDue(t *testing.T) {
	for name, c := range map[string]struct {
		events []Event
		want   []EffectKind
	}{
		"answered before its end": {[]Event{crash(1, suspect), ResponseReceived{suspect}, RequestEnded{suspect}}, nil},
		"not answered":            {[]Event{crash(1, suspect), RequestEnded{suspect}, RequestEnded{suspect}}, []EffectKind{SuspicionDue}},
		"answered after it":       {[]Event{crash(1, suspect), RequestEnded{suspect}, ResponseReceived{suspect}}, []EffectKind{SuspicionDue, SuspicionDue}},
		"only another is answered": {
			[]Event{crash(1, suspect), ResponseReceived{otherCaller}, RequestEnded{suspect}}, []EffectKind{SuspicionDue},
		},
		"end of a repeat without a crash": {
			[]Event{crash(1, suspect), RequestEnded{suspect}, crash(1, suspect), RequestEnded{suspect}}, []EffectKind{SuspicionDue},
		},
		"two targets": {[]Event{crash(1, suspect), crash(2, suspect), RequestEnded{suspect}}, []EffectKind{SuspicionDue}},
		"received, then answered here": {
			[]Event{RecordsReceived{[]Record{{Content: 1, Crashes: []Crash{{Target: 1, Caller: 1}}}}}, ResponseReceived{suspect}}, []EffectKind{SuspicionDue},
		},
		"received": {[]Event{RecordsReceived{[]Record{{Content: 1, Crashes: []Crash{{Target: 1}, {Target: 2}}}}}}, nil},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, reduce(New(), 0, c.events...)) })
	}
	s := New()
	effects(s, 0, crash(1, suspect))
	require.True(t, effects(s, 0, crash(2, suspect))[0].Urgent)
}

// Guards against verdicts that are passed on without end, or not passed on by the instance where they arose.
func TestVerdictsAreLearnedOrArise(t *testing.T) {
	two, third := New(), New()
	reduce(two, 0, crash(1, suspect), crash(2, suspect))
	reduce(third, 0, crash(3, suspect))
	arisen := effects(two, 0, RecordsReceived{third.Records(0)})
	require.Equal(t, Effect{Kind: VerdictChanged, Content: 1, Withheld: true}, arisen[1])
	learned := effects(third, 0, RecordsReceived{two.Records(0)})
	require.Equal(t, Effect{Kind: VerdictChanged, Content: 1, Learned: true, Withheld: true}, learned[1])
	require.Empty(t, effects(two, 0, RecordsReceived{third.Records(0)}))
	require.Equal(t, two.VerdictDigest(), third.VerdictDigest())
	require.Empty(t, two.MissingFrom(0, third.Records(0)))

	reduce(two, 0, ResponseReceived{suspect})
	require.NotEqual(t, two.VerdictDigest(), third.VerdictDigest(), "a lost release is repaired")
	require.Len(t, two.MissingFrom(0, third.Records(0)), 1)
	require.Len(t, two.VerdictRecords(0), 1)
	restarted := New()
	reduce(restarted, 0, RecordsReceived{two.VerdictRecords(0)})
	require.Equal(t, two.VerdictDigest(), restarted.VerdictDigest())
	require.Equal(t, []EffectKind{Released, VerdictChanged}, reduce(third, 0, RecordsReceived{two.Records(0)}))
}

// Guards against an innocent request that is withheld for good because the instances that answered it had no record of
// its crashes, and against a request that is acquitted by a response from before it began to crash targets.
func TestAnswersElsewhereAcquitEarlierCrashes(t *testing.T) {
	collector, elsewhere := New(), New()
	reduce(collector, time.Second, crash(1, suspect), crash(2, suspect))
	reduce(elsewhere, 2*time.Second, ResponseReceived{suspect})
	reduce(collector, 3*time.Second, crash(3, suspect))
	require.True(t, collector.Blocks(suspect))
	got := effects(elsewhere, 4*time.Second, RecordsReceived{collector.Records(4 * time.Second)})
	require.Equal(t, []Effect{{Kind: SuspicionDue, Content: 1, Urgent: true}}, got, "the collectors release it")
	require.False(t, elsewhere.Blocks(suspect))
	require.Equal(t, []EffectKind{Released, VerdictChanged}, reduce(collector, 5*time.Second, RecordsReceived{elsewhere.Records(5 * time.Second)}))

	earlier := New()
	reduce(earlier, 0, ResponseReceived{suspect})
	reduce(earlier, time.Second, crash(1, suspect), crash(2, suspect), crash(3, suspect))
	require.True(t, earlier.Blocks(suspect))
	for i := range 2 * maxAnswers {
		reduce(earlier, 0, ResponseReceived{Fingerprint{Content: uint64(i + 100)}})
	}
	require.LessOrEqual(t, len(earlier.answers.current)+len(earlier.answers.previous), 2*maxAnswers)
}
