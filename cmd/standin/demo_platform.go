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
	users "github.com/burdockpitch/burdockpitch/platform/standin"
)

const (
	demoHost    = "demo.example"
	demoService = "registry"
	demoServers = 3
	demoEntries = 2
)

// speakUsersPlatform makes a load generator write the headers of the users' platform.
func speakUsersPlatform(cfg *standin.LoadConfig, host string) {
	cfg.Dialect, cfg.Host, cfg.Answer = platform.Headers{}, host, users.AnswerBody
}

// demoPlatform serves lookups and bookings through two entry instances on stand-ins of the users' platform, and compares
// what callers were told with what ran.
func demoPlatform(ctx context.Context, c *e2e.Cluster, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	addresses := e2e.LoopbackAddresses(1 + demoServers + 4*demoEntries)
	store, addresses := addresses[0], addresses[1:]
	if _, err := c.Start("standin", "store", "--listen", store); err != nil {
		return err
	}
	if err := e2e.WaitStatus(ctx, "http://"+store+"/control/calls", http.StatusOK); err != nil {
		return err
	}
	servers, err := startDemoServers(ctx, c, store, addresses[:demoServers])
	if err != nil {
		return err
	}
	callers, err := startDemoEntries(ctx, c, store, addresses[demoServers:])
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "store %s, %d servers, entry instances %v\n", store, demoServers, callers)
	load := standin.LoadConfig{
		Entries: callers, Seed: 1, Mix: standin.Mix{Lookup: 0.7, Once: 0.3}, Wait: standin.DefaultWait(),
		Stages: []standin.Stage{{Phase: standin.PhaseBefore, Rate: 100, Length: 3 * time.Second}},
	}
	speakUsersPlatform(&load, demoHost)
	result := standin.RunLoad(context.Background(), load)
	return judgeDemo(out, result, servers)
}

func startDemoServers(ctx context.Context, c *e2e.Cluster, store string, addresses []string) ([]*e2e.Process, error) {
	routes := []users.Route{{Prefix: "/records/", Service: demoService, Repeatable: true}, {Prefix: "/bookings/", Service: demoService}}
	text, err := users.Configuration(1, demoHost, routes)
	if err == nil {
		err = e2e.Put("http://"+store+"/control/items/"+users.ConfigurationKey, text)
	}
	if err != nil {
		return nil, err
	}
	var list []*e2e.Process
	for i, address := range addresses {
		id := fmt.Sprint("i-", i)
		p, err := c.Start("standin", "server", "--listen", address, "--id", id, "--work", "10ms")
		if err != nil {
			return nil, err
		}
		list = append(list, p)
		if err := e2e.WaitStatus(ctx, "http://"+address+"/health", http.StatusOK); err != nil {
			return nil, err
		}
		entry := users.Entry{
			Service: demoService, Address: address, Zone: "a", Slots: 4, State: "ready", Sequence: 1, Born: time.Now().UnixMilli(),
		}
		text, err := entry.Text()
		if err == nil {
			err = e2e.Put("http://"+store+"/control/items/"+users.ServerKey(id), text)
		}
		if err != nil {
			return nil, err
		}
	}
	return list, nil
}

func startDemoEntries(ctx context.Context, c *e2e.Cluster, store string, addresses []string) (callers []string, err error) {
	for i := range demoEntries {
		own := addresses[4*i : 4*i+4]
		in := users.Instance{
			Zone: "a", Callers: own[0], Ready: own[1], Peers: own[2], Admin: own[3], Store: store, Seeds: []string{addresses[2], addresses[6]},
		}
		if _, err := c.StartInstance(fmt.Sprint("entry-", i), in.Settings()); err != nil {
			return nil, err
		}
		callers = append(callers, in.Callers)
		if err := e2e.WaitStatus(ctx, "http://"+in.Ready+"/", http.StatusOK); err != nil {
			return nil, err
		}
	}
	return callers, nil
}

// judgeDemo compares the ledgers of the servers with what callers were told.
func judgeDemo(out io.Writer, result *standin.LoadResult, servers []*e2e.Process) error {
	runs := make(map[string][]users.Run)
	for _, p := range servers {
		users.AddRuns(runs, p.Output())
	}
	served, wrong := 0, 0
	for _, rec := range result.Records {
		if rec.Served() {
			served++
		}
		if rec.Wrong || rec.Refused() && len(runs[rec.ID]) > 0 || rec.Served() && len(runs[rec.ID]) == 0 {
			wrong++
		}
	}
	fmt.Fprintf(out, "%d of %d served, %d told something else than what ran\n", served, len(result.Records), wrong)
	if wrong > 0 || served < len(result.Records) {
		return eris.Errorf("%d of %d served, %d wrong", served, len(result.Records), wrong)
	}
	return nil
}
