// Package discovery reads the configuration service and the instance list.
//
// Both can only be read and watched. The package writes nothing outside the process. docs/platform-protocol.md
// describes the protocol.
package discovery

import "time"

// Paths of the platform's HTTP protocol. Query parameters "after" and "wait" turn a read into a long poll that is
// answered when the sequence number differs from "after" or the wait ends. It may become lower: a platform that was
// restored from an older state must not leave its readers waiting.
const (
	PathIndex     = "/v1/index"
	PathDocuments = "/v1/documents/" // followed by the service name
	PathInstances = "/v1/instances"
)

// HeaderReader names the reader on each call, so that the platform can count and tell apart its readers.
const HeaderReader = "Burdockpitch-Reader"

// IndexEntry names the newest document of one service.
type IndexEntry struct {
	Service  string `json:"service"`
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	// Hash is the xxhash64 of the document in hexadecimal.
	Hash string `json:"hash"`
}

// Index lists the newest documents. Sequence changes with each publication.
type Index struct {
	Sequence uint64       `json:"sequence"`
	Entries  []IndexEntry `json:"entries"`
}

// InstanceState tells whether an instance takes new work.
type InstanceState string

// The states on the instance list.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// LoadBalancerService is the service name under which the list gives entry instances; Address is their peer address.
const LoadBalancerService = "burdockpitch"

// Instance is one process on the instance list.
type Instance struct {
	Service string `json:"service"`
	// ID identifies the instance where addresses pass from one to another; empty where the address does.
	ID string `json:"id,omitempty"`
	// Address is "ip:port".
	Address string        `json:"address"`
	Zone    string        `json:"zone"`
	Start   string        `json:"start,omitempty"`
	State   InstanceState `json:"state"`
	// Warmup is how much longer the instance is slow after its start, in nanoseconds in JSON.
	Warmup time.Duration `json:"warmup_ns,omitempty"`
}

// Identity names one start of the instance. It is the address for an instance without an ID.
func (i Instance) Identity() string {
	if i.ID == "" {
		return i.Address
	}
	return i.ID + "/" + i.Start
}

// InstanceList is a snapshot of live and leaving instances; it lags.
type InstanceList struct {
	Sequence  uint64     `json:"sequence"`
	Instances []Instance `json:"instances"`
}
