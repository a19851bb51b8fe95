// Package peer exchanges configuration documents and leaving signals between instances, and lets them read the
// platform's store from each other.
//
// Each instance contacts a few peers per round (one second by default), compares document digests and pulls newer
// documents. Local changes are pushed at once. The transport is net/rpc over TCP with gob. Each contact uses its own
// connection, so that a connection that hangs costs only that contact. Data from a peer is not trusted: messages are
// validated, and the document store checks documents like those from the platform.
package peer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/peer/membership"
	"github.com/burdockpitch/burdockpitch/pkg/quarantine"
)

// Limits of messages from peers.
const (
	// MaxMessageSize is the maximum size of a message in bytes, checked before it is decoded. A document takes at most
	// 1 MiB of it.
	MaxMessageSize = 2 << 20
	// maxRequestSize is the maximum size of a request in bytes. It is smaller than MaxMessageSize because gob can
	// expand a message about 40 times, and requests carry lists only: 2,048 digest entries and as many leaving signals
	// take about 130 KB.
	maxRequestSize   = 256 << 10
	maxDigestEntries = 2048
	maxNameLength    = 256     // bytes
	maxKeyLength     = 512     // bytes, of a key of the platform's store; it can contain a name
	maxDocumentSize  = 1 << 20 // bytes
	// maxUpdateDocuments is the maximum size in bytes of all documents of an Update, once they are decompressed. It has the
	// latest version of each.
	maxUpdateDocuments = 16 << 20
	maxOrders          = 256 // to evacuate zones
	// maxFollowWait is the maximum wait of a Follow. It is below the time after which a connection without a request is
	// closed.
	maxFollowWait = time.Second
)

// Entry identifies the document in force of one service. A higher Epoch is newer; within an epoch, a higher Revision.
type Entry struct {
	Service  string
	Epoch    uint64
	Revision uint64
	// Hash is the xxhash64 of the document's bytes.
	Hash uint64
}

// isNewerThan compares the epochs first, then the revisions.
func (e Entry) isNewerThan(other Entry) bool {
	if e.Epoch != other.Epoch {
		return e.Epoch > other.Epoch
	}
	return e.Revision > other.Revision
}

// Exchange describes the state of its sender. It is both the request and the reply of the Peer.Exchange method.
type Exchange struct {
	// Self is the peer address of the sender, "ip:port"; Start is its start ID, random for each process start; Zone is
	// its availability zone.
	Self  string
	Start string
	Zone  string
	// Digest lists the documents in force at the sender. A reply omits the entries that are equal to those of the
	// request.
	Digest []Entry
	// Fingerprint is a hash of the set of instances that the sender knows.
	Fingerprint uint64
	// KnownCount is the number of other instances that the sender knows, NeedsAges is set if it needs the ages of newer
	// contacts with them. Both are set only in a request.
	KnownCount int
	NeedsAges  bool
	// Ages is set only in a reply to a request with NeedsAges and an equal fingerprint: the ages of contacts with the
	// instances that both know.
	Ages []byte
	// Known lists instances that the sender knows. It is set only in a reply, and only if the fingerprints differ: all of
	// them if the receiver knows clearly fewer, otherwise the latest and some others.
	Known []membership.Known
	// Leaving lists the leaving signals of targets and instances that the sender knows. A reply omits those that the request
	// lists.
	Leaving []membership.Sign
	// CrashDigest is a hash of the sender's records of quarantined requests.
	CrashDigest uint64
	// Crashes lists, in a request, those of these records that changed recently; in a reply, only if the digests differ, all
	// of them and those of released requests. Builds without CrashReport list suspicions too.
	Crashes []quarantine.Record
}

// CrashReport is the request of the Peer.ReportCrashes method: records that its receiver collects, or that all instances
// have to get.
type CrashReport struct {
	// Self, Start and Zone are those of Exchange.
	Self    string
	Start   string
	Zone    string
	Records []quarantine.Record
}

// CrashReply is the reply to a CrashReport: the merged records of the receiver that differ from the reported ones, so that
// the sender learns of a verdict in the same round trip.
type CrashReply struct{ Records []quarantine.Record }

// Pull requests the document of a service.
type Pull struct {
	Service string
	// AcceptsCompressed allows a compressed document in the reply.
	AcceptsCompressed bool
}

// Document is the reply to a Pull. At most one of its fields is set, and none if the sender has no document of the
// service.
type Document struct {
	Text []byte
	// Compressed is the text in the DEFLATE format.
	Compressed []byte
}

// Follow requests changes of the platform's store, as far as the called instance knows them.
type Follow struct {
	// After is the revision that the caller already has. It is ignored if All is set, which requests all items.
	After uint64
	All   bool
	// Wait bounds the wait for a change. The reply is empty if there was none, and comes earlier if the called instance
	// confirms its data.
	Wait time.Duration
	// AcceptsCompressed allows compressed documents in the reply.
	AcceptsCompressed bool
	// FeedVersion is the feedVersion of the caller.
	FeedVersion int
}

// feedVersion counts the kinds of items that instances pass on. A build with a lower version drops some of the items that
// a build with a higher one needs, so its data counts as none for the latter. Version 0 has documents and targets, version
// 1 also orders to evacuate zones.
const feedVersion = 1

