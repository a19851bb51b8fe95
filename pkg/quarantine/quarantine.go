package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashLimit is the number of independent crashes under a request after which it is quarantined; see
	// record.independentCrashes. All requests in flight on a target that crashes are suspects, and one that shares a target
	// with the cause twice is not rare.
	crashLimit = 3
	// suspectTTL is how long a request that is not quarantined stays a suspect after the last crash.
	suspectTTL = time.Hour
	// quarantineTTL is how long a request stays quarantined after its last repeat.
	quarantineTTL = 24 * time.Hour
	// transferTime is how much later a crash seems to be at an instance that was told of it: the time of the message.
	transferTime = 5 * time.Millisecond
	// expiryInterval is the time between two searches for expired records.
	expiryInterval = time.Minute
	// recentTime is how long a record counts as recently changed.
	recentTime = 5 * time.Second
	// MaxRecords and MaxCrashes bound the records and the crashes of each.
	MaxRecords = 1024
	MaxCrashes = 16
	// maxReleased bounds the records of released requests in VerdictRecords.
	maxReleased = 32
	// maxRecentRecords bounds RecentVerdicts, which instances send to others with each contact.
	maxRecentRecords = 256
)

// Crash is the crash of one target while it ran a request of one caller.
type Crash struct {
	// Target is a hash of the target's identity, which includes its start.
	Target uint64
	// Caller is Fingerprint.Caller of the request.
	Caller uint64
	// CallerAcquitted is set once the same request of the same caller has ended with a response, and ContentAcquitted
	// once that of any caller has. The crash then no longer counts against this caller, or against all callers.
	CallerAcquitted, ContentAcquitted bool
	// Age is the time since the crash. Builds that do not know the field send none, which makes the crash seem to be later
	// than it was, so that fewer responses acquit it.
	Age time.Duration
	// Ran is the time for which the request had been in flight at the crash. Builds that do not know the field send none,
	// which makes the crash seem independent of others.
	Ran time.Duration
}

func (c Crash) compare(other Crash) int {
	return cmp.Or(cmp.Compare(c.Target, other.Target), cmp.Compare(c.Caller, other.Caller))
}

// Record holds the crashes of one request, as instances exchange it.
type Record struct {
	// Content is Fingerprint.Content of the request.
	Content uint64
	// Crashes are in ascending order of target and caller, at most MaxCrashes.
	Crashes []Crash
	// Age is the time since the last crash or withheld repeat.
	Age time.Duration
	// Verdict is set once requests with Content have been quarantined, also if they have been released since.
	Verdict bool
}

// Targets returns the number of targets that crashed.
func (r Record) Targets() int { return countTargets(r.Crashes) }

// countTargets returns the number of different targets in crashes, which are sorted by target.
func countTargets(crashes []Crash) int {
	n := 0
	for i, c := range crashes {
		if i == 0 || c.Target != crashes[i-1].Target {
			n++
		}
	}
	return n
}

// Input is one event with its time.
type Input struct {
	// Now is the monotonic time since the start of the process.
	Now   time.Duration
	Event Event
}

// Event is something that happened to a request that is a suspect, or makes it one.
type Event interface{ event() }

// CrashObserved reports that a target crashed while it ran a request.
type CrashObserved struct {
	Fingerprint Fingerprint
	// Target is the identity of the target, which includes its start.
	Target string
	// Ran is Crash.Ran.
	Ran time.Duration
}

// ResponseReceived reports that a target has responded to a request, so that the request does not crash it.
type ResponseReceived struct{ Fingerprint Fingerprint }

// RequestWithheld reports that a repeat of a quarantined request was refused.
type RequestWithheld struct{ Fingerprint Fingerprint }

// RequestEnded reports the end of a request during which a target crashed. If it has not been answered, its crashes are
// reported to other instances.
type RequestEnded struct{ Fingerprint Fingerprint }

// RecordsReceived delivers records of another instance.
type RecordsReceived struct{ Records []Record }

func (CrashObserved) event()    {}
func (ResponseReceived) event() {}
func (RequestWithheld) event()  {}
func (RequestEnded) event()     {}
func (RecordsReceived) event()  {}

// EffectKind is the action that an Effect asks for.
type EffectKind uint8

