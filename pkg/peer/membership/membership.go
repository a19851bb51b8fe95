// Package membership decides with which entry instances to exchange state, how many there are, and which targets are
// known to leave.
//
// It is a reducer like package core: State.Reduce applies one event and returns effects as data, without clock, I/O or
// global randomness. Membership determines exchange partners and shares of budgets, never correctness. A State is not
// safe for concurrent use.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// contactMemory is how long an instance counts as present after the last exchange. In a fleet of 200, each pair
	// exchanges about every 50 s.
	contactMemory = time.Minute
	// SizeWindow is the window of FleetSize.
	SizeWindow = 10 * time.Minute
	// retryFirst and retryLimit bound the pause before a partner that did not answer is tried again. The limit is below
	// the 10 s in which the newest configuration has to be everywhere after a partition.
	retryFirst = time.Second
	retryLimit = 4 * time.Second
	// failedMemory is how long an instance that did not answer has no place in the tree, unless it answers before. Trying
	// it again costs its children the time of a call.
	failedMemory = 10 * time.Second
	// MaxMembers bounds the memory for addresses that come from outside.
	MaxMembers = 4096
	// pushFanout is the number of partners told about a change. With three, a change reaches 14 instances in three steps.
	pushFanout = 3
)

// Config configures a State.
type Config struct {
	// Self is the peer address of this instance.
	Self string
	// Start identifies this start of the instance.
	Start string
	// Zone is the zone of this instance.
	Zone string
	// Seeds are peer addresses known from the settings.
	Seeds []string
	// CrossEvery is the number of rounds for each contact to another zone, on average; 0 means 1. Traffic between zones
	// is dear, and what one instance hears from there spreads within its zone.
	CrossEvery int
}

// Input is one event with everything that makes a step deterministic.
type Input struct {
	// Now is the monotonic time since the start of the process.
	Now time.Duration
	// Rand is a random draw; all random decisions of the step derive from it.
	Rand uint64
	// Event is what happened.
	Event Event
}

// Event is something that happened outside the reducer.
type Event interface{ event() }

// Listed brings a new instance list.
type Listed struct {
	Entries []Listing
	Targets []Listing
}

// Listing is one process on the instance list.
type Listing struct {
	Address string
	Zone    string
	Start   string
	Leaving bool
}

// Exchanged reports an exchange with an entry instance, in either direction.
type Exchanged struct {
	Address string
	Start   string
	Zone    string
	Leaving []Sign
	// Known are the other instances that the sender knows; empty if it knows the same as this instance.
	Known []Known
}

// Known is an instance that another one knows.
type Known struct {
	Address string
	Zone    string
	Start   string
	// Age is the time since anyone last exchanged with it.
	Age time.Duration
}

// Reseeded replaces the addresses known from the settings.
type Reseeded struct{ Seeds []string }

// Failed reports that an entry instance did not answer.
type Failed struct{ Address string }

// Ticked asks for the partners of one round of anti-entropy.
type Ticked struct{}

// Changed asks for partners to tell about a new document.
type Changed struct{}

// Observed reports what this instance saw of targets itself, for example on their answers.
type Observed struct{ Targets []Listing }

func (Listed) event()    {}
func (Exchanged) event() {}
func (Failed) event()    {}
func (Reseeded) event()  {}
func (Ticked) event()    {}
func (Changed) event()   {}
func (Observed) event()  {}

// EffectKind tells which action an Effect asks for.
type EffectKind uint8

// The kinds of effects.
const (
	// Contact: exchange state with Address.
	Contact EffectKind = iota + 1
	// TargetLeaves: the target of Sign takes no new work until it has a new start id.
	TargetLeaves
	// Restarted: the instance at Address has a new start id.
	Restarted
)

// Effect is one action for the runtime, as plain data.
type Effect struct {
	Kind    EffectKind
	Address string
	Sign    Sign
}

type member struct {
	address, zone, start string
	// listed is set while the member is on the instance list.
	listed, leaving bool
	// present is the end of the time for which the member counts without being listed.
	present time.Duration
	// failedUntil is the end of the time for which a member that did not answer has no place in the tree.
	failedUntil time.Duration
	// retryAt is the earliest time of the next contact, pause the one that led to it.
	retryAt, pause time.Duration
}

