package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Empty reports whether there are no records, so that no request needs a fingerprint.
func (s *State) Empty() bool { return len(s.records) == 0 }

// Blocks reports whether a request is withheld.
func (s *State) Blocks(f Fingerprint) bool {
	r := s.records[f.Content]
	return r != nil && r.blocks(f.Caller)
}

// Quarantined returns the number of contents of which requests are withheld.
func (s *State) Quarantined() int {
	n := 0
	for _, r := range s.records {
		if r.quarantined {
			n++
		}
	}
	return n
}

// QuarantinedRecords returns the records of the contents of which requests are withheld, in ascending order of content.
func (s *State) QuarantinedRecords(now time.Duration) []Record {
	list := s.list(now, func(r *record) bool { return r.quarantined })
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Content, b.Content) })
	return list
}

// Digest is a hash of all records without their ages.
func (s *State) Digest() uint64 {
	var sum uint64
	for _, r := range s.records {
		sum += r.hash() // a sum does not depend on the order of records
	}
	return sum
}

// VerdictDigest is a hash of the records of quarantined requests. Instances with equal digests need not exchange verdicts.
// A request that has been released concerns only instances that still have it quarantined, whose digests differ. An
// instance without any released request, as after a restart, has another digest than one with some.
func (s *State) VerdictDigest() uint64 {
	var sum, released uint64
	for _, r := range s.records {
		switch {
		case r.quarantined:
			sum += r.hash()
		case r.verdict:
			released = 1
		}
	}
	return sum + released
}

func (r *record) hash() uint64 {
	h := xxhash.NewWithSeed(r.content)
	for _, c := range r.crashes {
		_, _ = h.Write(c.appendBytes(nil))
	}
	return h.Sum64()
}

// Records returns all records.
func (s *State) Records(now time.Duration) []Record {
	return s.list(now, func(*record) bool { return true })
}

// RecordsOf returns the records of contents, as far as there are any.
func (s *State) RecordsOf(now time.Duration, contents []uint64) []Record {
	var list []Record
	for _, content := range contents {
		if r := s.records[content]; r != nil {
			list = append(list, r.export(now))
		}
	}
	return list
}

// MissingFrom returns the records whose crashes differ from those of other records with the same contents: complete ones of
// quarantined requests, otherwise only with the crashes that differ.
func (s *State) MissingFrom(now time.Duration, others []Record) []Record {
	var list []Record
	for _, other := range others {
		r := s.records[other.Content]
		if r == nil {
			continue
		}
		o := record{}
		o.mergeCrashes(now, other.Crashes)
		if !slices.Equal(r.crashes, o.crashes) || r.verdict && !other.Verdict {
			missing := r.export(now)
			if !r.quarantined {
				missing.Crashes = slices.DeleteFunc(missing.Crashes, func(c Crash) bool {
					c.Age, c.Ran = 0, 0
					return slices.Contains(o.crashes, c)
				})
			}
			list = append(list, missing)
		}
	}
	return list
}

// VerdictRecords returns the records of quarantined requests and some of released ones: the latest and a few others. An
// instance that has missed a release asks with each of its rounds until it gets the record.
func (s *State) VerdictRecords(now time.Duration) []Record {
	released := make([]*record, 0, len(s.records))
	for _, r := range s.records { // in a different order each time
		if r.verdict && !r.quarantined {
			released = append(released, r)
		}
	}
	if len(released) > maxReleased {
		latest := released[maxReleased/2:]
		slices.SortFunc(latest, func(a, b *record) int { return cmp.Compare(b.changedAt, a.changedAt) })
		released = released[:maxReleased]
	}
	list := s.list(now, func(r *record) bool { return r.quarantined })
	for _, r := range released {
		list = append(list, r.export(now))
	}
	return list
}

// RecentVerdicts returns the records of quarantined requests that changed within the last seconds, at most maxRecentRecords.
func (s *State) RecentVerdicts(now time.Duration) []Record {
	list := s.list(now, func(r *record) bool { return r.quarantined && now-r.changedAt < recentTime })
	return list[:min(len(list), maxRecentRecords)]
}

func (s *State) list(now time.Duration, include func(*record) bool) []Record {
	var list []Record
	for _, r := range s.records {
		if include(r) {
			list = append(list, r.export(now))
		}
	}
	return list
}

// export returns the record as it is sent to other instances.
func (r *record) export(now time.Duration) Record {
	crashes := slices.Clone(r.crashes)
	for i, at := range r.times {
		crashes[i].Age, crashes[i].Ran = max(now-at.crashed, 0), at.crashed-at.began
	}
	return Record{Content: r.content, Crashes: crashes, Age: max(now-r.seenAt, 0), Verdict: r.verdict}
}

// appendBytes appends a fixed-length encoding of c to b.
func (c Crash) appendBytes(b []byte) []byte {
	b = binary.LittleEndian.AppendUint64(b, c.Target)
	b = binary.LittleEndian.AppendUint64(b, c.Caller)
	var flags byte
	if c.CallerAcquitted {
		flags |= 1
	}
	if c.ContentAcquitted {
		flags |= 2
	}
	return append(b, flags)
}
