package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	suspect     = Fingerprint{Content: 1, Caller: 1}
	otherCaller = Fingerprint{Content: 1, Caller: 2}
	thirdCaller = Fingerprint{Content: 1, Caller: 3}
	other       = Fingerprint{Content: 2, Caller: 1}
)

func crash(target int, f Fingerprint) Event {
	return CrashObserved{Fingerprint: f, Target: fmt.Sprint("t", target)}
}

func reduce(s *State, now time.Duration, events ...Event) (kinds []EffectKind) {
	for _, ev := range events {
		for _, effect := range s.Reduce(Input{Now: now, Event: ev}, nil) {
			kinds = append(kinds, effect.Kind)
		}
	}
	return kinds
}

// Guards against a request that crashes one target after the other, and against innocent requests that are withheld
// because they were in flight on targets that crashed.
func TestRequestIsQuarantinedAfterCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		events []Event
		want   map[Fingerprint]bool
	}{
		"two targets":      {[]Event{crash(1, suspect), crash(2, suspect)}, map[Fingerprint]bool{suspect: false}},
		"one target often": {[]Event{crash(1, suspect), crash(1, suspect), crash(1, suspect), crash(2, suspect)}, map[Fingerprint]bool{suspect: false}},
		"three targets": {
			[]Event{crash(1, suspect), crash(2, suspect), crash(3, suspect)},
			map[Fingerprint]bool{suspect: true, otherCaller: false, other: false},
		},
		"several callers": {
			[]Event{crash(1, suspect), crash(2, otherCaller), crash(3, suspect)},
			map[Fingerprint]bool{suspect: true, otherCaller: true, thirdCaller: true, other: false},
		},
		"one crash under two callers": {
			[]Event{crash(1, suspect), crash(1, otherCaller), crash(2, suspect)}, map[Fingerprint]bool{suspect: false, otherCaller: false},
		},
		"response before the third crash": {
			[]Event{crash(1, suspect), crash(2, suspect), ResponseReceived{suspect}, crash(3, suspect)}, map[Fingerprint]bool{suspect: false},
		},
		"response after the third crash": {
			[]Event{crash(1, suspect), crash(2, suspect), crash(3, suspect), ResponseReceived{suspect}}, map[Fingerprint]bool{suspect: false},
		},
		"response to another caller": {
			[]Event{crash(1, suspect), crash(2, suspect), crash(3, suspect), ResponseReceived{otherCaller}},
			map[Fingerprint]bool{suspect: true, otherCaller: false},
		},
		"response to one of several callers": {
			[]Event{crash(1, suspect), crash(2, otherCaller), crash(3, thirdCaller), ResponseReceived{otherCaller}},
			map[Fingerprint]bool{suspect: false, otherCaller: false, thirdCaller: false},
		},
		"crash under two callers, one acquitted before": {
			[]Event{
				crash(1, suspect), ResponseReceived{suspect}, crash(1, otherCaller), crash(2, otherCaller), crash(3, thirdCaller),
			},
			map[Fingerprint]bool{otherCaller: true, thirdCaller: true},
		},
		"response to another request": {
			[]Event{crash(1, suspect), crash(2, suspect), ResponseReceived{other}, crash(3, suspect)}, map[Fingerprint]bool{suspect: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := New()
			reduce(s, 0, c.events...)
			for f, want := range c.want {
				require.Equal(t, want, s.Blocks(f), "%v", f)
			}
		})
	}
}

func recordOf(s *State, content uint64) Record {
	list := s.Records(0)
	return list[slices.IndexFunc(list, func(r Record) bool { return r.Content == content })]
}

