package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/internal/e2e"
	"github.com/burdockpitch/burdockpitch/internal/standin"
	"github.com/burdockpitch/burdockpitch/platform"
	platformstandin "github.com/burdockpitch/burdockpitch/platform/standin"
)

const (
	demoHost      = "demo.example"
	demoService   = "registry"
	demoServers   = 3
	demoInstances = 2
)

// usePlatformDialect configures a load generator for the headers and the response bodies of the users' platform.
func usePlatformDialect(cfg *standin.LoadConfig, host string) {
	cfg.Dialect, cfg.Host, cfg.ExpectedBody = platform.Headers{}, host, platformstandin.ResponseBody
}

// runPlatformDemo serves lookups and bookings through two instances on stand-ins of the users' platform, and compares
// the responses with the ledgers of the servers.
func runPlatformDemo(ctx context.Context, c *e2e.Cluster, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	addresses := e2e.LoopbackAddresses(1 + demoServers + 4*demoInstances)
	storeAddress, addresses := addresses[0], addresses[1:]
	if _, err := c.Start("standin", "store", "--listen", storeAddress); err != nil {
		return err
	}
	if err := e2e.WaitStatus(ctx, "http://"+storeAddress+"/control/calls", http.StatusOK); err != nil {
		return err
	}
	servers, err := startDemoServers(ctx, c, storeAddress, addresses[:demoServers])
	if err != nil {
		return err
	}
	callerAddresses, err := startDemoInstances(ctx, c, storeAddress, addresses[demoServers:])
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "store %s, %d servers, instances %v\n", storeAddress, demoServers, callerAddresses)
	load := standin.LoadConfig{
		Endpoints: callerAddresses, Seed: 1, Mix: standin.Mix{Lookup: 0.7, Once: 0.3}, CallerTimeouts: standin.DefaultCallerTimeouts(),
		Stages: []standin.Stage{{Phase: standin.PhaseBefore, Rate: 100, Duration: 3 * time.Second}},
	}
	usePlatformDialect(&load, demoHost)
	result := standin.RunLoad(context.Background(), load) // not ctx, whose deadline covers only the start
	return reportPlatformDemo(out, result, servers)
}

// startDemoServers publishes the routes, starts the servers and registers them in the store.
func startDemoServers(ctx context.Context, c *e2e.Cluster, storeAddress string, addresses []string) ([]*e2e.Process, error) {
	routes := []platformstandin.Route{{Prefix: "/records/", Service: demoService, Idempotent: true}, {Prefix: "/bookings/", Service: demoService}}
	text, err := platformstandin.EncodeConfiguration(1, demoHost, routes)
	if err == nil {
		err = e2e.Put("http://"+storeAddress+"/control/items/"+platformstandin.ConfigurationKey, text)
	}
	if err != nil {
		return nil, err
	}
	var processes []*e2e.Process
	for i, address := range addresses {
		id := fmt.Sprint("i-", i)
		p, err := c.Start("standin", "server", "--listen", address, "--id", id, "--work", "10ms")
		if err != nil {
			return nil, err
		}
		processes = append(processes, p)
		if err := e2e.WaitStatus(ctx, "http://"+address+"/health", http.StatusOK); err != nil {
			return nil, err
		}
		entry := platformstandin.ServerEntry{
			Service: demoService, Address: address, Zone: "a", Slots: 4, State: "ready", Sequence: 1, StartMs: time.Now().UnixMilli(),
		}
		text, err := entry.Encode()
		if err == nil {
			err = e2e.Put("http://"+storeAddress+"/control/items/"+platformstandin.ServerKey(id), text)
		}
		if err != nil {
			return nil, err
		}
	}
	return processes, nil
}

// startDemoInstances starts the instances and waits until they are ready. Instance i uses the addresses 4i to 4i+3, of
// which 4i+2 is its peer address. It returns the addresses for callers.
func startDemoInstances(ctx context.Context, c *e2e.Cluster, storeAddress string, addresses []string) (callerAddresses []string, err error) {
	for i := range demoInstances {
		addrs := addresses[4*i : 4*i+4]
		inst := platformstandin.InstanceSettings{
			Zone: "a", CallerAddress: addrs[0], ReadyAddress: addrs[1], PeerAddress: addrs[2], AdminAddress: addrs[3],
			StoreAddress: storeAddress, SeedPeers: []string{addresses[2], addresses[6]},
		}
		if _, err := c.StartInstance(fmt.Sprint("entry-", i), inst.TOML()); err != nil {
			return nil, err
		}
		callerAddresses = append(callerAddresses, inst.CallerAddress)
		if err := e2e.WaitStatus(ctx, "http://"+inst.ReadyAddress+"/", http.StatusOK); err != nil {
			return nil, err
		}
	}
	return callerAddresses, nil
}

// reportPlatformDemo prints the results. It returns an error if a request was not served or a response contradicts the
// ledgers of the servers.
func reportPlatformDemo(out io.Writer, result *standin.LoadResult, servers []*e2e.Process) error {
	executions := make(map[string][]platformstandin.Execution)
	for _, p := range servers {
		platformstandin.AddExecutions(executions, p.Output())
	}
	served, mismatched := 0, 0
	for _, rec := range result.Records {
		if rec.Served() {
			served++
		}
		if rec.WrongResponse || rec.Refused() && len(executions[rec.ID]) > 0 || rec.Served() && len(executions[rec.ID]) == 0 {
			mismatched++
		}
	}
	fmt.Fprintf(out, "%d of %d served, %d responses contradict the ledgers\n", served, len(result.Records), mismatched)
	if mismatched > 0 || served < len(result.Records) {
		return eris.Errorf("%d of %d requests served, %d responses contradict the ledgers of the servers", served, len(result.Records), mismatched)
	}
	return nil
}
