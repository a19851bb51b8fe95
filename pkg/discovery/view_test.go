package discovery

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func live(key string, revision uint64) Item {
	return Item{Key: key, Revision: revision, Target: &Instance{Service: "s", ID: key, Address: "127.0.0.1:1", State: StateLive}}
}

func leaving(key string, revision uint64) Item {
	i := live(key, revision)
	i.Target.State = StateLeaving
	return i
}

func removed(key string, revision uint64) Item {
	return Item{Key: key, Revision: revision, Removed: true}
}

func ids(v *View) []string {
	var list []string
	for _, i := range v.Instances().Instances {
		list = append(list, i.ID)
	}
	return list
}

// Guards against removing targets whose entries expired during an outage of the store, and against keeping targets that
// are gone.
func TestMissingEntriesAreKeptOnlyAfterOutage(t *testing.T) {
	cases := map[string]struct {
		before    Item
		outage    time.Duration
		after     time.Duration // from the recovery of the store to the check
		reappears bool
		want      []string
	}{
		"live, within grace":      {live("a", 1), 5 * time.Second, 0, false, []string{"a", "b"}},
		"live, grace over":        {live("a", 1), 5 * time.Second, recoveryGrace, false, []string{"b"}},
		"live, listed again":      {live("a", 1), 5 * time.Second, recoveryGrace, true, []string{"a", "b"}},
		"leaving before outage":   {leaving("a", 1), 5 * time.Second, 0, false, []string{"b"}},
		"no outage":               {live("a", 1), 0, 0, false, []string{"b"}},
		"outage of a single call": {live("a", 1), minOutage / 2, 0, false, []string{"b"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := NewView()
			v.ApplySnapshot(0, Snapshot{Items: []Item{c.before, live("b", 2)}, Revision: 2})
			const recoveredAt = 10 * time.Second
			v.SourceRecovered(recoveredAt, c.outage)
			v.ApplySnapshot(recoveredAt, Snapshot{Items: []Item{live("b", 2)}, Revision: 9})
			if c.reappears {
				v.ApplyChanges(recoveredAt+time.Second, Changes{Items: []Item{live("a", 10)}, Revision: 10})
			}
			v.Expire(recoveredAt + c.after)
			require.Equal(t, c.want, ids(v))
		})
	}
}

// Guards against a view that returns to an older state: an answer to an earlier call, or from an instance that lags,
// must change nothing.
func TestStaleAnswersAreIgnored(t *testing.T) {
	v := NewView()
	v.ApplySnapshot(0, Snapshot{Items: []Item{live("a", 1)}, Revision: 5})
	v.ApplyChanges(0, Changes{Items: []Item{removed("a", 6), live("b", 7)}, Revision: 7})
	require.False(t, v.ApplySnapshot(0, Snapshot{Items: []Item{live("a", 1)}, Revision: 5}))
	require.False(t, v.ApplyChanges(0, Changes{Items: []Item{live("a", 4)}, Revision: 6}))
	require.Equal(t, []string{"b"}, ids(v))
	require.EqualValues(t, 7, v.Revision())
}

// Guards against an entry that cannot be decoded hiding the other targets.
func TestUndecodableEntryIsSkipped(t *testing.T) {
	v := NewView()
	v.ApplySnapshot(0, Snapshot{Items: []Item{{Key: "bad", Revision: 1, DecodeErr: ErrHistoryGone}, live("a", 2)}, Revision: 2})
	require.Equal(t, []string{"a"}, ids(v))
	require.Len(t, v.DecodeErrors(), 1)
}

// Guards against a follower that keeps using a target that has left: the follower read the store itself, and the view
// that it watches afterwards learned of the leaving target from a snapshot whose last change by key is older.
func TestSnapshotReachesFollowers(t *testing.T) {
	v, follower := NewView(), NewView()
	v.ApplySnapshot(0, Snapshot{Items: []Item{live("a", 1), live("b", 2)}, Revision: 2})
	follower.ApplySnapshot(0, Snapshot{Items: []Item{live("a", 1), live("b", 2), live("c", 7)}, Revision: 8})
	v.ApplySnapshot(0, Snapshot{Items: []Item{leaving("a", 9), live("b", 2), live("c", 7)}, Revision: 9})
	syncFollower(follower, v)
	require.Equal(t, v.Instances(), follower.Instances())
}

