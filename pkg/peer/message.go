// Package peer exchanges configuration and leaving signs between entry instances.
//
// Each instance contacts a few others each second, compares digests and pulls what is newer. A change is told to others
// at once. The transport is net/rpc over TCP with gob; each contact uses its own connection, so that a connection that
// became silent costs one contact. Nothing that a peer sends is trusted beyond its connection: documents are checked by
// the store like those of the platform.
package peer

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/peer/membership"
)

// Limits of messages.
const (
	// MaxMessageSize bounds each message in bytes before it is decoded. A document takes at most 1 MiB.
	MaxMessageSize = 2 << 20
	// maxRequestSize bounds what is accepted from a caller. gob can expand a message about 40 times, and requests carry
	// lists only: 2,048 entries and as many leaving signs take about 130 KB.
	maxRequestSize   = 256 << 10
	maxDigestEntries = 2048 // entries
	maxNameLength    = 256  // bytes
	maxDocumentSize  = 1 << 20
	// maxFollowWait bounds the wait of a Follow. It is below the time after which a connection without a request is closed.
	maxFollowWait = time.Second
)

// Entry names the document of one service in force.
type Entry struct {
	Service  string
	Epoch    uint64
	Revision uint64
	// Hash is the xxhash64 of the document's bytes.
	Hash uint64
}

// isNewerThan reports whether e is of a higher version than f.
func (e Entry) isNewerThan(other Entry) bool {
	if e.Epoch != other.Epoch {
		return e.Epoch > other.Epoch
	}
	return e.Revision > other.Revision
}

// Exchange is what two instances tell each other about their state. The reply to an Exchange is an Exchange.
type Exchange struct {
	// Self is the peer address of the sender, Start its random start id.
	Self  string
	Start string
	Zone  string
	// Digest names the documents in force at the sender; a reply leaves out those that the request named alike.
	Digest []Entry
	// Fingerprint summarises the instances that the sender knows.
	Fingerprint uint64
	// Known lists the instances that the sender knows; only in a reply, and empty if both know the same.
	Known []membership.Known
	// Leaving lists the targets and entry instances that are known to leave.
	Leaving []membership.Sign
}

// Pull asks for the document of a service.
type Pull struct{ Service string }

// Document is the reply to a Pull. Text is empty if the sender has no document of the service.
type Document struct{ Text []byte }

// Follow asks for changes of what the platform publishes.
type Follow struct {
	// After is the revision that the sender has; All asks for everything instead.
	After uint64
	All   bool
	// Wait is how long to wait for a change.
	Wait time.Duration
}

// Update is the reply to a Follow.
type Update struct {
	// Items are the changed items, or all of them.
	Items []Item
	// Revision is the one from which to follow on.
	Revision uint64
	// Gone is set if the changes since the revision that was asked for are no longer known, or if nothing is known yet.
	Gone bool
	// Age is the time since the revision was confirmed by the platform.
	Age time.Duration
	// Grace is how much longer lost targets are waited for.
	Grace time.Duration
}

// Item is one item of the platform's store.
type Item struct {
	Key      string
	Revision uint64
	Removed  bool
	Document []byte
	Target   *discovery.Instance
}

// message is implemented by all requests and replies.
type message interface{ validate() error }

func (x *Exchange) validate() error {
	if _, err := netip.ParseAddrPort(x.Self); err != nil {
		return eris.Wrap(err, "address of sender")
	}
	if x.Start == "" || len(x.Start) > maxNameLength || len(x.Zone) > maxNameLength {
		return eris.New("bad start id or zone")
	}
	if len(x.Known) > membership.MaxMembers || len(x.Digest) > maxDigestEntries || len(x.Leaving) > membership.MaxLeavingSignals {
		return eris.New("list too long")
	}
	for _, k := range x.Known {
		if _, err := netip.ParseAddrPort(k.Address); err != nil {
			return eris.Wrap(err, "address of a known instance")
		}
		if k.Start == "" || len(k.Start) > maxNameLength || len(k.Zone) > maxNameLength || k.Age < 0 {
			return eris.New("bad known instance")
		}
	}
	for _, e := range x.Digest {
		if e.Service == "" || len(e.Service) > maxNameLength {
			return eris.New("bad service name")
		}
	}
	for _, s := range x.Leaving {
		if s.Target == "" || len(s.Target) > maxNameLength || len(s.Start) > maxNameLength {
			return eris.New("bad leaving sign")
		}
	}
	return nil
}

func (f *Follow) validate() error {
	if f.Wait < 0 || f.Wait > maxFollowWait {
		return eris.New("bad wait")
	}
	return nil
}

func (u *Update) validate() error {
	if u.Age < 0 || u.Grace < 0 {
		return eris.New("negative time")
	}
	for _, i := range u.Items {
		if i.Key == "" || len(i.Key) > maxNameLength || len(i.Document) > maxDocumentSize {
			return eris.New("bad item")
		}
	}
	return nil
}

func (p *Pull) validate() error {
	if p.Service == "" || len(p.Service) > maxNameLength {
		return eris.New("bad service name")
	}
	return nil
}

func (d *Document) validate() error {
	if len(d.Text) > maxDocumentSize {
		return eris.New("document too large")
	}
	return nil
}