// Kinds of effects.
const (
	// Quarantined: requests with Content are withheld from now on, as far as State.Blocks says so.
	Quarantined EffectKind = iota + 1
	// Released: requests with Content are no longer withheld.
	Released
	// SuspicionDue: the collectors of Content have to get its record, immediately if Urgent is set.
	SuspicionDue
	// VerdictChanged: all instances have to get the record of Content. Learned is set if it came from another
	// instance, so that it spreads already.
	VerdictChanged
)

// Effect is one action for the caller of Reduce, as plain data.
type Effect struct {
	Kind    EffectKind
	Content uint64
	// Targets is the number of targets that crashed under the request.
	Targets int
	Urgent  bool
	Learned bool
	// Withheld is set in VerdictChanged if requests with Content are withheld, not released.
	Withheld bool
}

// record is what this instance knows of one request. Times are values of Input.Now.
type record struct {
	content uint64
	crashes []Crash // sorted, with Age and Ran 0
	// times are those of the crashes.
	times []crashTime
	// verdict is Record.Verdict; quarantined is set while requests of any caller are withheld.
	verdict, quarantined bool
	// unreported is set while the collectors lack a crash that this instance observed, reported once they or another
	// instance have the record.
	unreported, reported bool
	// seenAt is the time of the last crash or withheld repeat, changedAt that of the last change of crashes.
	seenAt, changedAt time.Duration
}

// crashTime is the time of a crash, and the beginning of the attempt that was in flight then.
type crashTime struct{ began, crashed time.Duration }

// State is what one instance knows of requests that crash targets. Records of instances merge in any order to the same
// result. It is not safe for concurrent use.
type State struct {
	records      map[uint64]*record
	answers      answers
	nextExpiryAt time.Duration
}

// New returns a state without records.
func New() *State { return &State{records: make(map[uint64]*record)} }

// Reduce applies one event and appends its effects to out.
func (s *State) Reduce(in Input, out []Effect) []Effect {
	out = s.removeExpired(in.Now, out)
	switch ev := in.Event.(type) {
	case CrashObserved:
		out = s.observeCrash(in.Now, ev, out)
	case ResponseReceived:
		s.answers.add(in.Now, ev.Fingerprint)
		out = s.acquit(in.Now, ev.Fingerprint, out)
	case RequestWithheld:
		if r := s.records[ev.Fingerprint.Content]; r != nil {
			r.seenAt = in.Now
		}
	case RequestEnded:
		out = s.endRequest(ev.Fingerprint, out)
	case RecordsReceived:
		for _, remote := range ev.Records {
			out = s.receive(in.Now, remote, out)
		}
	}
	return out
}

// observeCrash adds a crash that this instance has seen. One with a second target is reported immediately, because the
// caller may repeat the request at another instance within milliseconds.
func (s *State) observeCrash(now time.Duration, ev CrashObserved, out []Effect) []Effect {
	crash := Crash{Target: xxhash.Sum64String(ev.Target), Caller: ev.Fingerprint.Caller, Ran: ev.Ran}
	r, changed, out := s.merge(now, Record{Content: ev.Fingerprint.Content, Crashes: []Crash{crash}}, out)
	if !changed {
		return out
	}
	before := r.quarantined
	out = r.changed(now, out)
	if r.quarantined || before {
		return append(out, r.verdictChanged(false))
	}
	r.unreported = true
	if countTargets(r.liveCrashes()) > 1 {
		out = r.report(true, out)
	}
	return out
}

// endRequest reports the crashes under a request that has ended without a response.
func (s *State) endRequest(f Fingerprint, out []Effect) []Effect {
	r := s.records[f.Content]
	ofCaller := func(c Crash) bool { return c.Caller == f.Caller }
	if r == nil || !r.unreported || !slices.ContainsFunc(r.liveCrashes(), ofCaller) {
		return out
	}
	return r.report(false, out)
}

func (r *record) report(urgent bool, out []Effect) []Effect {
	r.unreported, r.reported = false, true
	return append(out, Effect{Kind: SuspicionDue, Content: r.content, Urgent: urgent})
}

