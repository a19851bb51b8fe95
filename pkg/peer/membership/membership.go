// Package membership tracks the other instances: which of them to contact, how many there are, and which targets are
// leaving.
//
// It is a reducer like package core: State.Reduce applies one event and returns effects as data, without clock, I/O or
// global randomness. Membership affects the choice of peers and the shares of budgets, never correctness. A State is
// not safe for concurrent use.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// contactTTL is how long an instance counts as present after the last exchange. In a fleet of 200, each pair
	// exchanges about every 50 s.
	contactTTL = time.Minute
	// FleetSizeWindow is the time over which FleetSize returns the maximum.
	FleetSizeWindow = 10 * time.Minute
	// initialBackoff and maxBackoff limit the delay before a peer that did not answer is contacted again. The maximum
	// is below the 10 s in which the newest configuration has to reach every instance after a partition.
	initialBackoff = time.Second
	maxBackoff     = 4 * time.Second
	// failureTTL is how long an instance that did not answer is left out of the tree, unless it answers earlier. Each
	// retry costs the instances that choose it as their parent the time of a call.
	failureTTL = 10 * time.Second
	// staleTTL is how long an instance that had no recent data is left out of the tree. Unlike failureTTL, it does not
	// end with an exchange: an instance that the platform refuses answers its peers all the time, and would become the
	// root again and again.
	staleTTL = 30 * time.Second
	// MaxMembers is the maximum number of known instances. It bounds the memory for addresses from outside.
	MaxMembers = 4096
	// pushFanout is the number of peers that are told about a change. With three, a change reaches 14 instances in
	// three steps.
	pushFanout = 3
)

// Config configures a State.
type Config struct {
	// Self is the peer address of this instance.
	Self string
	// Start is the start ID of this instance, random for each process start.
	Start string
	// Zone is the availability zone of this instance.
	Zone string
	// Seeds are peer addresses from the settings.
	Seeds []string
	// CrossZoneRounds is the average number of rounds per contact to another zone; 0 means 1. Traffic between zones is
	// expensive, and what one instance learns from another zone spreads within its own.
	CrossZoneRounds int
}

// Input is one event together with the time and randomness that make a step deterministic.
type Input struct {
	// Now is the monotonic time since the start of the process.
	Now time.Duration
	// Rand seeds all random decisions of the step.
	Rand  uint64
	Event Event
}

// Event is something that happened outside the reducer.
type Event interface{ event() }

// InstanceListReceived replaces the listed instances and targets.
type InstanceListReceived struct {
	Instances []Process
	Targets   []Process
}

// Process is an instance or a target, as listed or as observed. Start is its start ID, empty if unknown.
type Process struct {
	// Address is the peer address of an instance or the identity of a target (discovery.Instance.Identity).
	Address string
	Zone    string
	Start   string
	Leaving bool
}

// ExchangeCompleted reports an exchange with another instance, started by either side. The fields describe that
// instance.
type ExchangeCompleted struct {
	Address string
	Start   string
	Zone    string
	Leaving []Sign
	// Known lists the other instances that the sender knows; empty if it knows the same ones as this instance.
	Known []Known
}

// AgesReceived delivers State.Ages and State.Fingerprint of another instance.
type AgesReceived struct {
	Ages        []byte
	Fingerprint uint64
}

// Known is an instance that a peer knows.
type Known struct {
	Address string
	Zone    string
	Start   string
	// Age is the time since any instance last exchanged state with it.
	Age time.Duration
}

// SeedsReplaced replaces the peer addresses from the settings.
type SeedsReplaced struct{ Seeds []string }

// ContactFailed reports that an instance did not answer.
type ContactFailed struct{ Address string }

// SourceStale reports that the data of an instance was old while the platform answered this one.
type SourceStale struct{ Address string }

// RoundStarted removes expired state and asks for the contacts of one anti-entropy round.
type RoundStarted struct{}

// LocalStateChanged asks for contacts that spread a change at once: a new document, or that this instance is leaving.
type LocalStateChanged struct{}

// TargetsObserved reports what this instance observed of targets itself, for example in their responses.
type TargetsObserved struct{ Targets []Process }

