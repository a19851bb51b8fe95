package app

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/burdockpitch/burdockpitch/pkg/httpserver"
	"github.com/burdockpitch/burdockpitch/pkg/settings"
)

const (
	// bodyAllowance is the memory that each request has for its body, whatever others hold. It covers ordinary bodies.
	bodyAllowance = 4 << 10
	// localConnections bounds the connections to the administration API, and to the listener of readiness checks.
	localConnections = 16
	// localTimeout bounds the time in which a client of these listeners sends a request or takes a response, and the time
	// for which its connection stays idle.
	localTimeout = 10 * time.Second
	// localHeadBytes is the largest head of a request to these listeners.
	localHeadBytes = 16 << 10
)

// Parts of the resources of the process.
const (
	connectionDescriptorDivisor = 2 // the rest is for targets, peers, the store and files
	connectionMemoryDivisor     = 4
	responseHeadMemoryDivisor   = 8
	relayDivisor                = 8 // of all connections
	// minCallerConnections is the smallest bound on the connections of callers, however small the process is.
	minCallerConnections = 16
)

// capacityShares are the parts of the process that clients of all listeners, and the servers that it calls, can take.
type capacityShares struct {
	// callers, relays and local bound the connections of callers, of instances that relay requests, and of the clients of
	// each of the other HTTP listeners.
	callers, relays, local int
	// memory bounds the bytes of heads and bodies, in addition to httpserver.ConnectionBytes for each connection.
	memory int64
	// responseHeads bounds the bytes of the heads of responses, in addition to memorybudget.HeadAllowance for each.
	responseHeads int64
}

// newCapacityShares divides what the process may have. Where the settings don't say how much that is, it is what the
// system allows.
func newCapacityShares(s settings.Settings) (capacityShares, error) {
	descriptors := int64(s.Limits.Descriptors)
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return capacityShares{}, eris.Wrap(err, "read the limit on file descriptors")
	}
	if allowed := int64(min(limit.Cur, 1<<31)); descriptors == 0 || allowed < descriptors {
		descriptors = allowed
	}
	process := int64(s.Memory.Process)
	if process == 0 {
		var info unix.Sysinfo_t
		if err := unix.Sysinfo(&info); err != nil {
			return capacityShares{}, eris.Wrap(err, "read the memory of the machine")
		}
		process = int64(info.Totalram) * int64(info.Unit)
	}
	return divideCapacity(descriptors, process, s), nil
}

// divideCapacity returns the capacity of a process with this number of descriptors and bytes of memory.
func divideCapacity(descriptors, process int64, s settings.Settings) capacityShares {
	total := int64(s.Limits.Connections)
	if total == 0 {
		total = min(descriptors/connectionDescriptorDivisor, process/connectionMemoryDivisor/httpserver.ConnectionBytes)
	}
	relays := max(total/relayDivisor, 1)
	callers := max(total-relays-2*localConnections, minCallerConnections)
	return capacityShares{
		callers: int(callers), relays: int(relays), local: localConnections, memory: int64(float64(process) * s.Memory.BodyShare),
		responseHeads: process / responseHeadMemoryDivisor,
	}
}

// newLocalServer returns a server for clients near the instance: operators, collectors of metrics, and the platform's checks.
func (i *instance) newLocalServer(listener string, handler http.Handler) *httpserver.Server {
	cfg := i.gateway.ServerConfig(listener, i.capacity.local)
	cfg.Limits = httpserver.Limits{HeadBytes: localHeadBytes, HeadTimeout: localTimeout, IdleTimeout: localTimeout}
	cfg.SetRefusalHeaders = nil
	server := httpserver.New(handler, cfg)
	server.ReadTimeout, server.WriteTimeout = localTimeout, localTimeout
	return server
}