// inContact reports whether somebody has exchanged with m lately.
func (m *member) inContact(now time.Duration) bool { return m.start != "" && now < m.present }

// answers reports whether m can be read from: in contact, not leaving, and without a failure lately.
func (m *member) answers(now time.Duration) bool {
	return m.inContact(now) && !m.leaving && now >= m.failedUntil
}

// State is what one instance knows about the others.
type State struct {
	cfg     Config
	members map[string]*member
	order   []string // addresses in the order of arrival, so that random choices are deterministic
	sizes   []sample
	signs   signs
	rng     *rand.PCG
}

// sample is a fleet size at a time. State.sizes keeps falling sizes, so that the first is the largest of the window.
type sample struct {
	at   time.Duration
	size int
}

// New returns a state that knows the seeds. They count as present at first: a share that is too small at the start is
// safe, one that is too large is not.
func New(cfg Config) *State {
	s := &State{cfg: cfg, members: make(map[string]*member), signs: newSigns(), rng: rand.NewPCG(0, 0)}
	s.seed(0, cfg.Seeds)
	s.measure(0)
	return s
}

// Reduce applies one event and appends its effects to out.
func (s *State) Reduce(in Input, out []Effect) []Effect {
	s.rng.Seed(in.Rand, uint64(in.Now))
	switch ev := in.Event.(type) {
	case Listed:
		out = s.list(in.Now, ev, out)
	case Exchanged:
		out = s.exchange(in.Now, ev, out)
	case Failed:
		s.fail(in.Now, ev)
	case Reseeded:
		s.seed(in.Now, ev.Seeds)
	case Ticked:
		s.expire(in.Now)
		out = s.round(in.Now, out)
	case Changed:
		out = s.contact(in.Now, pushFanout, func(*member) bool { return true }, out)
	case Observed:
		out = s.observe(in.Now, ev.Targets, out)
	}
	s.measure(in.Now)
	return out
}

// member returns the member at an address, which is added if there is room; nil for this instance itself.
func (s *State) member(address string) *member {
	if address == s.cfg.Self {
		return nil
	}
	m := s.members[address]
	if m == nil && len(s.members) < MaxMembers {
		m = &member{address: address}
		s.members[address] = m
		s.order = append(s.order, address)
	}
	return m
}

func (s *State) list(now time.Duration, ev Listed, out []Effect) []Effect {
	for _, m := range s.members {
		m.listed = false
	}
	for _, l := range ev.Entries {
		m := s.member(l.Address)
		if m == nil {
			continue
		}
		m.listed = true
		m.zone = l.Zone
	}
	s.signs.keep(ev.Targets)
	return s.observe(now, ev.Targets, out)
}

func (s *State) observe(now time.Duration, targets []Listing, out []Effect) []Effect {
	for _, t := range targets {
		s.signs.observe(t.Address, t.Start)
		if t.Leaving {
			out = s.sign(now, Sign{Target: t.Address, Start: t.Start}, out)
		}
	}
	return out
}

func (s *State) exchange(now time.Duration, ev Exchanged, out []Effect) []Effect {
	m := s.member(ev.Address)
	if m == nil {
		return out
	}
	if m.start != ev.Start {
		if m.start != "" {
			out = append(out, Effect{Kind: Restarted, Address: m.address})
		}
		m.leaving = false
	}
	m.start, m.zone = ev.Start, ev.Zone
	m.present = now + contactMemory
	m.retryAt, m.pause = 0, 0
	m.failedUntil = 0
	s.hear(now, ev.Known)
	for _, sign := range ev.Leaving {
		out = s.sign(now, sign, out)
	}
	return out
}

// seed takes the addresses of the settings, which may be out of date.
func (s *State) seed(now time.Duration, seeds []string) {
	s.cfg.Seeds = seeds
	for _, address := range seeds {
		if m := s.member(address); m != nil {
			m.present = max(m.present, now+contactMemory)
		}
	}
}

// hear takes what another instance knows. Only newer evidence counts, so that an instance that is gone is forgotten
// although others go on to name it for a while.
func (s *State) hear(now time.Duration, known []Known) {
	for _, k := range known {
		present := now + contactMemory - max(k.Age, 0)
		if present <= now {
			continue
		}
		m := s.member(k.Address)
		if m == nil || present <= m.present && m.start != "" {
			continue
		}
		if m.start != k.Start {
			m.start, m.leaving, m.failedUntil = k.Start, false, 0
		}
		m.zone, m.present = k.Zone, present
	}
}

