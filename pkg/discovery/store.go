package discovery

import (
	"bytes"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockpitch/burdockpitch/pkg/discovery/confstate"
	"github.com/burdockpitch/burdockpitch/pkg/findings"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// Document is an accepted document with the bytes that it was read from.
type Document = confstate.Document

// Refused describes the last document of a service that was refused.
type Refused = confstate.Refused

// Metrics counts offered documents and platform reads by result.
type Metrics struct {
	offers *prometheus.CounterVec
	reads  *prometheus.CounterVec
	panics prometheus.Counter
	// undecodable counts each version of an entry once.
	undecodable prometheus.Counter
}

// countRead counts a read from the platform's store or from another instance. For the latter, the label has the prefix
// "peer-".
func (m *Metrics) countRead(fromSource bool, result string) {
	if !fromSource {
		result = "peer-" + result
	}
	m.reads.WithLabelValues(result).Inc()
}

// NewMetrics registers the counters with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	counter := func(name, help, label string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "burdockpitch", Name: name, Help: help}, []string{label})
		reg.MustRegister(c)
		return c
	}
	panics := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "burdockpitch", Name: "platform_panics_total", Help: "Contained panics while the platform was read.",
	})
	undecodable := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "burdockpitch", Name: "platform_undecodable_entries_total",
		Help: "Entries of the platform's store that could not be decoded and were ignored.",
	})
	reg.MustRegister(panics, undecodable)
	return &Metrics{
		panics:      panics,
		undecodable: undecodable,
		offers:      counter("configuration_offers_total", "Offered documents by what became of them.", "result"),
		reads:       counter("platform_reads_total", "Reads of the platform by result.", "result"),
	}
}

// Parser parses the text of a document from the named source. The error is a findings.List.
type Parser func(source string, text []byte) (*rules.Document, error)

// ConfigStore keeps the newest valid document of each service, by the rules of package confstate. It is safe for
// concurrent use.
type ConfigStore struct {
	parse   Parser
	log     logr.Logger
	metrics *Metrics
	notify  func([]*rules.Document)
	changed chan struct{}

	mu    sync.Mutex
	state *confstate.State
}

// NewConfigStore returns an empty store that calls notify, under its lock, with all documents in force after each
// change. A nil parse means rules.Parse.
func NewConfigStore(parse Parser, log logr.Logger, m *Metrics, notify func([]*rules.Document)) *ConfigStore {
	if parse == nil {
		parse = rules.Parse
	}
	return &ConfigStore{parse: parse, log: log, metrics: m, notify: notify, changed: make(chan struct{}, 1), state: confstate.New()}
}

// Offer brings the document in text into force if it is valid and newer than the one in force. service is the name
// under which it was requested. It labels a text that cannot be parsed; a valid document states its own service.
func (s *ConfigStore) Offer(source, service string, text []byte) {
	o := confstate.Offer{Source: source, Service: service, Text: bytes.Clone(text), Hash: Hash(text), Time: time.Now()}
	if s.hasText(service, o.Text) {
		s.metrics.offers.WithLabelValues(string(confstate.Same)).Inc()
		return
	}
	doc, err := s.parse(source, o.Text)
	if err == nil {
		o.Document = doc
	} else {
		o.Findings = findingsOf(source, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.state.Reduce(o, nil) {
		s.handleEffect(e)
	}
}

// hasText reports whether text is already in force, so that it need not be parsed again.
func (s *ConfigStore) hasText(service string, text []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.state.Get(service)
	return ok && bytes.Equal(d.Text, text)
}

func findingsOf(source string, err error) findings.List {
	if list, ok := err.(findings.List); ok {
		return list
	}
	return findings.List{{File: source, Message: err.Error()}}
}

// handleEffect counts and logs an effect, and announces a document that came into force. The caller holds s.mu.
func (s *ConfigStore) handleEffect(e confstate.Effect) {
	s.metrics.offers.WithLabelValues(string(e.Kind)).Inc()
	log := s.log.WithValues("service", e.Service, "epoch", e.Version.Epoch, "revision", e.Version.Revision, "source", e.Source)
	switch e.Kind {
	case confstate.InForce:
		log.Info("configuration in force", "before", e.Before)
		s.notify(s.parsedDocuments())
		select {
		case s.changed <- struct{}{}:
		default:
		}
	case confstate.Lower:
		log.Info("configuration older than the one in force ignored", "in_force", e.Before)
	case confstate.Conflict:
		log.Info("configuration refused: same version as the one in force, but different content", "findings", e.Findings)
	case confstate.Invalid:
		log.Info("configuration refused: invalid", "findings", e.Findings)
	case confstate.BaseMismatch:
		log.Info("configuration based on another version than the one it replaced", "based_on", e.BasedOn, "before", e.Before)
	case confstate.Mislabelled:
		log.Info("configuration names another service than it was stored under")
	}
}

// Changed returns a channel that receives a value after documents came into force. Several changes can share a value,
// and only one goroutine may receive.
func (s *ConfigStore) Changed() <-chan struct{} { return s.changed }

// Has reports whether the document that e names is in force.
func (s *ConfigStore) Has(e IndexEntry) bool {
	d, ok := s.Get(e.Service)
	return ok && d.Epoch == e.Epoch && d.Revision == e.Revision && d.Hash == e.Hash
}

// Get returns the document in force of a service.
func (s *ConfigStore) Get(service string) (Document, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Get(service)
}

// Documents returns the documents in force, in no particular order.
func (s *ConfigStore) Documents() []Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Documents()
}

// LastRefused returns the last refused document of each service for which no newer version came into force since, in no
// particular order.
func (s *ConfigStore) LastRefused() []Refused {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.LastRefused()
}

func (s *ConfigStore) parsedDocuments() []*rules.Document {
	docs := s.state.Documents()
	list := make([]*rules.Document, len(docs))
	for i, d := range docs {
		list[i] = d.Document
	}
	return list
}
