package gateway

import (
	"net/http"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/httpserver"
)

// Reasons for refusing a request before it reaches the reducer. Together with the reasons of package core they form a
// closed set, to which httpserver.Reason adds those for requests that are refused before they are read whole.
const (
	ReasonNoConfiguration core.Reason = "no-configuration"
	ReasonNoRule          core.Reason = "no-rule"
	ReasonBodyTooLarge    core.Reason = "body-too-large"
	ReasonBodyBroken      core.Reason = "body-broken"
	ReasonBodySlow        core.Reason = "body-slow"
	ReasonBodyMemory      core.Reason = "body-memory" // no memory is available for the body
	ReasonUpgrade         core.Reason = "upgrade"
	ReasonConnect         core.Reason = "connect"
	ReasonConnectionLimit core.Reason = core.Reason(httpserver.ReasonConnectionLimit) // a new connection has replaced this one
	ReasonRelayLimit      core.Reason = "relay-limit"                                 // too many requests of other instances are in progress
)

// rejection is the response to a request that is refused before it reaches the reducer.
type rejection struct {
	reason core.Reason
	status int
	// retryAfter is short if the same request may succeed later, such as with a new configuration, and long if only a
	// changed request can succeed.
	retryAfter time.Duration
	// bodyUnread is set if the caller may still be sending the body.
	bodyUnread bool
	// immediate is set if the rejection must not wait for the body. Its connection is closed.
	immediate bool
}

const (
	retryAfterShort = time.Second
	retryAfterLong  = time.Minute
)

var (
	rejectNoConfiguration = rejection{reason: ReasonNoConfiguration, status: http.StatusServiceUnavailable, retryAfter: retryAfterShort}
	rejectNoRule          = rejection{reason: ReasonNoRule, status: http.StatusNotFound, retryAfter: retryAfterShort}
	rejectBodyTooLarge    = rejection{reason: ReasonBodyTooLarge, status: http.StatusRequestEntityTooLarge, retryAfter: retryAfterLong, bodyUnread: true}
	rejectBodyBroken      = rejection{reason: ReasonBodyBroken, status: http.StatusBadRequest, retryAfter: retryAfterLong}
	rejectBodySlow        = rejection{reason: ReasonBodySlow, status: http.StatusRequestTimeout, retryAfter: retryAfterShort}
	rejectBodyMemory      = rejection{reason: ReasonBodyMemory, status: http.StatusServiceUnavailable, bodyUnread: true, immediate: true} // retryAfter is calculated
	rejectUpgrade         = rejection{reason: ReasonUpgrade, status: http.StatusNotImplemented, retryAfter: retryAfterLong}
	rejectConnect         = rejection{reason: ReasonConnect, status: http.StatusNotImplemented, retryAfter: retryAfterLong}
	rejectConnectionLimit = rejection{reason: ReasonConnectionLimit, status: http.StatusServiceUnavailable, retryAfter: retryAfterShort, immediate: true}
	rejectRelayLimit      = rejection{reason: ReasonRelayLimit, status: http.StatusServiceUnavailable, retryAfter: retryAfterShort}
	rejectStopping        = rejection{reason: core.ReasonStopping, status: http.StatusServiceUnavailable, retryAfter: core.StoppingRetryAfter, bodyUnread: true, immediate: true}
)

var rejections = []rejection{
	rejectNoConfiguration, rejectNoRule, rejectBodyTooLarge, rejectBodyBroken, rejectBodySlow, rejectBodyMemory,
	rejectUpgrade, rejectConnect, rejectConnectionLimit, rejectRelayLimit, rejectStopping,
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
