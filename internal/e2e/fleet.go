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

// requestLimit bounds each call to the administration API, so that a paused instance does not hold up a caller.
const requestLimit = time.Second

// firstPort is below the range from which the kernel takes ports of outgoing connections. With ports of that range, an
// instance can find its port in use by a connection of another one.
const firstPort = 7000

const maxSeeds = 3

const paddingLine = "# a comment that only makes the document longer\n"

// Fleet is a platform stand-in with entry instances in three zones that know each other. It is used by one goroutine.
type Fleet struct {
	*Cluster
	// Platform is the address of the platform stand-in.
	Platform string
	// Entries are the running entry instances.
	Entries []*Entry
	// Groups is the number of loopback addresses that the entry instances are spread over, and know each other by from
	// the settings. Between groups, instances know each other from the platform's list only, so that a list without a
	// group separates it.
	Groups int
	// Padding is the size of the comments that Publish adds to a document, in bytes.
	Padding int

	client http.Client
	net    string   // loopback network of the entry instances
	all    []*Entry // also those that were killed
}

// Entry is one entry instance.
type Entry struct {
	*Process
	// Admin and Peer are its addresses; Peer also names it to the platform.
	Admin, Peer string
	zone        string
	group       int
	// last is the highest version reported, to notice a reversion.
	last rules.Version
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
	f := &Fleet{Cluster: c, Platform: addr, Groups: 1, net: loopbackNetwork(), client: http.Client{Timeout: requestLimit}}
	if _, err := c.Start("standin", "platform", "--listen", addr); err != nil {
		return nil, err
	}
	return f, WaitStatus(ctx, "http://"+addr+discovery.PathIndex, http.StatusOK)
}

// Add starts n entry instances, with the running ones as seeds, and lists them on the platform.
func (f *Fleet) Add(n int) error {
	for range n {
		if err := f.addOne(); err != nil {
			return err
		}
	}
	return f.List()
}

func (f *Fleet) addOne() error {
	port, group := firstPort+3*len(f.all), len(f.all)%f.Groups
	address := func(i int) string { return fmt.Sprintf("%s.%d:%d", f.net, group+1, port+i) }
	e := &Entry{Admin: address(0), Peer: address(1), group: group, zone: string(rune('a' + len(f.all)%3))}
	var seeds []string
	for _, other := range f.Group(group) {
		seeds = append(seeds, fmt.Sprintf("%q", other.Peer))
	}
	seeds = seeds[:min(len(seeds), maxSeeds)]
	text := fmt.Sprintf("zone = %q\nadmin_listen = %q\npeer_listen = %q\nlisten = %q\nplatform = %q\npeers = [%s]\nlame_duck = \"100ms\"\n",
		e.zone, e.Admin, e.Peer, address(2), "http://"+f.Platform, strings.Join(seeds, ", "))
	p, err := f.StartEntry(fmt.Sprint("fleet", len(f.all)), text)
	if err != nil {
		return err
	}
	e.Process = p
	f.all = append(f.all, e)
	f.Entries = append(f.Entries, e)
	return nil
}

// Group returns the running entry instances of a group.
func (f *Fleet) Group(group int) []*Entry {
	var list []*Entry
	for _, e := range f.Entries {
		if e.group == group {
			list = append(list, e)
		}
	}
	return list
}

// List puts the running entry instances on the platform's list.
func (f *Fleet) List() error { return f.ListOnly(f.Entries) }

// ListOnly puts the given entry instances on the platform's list.
func (f *Fleet) ListOnly(entries []*Entry) error {
	var list []discovery.Instance
	for _, e := range entries {
		list = append(list, discovery.Instance{
			Service: discovery.LoadBalancerService, Address: e.Peer, Zone: e.zone, State: discovery.StateLive,
		})
	}
	return PublishInstances(f.Platform, list)
}

// Replace kills an entry instance and starts another in its place.
func (f *Fleet) Replace(i int) error {
	e := f.Entries[i]
	_ = e.Signal(syscall.SIGCONT)
	if err := e.Signal(syscall.SIGKILL); err != nil {
		return eris.Wrap(err, "kill entry instance")
	}
	<-e.Done()
	f.Entries = slices.Delete(f.Entries, i, i+1)
	return f.Add(1)
}

// Publish publishes a document of the version.
func (f *Fleet) Publish(v rules.Version) error {
	return PublishDocument(f.Platform, FleetDocument(v)+strings.Repeat(paddingLine, f.Padding/len(paddingLine)))
}

// SetFaults replaces the faults of the platform.
func (f *Fleet) SetFaults(faults standin.PlatformFaults) error {
	return setPlatformFaults(f.Platform, faults)
}

// Counts returns how much the platform was read.
func (f *Fleet) Counts() (c standin.PlatformCounts, err error) {
	return c, f.getJSON("http://"+f.Platform+"/control/counts", &c)
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
func (f *Fleet) Version(e *Entry) (rules.Version, error) {
	var configuration admin.Configuration
	if err := f.getJSON("http://"+e.Admin+admin.PathConfiguration, &configuration); err != nil {
		return rules.Version{}, err
	}
	for _, c := range configuration.InForce {
		if c.Service != "registry" {
			continue
		}
		if c.Version.Less(e.last) {
			return c.Version, eris.Wrapf(ErrReverted, "%v after %v at %s", c.Version, e.last, e.Peer)
		}
		e.last = c.Version
		return c.Version, nil
	}
	return rules.Version{}, nil
}

// CheckLogs returns an ErrReverted if any instance, also one that was killed, logged a lower version after a higher one.
// Unlike Version it does not miss a reversion that was over before the next call.
func (f *Fleet) CheckLogs() error {
	for _, e := range f.all {
		var last rules.Version
		for line := range strings.Lines(e.Output()) {
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
				return eris.Wrapf(ErrReverted, "%v after %v at %s", v, last, e.Peer)
			}
			last = v
		}
		if last == (rules.Version{}) {
			return eris.Errorf("no version in the log of %s", e.Peer)
		}
	}
	return nil
}

// ErrReverted reports an instance that went back to an earlier configuration.
var ErrReverted = eris.New("configuration reverted")

// Reaches waits until the version is in force at the given instances.
func (f *Fleet) Reaches(ctx context.Context, v rules.Version, entries ...*Entry) error {
	for _, e := range entries {
		var reverted error
		err := WaitFor(ctx, fmt.Sprintf("version %v at %s", v, e.Peer), func() error {
			got, err := f.Version(e)
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

// Ready waits until all instances are ready.
func (f *Fleet) Ready(ctx context.Context) error {
	for _, e := range f.Entries {
		if err := WaitStatus(ctx, "http://"+e.Admin+"/v1/ready", http.StatusOK); err != nil {
			return err
		}
	}
	return nil
}