// receive merges a record of another instance. A suspicion is not passed on, since its sender reports it.
func (s *State) receive(now time.Duration, remote Record, out []Effect) []Effect {
	r, changed, out := s.merge(now, remote, out)
	if r == nil {
		return out
	}
	r.verdict, r.reported = r.verdict || remote.Verdict, true
	if !changed {
		return out
	}
	other := record{}
	other.mergeCrashes(now, remote.Crashes)
	before, received := r.quarantined, other.isQuarantined()
	out = r.changed(now, out)
	switch {
	case r.quarantined:
		return append(out, r.verdictChanged(received))
	case received:
		// This instance has answered the request, and others may have too. The collectors release it everywhere.
		r.verdict = true
		return r.report(true, out)
	case before:
		return append(out, r.verdictChanged(true))
	}
	return out
}

// merge adds the crashes and acquittals of another record of a request to this one, which it adds if it is missing. It
// returns nil if there is nothing to add, and whether the crashes of the record changed.
func (s *State) merge(now time.Duration, remote Record, out []Effect) (*record, bool, []Effect) {
	r := s.records[remote.Content]
	if r == nil {
		r = &record{content: remote.Content, seenAt: now - remote.Age}
		r.mergeCrashes(now, remote.Crashes)
		r.quarantined = r.isQuarantined()
		if len(r.crashes) == 0 || r.expired(now) {
			return nil, false, out
		}
		r.crashes, r.times, r.quarantined = nil, nil, false
		out = s.makeRoom(out)
		s.records[r.content] = r
	}
	r.seenAt = max(r.seenAt, now-remote.Age)
	changed := r.mergeCrashes(now, remote.Crashes)
	return r, s.applyAnswers(r) || changed, out
}

// applyAnswers acquits a request of the crashes after which this instance has answered it.
func (s *State) applyAnswers(r *record) (changed bool) {
	for i := range r.crashes {
		c := &r.crashes[i]
		old := *c
		c.ContentAcquitted = c.ContentAcquitted || s.answers.since(r.content, r.times[i].crashed)
		c.CallerAcquitted = c.CallerAcquitted || s.answers.since(callerKey(Fingerprint{Content: r.content, Caller: c.Caller}), r.times[i].crashed)
		changed = changed || *c != old
	}
	return changed
}

// acquit records that a target has responded to a request.
func (s *State) acquit(now time.Duration, f Fingerprint, out []Effect) []Effect {
	r := s.records[f.Content]
	if r == nil {
		return out
	}
	changed := false
	for i := range r.crashes {
		c := &r.crashes[i]
		old := *c
		c.ContentAcquitted = true
		c.CallerAcquitted = c.CallerAcquitted || c.Caller == f.Caller
		changed = changed || *c != old
	}
	if !changed {
		return out
	}
	before := r.quarantined
	out = r.changed(now, out)
	switch {
	case before:
		out = append(out, r.verdictChanged(false))
	case r.reported:
		out = r.report(false, out)
	}
	return out
}

// changed appends the effects of a change of the crashes of r for this instance.
func (r *record) changed(now time.Duration, out []Effect) []Effect {
	before := r.quarantined
	r.quarantined = r.isQuarantined()
	r.verdict = r.verdict || r.quarantined
	r.changedAt = now
	switch {
	case r.quarantined && !before:
		out = append(out, Effect{Kind: Quarantined, Content: r.content, Targets: countTargets(r.crashes)})
	case !r.quarantined && before:
		out = append(out, Effect{Kind: Released, Content: r.content, Targets: countTargets(r.crashes)})
	}
	return out
}

func (r *record) verdictChanged(learned bool) Effect {
	return Effect{Kind: VerdictChanged, Content: r.content, Learned: learned, Withheld: r.quarantined}
}

// liveCrashes returns the crashes that still count against the caller under whose request they occurred.
func (r *record) liveCrashes() []Crash {
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c Crash) bool { return c.CallerAcquitted })
}

// mergeCrashes adds crashes and reports whether anything was new. Beyond MaxCrashes it keeps the first in their order, so
// that the result does not depend on the order of merges.
func (r *record) mergeCrashes(now time.Duration, crashes []Crash) (changed bool) {
	for _, c := range crashes {
		at := crashTime{began: now - c.Age - c.Ran, crashed: now - c.Age}
		c.Age, c.Ran = 0, 0
		i, found := slices.BinarySearchFunc(r.crashes, c, Crash.compare)
		switch {
		case found:
			merged := r.crashes[i]
			merged.CallerAcquitted = merged.CallerAcquitted || c.CallerAcquitted
			merged.ContentAcquitted = merged.ContentAcquitted || c.ContentAcquitted
			changed = changed || merged != r.crashes[i]
			r.crashes[i] = merged
			r.times[i] = crashTime{min(r.times[i].began, at.began), min(r.times[i].crashed, at.crashed)}
		case i < MaxCrashes:
			r.crashes, r.times = slices.Insert(r.crashes, i, c), slices.Insert(r.times, i, at)
			kept := min(len(r.crashes), MaxCrashes)
			r.crashes, r.times = r.crashes[:kept], r.times[:kept]
			changed = true
		}
	}
	return changed
}

