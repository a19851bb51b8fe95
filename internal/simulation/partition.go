package simulation

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/relay"
)

const (
	// relayedService names the only service to the selectors of instances.
	relayedService = "service"
	// relayLimit is the number of requests that an instance serves for others at a time, as in pkg/gateway.
	relayLimit = 64
)

// origin is the attempt of another instance that a relayed request comes from.
type origin struct {
	instance *instance
	request  core.RequestID
	attempt  core.AttemptID
}

// setPartition partitions instances from all targets, or ends that. They are taken zone by zone.
func (f *fleet) setPartition(fault *Fault, active bool) {
	byZone := slices.Clone(f.instances)
	slices.SortStableFunc(byZone, func(a, b *instance) int { return cmp.Compare(a.policy.Zone, b.policy.Zone) })
	first := int(fault.Skip*float64(len(byZone)) + 0.5)
	for _, i := range byZone[first:][:int(fault.Share*float64(len(byZone))+0.5)] {
		i.partitioned = active
	}
}

// newSelector returns the selector of an instance that knows the instances of its view.
func (i *instance) newSelector() *relay.Selector {
	var peers []relay.Peer
	for _, other := range i.instances {
		if other != i && slices.Contains(i.view, other.policy.InstanceID) {
			peers = append(peers, relay.Peer{Address: other.policy.InstanceID, Zone: string(other.policy.Zone)})
		}
	}
	selector := relay.NewSelector(string(i.policy.Zone))
	selector.SetPeers(i.now, peers)
	return selector
}

// failToConnect ends an attempt for which no connection could be opened.
func (i *instance) failToConnect(e core.Effect) {
	i.schedule(2*oneWayDelay, func() {
		i.apply(core.AttemptEnded{
			Request: e.Request, Attempt: e.Attempt, Outcome: core.OutcomeNotSent, Reason: core.ReasonNotSent, Failed: true, Unreachable: true,
		})
	})
}

// relay sends a request to another instance.
func (i *instance) relay(e core.Effect) {
	if i.selector == nil {
		i.selector = i.newSelector()
	}
	peer, ok := i.selector.Choose(i.now, relayedService, e.Declined, rand.New(rand.NewPCG(i.rng.Uint64(), 0)))
	if !ok {
		i.schedule(0, func() {
			i.apply(core.AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: core.OutcomeNotSent, Reason: core.ReasonNoInstance})
		})
		return
	}
	other := i.instances[slices.IndexFunc(i.instances, func(o *instance) bool { return o.policy.InstanceID == peer.Address })]
	c := i.callsByID[e.Request]
	i.schedule(oneWayDelay, func() { other.serveRelayed(c, e, origin{instance: i, request: e.Request, attempt: e.Attempt}) })
}

// serveRelayed serves a request of another instance's caller.
func (i *instance) serveRelayed(c *call, e core.Effect, from origin) {
	if len(i.origins) >= relayLimit {
		i.declineRelayed(from, relay.Busy, core.ReasonUnreachable)
		return
	}
	i.sentRequests++
	id := core.RequestID(i.sentRequests)
	i.callsByID[id], i.origins[id] = c, from
	ev := c.arrivedEvent(i)
	ev.Request, ev.Relayed, ev.MaxAttempts = id, true, e.MaxAttempts
	i.apply(ev)
}

// declineRelayed informs the other instance that its request did not run and that a further one may serve it.
func (i *instance) declineRelayed(from origin, result relay.Result, reason core.Reason) {
	i.endRelay(from, result, core.AttemptEnded{Request: from.request, Attempt: from.attempt, Outcome: core.OutcomeRefused, Reason: reason}, nil)
}

// endRelay informs the instance that relayed a request of its end, after it has called committed, if that is set.
func (i *instance) endRelay(from origin, result relay.Result, end core.AttemptEnded, committed func()) {
	o, peer := from.instance, i.policy.InstanceID
	i.schedule(oneWayDelay, func() {
		o.selector.Ended(o.now, peer, relayedService, result)
		if committed != nil {
			o.apply(core.AttemptCommitted{Request: from.request, Attempt: from.attempt})
			committed()
		}
		o.apply(end)
	})
}

// refused handles the refusal of a request. Whether another instance declined it or decided on it depends on the reason.
func (i *instance) refused(e core.Effect) {
	c := i.callsByID[e.Request]
	from, relayed := i.takeOrigin(e.Request)
	switch {
	case !relayed:
		i.handleRefusal(c, e)
	case e.Reason == core.ReasonUnreachable || e.Reason == core.ReasonNoTarget:
		i.declineRelayed(from, relay.Unreachable, e.Reason)
	default:
		i.endRelay(from, relay.Served, answeredEvent(from), func() { i.handleRefusal(c, e) })
	}
}

// answered records that the response to a request has arrived at the caller, or passes it on to the instance that relayed
// the request.
func (i *instance) answered(id core.RequestID) {
	c := i.callsByID[id]
	record := func() {
		if c.refusedAt == 0 && c.answeredAt == 0 {
			c.answeredAt = i.now
		}
	}
	if from, relayed := i.takeOrigin(id); relayed {
		i.endRelay(from, relay.Served, answeredEvent(from), record)
		return
	}
	record()
}

func answeredEvent(from origin) core.AttemptEnded {
	return core.AttemptEnded{Request: from.request, Attempt: from.attempt, Outcome: core.OutcomeAnswered}
}

// takeOrigin returns the origin of a request that another instance has relayed, once.
func (i *instance) takeOrigin(id core.RequestID) (origin, bool) {
	from, relayed := i.origins[id]
	delete(i.origins, id)
	return from, relayed
}
