package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashLimit is the number of targets that have to crash under a request before it is quarantined. All requests in
	// flight on a target that crashes are suspects, and one that shares a target with the cause twice is not rare.
	crashLimit = 3
	// suspectTTL is how long a request that is not quarantined stays a suspect after the last crash.
	suspectTTL = time.Hour
	// quarantineTTL is how long a request stays quarantined after its last repeat.
	quarantineTTL = 24 * time.Hour
	// expiryInterval is the time between two searches for expired records.
	expiryInterval = time.Minute
	// recentTime is how long a record counts as recently changed.
	recentTime = 5 * time.Second
	// MaxRecords and MaxCrashes bound the records and the crashes of each.
	MaxRecords = 1024
	MaxCrashes = 16
	// maxRecentRecords bounds RecentRecords, which instances send to others with each contact.
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
}

// ResponseReceived reports that a target has responded to a request, so that the request does not crash it.
type ResponseReceived struct{ Fingerprint Fingerprint }

// RequestWithheld reports that a repeat of a quarantined request was refused.
type RequestWithheld struct{ Fingerprint Fingerprint }

// RecordsReceived delivers records of another instance.
type RecordsReceived struct{ Records []Record }

func (CrashObserved) event()    {}
func (ResponseReceived) event() {}
func (RequestWithheld) event()  {}
func (RecordsReceived) event()  {}

// EffectKind is the action that an Effect asks for.
type EffectKind uint8

// Kinds of effects.
const (
	// Quarantined: requests with Content are withheld from now on, as far as State.Blocks says so.
	Quarantined EffectKind = iota + 1
	// Released: requests with Content are no longer withheld.
	Released
	// RecordsChanged: other instances have to get the records.
	RecordsChanged
)

// Effect is one action for the caller of Reduce, as plain data.
type Effect struct {
	Kind    EffectKind
	Content uint64
	// Targets is the number of targets that crashed under the request.
	Targets int
}

// record is what this instance knows of one request. Times are values of Input.Now.
type record struct {
	content uint64
	crashes []Crash // sorted
	// seenAt is the time of the last crash or withheld repeat, changedAt that of the last change of crashes.
	seenAt, changedAt time.Duration
}

// State is what one instance knows of requests that crash targets. Records of instances merge in any order to the same
// result. It is not safe for concurrent use.
type State struct {
	records      map[uint64]*record
	nextExpiryAt time.Duration
}

// New returns a state without records.
func New() *State { return &State{records: make(map[uint64]*record)} }

// Reduce applies one event and appends its effects to out.
func (s *State) Reduce(in Input, out []Effect) []Effect {
	out = s.removeExpired(in.Now, out)
	switch ev := in.Event.(type) {
	case CrashObserved:
		crash := Crash{Target: xxhash.Sum64String(ev.Target), Caller: ev.Fingerprint.Caller}
		out = s.merge(in.Now, Record{Content: ev.Fingerprint.Content, Crashes: []Crash{crash}}, out)
	case ResponseReceived:
		out = s.acquit(in.Now, ev.Fingerprint, out)
	case RequestWithheld:
		if r := s.records[ev.Fingerprint.Content]; r != nil {
			r.seenAt = in.Now
		}
	case RecordsReceived:
		for _, remote := range ev.Records {
			out = s.merge(in.Now, remote, out)
		}
	}
	return out
}

// merge adds the crashes and acquittals of another record of a request to this one.
func (s *State) merge(now time.Duration, remote Record, out []Effect) []Effect {
	r := s.records[remote.Content]
	if r == nil {
		r = &record{content: remote.Content, crashes: remote.Crashes, seenAt: now - remote.Age}
		if len(r.crashes) == 0 || r.expired(now) {
			return out
		}
		r.crashes = nil
		out = s.makeRoom(out)
		s.records[r.content] = r
	}
	r.seenAt = max(r.seenAt, now-remote.Age)
	before := r.quarantined()
	if !r.mergeCrashes(remote.Crashes) {
		return out
	}
	return r.changed(now, before, out)
}

// acquit records that a target has responded to a request.
func (s *State) acquit(now time.Duration, f Fingerprint, out []Effect) []Effect {
	r := s.records[f.Content]
	if r == nil {
		return out
	}
	before, changed := r.quarantined(), false
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
	return r.changed(now, before, out)
}

// changed appends the effects of a change of the crashes of r.
func (r *record) changed(now time.Duration, quarantinedBefore bool, out []Effect) []Effect {
	r.changedAt = now
	switch quarantined := r.quarantined(); {
	case quarantined && !quarantinedBefore:
		out = append(out, Effect{Kind: Quarantined, Content: r.content, Targets: countTargets(r.crashes)})
	case !quarantined && quarantinedBefore:
		out = append(out, Effect{Kind: Released, Content: r.content, Targets: countTargets(r.crashes)})
	}
	return append(out, Effect{Kind: RecordsChanged})
}

