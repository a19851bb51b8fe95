// Package distribution decides which instances get which crash records.
//
// A suspicion goes to two collectors, which merge the reports of all instances. A verdict goes to all instances: to two of
// each zone from the instance where it arose, and from there on along a tree and a ring within each zone.
//
// It is a reducer like package core: State.Reduce applies one event and returns effects as data, without clock, I/O or
// randomness. A State is not safe for concurrent use.
package distribution

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// batchInterval is the time between two reports to one instance. A target that crashes makes all requests that were in
	// flight on it suspects.
	batchInterval = 50 * time.Millisecond
	// MaxContents is the number of records in one report. Records of 16 crashes fit the limit of a request.
	MaxContents = 256
	// collectorCount is the number of instances that get the reports of one suspicion. With two, the loss of one of them
	// does not lose the suspicion.
	collectorCount = 2
	// entryCount is the number of instances of each zone that get a verdict from the instance where it arose.
	entryCount = 2
	// treeFanout is the number of instances to which a verdict is forwarded along the tree. With two, it reaches 100
	// instances of a zone in seven steps.
	treeFanout = 2
	// forwardDelay is the time for which an instance holds back a verdict before it forwards it. A release is forwarded at
	// once, so that it overtakes the verdict on a request that one of the first instances has answered. Verdicts take
	// seven steps in a zone of 100 instances, so that they stay within 300 ms.
	forwardDelay = 10 * time.Millisecond
)

// Member is another instance that can be reached.
type Member struct{ Address, Zone string }

// Input is one event with its time and the instances that can be reached.
type Input struct {
	// Now is the monotonic time since the start of the process.
	Now time.Duration
	// Members are the other instances in contact that have answered recently, in any order.
	Members []Member
	Event   Event
}

// Event is something that happened outside the reducer.
type Event interface{ event() }

// SuspicionDue asks to report the record of a suspicion, without waiting for others if Urgent is set.
type SuspicionDue struct {
	Content uint64
	Urgent  bool
}

// VerdictChanged asks to spread the record of a request that has been quarantined or released. Learned is set if another
// instance has sent it.
type VerdictChanged struct {
	Content uint64
	Learned bool
	// Withheld is set if the request is withheld, not released.
	Withheld bool
}

// Result is the end of a report.
type Result uint8

// Results of reports.
const (
	// Delivered: the instance has the records and forwards them.
	Delivered Result = iota + 1
	// DeliveredToOldBuild: the instance has the records, but does not forward them along the tree.
	DeliveredToOldBuild
	// Failed: the instance did not answer. Input.Members no longer contains it.
	Failed
)

// ReportEnded reports the end of a report that SendReport has asked for.
type ReportEnded struct {
	Address, Zone string
	Suspicions    []uint64
	Verdicts      []uint64
	Result        Result
}

// TimerFired reports that the time of SetTimer has come.
type TimerFired struct{}

func (SuspicionDue) event()   {}
func (VerdictChanged) event() {}
func (ReportEnded) event()    {}
func (TimerFired) event()     {}

// EffectKind is the action that an Effect asks for.
type EffectKind uint8

// Kinds of effects.
const (
	// SendReport: send the records of Suspicions and Verdicts to Member, and report the end.
	SendReport EffectKind = iota + 1
	// SetTimer: report TimerFired at At. It replaces an earlier timer.
	SetTimer
)

// Effect is one action for the caller of Reduce, as plain data.
type Effect struct {
	Kind       EffectKind
	Member     Member
	Suspicions []uint64
	Verdicts   []uint64
	At         time.Duration
}

// Config configures a State.
type Config struct {
	// Self is the peer address of this instance, Zone its availability zone.
	Self, Zone string
}

// outbox holds what one instance has to get.
type outbox struct {
	member               Member
	suspicions, verdicts []uint64
	dueAt, lastSentAt    time.Duration
	inFlight             bool
}

// State is what this instance has to send to others. It holds outboxes of the instances that were sent a report within
// batchInterval or are to get one.
type State struct {
	cfg      Config
	outboxes []*outbox // in order of creation, so that effects are deterministic
	timerAt  time.Duration
}

