package confstate

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/burdockpitch/burdockpitch/pkg/findings"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// A fixed seed makes CI runs reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func offer(service string, epoch, revision uint64, content string) Offer {
	text := fmt.Sprintf("%s %d.%d %s", service, epoch, revision, content)
	doc := &rules.Document{Service: service, Version: rules.Version{Epoch: epoch, Revision: revision}}
	return Offer{Source: "test", Service: service, Text: []byte(text), Hash: text, Document: doc}
}

func invalid(service string) Offer {
	return Offer{Source: "test", Service: service, Findings: findings.List{{Message: "bad"}}}
}

func kinds(effects []Effect) []EffectKind {
	list := make([]EffectKind, len(effects))
	for i, e := range effects {
		list[i] = e.Kind
	}
	return list
}

// Guards against an offer that has the wrong effects, or leaves the wrong revision of service "a" in force. Version 2.5
// (epoch 2, revision 5) of "a" is in force before each offer.
func TestSingleOffer(t *testing.T) {
	based := func(o Offer, epoch, revision uint64) Offer {
		o.Document.BasedOn = &rules.Version{Epoch: epoch, Revision: revision}
		return o
	}
	mislabelled := offer("a", 2, 6, "")
	mislabelled.Service = "b"
	cases := []struct {
		name         string
		offer        Offer
		want         []EffectKind
		wantRevision uint64 // revision in force for "a"
	}{
		{"higher revision", offer("a", 2, 6, ""), []EffectKind{InForce}, 6},
		{"higher epoch, lower revision", offer("a", 3, 1, ""), []EffectKind{InForce}, 1},
		{"lower revision", offer("a", 2, 4, ""), []EffectKind{Lower}, 5},
		{"lower epoch, higher revision", offer("a", 1, 9, ""), []EffectKind{Lower}, 5},
		{"same bytes", offer("a", 2, 5, ""), []EffectKind{Same}, 5},
		{"other bytes", offer("a", 2, 5, "other"), []EffectKind{Conflict}, 5},
		{"invalid", invalid("a"), []EffectKind{Invalid}, 5},
		{"matching base", based(offer("a", 2, 6, ""), 2, 5), []EffectKind{InForce}, 6},
		{"other base", based(offer("a", 2, 7, ""), 2, 6), []EffectKind{InForce, BaseMismatch}, 7},
		{"mislabelled", mislabelled, []EffectKind{Mislabelled, InForce}, 6},
		{"other service", offer("b", 1, 1, ""), []EffectKind{InForce}, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			s.Reduce(offer("a", 2, 5, ""), nil)
			require.Equal(t, c.want, kinds(s.Reduce(c.offer, nil)))
			d, _ := s.Get("a")
			require.Equal(t, c.wantRevision, d.Revision)
		})
	}
}

// Guards against version 0.0 replacing version 0.1, which happens if the zero value is taken for "no version".
func TestVersionZeroIsLowest(t *testing.T) {
	s := New()
	require.Equal(t, []EffectKind{InForce}, kinds(s.Reduce(offer("a", 0, 1, ""), nil)))
	require.Equal(t, []EffectKind{Lower}, kinds(s.Reduce(offer("a", 0, 0, ""), nil)))
	d, _ := s.Get("a")
	require.Equal(t, uint64(1), d.Revision)
}

// Guards against findings that disappear before a newer valid document arrives, or that stay after it.
func TestFindingsStayUntilNewerDocument(t *testing.T) {
	s := New()
	s.Reduce(offer("a", 1, 1, ""), nil)
	s.Reduce(invalid("a"), nil)
	s.Reduce(offer("a", 1, 1, ""), nil)
	s.Reduce(offer("b", 1, 1, ""), nil)
	require.Len(t, s.LastRefused(), 1)
	require.Equal(t, "bad", s.LastRefused()[0].Findings[0].Message)
	s.Reduce(offer("a", 1, 2, ""), nil)
	require.Empty(t, s.LastRefused())
	s.Reduce(offer("a", 1, 2, "other"), nil)
	require.Len(t, s.LastRefused(), 1)
}

// Guards against unbounded memory use when invalid documents arrive under ever new service names.
func TestRefusedDocumentsAreBounded(t *testing.T) {
	s := New()
	for i := range maxRefused + 10 {
		s.Reduce(invalid(fmt.Sprint(i)), nil)
	}
	require.Len(t, s.LastRefused(), maxRefused)
}

// Guards against going back to an older version, and against instances that disagree because they received the same
// offers in a different order.
func TestHighestVersionWinsInEveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		anyOffer := rapid.Custom(func(t *rapid.T) Offer {
			service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				return invalid(service)
			}
			return offer(service, rapid.Uint64Range(0, 2).Draw(t, "epoch"), rapid.Uint64Range(0, 3).Draw(t, "revision"), "")
		})
		offers := rapid.SliceOfN(anyOffer, 0, 20).Draw(t, "offers")
		s, reordered := New(), New()
		for _, o := range offers {
			before, had := s.Get(o.Service)
			effects := s.Reduce(o, nil)
			after, _ := s.Get(o.Service)
			if had && after.Version.Less(before.Version) {
				t.Fatalf("version %v replaced the newer %v", after.Version, before.Version)
			}
			if had && after.Version == before.Version && string(after.Text) != string(before.Text) {
				t.Fatalf("content changed within version %v", after.Version)
			}
			if len(effects) == 0 {
				t.Fatal("offer without effect")
			}
		}
		for _, o := range rapid.Permutation(offers).Draw(t, "order") {
			reordered.Reduce(o, nil)
		}
		for _, service := range []string{"a", "b"} {
			d1, ok1 := s.Get(service)
			d2, ok2 := reordered.Get(service)
			if ok1 != ok2 || ok1 && (d1.Version != d2.Version || string(d1.Text) != string(d2.Text)) {
				t.Fatalf("service %s depends on the order of offers: %v and %v", service, d1.Document, d2.Document)
			}
		}
	})
}
