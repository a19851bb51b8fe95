package admin

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/httpclient"
)

const (
	clientTimeout    = 5 * time.Second
	maxResponseBytes = 16 << 20 // a response with 1,100 targets takes less than 1 MiB
)

// Client reads the administration API of an instance. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client for the instance whose administration API is at addr ("ip:port").
func NewClient(addr string) *Client {
	client := httpclient.NewClient(&http.Transport{DialContext: (&net.Dialer{}).DialContext, IdleConnTimeout: clientTimeout})
	client.Timeout = clientTimeout
	return &Client{baseURL: "http://" + strings.TrimPrefix(addr, "http://"), http: client}
}

// Status combines the parts of the administration API for one instance.
type Status struct {
	// Ready is "ready", else the reason why the instance is not ready.
	Ready         string        `json:"ready"`
	Configuration Configuration `json:"configuration"`
	// EvacuatedZones is that of Targets.
	EvacuatedZones []string         `json:"evacuated_zones,omitempty"`
	Targets        []ServiceTargets `json:"targets"`
	Instances      []Instance       `json:"instances"`
	Budgets        []ServiceBudgets `json:"budgets"`
	// Quarantined lists the requests that are withheld.
	Quarantined []QuarantinedRequest `json:"quarantined"`
}

// Status reads all parts of the status. The parts are read one after another, so they are not a consistent snapshot. It
// returns no error for an instance that is not ready.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var (
		s         Status
		ready     State
		targets   Targets
		instances Instances
		budgets   Budgets
		withheld  Quarantine
	)
	for _, part := range []struct {
		path string
		dst  any
	}{
		{PathReady, &ready}, {PathConfiguration, &s.Configuration}, {PathTargets, &targets},
		{PathInstances, &instances}, {PathBudgets, &budgets}, {PathQuarantine, &withheld},
	} {
		if err := c.get(ctx, part.path, part.dst); err != nil {
			return Status{}, err
		}
	}
	s.Ready, s.Targets, s.Instances, s.Budgets = ready.State, targets.Services, instances.Instances, budgets.Services
	s.EvacuatedZones, s.Quarantined = targets.EvacuatedZones, withheld.Requests
	return s, nil
}

func (c *Client) get(ctx context.Context, path string, dst any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return eris.Wrap(err, "build request to administration API")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(err, "read administration API")
	}
	defer resp.Body.Close()
	// PathReady returns 503 with the reason if the instance is not ready.
	if resp.StatusCode != http.StatusOK && (path != PathReady || resp.StatusCode != http.StatusServiceUnavailable) {
		return eris.Errorf("read %s: status %d", path, resp.StatusCode)
	}
	text, err := httpclient.ReadBody(resp, maxResponseBytes)
	if err != nil {
		return eris.Wrapf(err, "read %s", path)
	}
	return eris.Wrapf(httpclient.DecodeJSON(text, dst), "decode %s", path)
}
