package httpserver

import (
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockpitch/burdockpitch/internal/sockets"
	"github.com/burdockpitch/burdockpitch/pkg/memorybudget"
)

// Limits bounds what one client can send, and how long it can take.
type Limits struct {
	// HeadBytes is the largest size of the request line, and of the header lines together. A larger one gets status 431.
	HeadBytes int
	// HeadTimeout is the time for a head, from its first byte, and from the accept of a connection to the first byte. A
	// head that takes longer gets status 408.
	HeadTimeout time.Duration
	// IdleTimeout is the time for which a connection stays open between two requests.
	IdleTimeout time.Duration
}

// DefaultLimits has a head timeout that is long enough for a slow caller on a congested network, and a size that is large
// enough for the cookies and tokens that common gateways accept. The idle timeout is longer than those of common load
// balancers in front of this one: they then close first, and no request arrives on a connection that is being closed.
var DefaultLimits = Limits{HeadBytes: 64 << 10, HeadTimeout: 10 * time.Second, IdleTimeout: 10 * time.Minute}

// Config configures a Server.
type Config struct {
	// Listener names the listener in metrics and the log.
	Listener string
	// Limits bounds what one client can send; zero means DefaultLimits. SetLimits changes it.
	Limits Limits
	// MaxConnections bounds the open connections; zero means no bound. At the bound, a new connection replaces the one that
	// has waited for its client for the longest time.
	MaxConnections int
	// Memory bounds the heads of all connections together; nil means no bound. memorybudget.HeadAllowance bytes of each are
	// not counted.
	Memory *memorybudget.Budget
	// Now is the time for Memory.
	Now func() time.Duration
	// SetRefusalHeaders sets the headers of a response that refuses a request before it is read whole; nil sets none. Such
	// a request has not run.
	SetRefusalHeaders func(h http.Header, reason Reason, retryAfter time.Duration)
	// Metrics counts refused requests and closed connections; nil counts none.
	Metrics *Metrics
	Log     logr.Logger
}

// Reason says why a Server has refused a request or closed a connection.
type Reason string

// Reasons of refusals, with the status of the response. Connections that wait for a first byte or for a next request are
// closed without a response.
const (
	// ReasonHeadTooLarge (431) means that a head exceeds Limits.HeadBytes.
	ReasonHeadTooLarge Reason = "head-too-large"
	// ReasonHeadSlow (408) means that a head was not complete within Limits.HeadTimeout.
	ReasonHeadSlow Reason = "head-slow"
	// ReasonHeadMemory (503) means that Config.Memory has no room for a head.
	ReasonHeadMemory Reason = "head-memory"
	// ReasonConnectionLimit (503) means that the connection was replaced by a new one, or found no other to replace.
	ReasonConnectionLimit Reason = "connection-limit"
	// ReasonIdle means that Limits.IdleTimeout has passed, or Limits.HeadTimeout without a first byte.
	ReasonIdle Reason = "idle"
)

// Times after which a refused request may be sent again. A head that is too large stays so.
const (
	retryAfterShort = time.Second
	retryAfterLong  = time.Minute
)

// ConnectionBytes is the memory that a connection takes at most, apart from what Config.Memory counts: buffers, stacks,
// memorybudget.HeadAllowance, and the bytes that were received and not read yet.
const ConnectionBytes = 28<<10 + memorybudget.HeadAllowance + sockets.ReceiveBufferBytes
