package gateway

import "sync/atomic"

// atomicString is a string that is read and written by several goroutines.
type atomicString struct{ p atomic.Pointer[string] }

// Load returns the stored string.
func (s *atomicString) Load() string {
	if p := s.p.Load(); p != nil {
		return *p
	}
	return ""
}

// Store replaces the string.
func (s *atomicString) Store(text string) { s.p.Store(&text) }