// mergeCrashes adds crashes and reports whether anything was new. Beyond MaxCrashes it keeps the first in their order, so
// that the result does not depend on the order of merges.
func (r *record) mergeCrashes(crashes []Crash) (changed bool) {
	for _, c := range crashes {
		i, found := slices.BinarySearchFunc(r.crashes, c, Crash.compare)
		switch {
		case found:
			merged := r.crashes[i]
			merged.CallerAcquitted = merged.CallerAcquitted || c.CallerAcquitted
			merged.ContentAcquitted = merged.ContentAcquitted || c.ContentAcquitted
			changed = changed || merged != r.crashes[i]
			r.crashes[i] = merged
		case i < MaxCrashes:
			r.crashes = slices.Insert(r.crashes, i, c)
			r.crashes = r.crashes[:min(len(r.crashes), MaxCrashes)]
			changed = true
		}
	}
	return changed
}

// blocks reports whether requests of a caller are withheld: crashLimit targets crashed under its own requests, or under
// those of several callers. Crashes under the requests of one other caller do not block it, since the cause may be
// something about that caller.
func (r *record) blocks(caller uint64) bool {
	own, all := 0, make([]Crash, 0, MaxCrashes)
	for _, c := range r.crashes {
		if c.Caller == caller && !c.CallerAcquitted {
			own++
		}
		if !c.ContentAcquitted {
			all = append(all, c)
		}
	}
	ofSeveralCallers := slices.ContainsFunc(all, func(c Crash) bool { return c.Caller != all[0].Caller })
	return own >= crashLimit || ofSeveralCallers && countTargets(all) >= crashLimit
}

// quarantined reports whether requests of any caller are withheld.
func (r *record) quarantined() bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return r.blocks(c.Caller) })
}

func (r *record) expired(now time.Duration) bool {
	age := now - r.seenAt
	return age >= quarantineTTL || age >= suspectTTL && !r.quarantined()
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

// makeRoom removes a record if there are MaxRecords: the one seen longest ago, suspects first.
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
	if !r.quarantined() {
		return out
	}
	return append(out, Effect{Kind: Released, Content: r.content, Targets: countTargets(r.crashes)})
}

// compareRetention orders records by which of them is removed first.
func compareRetention(a, b *record) int {
	if qa, qb := a.quarantined(), b.quarantined(); qa != qb {
		if qb {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.seenAt, b.seenAt), cmp.Compare(a.content, b.content))
}

// Empty reports whether there are no records, so that no request needs a fingerprint.
func (s *State) Empty() bool { return len(s.records) == 0 }

// Blocks reports whether a request is withheld.
func (s *State) Blocks(f Fingerprint) bool {
	r := s.records[f.Content]
	return r != nil && r.blocks(f.Caller)
}

// Quarantined returns the number of contents of which requests are withheld.
func (s *State) Quarantined() int {
	n := 0
	for _, r := range s.records {
		if r.quarantined() {
			n++
		}
	}
	return n
}

// QuarantinedRecords returns the records of the contents of which requests are withheld, in ascending order of content.
func (s *State) QuarantinedRecords(now time.Duration) []Record {
	list := s.list(now, (*record).quarantined)
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Content, b.Content) })
	return list
}

// Digest is a hash of the records without their ages. Instances with equal digests need not exchange them.
func (s *State) Digest() uint64 {
	var sum uint64
	for _, r := range s.records {
		h := xxhash.NewWithSeed(r.content)
		for _, c := range r.crashes {
			_, _ = h.Write(c.appendBytes(nil))
		}
		sum += h.Sum64() // a sum does not depend on the order of records
	}
	return sum
}

// Records returns all records.
func (s *State) Records(now time.Duration) []Record {
	return s.list(now, func(*record) bool { return true })
}

// RecentRecords returns the records that changed within the last seconds, at most maxRecentRecords. Quarantined ones come
// first.
func (s *State) RecentRecords(now time.Duration) []Record {
	recent := func(quarantined bool) []Record {
		return s.list(now, func(r *record) bool { return now-r.changedAt < recentTime && r.quarantined() == quarantined })
	}
	list := append(recent(true), recent(false)...)
	return list[:min(len(list), maxRecentRecords)]
}

func (s *State) list(now time.Duration, include func(*record) bool) []Record {
	var list []Record
	for _, r := range s.records {
		if include(r) {
			list = append(list, Record{Content: r.content, Crashes: slices.Clone(r.crashes), Age: now - r.seenAt})
		}
	}
	return list
}

// appendBytes appends a fixed-length encoding of c to b.
func (c Crash) appendBytes(b []byte) []byte {
	b = binary.LittleEndian.AppendUint64(b, c.Target)
	b = binary.LittleEndian.AppendUint64(b, c.Caller)
	var flags byte
	if c.CallerAcquitted {
		flags |= 1
	}
	if c.ContentAcquitted {
		flags |= 2
	}
	return append(b, flags)
}
