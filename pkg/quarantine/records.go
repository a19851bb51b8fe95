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

// VerdictDigest is a hash of the records that go to all instances. Instances with equal digests need not exchange them.
// Of a request that has been released only the content counts: its further crashes are suspicions again.
func (s *State) VerdictDigest() uint64 {
	var sum uint64
	for _, r := range s.records {
		switch {
		case r.quarantined:
			sum += r.hash()
		case r.verdict:
			sum += xxhash.NewWithSeed(^r.content).Sum64()
		}
	}
	return sum
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

// MissingFrom returns the records whose crashes differ from those of other records with the same contents.
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
			list = append(list, r.export(now))
		}
	}
	return list
}

// VerdictRecords returns the records that go to all instances.
func (s *State) VerdictRecords(now time.Duration) []Record {
	return s.list(now, func(r *record) bool { return r.verdict })
}

// RecentVerdicts returns the verdict records that changed within the last seconds, at most maxRecentRecords. Quarantined
// ones come first.
func (s *State) RecentVerdicts(now time.Duration) []Record {
	recent := func(quarantined bool) []Record {
		return s.list(now, func(r *record) bool {
			return r.verdict && now-r.changedAt < recentTime && r.quarantined == quarantined
		})
	}
	list := append(recent(true), recent(false)...)
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
	for i, at := range r.crashedAt {
		crashes[i].Age = max(now-at, 0)
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