// New returns a state with nothing to send.
func New(cfg Config) *State { return &State{cfg: cfg} }

// Reduce applies one event and appends its effects to out.
func (s *State) Reduce(in Input, out []Effect) []Effect {
	switch ev := in.Event.(type) {
	case SuspicionDue:
		for _, m := range s.collectors(in.Members, ev.Content) {
			s.addSuspicion(in.Now, m, ev.Content, ev.Urgent)
		}
	case VerdictChanged:
		s.spread(in, ev)
	case ReportEnded:
		s.endReport(in, ev)
	}
	return s.flush(in.Now, out)
}

func (s *State) addSuspicion(now time.Duration, m Member, content uint64, urgent bool) {
	o := s.outboxOf(now, m)
	if !slices.Contains(o.suspicions, content) && len(o.suspicions) < MaxContents/2 {
		o.suspicions = append(o.suspicions, content)
	}
	if urgent {
		o.dueAt = now
	}
}

// spread sends a changed verdict to the successors of this instance in its zone, and, if the verdict arose here or this
// instance is a collector that learns of a release, to the first instances of each zone.
func (s *State) spread(in Input, ev VerdictChanged) {
	due := in.Now
	if ev.Withheld {
		due += forwardDelay
	} else {
		s.removeVerdict(ev.Content)
	}
	self := Member{s.cfg.Self, s.cfg.Zone}
	for _, m := range s.successors(in.Members, self, ev.Content) {
		s.addVerdict(in.Now, m, ev.Content, due)
	}
	// A collector learns of a release by a report, which goes to collectors only.
	if ev.Learned && (ev.Withheld || !s.isCollector(in.Members, ev.Content)) {
		return
	}
	entries := make(map[string]int) // by zone
	for _, m := range rank(append(slices.Clone(in.Members), self), ev.Content) {
		entries[m.Zone]++
		if entries[m.Zone] <= entryCount && m != self {
			s.addVerdict(in.Now, m, ev.Content, in.Now)
		}
	}
}

// removeVerdict removes a content from the verdicts that wait to be forwarded.
func (s *State) removeVerdict(content uint64) {
	for _, o := range s.outboxes {
		o.verdicts = slices.DeleteFunc(o.verdicts, func(c uint64) bool { return c == content })
	}
}

func (s *State) addVerdict(now time.Duration, m Member, content uint64, due time.Duration) {
	o := s.outboxOf(now, m)
	if len(o.suspicions)+len(o.verdicts) == 0 {
		o.dueAt = due
	}
	if !slices.Contains(o.verdicts, content) && len(o.verdicts) < MaxContents/2 {
		o.verdicts = append(o.verdicts, content)
	}
	o.dueAt = min(o.dueAt, due)
}

// outboxOf returns the outbox of an instance. One with nothing to send becomes due once batchInterval has passed since
// the last report.
func (s *State) outboxOf(now time.Duration, m Member) *outbox {
	i := slices.IndexFunc(s.outboxes, func(o *outbox) bool { return o.member.Address == m.Address })
	if i < 0 {
		s.outboxes = append(s.outboxes, &outbox{member: m, dueAt: now})
		return s.outboxes[len(s.outboxes)-1]
	}
	o := s.outboxes[i]
	if len(o.suspicions)+len(o.verdicts) == 0 {
		o.dueAt = max(now, o.lastSentAt+batchInterval)
	}
	return o
}