// sign takes a leaving sign of a target or of an entry instance.
func (s *State) sign(now time.Duration, sign Sign, out []Effect) []Effect {
	if sign.Target == s.cfg.Self {
		return out
	}
	m := s.members[sign.Target]
	if m != nil {
		m.leaving = m.leaving || m.start == sign.Start
	}
	if s.signs.add(now, sign) && m == nil {
		out = append(out, Effect{Kind: TargetLeaves, Sign: sign})
	}
	return out
}

func (s *State) fail(now time.Duration, ev Failed) {
	m := s.members[ev.Address]
	if m == nil {
		return
	}
	m.failedUntil = now + failedMemory
	m.pause = min(max(2*m.pause, retryFirst), retryLimit)
	m.retryAt = now + m.pause
}

// expire forgets what no source names any more.
func (s *State) expire(now time.Duration) {
	s.order = slices.DeleteFunc(s.order, func(address string) bool {
		m := s.members[address]
		if m.listed || now < m.present || slices.Contains(s.cfg.Seeds, address) {
			return false
		}
		delete(s.members, address)
		return true
	})
	s.signs.expire(now)
}

// round chooses one partner in the zone and one outside. A side without candidates leaves its turn to the other.
func (s *State) round(now time.Duration, out []Effect) []Effect {
	same := func(m *member) bool { return m.zone == s.cfg.Zone }
	other := func(m *member) bool { return m.zone != s.cfg.Zone }
	before := len(out)
	out = s.contact(now, 1, same, out)
	inside := len(out) - before
	if every := s.cfg.CrossEvery; inside > 0 && every > 1 && rand.New(s.rng).IntN(every) > 0 {
		return out
	}
	out = s.contact(now, 2-inside, other, out)
	if inside == 1 && len(out)-before == 1 {
		chosen := out[before].Address
		out = s.contact(now, 1, func(m *member) bool { return same(m) && m.address != chosen }, out)
	}
	return out
}

// contact chooses up to n random members that may be contacted and that pass accept.
func (s *State) contact(now time.Duration, n int, accept func(*member) bool, out []Effect) []Effect {
	var candidates []string
	for _, address := range s.order {
		m := s.members[address]
		if !m.leaving && now >= m.retryAt && accept(m) {
			candidates = append(candidates, address)
		}
	}
	r := rand.New(s.rng)
	r.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, address := range candidates[:min(n, len(candidates))] {
		out = append(out, Effect{Kind: Contact, Address: address})
	}
	return out
}

// measure records the number of instances: this one, those listed and those in contact.
func (s *State) measure(now time.Duration) {
	size := 1
	for _, m := range s.members {
		if m.listed || now < m.present {
			size++
		}
	}
	for len(s.sizes) > 0 && s.sizes[len(s.sizes)-1].size <= size {
		s.sizes = s.sizes[:len(s.sizes)-1]
	}
	s.sizes = append(s.sizes, sample{now, size})
	for s.sizes[0].at < now-SizeWindow {
		s.sizes = s.sizes[1:]
	}
}

// FleetSize returns the largest number of instances seen in SizeWindow, this one included.
func (s *State) FleetSize() int { return s.sizes[0].size }

// Partners returns the number of other instances known.
func (s *State) Partners() int { return len(s.members) }

// Leaving returns the leaving signs to pass on.
func (s *State) Leaving() []Sign { return s.signs.held() }

// Member is a view of one known instance.
type Member struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Start   string `json:"start,omitempty"`
	Listed  bool   `json:"listed"`
	// InContact tells whether an exchange succeeded within the last minute.
	InContact bool `json:"in_contact"`
	Leaving   bool `json:"leaving"`
}

// Members returns a view of the other instances as of now.
func (s *State) Members(now time.Duration) []Member {
	list := make([]Member, 0, len(s.order))
	for _, address := range s.order {
		m := s.members[address]
		list = append(list, Member{m.address, m.zone, m.start, m.listed, m.inContact(now), m.leaving})
	}
	return list
}
