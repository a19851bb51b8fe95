package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func order(zone string, revision uint64) Item {
	return Item{Key: "order/" + zone, Revision: revision, EvacuatedZone: zone}
}

func orderRemoved(zone string, revision uint64) Item {
	i := order(zone, revision)
	i.Removed = true
	return i
}

// Guards against an order that is dropped or brought back by an outage of the store, by the grace period for missing
// entries, by a restore from an older copy, or by the view of another instance.
func TestEvacuationOrders(t *testing.T) {
	const now = 10 * time.Second
	read := func(generation, revision uint64, items ...Item) func(*View) {
		return func(v *View) {
			v.ApplySnapshot(now, Snapshot{Generation: generation, Revision: revision, Items: items})
		}
	}
	change := func(revision uint64, items ...Item) func(*View) {
		return func(v *View) {
			v.ApplyChanges(now, Changes{Generation: v.Generation(), Revision: revision, Items: items})
		}
	}
	outage := func(v *View) { v.SourceRecovered(now, time.Minute) }
	// readFrom reads the snapshot of another instance.
	readFrom := func(steps ...func(*View)) func(*View) {
		return func(v *View) {
			other := NewView()
			for _, step := range steps {
				step(other)
			}
			v.ApplySnapshot(now, other.Snapshot(now))
		}
	}
	// follow reads the snapshot of another instance before its last step, and its changes after that.
	follow := func(steps ...func(*View)) func(*View) {
		return func(v *View) {
			other := NewView()
			for _, step := range steps[:len(steps)-1] {
				step(other)
			}
			v.ApplySnapshot(now, other.Snapshot(now))
			steps[len(steps)-1](other)
			c, ok := other.Since(now, v.Revision())
			require.True(t, ok)
			v.ApplyChanges(now, c)
		}
	}
	// ask asks another instance which of the retained orders have ended.
	ask := func(steps ...func(*View)) func(*View) {
		return func(v *View) {
			other := NewView()
			for _, step := range steps {
				step(other)
			}
			v.endRetained(now, other.endedOrders(v.retainedOrders()))
		}
	}
	lostOrder := []func(*View){read(0, 9, order("a", 9)), read(1, 5)}
	endedOrder := []func(*View){read(0, 9, order("a", 3)), change(10, orderRemoved("a", 10))}
	then := func(before []func(*View), steps ...func(*View)) []func(*View) {
		return append(append([]func(*View){}, before...), steps...)
	}
	for name, c := range map[string]struct {
		steps []func(*View)
		want  []string
	}{
		"read":                    {[]func(*View){read(0, 9, order("b", 2), order("a", 1), live("t", 3))}, []string{"a", "b"}},
		"change":                  {[]func(*View){read(0, 1), change(2, order("a", 2))}, []string{"a"}},
		"removed":                 {endedOrder, nil},
		"removed while not read":  {[]func(*View){read(0, 1, order("a", 1)), read(0, 9)}, nil},
		"order and removal":       {[]func(*View){read(0, 1), change(3, order("a", 2), orderRemoved("a", 3))}, nil},
		"removal and order":       {[]func(*View){read(0, 2, order("a", 2)), change(4, orderRemoved("a", 3), order("a", 4))}, []string{"a"}},
		"older removal":           {[]func(*View){read(0, 4, order("a", 4)), change(4, orderRemoved("a", 3))}, []string{"a"}},
		"older snapshot":          {[]func(*View){read(0, 4, order("a", 4)), read(0, 3)}, []string{"a"}},
		"written twice":           {[]func(*View){read(0, 4, order("a", 4)), change(5, order("a", 5)), change(6, orderRemoved("a", 6))}, nil},
		"kept after an outage":    {[]func(*View){read(0, 4, order("a", 4)), outage, change(5, live("t", 5))}, []string{"a"}},
		"removed in grace period": {[]func(*View){read(0, 4, order("a", 4)), outage, read(0, 9)}, nil},
		"removal in grace period": {[]func(*View){read(0, 4, order("a", 4)), outage, change(5, orderRemoved("a", 5))}, nil},

		"lost by a restore":                        {lostOrder, []string{"a"}},
		"lost, read again":                         {then(lostOrder, read(1, 7)), []string{"a"}},
		"lost by two restores":                     {then(lostOrder, read(2, 4), read(2, 5)), []string{"a"}},
		"lost, written":                            {then(lostOrder, change(6, order("a", 6))), []string{"a"}},
		"lost, written and removed":                {then(lostOrder, change(7, order("a", 6), orderRemoved("a", 7))), nil},
		"lost, written, removed unseen":            {then(lostOrder, change(6, order("a", 6)), read(1, 8)), nil},
		"lost, known from another":                 {[]func(*View){readFrom(lostOrder...), read(1, 7)}, []string{"a"}},
		"lost, known from a change":                {[]func(*View){follow(read(1, 5), readFrom(then(lostOrder, read(1, 7))...)), read(1, 8)}, []string{"a"}},
		"lost, ended according to itself":          {then(lostOrder, change(7, order("a", 6), orderRemoved("a", 7)), readFrom(then(lostOrder, read(1, 8))...)), nil},
		"lost, written, removed unseen by another": {then(lostOrder, change(6, order("a", 6)), readFrom(then(lostOrder, read(1, 8))...)), nil},
		"lost, another does not know it":           {then(lostOrder, readFrom(read(1, 7))), []string{"a"}},

		"lost, another saw its end":              {then(lostOrder, ask(read(0, 9, order("a", 9)), change(10, orderRemoved("a", 10)))), nil},
		"lost, another saw its end, read again":  {then(lostOrder, ask(read(0, 9, order("a", 9)), change(10, orderRemoved("a", 10))), read(1, 7)), nil},
		"lost, another saw it again and its end": {then(lostOrder, ask(then(lostOrder, change(7, order("a", 6), orderRemoved("a", 7)))...)), nil},
		"lost, another saw it again":             {then(lostOrder, ask(then(lostOrder, change(6, order("a", 6)))...)), []string{"a"}},
		"lost, another retains it":               {then(lostOrder, ask(lostOrder...)), []string{"a"}},
		"lost, another that never had it":        {then(lostOrder, ask(read(1, 7))), []string{"a"}},
		"written again, another saw its end":     {then(lostOrder, change(6, order("a", 6)), ask(read(0, 9, order("a", 9)), change(10, orderRemoved("a", 10)))), []string{"a"}},

		"ended, brought back by a restore":     {then(endedOrder, read(1, 5, order("a", 3))), nil},
		"ended, brought back, read again":      {then(endedOrder, read(1, 5, order("a", 3)), read(1, 6, order("a", 3))), nil},
		"ended, brought back, removed":         {then(endedOrder, read(1, 5, order("a", 3)), change(6, orderRemoved("a", 6))), nil},
		"ended, brought back, written":         {then(endedOrder, read(1, 5, order("a", 3)), change(6, order("a", 6)), read(1, 7, order("a", 6))), []string{"a"}},
		"ended, written after a restore":       {then(endedOrder, read(1, 5, order("a", 5))), []string{"a"}},
		"ended twice, brought back":            {then(endedOrder, change(12, order("a", 11), orderRemoved("a", 12)), read(1, 5, order("a", 3))), nil},
		"ended and ordered again, then older":  {then(endedOrder, change(11, order("a", 11)), read(1, 5, order("a", 3))), []string{"a"}},
		"ended, ordered again, older, removed": {then(endedOrder, change(11, order("a", 11)), read(1, 5, order("a", 3)), read(1, 6)), nil},
	} {
		t.Run(name, func(t *testing.T) {
			v := NewView()
			for _, step := range c.steps {
				step(v)
				v.Expire(now)
			}
			require.ElementsMatch(t, c.want, v.EvacuatedZones())
			require.IsIncreasing(t, append([]string{""}, v.EvacuatedZones()...))
			v.Expire(now + time.Hour)
			require.ElementsMatch(t, c.want, v.EvacuatedZones())
		})
	}
}
