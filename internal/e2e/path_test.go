package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

var testBinaryDir string

// TestMain builds the programs that the tests start as separate processes.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	if err := BuildPrograms(dir); err != nil {
		panic(err)
	}
	testBinaryDir = dir
	return m.Run()
}

const testDocument = `service = "registry"
epoch = 1
revision = 1
[rules]
lookup = { path = "/records/*", methods = ["GET"], class = "lookup", deadline = "5s" } # asked by the test
booking = { path = "/bookings/*", methods = ["POST"], class = "once", deadline = "5s" } # asked by the test
`

// simpleDeployment is a platform stand-in with targets in three zones and instances in zone "a" that have no peers.
type simpleDeployment struct {
	*Cluster
	platformAddress   string
	targetAddresses   []string
	callerAddresses   []string // addresses of the instances for callers
	adminAddresses    []string
	instanceProcesses []*Process
}

func freeAddress(t *testing.T) string {
	t.Helper()
	addr, err := FreeAddress()
	require.NoError(t, err)
	return addr
}

// startSimpleDeployment starts the processes and waits until all instances are ready.
func startSimpleDeployment(ctx context.Context, t *testing.T, targets, instances int) *simpleDeployment {
	t.Helper()
	d := &simpleDeployment{Cluster: NewCluster(testBinaryDir, t.TempDir()), platformAddress: freeAddress(t)}
	t.Cleanup(d.Stop)
	_, err := d.Start("standin", "platform", "--listen", d.platformAddress)
	require.NoError(t, err)
	var list []discovery.Instance
	for i := range targets {
		addr := freeAddress(t)
		_, err := d.Start("standin", "target", "--listen", addr, "--service-time", "2ms")
		require.NoError(t, err)
		d.targetAddresses = append(d.targetAddresses, addr)
		zone := string(rune('a' + i%3))
		list = append(list, discovery.Instance{Service: "registry", Address: addr, Zone: zone, Start: "1", State: discovery.StateLive})
	}
	require.NoError(t, WaitStatus(ctx, "http://"+d.platformAddress+discovery.PathIndex, http.StatusOK))
	require.NoError(t, PublishInstances(d.platformAddress, list))
	require.NoError(t, PublishDocument(d.platformAddress, testDocument))
	for range instances {
		d.addInstance(t)
	}
	for _, admin := range d.adminAddresses {
		require.NoError(t, WaitStatus(ctx, "http://"+admin+"/v1/ready", http.StatusOK))
	}
	return d
}

func (d *simpleDeployment) addInstance(t *testing.T) {
	t.Helper()
	caller, admin := freeAddress(t), freeAddress(t)
	settings := fmt.Sprintf("zone = \"a\"\nlisten = %q\nadmin_listen = %q\nplatform = %q\nlame_duck = \"100ms\"\n",
		caller, admin, "http://"+d.platformAddress)
	p, err := d.StartInstance(fmt.Sprint("entry", len(d.instanceProcesses)), settings)
	require.NoError(t, err)
	d.callerAddresses = append(d.callerAddresses, caller)
	d.adminAddresses = append(d.adminAddresses, admin)
	d.instanceProcesses = append(d.instanceProcesses, p)
}

// Guards against programs that work in tests of their packages but not together: an instance that, as a separate
// process, does not read its settings, find the targets or return their responses to lookups and bookings.
func TestRequestIsServedThroughSeparateProcesses(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d := startSimpleDeployment(ctx, t, 3, 2)
	for _, caller := range d.callerAddresses {
		resp, err := http.Get("http://" + caller + "/records/1")
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, string(wire.OutcomeAnswered), resp.Header.Get(wire.HeaderOutcome))

		resp, err = http.Post("http://"+caller+"/bookings/1", "text/plain", strings.NewReader("horse 7"))
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
}