// blocks reports whether requests of a caller are withheld: crashLimit targets crashed independently under its own requests,
// or under those of several callers. Crashes under the requests of one other caller do not block it, since the cause may be
// something about that caller.
func (r *record) blocks(caller uint64) bool {
	own := func(c Crash) bool { return c.Caller == caller && !c.CallerAcquitted }
	all := func(c Crash) bool { return !c.ContentAcquitted }
	return r.independentCrashes(own) >= crashLimit || r.hasSeveralCallers(all) && r.independentCrashes(all) >= crashLimit
}

func (r *record) hasSeveralCallers(include func(Crash) bool) bool {
	first := slices.IndexFunc(r.crashes, include)
	return first >= 0 && slices.ContainsFunc(r.crashes[first:], func(c Crash) bool { return include(c) && c.Caller != r.crashes[first].Caller })
}

// independentCrashes returns the largest number of targets that crashed one after the other, each in an attempt that began
// after the crash before. Targets that crash at the same moment, for any cause, take the requests with them that were in
// flight then: that is one piece of evidence against a request, however many copies of it there were.
func (r *record) independentCrashes(include func(Crash) bool) int {
	byTarget := make(map[uint64]crashTime, len(r.crashes))
	for i, c := range r.crashes {
		if !include(c) {
			continue
		}
		at := r.times[i]
		if other, known := byTarget[c.Target]; known {
			at = crashTime{min(at.began, other.began), min(at.crashed, other.crashed)}
		}
		byTarget[c.Target] = at
	}
	byCrash := slices.SortedFunc(maps.Values(byTarget), func(a, b crashTime) int { return cmp.Compare(a.crashed, b.crashed) })
	n, last := 0, time.Duration(math.MinInt64)
	for _, at := range byCrash {
		if at.began+transferTime >= last {
			n, last = n+1, at.crashed
		}
	}
	return n
}

// isQuarantined reports whether requests of any caller are withheld.
func (r *record) isQuarantined() bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return r.blocks(c.Caller) })
}

func (r *record) expired(now time.Duration) bool {
	age := now - r.seenAt
	return age >= quarantineTTL || age >= suspectTTL && !r.quarantined
}

// removeExpired removes the records that have expired, once per expiryInterval.
func (s *State) removeExpired(now time.Duration, out []Effect) []Effect {
	if now < s.nextExpiryAt {
		return out
	}
	s.nextExpiryAt = now + expiryInterval
	for _, r := range s.records {
		if r.expired(now) {
			out = s.remove(r, out)
		}
	}
	return out
}

// makeRoom removes a record if there are MaxRecords: the one seen longest ago, suspects first, then released requests.
func (s *State) makeRoom(out []Effect) []Effect {
	if len(s.records) < MaxRecords {
		return out
	}
	var oldest *record
	for _, r := range s.records {
		if oldest == nil || compareRetention(r, oldest) < 0 {
			oldest = r
		}
	}
	return s.remove(oldest, out)
}

func (s *State) remove(r *record, out []Effect) []Effect {
	delete(s.records, r.content)
	if !r.quarantined {
		return out
	}
	return append(out, Effect{Kind: Released, Content: r.content, Targets: countTargets(r.crashes)})
}

// compareRetention orders records by which of them is removed first.
func compareRetention(a, b *record) int {
	return cmp.Or(cmp.Compare(a.retention(), b.retention()), cmp.Compare(a.seenAt, b.seenAt), cmp.Compare(a.content, b.content))
}

// retention ranks suspects below requests that have been quarantined, and these below those that still are.
func (r *record) retention() int {
	switch {
	case r.quarantined:
		return 2
	case r.verdict:
		return 1
	}
	return 0
}
