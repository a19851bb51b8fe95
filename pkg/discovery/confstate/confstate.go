// Package confstate decides which documents are in force.
//
// It is a reducer like package core: State.Reduce applies one offered document and returns effects as data, without
// clock, I/O or logging. The version that is finally in force does not depend on the order of offers, so instances that
// received the same documents agree on it. Of two documents with the same version but different bytes, the first one
// received stays in force. A State is not safe for concurrent use.
package confstate

import (
	"bytes"
	"fmt"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/findings"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// maxRefused bounds the memory for refused documents, since their service names come from outside.
const maxRefused = 256 // services

// Document is a document in force with the bytes that it was read from.
type Document struct {
	*rules.Document
	// Text must not be modified.
	Text []byte
	// Hash is the content hash as returned by discovery.Hash.
	Hash string
}

// Offer is a received document, with the result of parsing it.
type Offer struct {
	// Source tells where the document came from, for reports.
	Source string
	// Service is the name under which the document was requested; it labels a document that cannot be parsed.
	Service string
	// Text is the whole document; the caller must not modify it afterwards.
	Text []byte
	// Hash is the content hash of Text.
	Hash string
	// Document is the parsed document, nil if it is invalid.
	Document *rules.Document
	// Findings explain why the document is invalid.
	Findings findings.List
	// Time is when the document arrived, for reports.
	Time time.Time
}

// Refused describes the last document of a service that was refused.
type Refused struct {
	Service  string        `json:"service"`
	Source   string        `json:"source"`
	Hash     string        `json:"hash"`
	Findings findings.List `json:"findings"`
	// Version is zero if the document could not be parsed.
	rules.Version
	// Reason states in one sentence why the document was refused.
	Reason string `json:"reason"`
	// Time is when the document arrived.
	Time time.Time `json:"time"`
}

// EffectKind is the result of an offer. It is a metric label, so the set of values is fixed.
type EffectKind string

// The kinds of effects.
const (
	// InForce: the document is in force from now on.
	InForce EffectKind = "in-force"
	// Same: the document is in force already.
	Same EffectKind = "same"
	// Lower: the document is older than the one in force and was ignored.
	Lower EffectKind = "lower"
	// Conflict: the document in force has the same version but other bytes; the offered one was refused.
	Conflict EffectKind = "conflict"
	// Invalid: the document was refused for its findings.
	Invalid EffectKind = "invalid"
	// BaseMismatch: the document came into force, but replaced a version other than the one it states in based_on.
	BaseMismatch EffectKind = "base-mismatch"
	// Mislabelled: the document was requested under another service name than it states. The stated name applies.
	Mislabelled EffectKind = "mislabelled"
)

// Effect is one result of an offer, as plain data.
type Effect struct {
	Kind    EffectKind
	Source  string
	Service string
	// Version is that of the offered document; zero if it is invalid.
	Version rules.Version
	// Before is the version in force before the offer; zero if there was none.
	Before rules.Version
	// BasedOn is the version that the document states in based_on; set for BaseMismatch only.
	BasedOn rules.Version
	// Findings are set for Invalid and Conflict.
	Findings findings.List
}

// State holds the documents in force and the last refused document of each service.
type State struct {
	inForce map[string]Document
	refused map[string]Refused
}

// New returns a state without documents.
func New() *State {
	return &State{inForce: make(map[string]Document), refused: make(map[string]Refused)}
}

// Reduce applies one offer and appends its effects to out.
func (s *State) Reduce(o Offer, out []Effect) []Effect {
	if o.Document == nil {
		s.refuse(o, Refused{Service: o.Service, Findings: o.Findings, Reason: "the document is invalid"})
		return append(out, Effect{Kind: Invalid, Source: o.Source, Service: o.Service, Findings: o.Findings})
	}
	e := Effect{Source: o.Source, Service: o.Document.Service, Version: o.Document.Version}
	old, ok := s.inForce[e.Service]
	if ok {
		e.Before = old.Version
	}
	if o.Service != "" && o.Service != e.Service {
		out = append(out, e.withKind(Mislabelled))
	}
	switch {
	case ok && o.Document.Version.Less(old.Version):
		return append(out, e.withKind(Lower))
	case ok && o.Document.Version == old.Version && bytes.Equal(o.Text, old.Text):
		return append(out, e.withKind(Same))
	case ok && o.Document.Version == old.Version:
		e.Findings = conflictFindings(o, old)
		s.refuse(o, Refused{
			Service: e.Service, Version: e.Version, Findings: e.Findings,
			Reason: "the version in force has other content",
		})
		return append(out, e.withKind(Conflict))
	}
	s.inForce[e.Service] = Document{Document: o.Document, Text: o.Text, Hash: o.Hash}
	delete(s.refused, e.Service)
	out = append(out, e.withKind(InForce))
	if ok && o.Document.BasedOn != nil && *o.Document.BasedOn != old.Version {
		e.BasedOn = *o.Document.BasedOn
		out = append(out, e.withKind(BaseMismatch))
	}
	return out
}

func (e Effect) withKind(kind EffectKind) Effect {
	e.Kind = kind
	return e
}

func conflictFindings(o Offer, old Document) findings.List {
	message := fmt.Sprintf("epoch %d, revision %d is in force with other content (hash %s, offered %s)",
		old.Epoch, old.Revision, old.Hash, o.Hash)
	return findings.List{{File: o.Source, Message: message, Want: "a higher revision for changed content"}}
}

// refuse records a refused document. Once there are records of maxRefused services, it adds none for further services.
func (s *State) refuse(o Offer, r Refused) {
	if _, ok := s.refused[r.Service]; !ok && len(s.refused) >= maxRefused {
		return
	}
	r.Source, r.Hash, r.Time = o.Source, o.Hash, o.Time
	s.refused[r.Service] = r
}

// Get returns the document in force of a service.
func (s *State) Get(service string) (Document, bool) {
	d, ok := s.inForce[service]
	return d, ok
}

// Documents returns the documents in force, in no particular order.
func (s *State) Documents() []Document {
	list := make([]Document, 0, len(s.inForce))
	for _, d := range s.inForce {
		list = append(list, d)
	}
	return list
}

// LastRefused returns the last refused document of each service for which no newer version came into force since, in no
// particular order.
func (s *State) LastRefused() []Refused {
	list := make([]Refused, 0, len(s.refused))
	for _, r := range s.refused {
		list = append(list, r)
	}
	return list
}
