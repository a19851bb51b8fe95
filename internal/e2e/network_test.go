package e2e

import (
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two test processes that run at the same time on the same loopback network, where the requests of one
// reach the instances of the other.
func TestLoopbackNetworkIsReserved(t *testing.T) {
	network := reserveLoopbackNetwork()
	l, err := net.Listen("tcp", reservations.listeners[len(reservations.listeners)-1].Addr().String())
	if err == nil {
		l.Close()
	}
	require.Error(t, err)
	for range 100 {
		require.False(t, strings.HasPrefix(LoopbackAddresses(1)[0], network+"."))
	}
}
