package platform

import (
	"bytes"
	"sync"

	"github.com/go-logr/logr"

	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// Document is an accepted document with the bytes that it was read from.
type Document struct {
	*rules.Document
	Text []byte
}

// Store keeps the newest valid document of each service. A document in force is only replaced by one of a higher
// version. It is safe for concurrent use.
type Store struct {
	log    logr.Logger
	notify func([]*rules.Document)

	mu    sync.Mutex
	force map[string]Document
}

// NewStore returns an empty store that calls notify, under its lock, with all documents in force after each change.
func NewStore(log logr.Logger, notify func([]*rules.Document)) *Store {
	return &Store{log: log, notify: notify, force: make(map[string]Document)}
}

// Offer takes the document in text into force if it is valid and newer than the one in force.
func (s *Store) Offer(source string, text []byte) {
	doc, err := rules.Parse(source, text)
	if err != nil {
		s.log.Info("configuration refused", "source", source, "findings", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.force[doc.Service]
	if ok && !old.Version.Less(doc.Version) {
		if old.Version == doc.Version && !bytes.Equal(old.Text, text) {
			s.log.Info("configuration conflict", "service", doc.Service, "epoch", doc.Epoch, "revision", doc.Revision)
		}
		return
	}
	s.force[doc.Service] = Document{Document: doc, Text: bytes.Clone(text)}
	s.log.Info("configuration in force", "service", doc.Service, "epoch", doc.Epoch, "revision", doc.Revision, "source", source)
	s.notify(s.documents())
}

// Documents returns the documents in force.
func (s *Store) Documents() []Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Document, 0, len(s.force))
	for _, d := range s.force {
		list = append(list, d)
	}
	return list
}

func (s *Store) documents() []*rules.Document {
	list := make([]*rules.Document, 0, len(s.force))
	for _, d := range s.force {
		list = append(list, d.Document)
	}
	return list
}