// endReport sends the records of a failed report to the instances that take the place of the failed one.
func (s *State) endReport(in Input, ev ReportEnded) {
	i := slices.IndexFunc(s.outboxes, func(o *outbox) bool { return o.member.Address == ev.Address })
	if i < 0 {
		return
	}
	o := s.outboxes[i]
	o.inFlight = false
	if ev.Result == Delivered {
		return
	}
	suspicions, verdicts := []uint64(nil), ev.Verdicts
	if ev.Result == Failed {
		suspicions, verdicts = append(ev.Suspicions, o.suspicions...), append(verdicts, o.verdicts...)
		s.outboxes = slices.Delete(s.outboxes, i, i+1)
	}
	peer := Member{ev.Address, ev.Zone}
	withPeer := append(slices.DeleteFunc(slices.Clone(in.Members), func(m Member) bool { return m == peer }), peer)
	for _, content := range suspicions {
		before := s.collectors(withPeer, content)
		for _, m := range s.collectors(in.Members, content) {
			if !slices.Contains(before, m) {
				s.addSuspicion(in.Now, m, content, true)
			}
		}
	}
	// Other zones have a second instance that gets the verdict, and a zone that cannot be reached has many that fail.
	if ev.Zone != s.cfg.Zone {
		return
	}
	for _, content := range verdicts {
		for _, m := range s.successors(withPeer, peer, content) {
			s.addVerdict(in.Now, m, content, in.Now)
		}
	}
}

// flush sends what is due, removes outboxes that are no longer needed and sets the timer for the rest.
func (s *State) flush(now time.Duration, out []Effect) []Effect {
	next := time.Duration(-1)
	s.outboxes = slices.DeleteFunc(s.outboxes, func(o *outbox) bool {
		empty := len(o.suspicions)+len(o.verdicts) == 0
		if o.inFlight {
			return false
		}
		if empty {
			return now >= o.lastSentAt+batchInterval
		}
		if o.dueAt > now {
			if next < 0 || o.dueAt < next {
				next = o.dueAt
			}
			return false
		}
		out = append(out, Effect{Kind: SendReport, Member: o.member, Suspicions: o.suspicions, Verdicts: o.verdicts})
		o.suspicions, o.verdicts, o.lastSentAt, o.inFlight = nil, nil, now, true
		return false
	})
	if next >= 0 && next != s.timerAt {
		out = append(out, Effect{Kind: SetTimer, At: next})
	}
	s.timerAt = next
	return out
}

// collectors returns the other instances among the collectors of a content: those with the highest rendezvous hash of
// content and address, by which most instances agree on them without messages.
func (s *State) collectors(members []Member, content uint64) []Member {
	self := Member{s.cfg.Self, s.cfg.Zone}
	ranked := rank(append(slices.Clone(members), self), content)
	chosen := ranked[:min(collectorCount, len(ranked))]
	return slices.DeleteFunc(chosen, func(m Member) bool { return m == self })
}

func (s *State) isCollector(members []Member, content uint64) bool {
	ranked := rank(append(slices.Clone(members), Member{s.cfg.Self, s.cfg.Zone}), content)
	return slices.Contains(ranked[:min(collectorCount, len(ranked))], Member{s.cfg.Self, s.cfg.Zone})
}

// successors returns the instances to which an instance forwards verdicts of a content. The instances of its zone, in the
// order of their rendezvous hashes, form a heap with treeFanout children each, and in another order a ring. An instance
// that the tree misses, because views of the fleet differ or an instance has failed, gets the verdict along the ring.
func (s *State) successors(members []Member, of Member, content uint64) []Member {
	self := Member{s.cfg.Self, s.cfg.Zone}
	zone := slices.DeleteFunc(append(slices.Clone(members), self), func(m Member) bool { return m.Zone != of.Zone })
	heap := rank(zone, content)
	i := slices.Index(heap, of)
	if i < 0 {
		return nil
	}
	first := min(treeFanout*i+1, len(heap))
	list := slices.Clone(heap[first:min(first+treeFanout, len(heap))])
	ring := rank(zone, ^content)
	if next := ring[(slices.Index(ring, of)+1)%len(ring)]; !slices.Contains(list, next) {
		list = append(list, next)
	}
	return slices.DeleteFunc(list, func(m Member) bool { return m == self || m == of })
}

// rank sorts members by their rendezvous hash, highest first.
func rank(members []Member, content uint64) []Member {
	type ranked struct {
		Member
		hash uint64
	}
	list := make([]ranked, len(members))
	for i, m := range members {
		list[i] = ranked{m, xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, content), m.Address...))}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.Address, b.Address)) })
	for i, r := range list {
		members[i] = r.Member
	}
	return members
}