func (InstanceListReceived) event() {}
func (ExchangeCompleted) event()    {}
func (AgesReceived) event()         {}
func (ContactFailed) event()        {}
func (SourceStale) event()          {}
func (SeedsReplaced) event()        {}
func (RoundStarted) event()         {}
func (LocalStateChanged) event()    {}
func (TargetsObserved) event()      {}

// EffectKind is the action that an Effect asks for.
type EffectKind uint8

// Kinds of effects.
const (
	// ContactPeer: exchange state with the instance at Address.
	ContactPeer EffectKind = iota + 1
	// TargetLeaving: the target of Signal gets no new requests until it has a new start ID.
	TargetLeaving
	// PeerRestarted: the instance at Address has a new start ID.
	PeerRestarted
)

// Effect is one action for the caller of Reduce, as plain data.
type Effect struct {
	Kind    EffectKind
	Address string
	Signal  Sign
}

// member is one known instance. Its times are values of Input.Now.
type member struct {
	address, zone, start string
	// listed is set while the member is on the instance list.
	listed, leaving bool
	// presentUntil is the time until which the member counts as present without being listed.
	presentUntil time.Duration
	// failedUntil is the time until which a member that did not answer is left out of the tree.
	failedUntil time.Duration
	// staleUntil is the time until which a member whose data was old is left out of the tree.
	staleUntil time.Duration
	// learnedAt is the time at which the current start became known.
	learnedAt time.Duration
	// retryAt is the earliest time of the next contact, backoff the delay that led to it.
	retryAt, backoff time.Duration
}

// isInContact reports whether any instance is known to have exchanged state with m within contactTTL.
func (m *member) isInContact(now time.Duration) bool { return m.start != "" && now < m.presentUntil }

// isReachable reports whether m can be read from: in contact, not leaving, and without a failure within failureTTL.
func (m *member) isReachable(now time.Duration) bool {
	return m.isInContact(now) && !m.leaving && now >= m.failedUntil
}

// canBeParent reports whether m belongs to the tree.
func (m *member) canBeParent(now time.Duration) bool {
	return m.isReachable(now) && now >= m.staleUntil
}

// State is what one instance knows about the others.
type State struct {
	cfg            Config
	members        map[string]*member
	insertionOrder []string // addresses; a fixed order keeps random choices deterministic
	fleetSizes     []sizeSample
	leavingSignals leavingSignals
	rng            *rand.PCG
}

// sizeSample is the fleet size at one time. State.fleetSizes keeps samples of decreasing size, so that the first is the
// maximum of the window.
type sizeSample struct {
	takenAt   time.Duration
	instances int
}

// New returns a state that knows the seeds. They count as present at first, because a budget share that is too small at
// the start is safe and one that is too large is not.
func New(cfg Config) *State {
	s := &State{cfg: cfg, members: make(map[string]*member), leavingSignals: newLeavingSignals(), rng: rand.NewPCG(0, 0)}
	s.replaceSeeds(0, cfg.Seeds)
	s.recordFleetSize(0)
	return s
}

// Reduce applies one event and appends its effects to out.
func (s *State) Reduce(in Input, out []Effect) []Effect {
	s.rng.Seed(in.Rand, uint64(in.Now))
	switch ev := in.Event.(type) {
	case InstanceListReceived:
		out = s.applyInstanceList(in.Now, ev, out)
	case ExchangeCompleted:
		out = s.applyExchange(in.Now, ev, out)
	case AgesReceived:
		s.mergeAges(in.Now, ev)
	case ContactFailed:
		s.recordFailure(in.Now, ev)
	case SourceStale:
		if m := s.members[ev.Address]; m != nil {
			m.staleUntil = in.Now + staleTTL
		}
	case SeedsReplaced:
		s.replaceSeeds(in.Now, ev.Seeds)
	case RoundStarted:
		s.removeExpired(in.Now)
		out = s.contactRoundPeers(in.Now, out)
	case LocalStateChanged:
		out = s.contactRandom(in.Now, pushFanout, func(*member) bool { return true }, out)
	case TargetsObserved:
		out = s.observeTargets(in.Now, ev.Targets, out)
	}
	s.recordFleetSize(in.Now)
	return out
}