// Guards against effects that are missing, so that requests in progress go on, or repeated, so that instances exchange
// records without end.
func TestEffects(t *testing.T) {
	s := New()
	require.Empty(t, reduce(s, 0, crash(1, suspect)))
	require.Equal(t, []EffectKind{SuspicionDue}, reduce(s, 0, RequestEnded{suspect}))
	require.Empty(t, reduce(s, 0, crash(1, suspect), RequestEnded{suspect}, ResponseReceived{other}))
	require.Equal(t, []EffectKind{SuspicionDue, Quarantined, VerdictChanged}, reduce(s, 0, crash(2, suspect), crash(3, suspect)))
	require.Equal(t, []EffectKind{Released, VerdictChanged}, reduce(s, 0, ResponseReceived{suspect}))
	require.Empty(t, reduce(s, 0, ResponseReceived{suspect}, RecordsReceived{s.Records(0)}))

	reduce(s, 0, crash(1, other), crash(1, Fingerprint{Content: 2, Caller: 9}))
	require.Equal(t, 1, recordOf(s, 2).Targets())
}

// Guards against instances that disagree forever because they received crashes and acquittals in different orders.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var events []Event
		source := New()
		for range rng.IntN(40) {
			f := Fingerprint{Content: rng.Uint64N(2), Caller: rng.Uint64N(2)}
			ev := crash(rng.IntN(30), f)
			if rng.IntN(4) == 0 {
				ev = ResponseReceived{f}
			}
			reduce(source, 0, ev)
			events = append(events, RecordsReceived{source.Records(0)})
		}
		states := []*State{New(), New()}
		for _, s := range states {
			rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
			reduce(s, 0, events...)
			for _, r := range s.Records(0) {
				require.LessOrEqual(t, len(r.Crashes), MaxCrashes)
			}
		}
		require.Equal(t, states[0].Digest(), states[1].Digest())
	}
}

// Guards against innocent requests that are withheld because several targets crashed at the same moment, and against requests
// that go on crashing targets because copies of them were in flight at the same time.
func TestCrashesOfTheSameMomentAreOnePieceOfEvidence(t *testing.T) {
	const ms = time.Millisecond
	type observed struct {
		at, ran time.Duration
		target  int
		caller  Fingerprint
	}
	for name, c := range map[string]struct {
		crashes []observed
		blocked bool
	}{
		"four targets at once, several callers": {[]observed{
			{100 * ms, 80 * ms, 1, suspect}, {100 * ms, 30 * ms, 2, otherCaller}, {101 * ms, 60 * ms, 3, thirdCaller}, {103 * ms, 20 * ms, 4, suspect},
		}, false},
		"four targets at once, one caller": {[]observed{
			{100 * ms, 80 * ms, 1, suspect}, {100 * ms, 30 * ms, 2, suspect}, {101 * ms, 60 * ms, 3, suspect}, {103 * ms, 20 * ms, 4, suspect},
		}, false},
		"one after the other": {[]observed{{10 * ms, 10 * ms, 1, suspect}, {25 * ms, 14 * ms, 2, suspect}, {40 * ms, 15 * ms, 3, suspect}}, true},
		"one after the other, at different instances": {[]observed{
			{10 * ms, 10 * ms, 1, suspect}, {25 * ms, 17 * ms, 2, otherCaller}, {40 * ms, 16 * ms, 3, suspect},
		}, true},
		"two at once, then one": {[]observed{{10 * ms, 10 * ms, 1, suspect}, {10 * ms, 10 * ms, 2, otherCaller}, {30 * ms, 20 * ms, 3, suspect}}, false},
		"two at once, three times": {[]observed{
			{10 * ms, 10 * ms, 1, suspect}, {10 * ms, 10 * ms, 2, otherCaller}, {30 * ms, 20 * ms, 3, suspect}, {30 * ms, 20 * ms, 4, otherCaller},
			{50 * ms, 20 * ms, 5, suspect}, {50 * ms, 20 * ms, 6, otherCaller},
		}, true},
		"a long attempt beside two others": {[]observed{{10 * ms, 10 * ms, 1, suspect}, {25 * ms, 15 * ms, 2, suspect}, {40 * ms, 40 * ms, 3, suspect}}, false},
		"one target of two callers": {[]observed{
			{10 * ms, 10 * ms, 1, suspect}, {25 * ms, 15 * ms, 2, suspect}, {40 * ms, 15 * ms, 2, otherCaller},
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			whole, parts := New(), New()
			for _, o := range c.crashes {
				ev := CrashObserved{Fingerprint: o.caller, Target: fmt.Sprint(o.target), Ran: o.ran}
				reduce(whole, o.at, ev)
				one := New()
				reduce(one, o.at, ev)
				reduce(parts, time.Second, RecordsReceived{one.Records(time.Second)})
			}
			require.Equal(t, c.blocked, whole.Blocks(suspect))
			require.Equal(t, c.blocked, parts.Blocks(suspect), "told by others")
			told := New()
			reduce(told, 3*time.Second, RecordsReceived{whole.Records(2 * time.Second)})
			require.Equal(t, c.blocked, told.Blocks(suspect), "told by one that knows all")
			require.Equal(t, whole.Digest(), told.Digest())
		})
	}
}

