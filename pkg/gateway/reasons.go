package gateway

import (
	"net/http"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

// Reasons for refusing a request before it reaches the reducer. Together with the reasons of package core they form a
// closed set.
const (
	ReasonNoConfiguration core.Reason = "no-configuration"
	ReasonNoRule          core.Reason = "no-rule"
	ReasonBodyTooLarge    core.Reason = "body-too-large"
	ReasonBodyBroken      core.Reason = "body-broken"
	ReasonBodySlow        core.Reason = "body-slow"
	ReasonUpgrade         core.Reason = "upgrade"
	ReasonConnect         core.Reason = "connect"
	ReasonRelayLimit      core.Reason = "relay-limit" // too many requests of other instances are in progress
)

// rejection is the response to a request that is refused before it reaches the reducer.
type rejection struct {
	reason core.Reason
	status int
	// retryAfter is short if the same request may succeed later, such as with a new configuration, and long if only a
	// changed request can succeed.
	retryAfter time.Duration
}

const (
	retryAfterShort = time.Second
	retryAfterLong  = time.Minute
)

var (
	rejectNoConfiguration = rejection{ReasonNoConfiguration, http.StatusServiceUnavailable, retryAfterShort}
	rejectNoRule          = rejection{ReasonNoRule, http.StatusNotFound, retryAfterShort}
	rejectBodyTooLarge    = rejection{ReasonBodyTooLarge, http.StatusRequestEntityTooLarge, retryAfterLong}
	rejectBodyBroken      = rejection{ReasonBodyBroken, http.StatusBadRequest, retryAfterLong}
	rejectBodySlow        = rejection{ReasonBodySlow, http.StatusRequestTimeout, retryAfterShort}
	rejectUpgrade         = rejection{ReasonUpgrade, http.StatusNotImplemented, retryAfterLong}
	rejectConnect         = rejection{ReasonConnect, http.StatusNotImplemented, retryAfterLong}
	rejectRelayLimit      = rejection{ReasonRelayLimit, http.StatusServiceUnavailable, retryAfterShort}
)

var rejections = []rejection{
	rejectNoConfiguration, rejectNoRule, rejectBodyTooLarge, rejectBodyBroken, rejectBodySlow, rejectUpgrade, rejectConnect,
	rejectRelayLimit,
}

// refusalStatus returns the HTTP status for a refusal by the reducer. A request that may have run gets 502 or 504.
func refusalStatus(refusal core.Effect) int {
	switch {
	case refusal.Reason == core.ReasonLoop:
		return http.StatusLoopDetected
	case refusal.NotRun:
		return http.StatusServiceUnavailable
	case refusal.Reason == core.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