// getOrAddMember returns the member at an address and adds it if it is unknown. It returns nil for this instance
// itself, and for an unknown address once MaxMembers are known.
func (s *State) getOrAddMember(address string) *member {
	if address == s.cfg.Self {
		return nil
	}
	m := s.members[address]
	if m == nil && len(s.members) < MaxMembers {
		m = &member{address: address}
		s.members[address] = m
		s.insertionOrder = append(s.insertionOrder, address)
	}
	return m
}

func (s *State) applyInstanceList(now time.Duration, ev InstanceListReceived, out []Effect) []Effect {
	for _, m := range s.members {
		m.listed = false
	}
	for _, l := range ev.Instances {
		m := s.getOrAddMember(l.Address)
		if m == nil {
			continue
		}
		m.listed = true
		m.zone = l.Zone
	}
	s.leavingSignals.retainTargets(ev.Targets)
	return s.observeTargets(now, ev.Targets, out)
}

func (s *State) observeTargets(now time.Duration, targets []Process, out []Effect) []Effect {
	for _, t := range targets {
		s.leavingSignals.observeStart(t.Address, t.Start)
		if t.Leaving {
			out = s.addLeavingSignal(now, Sign{Target: t.Address, Start: t.Start}, out)
		}
	}
	return out
}

func (s *State) applyExchange(now time.Duration, ev ExchangeCompleted, out []Effect) []Effect {
	m := s.getOrAddMember(ev.Address)
	if m == nil {
		return out
	}
	if m.start != ev.Start {
		if m.start != "" {
			out = append(out, Effect{Kind: PeerRestarted, Address: m.address})
		}
		m.leaving, m.staleUntil, m.learnedAt = false, 0, now
	}
	m.start, m.zone = ev.Start, ev.Zone
	m.presentUntil = now + contactTTL
	m.retryAt, m.backoff = 0, 0
	m.failedUntil = 0
	s.mergeKnown(now, ev.Known)
	for _, signal := range ev.Leaving {
		out = s.addLeavingSignal(now, signal, out)
	}
	return out
}

// replaceSeeds sets the peer addresses from the settings. They may be out of date, so that each counts as present for
// contactTTL only.
func (s *State) replaceSeeds(now time.Duration, seeds []string) {
	s.cfg.Seeds = seeds
	for _, address := range seeds {
		if m := s.getOrAddMember(address); m != nil {
			m.presentUntil = max(m.presentUntil, now+contactTTL)
		}
	}
}

// mergeKnown merges the instances that a peer knows. Only newer information counts, so that an instance that is gone is
// removed although peers still report it for a while.
func (s *State) mergeKnown(now time.Duration, known []Known) {
	for _, k := range known {
		presentUntil := now + contactTTL - max(k.Age, 0)
		if presentUntil <= now {
			continue
		}
		m := s.getOrAddMember(k.Address)
		if m == nil || presentUntil <= m.presentUntil && m.start != "" {
			continue
		}
		if m.start != k.Start {
			m.start, m.leaving, m.failedUntil, m.staleUntil, m.learnedAt = k.Start, false, 0, 0, now
		}
		m.zone, m.presentUntil = k.Zone, presentUntil
	}
}

// addLeavingSignal applies a leaving signal of a target or of an instance. Only a signal of a target results in an
// effect.
func (s *State) addLeavingSignal(now time.Duration, signal Sign, out []Effect) []Effect {
	if signal.Target == s.cfg.Self {
		return out
	}
	m := s.members[signal.Target]
	if m != nil {
		m.leaving = m.leaving || m.start == signal.Start
	}
	if s.leavingSignals.add(now, signal) && m == nil {
		out = append(out, Effect{Kind: TargetLeaving, Signal: signal})
	}
	return out
}

func (s *State) recordFailure(now time.Duration, ev ContactFailed) {
	m := s.members[ev.Address]
	if m == nil {
		return
	}
	m.failedUntil = now + failureTTL
	m.backoff = min(max(2*m.backoff, initialBackoff), maxBackoff)
	m.retryAt = now + m.backoff
}

