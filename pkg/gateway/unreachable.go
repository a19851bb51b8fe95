package gateway

import (
	"errors"
	"net"
	"syscall"
)

// connectFailureCause returns why a connection could not be opened, as a metric label.
func connectFailureCause(err error) string {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.As(err, &netErr) && netErr.Timeout():
		return "timeout"
	}
	return "other"
}
