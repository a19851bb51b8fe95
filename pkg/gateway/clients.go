package gateway

import (
	"sync"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/target"
)

// endpoint is the address of a target and the identity to send with requests.
type endpoint struct {
	address string
	// identity is sent with requests, so that another target that has taken over the address rejects them. It is empty
	// in deployments where addresses are not reused.
	identity string
}

// clients holds one client per target, created on first use. It is safe for concurrent use.
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

// get returns the client of a target and the identity to send with requests. The ID of a target that is not listed is
// used as its address.
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

// setEndpoints replaces the known targets and closes the clients of removed ones.
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
