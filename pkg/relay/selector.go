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

	// knownEnough is the number of instances known to serve a service, in the own zone or in all others, from which on no
	// further ones are tried there. A few are enough to spread the load.
	knownEnough = 4
	// localTrials and remoteTrials are the numbers of instances that may decline a request before it goes only to
	// instances of the own zone, or of any zone, that are known to serve the service. A zone is often cut off as a whole.
	localTrials  = 2
	remoteTrials = 4
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

// peerService is an instance, with a service or with none for all services.
type peerService struct{ address, service string }

// Selector chooses among the other instances. It prefers those in the same zone, since traffic between zones is
// expensive, and those that are known to serve the service. Of two random ones it takes the one with fewer requests of
// this instance. It is not safe for concurrent use.
type Selector struct {
	zone         string
	peers        []Peer
	avoidedUntil map[peerService]time.Duration
	serves       map[peerService]bool // the latest request of the service was served
	inFlight     map[string]int       // by address
}

// NewSelector returns a selector without peers for an instance in a zone.
func NewSelector(zone string) *Selector {
	return &Selector{
		zone: zone, avoidedUntil: make(map[peerService]time.Duration), serves: make(map[peerService]bool), inFlight: make(map[string]int),
	}
}

// SetPeers replaces the other instances.
func (s *Selector) SetPeers(now time.Duration, peers []Peer) {
	s.peers = slices.Clone(peers)
	for key, until := range s.avoidedUntil {
		if now >= until {
			delete(s.avoidedUntil, key)
		}
	}
	for key := range s.serves {
		if !slices.ContainsFunc(peers, func(p Peer) bool { return p.Address == key.address }) {
			delete(s.serves, key)
		}
	}
}

// zoneGroup holds the instances of the own zone, or those of all others, that may serve a request.
type zoneGroup struct {
	known   []Peer // to serve the service
	untried []Peer
}

// candidates returns the instances among which to choose. With trials, untried ones are among them until enough are known.
func (g *zoneGroup) candidates(trials bool) []Peer {
	if len(g.known) >= knownEnough || !trials && len(g.known) > 0 {
		return g.known
	}
	return slices.Concat(g.known, g.untried)
}

// candidates returns the instances among which to choose for a request that a number of instances have declined.
func (s *Selector) candidates(now time.Duration, service string, declined int) []Peer {
	var local, remote zoneGroup
	for _, p := range s.peers {
		key := peerService{p.Address, service}
		if now < s.avoidedUntil[key] || now < s.avoidedUntil[peerService{address: p.Address}] {
			continue
		}
		group := &remote
		if p.Zone == s.zone {
			group = &local
		}
		if s.serves[key] {
			group.known = append(group.known, p)
		} else {
			group.untried = append(group.untried, p)
		}
	}
	if declined < localTrials || len(local.known) > 0 {
		if c := local.candidates(declined < localTrials); len(c) > 0 {
			return c
		}
	}
	if c := remote.candidates(declined < remoteTrials); len(c) > 0 {
		return c
	}
	return local.untried
}

// Choose returns the instance to relay a request of a service to, and false if none may serve it. The request has been
// declined by a number of instances. Each call that returns one must be followed by Ended.
func (s *Selector) Choose(now time.Duration, service string, declined int, rng *rand.Rand) (Peer, bool) {
	candidates := s.candidates(now, service, declined)
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
	key := peerService{address, service}
	switch result {
	case Served:
		s.serves[key] = true
	case Unreachable:
		delete(s.serves, key)
		s.avoidedUntil[key] = now + unreachableTime
	case Busy:
		s.avoidedUntil[peerService{address: address}] = now + busyTime
	case Failed:
		delete(s.serves, key)
		s.avoidedUntil[peerService{address: address}] = now + failedTime
	}
}
