package gateway

import (
	"sync"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/target"
)

// endpoint tells how a target is reached.
type endpoint struct {
	address string
	// identity is the identity that requests name, so that another target at the same address rejects them; empty when
	// addresses do not pass from one target to another.
	identity string
}

// clients holds one target client per target. It is safe for concurrent use.
type clients struct {
	cfg target.Config

	mu        sync.Mutex
	endpoints map[core.TargetID]endpoint
	byID      map[core.TargetID]*target.Client
}

func newClients(cfg target.Config) *clients {
	return &clients{
		cfg: cfg, endpoints: make(map[core.TargetID]endpoint), byID: make(map[core.TargetID]*target.Client),
	}
}

// get returns the client of a target and the identity that requests to it name.
func (c *clients) get(id core.TargetID) (client *target.Client, identity string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, listed := c.endpoints[id]
	if !listed {
		e.address = string(id)
	}
	client = c.byID[id]
	if client == nil {
		client = target.NewClient(e.address, c.cfg)
		c.byID[id] = client
	}
	return client, e.identity
}

// setEndpoints replaces the known targets and closes the clients of those that are gone.
func (c *clients) setEndpoints(endpoints map[core.TargetID]endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints = endpoints
	for id, client := range c.byID {
		if _, listed := endpoints[id]; !listed {
			client.Close()
			delete(c.byID, id)
		}
	}
}
