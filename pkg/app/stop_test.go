package app

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/gateway"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/settings"
)

// Guards against a graceful stop that hangs on a request without a response, and against one that aborts the request
// without counting it.
func TestStopTimeoutCountsAbortedRequests(t *testing.T) {
	silentTarget, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silentTarget.Close()
	arrived := make(chan struct{})
	go func() { // reads the request and sends no response
		c, err := silentTarget.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 1))
		close(arrived)
		_, _ = io.Copy(io.Discard, c)
	}()
	doc, err := rules.Parse("test", []byte("service = \"registry\"\nepoch = 1\nrevision = 1\n[rules]\n"+
		"lookup = { path = \"/*\", methods = [\"GET\"], class = \"lookup\", deadline = \"30s\" } # asked by the test\n"))
	require.NoError(t, err)
	s := settings.Default()
	s.LameDuck, s.StopLimit = 0, settings.Duration(50*time.Millisecond)
	reg := prometheus.NewRegistry()
	g := gateway.New(newGatewayConfig(s, Adapter{}, capacityShares{}), gateway.NewMetrics(reg), logr.Discard())
	g.MarkSynced()
	g.SetDocuments([]*rules.Document{doc})
	g.SetTargets(discovery.InstanceList{Instances: []discovery.Instance{
		{Service: "registry", Address: silentTarget.Addr().String(), State: discovery.StateLive},
	}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := g.NewServer()
	go server.Serve(l)

	requestErr := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + l.Addr().String() + "/x")
		if err == nil {
			resp.Body.Close()
		}
		requestErr <- err
	}()
	<-arrived // a request that has not been sent is refused
	require.Equal(t, 1, g.Active())
	inst := &instance{settings: s, log: logr.Discard(), gateway: g}
	inst.stop(time.Now().Add(s.StopLimit.Std()), server)
	require.Error(t, <-requestErr)
	require.Error(t, inst.Ready())
	require.NoError(t, testutil.GatherAndCompare(reg, strings.NewReader(
		"# HELP burdockpitch_stop_aborted_requests_total Requests cut by the limit of a graceful stop.\n"+
			"# TYPE burdockpitch_stop_aborted_requests_total counter\nburdockpitch_stop_aborted_requests_total 1\n"),
		"burdockpitch_stop_aborted_requests_total"))
}
