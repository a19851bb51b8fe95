// Package rules parses and checks routing rules and matches requests to them.
//
// A document holds the rules of one service, one rule per line, each with a trailing comment that names who asked for
// it. Whether a document is valid depends on its bytes alone.
package rules

import (
	"math/bits"
	"slices"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

// Version orders the documents of one service: the higher epoch wins, then the higher revision.
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch < w.Epoch
	}
	return v.Revision < w.Revision
}

// Rule routes the requests that match a path and method to a service. Split, Host, ExcludeBase, Objective, Priority and
// MaxAttempts come only from the configuration of a platform adapter; the rules text has no keys for them.
type Rule struct {
	// Name identifies the rule within its document.
	Name string
	// Service is the service that serves matching requests, unless Split names several.
	Service string
	// Split divides matching requests over services by weight; empty means that Service gets all.
	Split []WeightedService
	// Host restricts the rule to one host name, in lower case and without a port; empty matches every host that has no
	// rules of its own.
	Host string
	// Path is an exact path, or a prefix that ends in "/*". The prefix "/a/*" matches "/a" and everything below it.
	Path string
	// ExcludeBase excludes the base path of a prefix: "/a/*" then matches "/a/" and everything below it, but not "/a".
	ExcludeBase bool
	// Methods are the HTTP methods that match; empty means all.
	Methods []string
	// Class determines how matching requests are retried, hedged and queued.
	Class core.Class
	// Deadline is the time within which the caller gets its response.
	Deadline time.Duration
	// Objective is the time within which a response has its full value to the caller; zero means that there is none.
	Objective time.Duration
	// Priority orders rules under overload; 0 is served first.
	Priority int
	// MaxAttempts bounds the attempts of one request; zero means the limit from the settings.
	MaxAttempts int
	// BodyLimit bounds the request body in bytes.
	BodyLimit int64
	// RequestedBy is the trailing comment, which names who asked for the rule.
	RequestedBy string
	// Line is the line of the rule in its document, 1-based.
	Line int
}

// WeightedService is one service of a Rule.Split.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the weights of the split. A negative weight counts as zero.
	Weight int
}

// RoutesTo reports whether requests of the rule can go to a service.
func (r *Rule) RoutesTo(service string) bool {
	if len(r.Split) == 0 {
		return r.Service == service
	}
	return slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// ChooseService returns the service for a request, by weight if the rule has a split. The random number is uniformly
// distributed over all uint64 values.
func (r *Rule) ChooseService(random uint64) string {
	totalWeight := 0
	for _, s := range r.Split {
		totalWeight += max(s.Weight, 0)
	}
	if totalWeight == 0 {
		return r.Service
	}
	position, _ := bits.Mul64(random, uint64(totalWeight))
	for _, s := range r.Split {
		weight := uint64(max(s.Weight, 0))
		if position < weight {
			return s.Service
		}
		position -= weight
	}
	return r.Service
}

// Document is the checked content of one service's rules text.
type Document struct {
	// Service is the service that the rules route to, unless they split their requests.
	Service string
	Version
	// BasedOn is the version that this document was edited from; nil if the document does not state it.
	BasedOn *Version
	// Rules are in the order of the text.
	Rules []Rule
	// Services configures the services that the rules name. A service that is not listed uses the settings. Only a
	// platform adapter sets it.
	Services []Service
	// CallerLimits bounds what callers can send. Only a platform adapter sets it.
	CallerLimits CallerLimits
}

// CallerLimits bounds the heads of requests and the idle time of connections. A zero field means that of the settings.
type CallerLimits struct {
	// HeadBytes is the largest size of the request line, and of the header lines together.
	HeadBytes int
	// HeadTimeout is the time that a caller may take to send a head.
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection stays open between two requests.
	IdleTimeout time.Duration
}

// Service describes how the targets of a service are used.
type Service struct {
	// Name is the name of the service on the instance list.
	Name string
	// ProbePath is the path that health probes and load probes request; empty means the path from the settings.
	ProbePath string
	// Warmup is how long a target is cold after its start.
	Warmup time.Duration
	// WarmupRate is the number of requests per second that a cold target tolerates from all instances together; 0 means
	// that it is not bounded.
	WarmupRate float64
}

// Limits of a document. They are constants rather than settings because validity depends on the bytes alone.
const (
	// MaxDocumentBytes is the largest size of a document: the platform stores values of up to 1 MB.
	MaxDocumentBytes = 1 << 20
	// MinDeadline is the shortest deadline, because the remaining time is propagated in whole milliseconds.
	MinDeadline = time.Millisecond
	// MaxDeadline is the longest deadline. It lets a request that arrives at the end of the default lame-duck period
	// (5 s) end within the default stop limit (60 s).
	MaxDeadline = 50 * time.Second
	// MaxBodyBytes is the largest body limit. A request body is held in memory until its last attempt has ended.
	MaxBodyBytes = 64 << 20
	// DefaultBodyBytes is the body limit of a rule that states none.
	DefaultBodyBytes = 1 << 20
	maxPathBytes     = 1024 // of a path pattern
)

// WithLimits returns copies of documents in which deadlines and body limits are capped. The settings of an instance can
// thus be stricter than the rules without affecting whether a document is valid.
func WithLimits(docs []*Document, maxDeadline time.Duration, maxBodyBytes int64) []*Document {
	capped := make([]*Document, len(docs))
	for i, d := range docs {
		c := *d
		c.Rules = make([]Rule, len(d.Rules))
		for n, r := range d.Rules {
			r.Deadline = min(r.Deadline, maxDeadline)
			r.BodyLimit = min(r.BodyLimit, maxBodyBytes)
			c.Rules[n] = r
		}
		capped[i] = &c
	}
	return capped
}
