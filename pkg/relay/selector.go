// Package relay chooses the instance to which a request is relayed by one that can connect to no target.
package relay

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// unreachableTime is how long an instance gets no requests of a service whose targets it cannot reach either.
	unreachableTime = 2 * time.Second
	// busyTime is how long an instance gets no requests after it had no room for one.
	busyTime = 250 * time.Millisecond
	// failedTime is how long an instance gets no requests after a connection to it failed.
	failedTime = 2 * time.Second
)

// Peer is another instance of the load balancer.
type Peer struct {
	Address string
	Zone    string
}

// Result is how an instance dealt with a request that was relayed to it.
type Result uint8

// The results of a relay.
const (
	// Served: the instance decided on the request.
	Served Result = iota
	// Unreachable: it did not run the request, because it cannot serve the service at present.
	Unreachable
	// Busy: it did not run the request, because it serves too many for other instances.
	Busy
	// Failed: the connection to it failed.
	Failed
	// Abandoned: the request ended here before the instance decided on it, which says nothing about the instance.
	Abandoned
)

// avoided is an instance, with a service or with none for all services.
type avoided struct{ address, service string }

// Selector chooses among the other instances. It prefers those in the same zone, since traffic between zones is
// expensive, and of two random ones the one with fewer requests of this instance. It is not safe for concurrent use.
type Selector struct {
	zone         string
	peers        []Peer
	avoidedUntil map[avoided]time.Duration
	inFlight     map[string]int // by address
}

// NewSelector returns a selector without peers for an instance in a zone.
func NewSelector(zone string) *Selector {
	return &Selector{zone: zone, avoidedUntil: make(map[avoided]time.Duration), inFlight: make(map[string]int)}
}

// SetPeers replaces the other instances.
func (s *Selector) SetPeers(now time.Duration, peers []Peer) {
	s.peers = slices.Clone(peers)
	for key, until := range s.avoidedUntil {
		if now >= until {
			delete(s.avoidedUntil, key)
		}
	}
}

// Choose returns the instance to relay a request of a service to, and false if none may serve it. Each call that returns
// one must be followed by Ended.
func (s *Selector) Choose(now time.Duration, service string, rng *rand.Rand) (Peer, bool) {
	var local, remote []Peer
	for _, p := range s.peers {
		switch {
		case now < s.avoidedUntil[avoided{p.Address, service}] || now < s.avoidedUntil[avoided{address: p.Address}]:
		case p.Zone == s.zone:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	candidates := local
	if len(candidates) == 0 {
		candidates = remote
	}
	if len(candidates) == 0 {
		return Peer{}, false
	}
	chosen, other := candidates[rng.IntN(len(candidates))], candidates[rng.IntN(len(candidates))]
	if s.inFlight[other.Address] < s.inFlight[chosen.Address] {
		chosen = other
	}
	s.inFlight[chosen.Address]++
	return chosen, true
}

// Ended records the result of a request that was relayed to an instance.
func (s *Selector) Ended(now time.Duration, address, service string, result Result) {
	if s.inFlight[address]--; s.inFlight[address] <= 0 {
		delete(s.inFlight, address)
	}
	switch result {
	case Unreachable:
		s.avoidedUntil[avoided{address, service}] = now + unreachableTime
	case Busy:
		s.avoidedUntil[avoided{address: address}] = now + busyTime
	case Failed:
		s.avoidedUntil[avoided{address: address}] = now + failedTime
	}
}