// Update is the reply to a Follow.
type Update struct {
	// Items holds the changed items, or all items if the request set All.
	Items []Item
	// Revision is the value of After for the next request.
	Revision uint64
	// Generation is that of discovery.Snapshot.
	Generation uint64
	// Gone is set if the changes since the requested revision are no longer available, or if nothing is known yet.
	Gone bool
	// Age is the time since the platform confirmed the revision.
	Age time.Duration
	// Grace is how much longer targets are kept whose entries went missing while the platform was unavailable.
	Grace time.Duration
	// OutageAge is the time since the beginning of the outage to which Grace belongs.
	OutageAge time.Duration
	// FeedVersion is the feedVersion of the sender.
	FeedVersion int
}

// Item is one item of the platform's store: a document, a target, an order to evacuate a zone, or the removal of its key.
type Item struct {
	Key      string
	Revision uint64
	Removed  bool
	Document []byte
	// Compressed replaces Document by its text in the DEFLATE format.
	Compressed []byte
	Target     *discovery.Instance
	// EvacuatedZone and Retained are those of discovery.Item.
	EvacuatedZone string
	Retained      uint64
}

// OrderVersions lists writes of orders to evacuate a zone. It is the request and the reply of the Peer.EndedOrders method:
// the reply lists those of the request that have ended as far as its sender knows.
type OrderVersions struct{ Orders []discovery.OrderVersion }

// message is implemented by all requests and replies. validate checks the content of a decoded message.
type message interface{ validate() error }

func (x *Exchange) validate() error {
	if err := validateSender(x.Self, x.Start, x.Zone); err != nil {
		return err
	}
	if max(len(x.Known), len(x.Ages)) > membership.MaxMembers+1 || len(x.Digest) > maxDigestEntries ||
		len(x.Leaving) > membership.MaxLeavingSignals {
		return eris.New("exchange has too many known instances, digest entries or leaving signals")
	}
	for _, k := range x.Known {
		if _, err := netip.ParseAddrPort(k.Address); err != nil {
			return eris.Wrap(err, "invalid address of a known instance")
		}
		if k.Start == "" || len(k.Start) > maxNameLength || len(k.Zone) > maxNameLength || k.Age < 0 {
			return eris.New("known instance has an empty or too long start ID, a too long zone or a negative age")
		}
	}
	if err := validateCrashes(x.Crashes); err != nil {
		return err
	}
	for _, e := range x.Digest {
		if e.Service == "" || len(e.Service) > maxNameLength {
			return eris.New("service name in digest is empty or too long")
		}
	}
	for _, s := range x.Leaving {
		if s.Target == "" || len(s.Target) > maxNameLength || len(s.Start) > maxNameLength {
			return eris.New("leaving signal has no target, or its target or start ID is too long")
		}
	}
	return nil
}

func validateSender(self, start, zone string) error {
	if _, err := netip.ParseAddrPort(self); err != nil {
		return eris.Wrap(err, "invalid address of sender")
	}
	if start == "" || len(start) > maxNameLength || len(zone) > maxNameLength {
		return eris.New("start ID of sender is empty or too long, or its zone is too long")
	}
	return nil
}

func (r *CrashReport) validate() error {
	if err := validateSender(r.Self, r.Start, r.Zone); err != nil {
		return err
	}
	return validateCrashes(r.Records)
}

func (r *CrashReply) validate() error { return validateCrashes(r.Records) }

func validateCrashes(records []quarantine.Record) error {
	if len(records) > quarantine.MaxRecords {
		return eris.New("message has too many crash records")
	}
	for _, r := range records {
		if len(r.Crashes) > quarantine.MaxCrashes || r.Age < 0 {
			return eris.New("crash record has too many crashes or a negative age")
		}
		if slices.ContainsFunc(r.Crashes, func(c quarantine.Crash) bool { return c.Age < 0 || c.Ran < 0 }) {
			return eris.New("crash has a negative time")
		}
	}
	return nil
}

func (f *Follow) validate() error {
	if f.Wait < 0 || f.Wait > maxFollowWait {
		return eris.New("wait time of follow request is negative or too long")
	}
	return nil
}

func (u *Update) validate() error {
	if u.Age < 0 || u.Grace < 0 || u.OutageAge < 0 {
		return eris.New("age or grace period of update is negative")
	}
	for _, i := range u.Items {
		if i.Key == "" || len(i.Key) > maxKeyLength || len(i.EvacuatedZone) > maxNameLength || max(len(i.Document), len(i.Compressed)) > maxDocumentSize {
			return eris.New("key of item in update is empty or too long, its zone is too long, or its document is too large")
		}
	}
	return nil
}

func (o *OrderVersions) validate() error {
	if len(o.Orders) > maxOrders {
		return eris.New("message has too many orders")
	}
	for _, order := range o.Orders {
		if order.Key == "" || len(order.Key) > maxKeyLength {
			return eris.New("key of order is empty or too long")
		}
	}
	return nil
}

func (p *Pull) validate() error {
	if p.Service == "" || len(p.Service) > maxNameLength {
		return eris.New("service name in pull request is empty or too long")
	}
	return nil
}

func (d *Document) validate() error {
	if max(len(d.Text), len(d.Compressed)) > maxDocumentSize {
		return eris.New("pulled document is too large")
	}
	return nil
}
