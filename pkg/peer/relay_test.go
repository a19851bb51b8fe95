package peer

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests of other instances that are taken for messages, or the reverse, and against a connection that
// sends nothing and stays open.
func TestRelaysShareTheAddressOfMessages(t *testing.T) {
	nodes := startListedNodes(t, 1)
	n := nodes[0]
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })}
	go server.Serve(n.relayListener)
	defer server.Close()

	resp, err := http.Get("http://" + n.cfg.Self + "/relayed")
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "/relayed", string(body))

	other := startNode(t, "127.0.0.20", n.cfg.Self)
	n.SetSeeds(t.Context(), []string{other.cfg.Self})
	require.Eventually(t, func() bool { return other.PeerCount() == 1 && isExchanged(other) }, waitTimeout, time.Millisecond)

	silent, err := net.Dial("tcp", n.cfg.Self)
	require.NoError(t, err)
	defer silent.Close()
	require.NoError(t, silent.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err = silent.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
}

func isExchanged(n *testNode) bool {
	select {
	case <-n.FirstExchange():
		return true
	default:
		return false
	}
}