// Guards against records that never end, and against a quarantine that ends while the request is repeated.
func TestRecordsExpire(t *testing.T) {
	s := New()
	reduce(s, 0, crash(1, other), crash(1, suspect), crash(2, suspect), crash(3, suspect))
	reduce(s, suspectTTL+expiryInterval, RequestWithheld{suspect})
	require.Len(t, s.Records(0), 1, "a suspect expires")
	require.True(t, s.Blocks(suspect))
	reduce(s, quarantineTTL, RequestWithheld{suspect})
	require.True(t, s.Blocks(suspect), "repeated meanwhile")
	require.Contains(t, reduce(s, 2*quarantineTTL, RequestWithheld{other}), Released)
	require.True(t, s.Empty())
	require.Empty(t, reduce(s, 0, RecordsReceived{[]Record{{Content: 1, Crashes: []Crash{{Target: 1}}, Age: suspectTTL}}}), "expired elsewhere")
}

// Guards against memory and messages that grow with the number of requests that crash targets, and against suspects that
// push out quarantined requests.
func TestRecordsAreBounded(t *testing.T) {
	s := New()
	reduce(s, 0, crash(1, suspect), crash(2, suspect), crash(3, suspect))
	for i := range 2 * MaxRecords {
		reduce(s, time.Second, crash(1, Fingerprint{Content: uint64(i + 10)}))
	}
	require.Len(t, s.Records(0), MaxRecords)
	require.True(t, s.Blocks(suspect))
	for i := range 2 * maxRecentRecords {
		f := Fingerprint{Content: uint64(i + 10000)}
		reduce(s, time.Second, crash(1, f), crash(2, f), crash(3, f))
		if i%4 == 0 {
			reduce(s, time.Second, ResponseReceived{f})
		}
	}
	recent := s.RecentVerdicts(time.Second)
	require.Len(t, recent, maxRecentRecords)
	for _, r := range recent {
		require.True(t, s.Blocks(Fingerprint{Content: r.Content, Caller: r.Crashes[0].Caller}), "only quarantined requests")
	}
	require.Empty(t, s.RecentVerdicts(time.Second+recentTime))
}

// Guards against fingerprints that differ between repeats of a request or are equal for different requests.
func TestFingerprint(t *testing.T) {
	first := NewFingerprint("GET", "host", "/a?b", []byte("body"), "10.0.0.1")
	require.Equal(t, first, NewFingerprint("GET", "host", "/a?b", []byte("body"), "10.0.0.1"))
	for _, f := range []Fingerprint{
		NewFingerprint("PUT", "host", "/a?b", []byte("body"), "10.0.0.1"), NewFingerprint("GET", "hos", "t/a?b", []byte("body"), "10.0.0.1"),
		NewFingerprint("GET", "host", "/a?c", []byte("body"), "10.0.0.1"), NewFingerprint("GET", "host", "/a?b", nil, "10.0.0.1"),
	} {
		require.NotEqual(t, first.Content, f.Content)
	}
	otherCaller := NewFingerprint("GET", "host", "/a?b", []byte("body"), "10.0.0.2")
	require.Equal(t, first.Content, otherCaller.Content)
	require.NotEqual(t, first.Caller, otherCaller.Caller)
}
