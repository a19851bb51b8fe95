package core

// rateLimit is the request rate that a target accepts from all instances together.
type rateLimit struct {
	active    bool
	perSecond float64 // requests per second
	// statedAt is the time of the latest response that confirmed the limit, or its absence.
	statedAt Instant
}

// recordRequestRate applies the request rate that t states on a response, or its absence.
func (s *Service) recordRequestRate(now Instant, t *targetState, st Statement, out []Effect) []Effect {
	if !st.Responded {
		return out
	}
	l := &t.rateLimit
	l.statedAt = now
	if st.HasRequestRate == l.active && st.RequestRate == l.perSecond {
		return out
	}
	l.active, l.perSecond = st.HasRequestRate, st.RequestRate
	return append(out, Effect{Kind: ReportRateLimit, Target: t.id, Rate: l.perSecond, Unlimited: !l.active})
}
