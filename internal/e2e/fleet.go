package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/internal/standin"
	"github.com/burdockpitch/burdockpitch/pkg/admin"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// requestTimeout bounds each HTTP call of Fleet.client, so that a paused instance does not block the caller.
const requestTimeout = time.Second

// firstPort is below the ephemeral port range. An instance with a port of that range can fail to listen because an
// outgoing connection of another instance uses the port.
const firstPort = 7000

// maxSeedPeers is the largest number of seed peers in the settings of an instance.
const maxSeedPeers = 3

const paddingLine = "# a comment that only makes the document longer\n"

// Fleet is a platform stand-in with load balancer instances in three availability zones that exchange configuration
// with each other; there are no targets. It is not safe for concurrent use.
type Fleet struct {
	*Cluster
	// PlatformAddress is the address of the platform stand-in.
	PlatformAddress string
	// Instances are the instances that have not been killed.
	Instances []*Instance
	// GroupCount is the number of groups that the instances are spread over. Each group has a loopback address, and its
	// instances have seed peers of the same group in their settings. Instances of different groups know each other only
	// from the platform's instance list. Removing a group from this list therefore partitions the group from the others.
	GroupCount int
	// PaddingBytes is the size of the comments that Publish appends to a document, rounded down to whole lines.
	PaddingBytes int

	client  http.Client
	network string      // first three octets of the loopback addresses of the instances
	started []*Instance // also those that were killed
}

// Instance is a load balancer instance of a Fleet.
type Instance struct {
	*Process
	// AdminAddress serves the administration API. PeerAddress serves peers and identifies the instance on the
	// platform's instance list.
	AdminAddress, PeerAddress string
	zone                      string
	group                     int
	// lastVersion is the last version that the instance reported; a lower one later is a reversion.
	lastVersion rules.Version
}

// FleetDocument returns a configuration document of the service "registry" with one rule.
func FleetDocument(v rules.Version) string {
	return fmt.Sprintf("service = \"registry\"\nepoch = %d\nrevision = %d\n[rules]\n"+
		"lookup = { path = \"/records/*\", methods = [\"GET\"], class = \"lookup\", deadline = \"5s\" } # asked by the test\n",
		v.Epoch, v.Revision)
}

// NewFleet starts a platform stand-in and no instances. The fleet has one group.
func NewFleet(ctx context.Context, c *Cluster) (*Fleet, error) {
	addr, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Cluster: c, PlatformAddress: addr, GroupCount: 1,
		network: reserveLoopbackNetwork(), client: http.Client{Timeout: requestTimeout},
	}
	if _, err := c.Start("standin", "platform", "--listen", addr); err != nil {
		return nil, err
	}
	return f, WaitStatus(ctx, "http://"+addr+discovery.PathIndex, http.StatusOK)
}

// AddInstances starts n instances, with up to maxSeedPeers running instances of their group as seed peers, and updates
// the platform's instance list. It does not wait until they are ready.
func (f *Fleet) AddInstances(n int) error {
	for range n {
		if err := f.addInstance(); err != nil {
			return err
		}
	}
	return f.RegisterAll()
}

func (f *Fleet) addInstance() error {
	// Each instance has three ports: for the administration API, for peers and for callers.
	port, group := firstPort+3*len(f.started), len(f.started)%f.GroupCount
	portAddress := func(i int) string { return fmt.Sprintf("%s.%d:%d", f.network, group+1, port+i) }
	inst := &Instance{AdminAddress: portAddress(0), PeerAddress: portAddress(1), group: group, zone: string(rune('a' + len(f.started)%3))}
	var seeds []string
	for _, other := range f.InstancesInGroup(group) {
		seeds = append(seeds, fmt.Sprintf("%q", other.PeerAddress))
	}
	seeds = seeds[:min(len(seeds), maxSeedPeers)]
	settings := fmt.Sprintf("zone = %q\nadmin_listen = %q\npeer_listen = %q\nlisten = %q\nplatform = %q\npeers = [%s]\nlame_duck = \"100ms\"\n",
		inst.zone, inst.AdminAddress, inst.PeerAddress, portAddress(2), "http://"+f.PlatformAddress, strings.Join(seeds, ", "))
	p, err := f.StartInstance(fmt.Sprint("fleet", len(f.started)), settings)
	if err != nil {
		return err
	}
	inst.Process = p
	f.started = append(f.started, inst)
	f.Instances = append(f.Instances, inst)
	return nil
}

// InstancesInGroup returns the members of Instances that belong to a group, counted from 0.
func (f *Fleet) InstancesInGroup(group int) []*Instance {
	var list []*Instance
	for _, inst := range f.Instances {
		if inst.group == group {
			list = append(list, inst)
		}
	}
	return list
}

// RegisterAll replaces the platform's instance list by all members of Instances.
func (f *Fleet) RegisterAll() error { return f.RegisterOnly(f.Instances) }

