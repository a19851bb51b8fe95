package app

import (
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Adapter connects an instance to a platform. The zero value selects the project's own headers, document format, and
// protocol for the configuration service and the instance list.
type Adapter struct {
	// Dialect parses and writes the headers exchanged with callers and targets.
	Dialect wire.Dialect
	// ParseDocument parses a configuration document of the platform.
	ParseDocument discovery.Parser
	// NewSource returns a client of the platform's store at address, which holds the configuration and the targets.
	NewSource func(address string, dialTimeout time.Duration) discovery.Source
}