// Guards against followers that miss a change: whatever revision a follower has, it must end with the targets of the
// view, either by the changes since that revision or by a full snapshot.
func TestFollowerConvergesWithView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, follower := NewView(), NewView()
		var revision uint64
		v.ApplySnapshot(0, Snapshot{})
		follower.ApplySnapshot(0, v.Snapshot(0))
		key := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			revision++
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				v.ApplyChanges(0, Changes{Items: []Item{live(key.Draw(t, "key"), revision)}, Revision: revision})
			case 1:
				v.ApplyChanges(0, Changes{Items: []Item{removed(key.Draw(t, "key"), revision)}, Revision: revision})
			case 2:
				v.ApplySnapshot(0, Snapshot{Items: []Item{live(key.Draw(t, "key"), revision)}, Revision: revision})
			case 4: // the store changed while this view could not watch it
				items := v.Snapshot(0).Items
				if len(items) > 0 {
					i := rapid.IntRange(0, len(items)-1).Draw(t, "changed")
					items[i] = leaving(items[i].Key, revision)
				}
				v.ApplySnapshot(0, Snapshot{Items: items, Revision: revision})
			case 3:
				syncFollower(follower, v)
			}
		}
		syncFollower(follower, v)
		require.Equal(t, v.Snapshot(0).Items, follower.Snapshot(0).Items)
	})
}

func syncFollower(follower, v *View) {
	if c, ok := v.Since(0, follower.Revision()); ok {
		follower.ApplyChanges(0, c)
		return
	}
	follower.ApplySnapshot(0, v.Snapshot(0))
}

// Guards against a history that is too short for the changes when all targets start together: every follower would have
// to read a full snapshot.
func TestHistoryCoversSimultaneousStartOfAllTargets(t *testing.T) {
	v := NewView()
	v.ApplySnapshot(0, Snapshot{Revision: 1})
	const targets = 3000
	for i := range uint64(targets) {
		key := fmt.Sprint("i", i)
		item := Item{Key: key, Revision: i + 2, Target: &Instance{ID: key, State: StateLive}}
		v.ApplyChanges(0, Changes{Items: []Item{item}, Revision: i + 2})
	}
	changes, ok := v.Since(0, 1)
	require.True(t, ok)
	require.Len(t, changes.Items, targets)

	for i := range uint64(4 * targets) { // one target changes repeatedly
		v.ApplyChanges(0, Changes{Items: []Item{{Key: "i0", Revision: targets + 2 + i, Target: &Instance{ID: "i0"}}}, Revision: targets + 2 + i})
	}
	_, ok = v.Since(0, 1)
	require.False(t, ok, "the history is bounded")
}

// Guards against a target that has left and is used again after a restore of the source, because the copy has an earlier
// version of its entry than the one that was removed; and against one that is not used although it has written its entry
// again since.
func TestRestoreDoesNotBringBackRemovedTargets(t *testing.T) {
	for name, tc := range map[string]struct {
		restored Item
		used     bool
	}{
		"version of the copy is the last one":   {live("a", 7), false},
		"version of the copy is an earlier one": {live("a", 3), false},
		"version of the copy is the first one":  {live("a", 2), false},
		"written again after the restore":       {live("a", 6), true},
		"written again with a higher revision":  {live("a", 12), true},
		"another target has such a revision":    {live("b", 3), true},
	} {
		t.Run(name, func(t *testing.T) {
			v := NewView()
			v.ApplySnapshot(0, Snapshot{Items: []Item{live("a", 2)}, Revision: 2})
			for _, revision := range []uint64{3, 7} {
				v.ApplyChanges(0, Changes{Items: []Item{live("a", revision)}, Revision: revision})
			}
			v.ApplyChanges(0, Changes{Items: []Item{removed("a", 9)}, Revision: 9})
			v.ApplySnapshot(0, Snapshot{Items: []Item{tc.restored}, Revision: 5, Generation: 1})
			require.Equal(t, tc.used, len(v.Instances().Instances) == 1)
		})
	}
}

