package gateway

import (
	"sync"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/target"
)

// clients holds one target client per address. It is safe for concurrent use.
type clients struct {
	cfg target.Config

	mu   sync.Mutex
	byID map[core.TargetID]*target.Client
}

func newClients(cfg target.Config) *clients {
	return &clients{cfg: cfg, byID: make(map[core.TargetID]*target.Client)}
}

func (c *clients) get(id core.TargetID) *target.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.byID[id]
	if client == nil {
		client = target.NewClient(string(id), c.cfg)
		c.byID[id] = client
	}
	return client
}

// retain closes the clients of targets that are not in keep.
func (c *clients) retain(keep map[core.TargetID]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, client := range c.byID {
		if !keep[id] {
			client.Close()
			delete(c.byID, id)
		}
	}
}
