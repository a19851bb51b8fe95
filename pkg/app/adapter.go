package app

import (
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Adapter connects an instance to a platform. The zero value stands for the project's own headers, and for the protocol
// of its own configuration service and instance list.
type Adapter struct {
	// Dialect encodes the headers exchanged with callers and targets.
	Dialect wire.Dialect
	// ParseDocument reads a configuration document of the platform.
	ParseDocument discovery.Parser
	// NewSource returns the store that holds the configuration and the targets.
	NewSource func(address string, dialTimeout time.Duration) discovery.Source
}