// Guards against a target that has left and is used again because an instance reads a restored source more than once, or from
// another instance that has read the copy; and against one that is not used although it has written its entry again since.
func TestFurtherReadsOfRestoredSourceBringNothingBack(t *testing.T) {
	v := NewView()
	v.ApplySnapshot(0, Snapshot{Items: []Item{live("left", 2), live("leaving", 3), live("stays", 4)}, Revision: 4})
	v.ApplyChanges(0, Changes{Items: []Item{removed("left", 6), leaving("leaving", 7)}, Revision: 7})
	copied := []Item{live("leaving", 3), live("left", 2), live("stays", 4)}
	states := func() map[string]InstanceState {
		list := make(map[string]InstanceState)
		for _, i := range v.Instances().Instances {
			list[i.ID] = i.State
		}
		return list
	}
	want := map[string]InstanceState{"leaving": StateLeaving, "stays": StateLive}
	v.ApplySnapshot(0, Snapshot{Items: copied, Revision: 5, Generation: 1})
	require.Equal(t, want, states())
	v.ApplySnapshot(0, Snapshot{Items: copied, Revision: 5, Generation: 1})
	require.Equal(t, want, states())
	v.ApplySnapshot(0, Snapshot{Items: copied, Revision: 8, Generation: 1})
	require.Equal(t, want, states())
	v.ApplySnapshot(0, Snapshot{Items: copied, Revision: 5, Generation: 2})
	require.Equal(t, want, states(), "a further restore")

	v.ApplyChanges(0, Changes{Items: []Item{live("left", 9)}, Revision: 9})
	want["left"] = StateLive
	require.Equal(t, want, states(), "written again")
	v.ApplySnapshot(0, Snapshot{Items: []Item{live("leaving", 10), live("left", 9), live("stays", 4)}, Revision: 10, Generation: 2})
	want["leaving"] = StateLive
	require.Equal(t, want, states(), "started again")
}

// Guards against a list of revisions that grows with each change of an entry.
func TestRevisionsOfEntryAreBounded(t *testing.T) {
	v := NewView()
	v.ApplySnapshot(0, Snapshot{Revision: 1})
	for revision := uint64(2); revision < 100; revision++ {
		v.ApplyChanges(0, Changes{Items: []Item{live("a", revision)}, Revision: revision})
	}
	require.Len(t, v.entries["a"].revisions, maxRevisions)
}

// Guards against a history that keeps each version of a configuration for followers, so that instances exceed their memory
// after some hundred versions; and against followers that get no version, or an older one, because one was dropped.
func TestHistoryKeepsLatestDocumentOnly(t *testing.T) {
	const versions, size = 2000, 1 << 20
	v := NewView()
	document := func(revision uint64) Item {
		return Item{Key: "configuration", Revision: revision, Document: bytes.Repeat([]byte{byte(revision)}, size)}
	}
	require.True(t, v.ApplySnapshot(0, Snapshot{Items: []Item{document(1)}, Revision: 1}))
	follower := NewView()
	follower.ApplySnapshot(0, v.Snapshot(0))
	for revision := uint64(2); revision <= versions; revision++ {
		items := []Item{document(revision)}
		if revision%10 == 0 {
			items = append(items, Item{Key: fmt.Sprint("t", revision), Revision: revision, Target: &Instance{Address: "a"}})
		}
		require.True(t, v.ApplyChanges(0, Changes{Items: items, Revision: revision}))
		held := 0
		for _, item := range v.history {
			held += len(item.Document)
		}
		require.LessOrEqual(t, held, size)
		if revision%97 == 0 {
			changes, ok := v.Since(0, follower.Revision())
			require.True(t, ok)
			require.True(t, follower.ApplyChanges(0, changes))
			require.Equal(t, v.Snapshot(0), follower.Snapshot(0))
		}
	}
	v.ApplyChanges(0, Changes{Items: []Item{{Key: "configuration", Revision: versions + 1, Removed: true}}, Revision: versions + 1})
	changes, ok := v.Since(0, follower.Revision())
	require.True(t, ok)
	follower.ApplyChanges(0, changes)
	require.Equal(t, v.Snapshot(0), follower.Snapshot(0))
	for _, item := range v.history {
		require.Nil(t, item.Document)
	}
}

// BenchmarkHistoryOfDocuments shows the time to apply one version of a document, and the bytes that the view holds after
// 2,000 versions.
func BenchmarkHistoryOfDocuments(b *testing.B) {
	for _, size := range []int{10 << 10, 100 << 10, 1 << 20} {
		b.Run(fmt.Sprint(size>>10, "KiB"), func(b *testing.B) {
			const versions = 2000
			v, revision := NewView(), uint64(1)
			v.ApplySnapshot(0, Snapshot{Revision: revision})
			apply := func(n int) {
				for range n {
					revision++
					v.ApplyChanges(0, Changes{Items: []Item{{Key: "configuration", Revision: revision, Document: make([]byte, size)}}, Revision: revision})
				}
			}
			apply(versions)
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			b.ResetTimer()
			apply(b.N)
			b.ReportMetric(float64(m.HeapAlloc), "bytes-held")
			runtime.KeepAlive(v)
		})
	}
}