// removeExpired removes members that are neither listed, present nor seeds, and expired leaving signals.
func (s *State) removeExpired(now time.Duration) {
	s.insertionOrder = slices.DeleteFunc(s.insertionOrder, func(address string) bool {
		m := s.members[address]
		if m.listed || now < m.presentUntil || slices.Contains(s.cfg.Seeds, address) {
			return false
		}
		delete(s.members, address)
		return true
	})
	s.leavingSignals.removeExpired(now)
}

// contactRoundPeers chooses one peer in the zone of this instance and, in one of CrossZoneRounds rounds on average, one
// in another zone. If there is no candidate for one of these contacts, a second peer of the other kind takes its place.
func (s *State) contactRoundPeers(now time.Duration, out []Effect) []Effect {
	sameZone := func(m *member) bool { return m.zone == s.cfg.Zone }
	otherZone := func(m *member) bool { return m.zone != s.cfg.Zone }
	before := len(out)
	out = s.contactRandom(now, 1, sameZone, out)
	sameZoneContacts := len(out) - before
	if every := s.cfg.CrossZoneRounds; sameZoneContacts > 0 && every > 1 && rand.New(s.rng).IntN(every) > 0 {
		return out
	}
	out = s.contactRandom(now, 2-sameZoneContacts, otherZone, out)
	if sameZoneContacts == 1 && len(out)-before == 1 {
		chosen := out[before].Address
		out = s.contactRandom(now, 1, func(m *member) bool { return sameZone(m) && m.address != chosen }, out)
	}
	return out
}

// contactRandom chooses up to n random members that are not leaving or in backoff and that pass accept.
func (s *State) contactRandom(now time.Duration, n int, accept func(*member) bool, out []Effect) []Effect {
	var candidates []string
	for _, address := range s.insertionOrder {
		m := s.members[address]
		if !m.leaving && now >= m.retryAt && accept(m) {
			candidates = append(candidates, address)
		}
	}
	r := rand.New(s.rng)
	r.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, address := range candidates[:min(n, len(candidates))] {
		out = append(out, Effect{Kind: ContactPeer, Address: address})
	}
	return out
}

// recordFleetSize records the number of instances: this one, those listed and those present.
func (s *State) recordFleetSize(now time.Duration) {
	instances := 1
	for _, m := range s.members {
		if m.listed || now < m.presentUntil {
			instances++
		}
	}
	for len(s.fleetSizes) > 0 && s.fleetSizes[len(s.fleetSizes)-1].instances <= instances {
		s.fleetSizes = s.fleetSizes[:len(s.fleetSizes)-1]
	}
	s.fleetSizes = append(s.fleetSizes, sizeSample{now, instances})
	for s.fleetSizes[0].takenAt < now-FleetSizeWindow {
		s.fleetSizes = s.fleetSizes[1:]
	}
}

// FleetSize returns the largest number of instances seen within FleetSizeWindow, including this one.
func (s *State) FleetSize() int { return s.fleetSizes[0].instances }

// PeerCount returns the number of other known instances, reachable or not.
func (s *State) PeerCount() int { return len(s.members) }

// LeavingSignals returns the leaving signals to send to peers, in no particular order.
func (s *State) LeavingSignals() []Sign { return s.leavingSignals.all() }

// MemberStatus describes one known instance.
type MemberStatus struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Start   string `json:"start,omitempty"`
	Listed  bool   `json:"listed"`
	// InContact reports whether any instance is known to have exchanged state with it within the last minute.
	InContact bool `json:"in_contact"`
	Leaving   bool `json:"leaving"`
	// Reachable reports whether it is in contact, not leaving, and has answered this instance if asked recently.
	Reachable bool `json:"reachable"`
}

// Members describes the other known instances at the time now.
func (s *State) Members(now time.Duration) []MemberStatus {
	list := make([]MemberStatus, 0, len(s.insertionOrder))
	for _, address := range s.insertionOrder {
		m := s.members[address]
		list = append(list, MemberStatus{m.address, m.zone, m.start, m.listed, m.isInContact(now), m.leaving, m.isReachable(now)})
	}
	return list
}
