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

// requestTimeout bounds each call to the administration API, so that a paused instance does not hold up a caller.
const requestTimeout = time.Second

// firstPort is below the range from which the kernel takes ports of outgoing connections. With ports of that range, an
// instance can find its port in use by a connection of another one.
const firstPort = 7000

const maxSeedPeers = 3

const paddingLine = "# a comment that only makes the document longer\n"

// Fleet is a platform stand-in with entry instances in three zones that know each other. It is used by one goroutine.
type Fleet struct {
	*Cluster
	// PlatformAddress is the address of the platform stand-in.
	PlatformAddress string
	// Instances are the running entry instances.
	Instances []*Instance
	// GroupCount is the number of loopback addresses that the entry instances are spread over, and know each other by from
	// the settings. Between groups, instances know each other from the platform's list only, so that a list without a
	// group separates it.
	GroupCount int
	// PaddingBytes is the size of the comments that Publish adds to a document, in bytes.
	PaddingBytes int

	client  http.Client
	network string      // loopback network of the entry instances
	started []*Instance // also those that were killed
}

// Instance is one entry instance.
type Instance struct {
	*Process
	// AdminAddress and PeerAddress are its addresses; PeerAddress also names it to the platform.
	AdminAddress, PeerAddress string
	zone                      string
	group                     int
	// lastVersion is the highest version reported, to notice a reversion.
	lastVersion rules.Version
}

// FleetDocument returns a small document of the service "registry".
func FleetDocument(v rules.Version) string {
	return fmt.Sprintf("service = \"registry\"\nepoch = %d\nrevision = %d\n[rules]\n"+
		"lookup = { path = \"/records/*\", methods = [\"GET\"], class = \"lookup\", deadline = \"5s\" } # asked by the test\n",
		v.Epoch, v.Revision)
}

// NewFleet starts a platform stand-in without entry instances.
func NewFleet(ctx context.Context, c *Cluster) (*Fleet, error) {
	addr, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	f := &Fleet{Cluster: c, PlatformAddress: addr, GroupCount: 1, network: randomLoopbackNetwork(), client: http.Client{Timeout: requestTimeout}}
	if _, err := c.Start("standin", "platform", "--listen", addr); err != nil {
		return nil, err
	}
	return f, WaitStatus(ctx, "http://"+addr+discovery.PathIndex, http.StatusOK)
}

// AddInstances starts n entry instances, with the running ones as seeds, and lists them on the platform.
func (f *Fleet) AddInstances(n int) error {
	for range n {
		if err := f.addInstance(); err != nil {
			return err
		}
	}
	return f.RegisterAll()
}

func (f *Fleet) addInstance() error {
	port, group := firstPort+3*len(f.started), len(f.started)%f.GroupCount
	portAddress := func(i int) string { return fmt.Sprintf("%s.%d:%d", f.network, group+1, port+i) }
	inst := &Instance{AdminAddress: portAddress(0), PeerAddress: portAddress(1), group: group, zone: string(rune('a' + len(f.started)%3))}
	var seeds []string
	for _, other := range f.InstancesInGroup(group) {
		seeds = append(seeds, fmt.Sprintf("%q", other.PeerAddress))
	}
	seeds = seeds[:min(len(seeds), maxSeedPeers)]
	text := fmt.Sprintf("zone = %q\nadmin_listen = %q\npeer_listen = %q\nlisten = %q\nplatform = %q\npeers = [%s]\nlame_duck = \"100ms\"\n",
		inst.zone, inst.AdminAddress, inst.PeerAddress, portAddress(2), "http://"+f.PlatformAddress, strings.Join(seeds, ", "))
	p, err := f.StartInstance(fmt.Sprint("fleet", len(f.started)), text)
	if err != nil {
		return err
	}
	inst.Process = p
	f.started = append(f.started, inst)
	f.Instances = append(f.Instances, inst)
	return nil
}

// InstancesInGroup returns the running entry instances of a group.
func (f *Fleet) InstancesInGroup(group int) []*Instance {
	var list []*Instance
	for _, inst := range f.Instances {
		if inst.group == group {
			list = append(list, inst)
		}
	}
	return list
}

// RegisterAll puts the running entry instances on the platform's list.
func (f *Fleet) RegisterAll() error { return f.RegisterOnly(f.Instances) }

// RegisterOnly puts the given entry instances on the platform's list.
func (f *Fleet) RegisterOnly(instances []*Instance) error {
	var list []discovery.Instance
	for _, inst := range instances {
		list = append(list, discovery.Instance{
			Service: discovery.LoadBalancerService, Address: inst.PeerAddress, Zone: inst.zone, State: discovery.StateLive,
		})
	}
	return PublishInstances(f.PlatformAddress, list)
}

// Replace kills an entry instance and starts another in its place.
func (f *Fleet) Replace(i int) error {
	inst := f.Instances[i]
	_ = inst.Signal(syscall.SIGCONT)
	if err := inst.Signal(syscall.SIGKILL); err != nil {
		return eris.Wrap(err, "kill entry instance")
	}
	<-inst.Done()
	f.Instances = slices.Delete(f.Instances, i, i+1)
	return f.AddInstances(1)
}

// Publish publishes a document of the version.
func (f *Fleet) Publish(v rules.Version) error {
	return PublishDocument(f.PlatformAddress, FleetDocument(v)+strings.Repeat(paddingLine, f.PaddingBytes/len(paddingLine)))
}

// SetPlatformFaults replaces the faults of the platform.
func (f *Fleet) SetPlatformFaults(faults standin.PlatformFaults) error {
	return setPlatformFaults(f.PlatformAddress, faults)
}

// PlatformCounts returns how much the platform was read.
func (f *Fleet) PlatformCounts() (c standin.PlatformCounts, err error) {
	return c, f.getJSON("http://"+f.PlatformAddress+"/control/counts", &c)
}

func (f *Fleet) getJSON(url string, into any) error {
	resp, err := f.client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(into), "decode reply")
}

// Version returns the version of "registry" in force at an instance; zero if there is none. A version below one that
// the instance reported before is an ErrReverted.
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

// CheckLogsForReversion returns an ErrReverted if any instance, also one that was killed, logged a lower version after a higher one.
// Unlike Version it does not miss a reversion that was over before the next call.
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
			return eris.Errorf("no version in the log of %s", inst.PeerAddress)
		}
	}
	return nil
}

// ErrReverted reports an instance that went back to an earlier configuration.
var ErrReverted = eris.New("configuration reverted")

// WaitForVersion waits until the version is in force at the given instances.
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

// WaitReady waits until all instances are ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, inst := range f.Instances {
		if err := WaitStatus(ctx, "http://"+inst.AdminAddress+"/v1/ready", http.StatusOK); err != nil {
			return err
		}
	}
	return nil
}
