// Package discovery reads configuration documents and the instance list from the platform.
//
// A Reader uses the HTTP protocol that docs/platform-protocol.md describes. A Watcher reads a key-value store through
// the interface Source, either directly or from another instance. Both only read and watch: the package writes nothing
// outside the process.
package discovery

import "time"

// Paths of the platform's HTTP protocol. Query parameters "after" and "wait" turn a read into a long poll that is
// answered when the sequence number differs from "after" or the wait ends. A lower number also counts as different: a
// platform that was restored from an older state has one, and its readers must not wait until it exceeds "after".
const (
	PathIndex     = "/v1/index"
	PathDocuments = "/v1/documents/" // followed by the service name
	PathInstances = "/v1/instances"
)

// HeaderReader names the reader on each call, so that the platform can count and distinguish its readers.
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

// InstanceState tells whether a target or an instance of the load balancer on the instance list takes new work.
type InstanceState string

// The states on the instance list.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// LoadBalancerService is the service name of the load balancer's own instances on the list; Address is their peer
// address.
const LoadBalancerService = "burdockpitch"

// Instance is one process on the instance list: a target or an instance of the load balancer.
type Instance struct {
	Service string `json:"service"`
	// ID identifies the instance on a platform that reuses addresses; empty if the address identifies it.
	ID string `json:"id,omitempty"`
	// Address is "ip:port".
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Start identifies one start of the process.
	Start string        `json:"start,omitempty"`
	State InstanceState `json:"state"`
	// Warmup is how much longer the instance is slow after its start, in nanoseconds in JSON.
	Warmup time.Duration `json:"warmup_ns,omitempty"`
	// Revision is the revision of the entry in the store of an adapter. View.Instances sets it; zero elsewhere.
	Revision uint64 `json:"-"`
}

// Identity names one start of the instance. It is the address for an instance without an ID.
func (i Instance) Identity() string {
	if i.ID == "" {
		return i.Address
	}
	return i.ID + "/" + i.Start
}

// InstanceList is a snapshot of the live and leaving instances. It may be out of date.
type InstanceList struct {
	Sequence  uint64     `json:"sequence"`
	Instances []Instance `json:"instances"`
}