// RegisterOnly replaces the platform's instance list by the given instances.
func (f *Fleet) RegisterOnly(instances []*Instance) error {
	var list []discovery.Instance
	for _, inst := range instances {
		list = append(list, discovery.Instance{
			Service: discovery.LoadBalancerService, Address: inst.PeerAddress, Zone: inst.zone, State: discovery.StateLive,
		})
	}
	return PublishInstances(f.PlatformAddress, list)
}

// Replace kills the instance with index i, removes it from Instances and appends a new one. The new instance has other
// addresses and can belong to another group.
func (f *Fleet) Replace(i int) error {
	inst := f.Instances[i]
	_ = inst.Signal(syscall.SIGCONT)
	if err := inst.Signal(syscall.SIGKILL); err != nil {
		return eris.Wrap(err, "kill instance")
	}
	<-inst.Done()
	f.Instances = slices.Delete(f.Instances, i, i+1)
	return f.AddInstances(1)
}

// Publish stores the document of the version, with padding, on the platform.
func (f *Fleet) Publish(v rules.Version) error {
	return PublishDocument(f.PlatformAddress, FleetDocument(v)+strings.Repeat(paddingLine, f.PaddingBytes/len(paddingLine)))
}

// SetPlatformFaults replaces all faults of the platform stand-in.
func (f *Fleet) SetPlatformFaults(faults standin.PlatformFaults) error {
	return setPlatformFaults(f.PlatformAddress, faults)
}

// PlatformCounts reads the counters of the platform stand-in.
func (f *Fleet) PlatformCounts() (c standin.PlatformCounts, err error) {
	return c, f.getJSON("http://"+f.PlatformAddress+"/control/counts", &c)
}

func (f *Fleet) getJSON(url string, dst any) error {
	resp, err := f.client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(dst), "decode JSON response")
}

// Version returns the version of "registry" in force at an instance, or zero if there is none. It returns ErrReverted
// if the version is lower than the one that an earlier call returned for this instance.
func (f *Fleet) Version(inst *Instance) (rules.Version, error) {
	var configuration admin.Configuration
	if err := f.getJSON("http://"+inst.AdminAddress+admin.PathConfiguration, &configuration); err != nil {
		return rules.Version{}, err
	}
	for _, c := range configuration.InForce {
		if c.Service != "registry" {
			continue
		}
		if c.Version.Less(inst.lastVersion) {
			return c.Version, eris.Wrapf(ErrReverted, "%v after %v at %s", c.Version, inst.lastVersion, inst.PeerAddress)
		}
		inst.lastVersion = c.Version
		return c.Version, nil
	}
	return rules.Version{}, nil
}

// CheckLogsForReversion checks the logs of all instances, including killed ones. It returns ErrReverted if the versions
// in a log do not rise from line to line, and another error if a log has no version. Unlike Version, it also finds a
// reversion that began and ended between two calls of Version.
func (f *Fleet) CheckLogsForReversion() error {
	for _, inst := range f.started {
		var last rules.Version
		for line := range strings.Lines(inst.Output()) {
			var entry struct {
				Message  string `json:"msg"`
				Epoch    uint64 `json:"epoch"`
				Revision uint64 `json:"revision"`
			}
			if json.Unmarshal([]byte(line), &entry) != nil || entry.Message != "configuration in force" {
				continue
			}
			v := rules.Version{Epoch: entry.Epoch, Revision: entry.Revision}
			if !last.Less(v) {
				return eris.Wrapf(ErrReverted, "%v after %v at %s", v, last, inst.PeerAddress)
			}
			last = v
		}
		if last == (rules.Version{}) {
			return eris.Errorf("no configuration version in the log of %s", inst.PeerAddress)
		}
	}
	return nil
}

// ErrReverted reports that an instance replaced its configuration by an earlier version.
var ErrReverted = eris.New("configuration reverted")

// WaitForVersion waits until the version or a later one is in force at each of the given instances. It polls one
// instance after another and returns ErrReverted as soon as one reports a lower version than before.
func (f *Fleet) WaitForVersion(ctx context.Context, v rules.Version, instances ...*Instance) error {
	for _, inst := range instances {
		var reverted error
		err := WaitFor(ctx, fmt.Sprintf("version %v at %s", v, inst.PeerAddress), func() error {
			got, err := f.Version(inst)
			if eris.Is(err, ErrReverted) {
				reverted = err
				return nil
			}
			if err == nil && got.Less(v) {
				err = eris.Errorf("version %v in force", got)
			}
			return err
		})
		if err != nil {
			return err
		}
		if reverted != nil {
			return reverted
		}
	}
	return nil
}

// WaitReady waits until all members of Instances are ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, inst := range f.Instances {
		if err := WaitStatus(ctx, "http://"+inst.AdminAddress+"/v1/ready", http.StatusOK); err != nil {
			return err
		}
	}
	return nil
}
