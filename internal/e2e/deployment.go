package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/internal/standin"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
)

// Document routes the paths of the load generator to the service "registry".
const Document = `service = "registry"
epoch = 1
revision = 1
[rules]
lookup = { path = "/records/*", methods = ["GET"], class = "lookup", deadline = "1s" } # asked by the load generator
archive = { path = "/archive/*", methods = ["GET"], class = "patient", deadline = "5s" } # asked by the load generator
booking = { path = "/bookings/*", methods = ["POST"], class = "once", deadline = "3s" } # asked by the load generator
`

// control is the client for the control paths of the stand-ins and for administration. It keeps no connection, since a
// fault may have made it unresponsive, and gives up on a stopped process.
var control = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: controlLimit}

// controlLimit is long enough for a busy machine and short against the phases of a run.
const controlLimit = 500 * time.Millisecond

// zones is the number of availability zones that targets and entry instances are spread over.
const zones = 3

// DeploymentConfig describes a deployment.
type DeploymentConfig struct {
	// Targets is the number of targets.
	Targets int
	// Entries is the number of entry instances.
	Entries int
	// Shared hosts all targets but the first in one process. The first can then still be paused or killed alone, and
	// the machine runs fewer processes. Otherwise each target is a process.
	Shared bool
	// Slots, QueueLimit, ServiceTime, Sigma and Seed configure the targets.
	Slots       int
	QueueLimit  int
	ServiceTime time.Duration
	Sigma       float64
	Seed        uint64
	// Selection is the selection method of the entry instances; empty for the default.
	Selection string
}

// Deployment is a running platform stand-in with targets and entry instances.
type Deployment struct {
	*Cluster
	// Platform is the address of the platform stand-in.
	Platform string
	// Targets are the addresses of the targets.
	Targets []string
	// TargetProcesses run the targets; the first runs the first target alone.
	TargetProcesses []*Process
	// Callers and Admins are the addresses of the entry instances.
	Callers []string
	Admins  []string
	// Entries run the entry instances.
	Entries []*Process

	cfg       DeploymentConfig
	ledgers   string               // directory of the ledger files
	instances []discovery.Instance // the list at the start; the targets come first
}

// StartDeployment starts everything and waits until every entry instance is ready. On failure nothing keeps running.
func StartDeployment(ctx context.Context, c *Cluster, cfg DeploymentConfig) (*Deployment, error) {
	d := &Deployment{Cluster: c, cfg: cfg, ledgers: filepath.Join(c.work, "ledgers")}
	if err := d.start(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	if err := os.MkdirAll(d.ledgers, 0o700); err != nil {
		return eris.Wrap(err, "make ledger directory")
	}
	addrs := OwnAddresses(1 + d.cfg.Targets + 3*d.cfg.Entries)
	d.Platform, addrs = addrs[0], addrs[1:]
	d.Targets, addrs = addrs[:d.cfg.Targets], addrs[d.cfg.Targets:]
	d.Callers, addrs = addrs[:d.cfg.Entries], addrs[d.cfg.Entries:]
	d.Admins, addrs = addrs[:d.cfg.Entries], addrs[d.cfg.Entries:]
	if _, err := d.Start("standin", "platform", "--listen", d.Platform); err != nil {
		return err
	}
	if err := d.startTargets(ctx); err != nil {
		return err
	}
	if err := d.publish(ctx, addrs); err != nil {
		return err
	}
	return d.startEntries(ctx, addrs)
}

func (d *Deployment) startTargets(ctx context.Context) error {
	for _, group := range d.groups() {
		p, err := d.Start("standin", "target", "--listen", strings.Join(group, ","), "--ledger-dir", d.ledgers,
			"--slots", strconv.Itoa(d.cfg.Slots), "--queue", strconv.Itoa(d.cfg.QueueLimit),
			"--service-time", d.cfg.ServiceTime.String(), "--sigma", fmt.Sprint(d.cfg.Sigma),
			"--seed", strconv.FormatUint(d.cfg.Seed+uint64(len(d.TargetProcesses))*100, 10))
		if err != nil {
			return err
		}
		d.TargetProcesses = append(d.TargetProcesses, p)
	}
	for _, t := range d.Targets {
		if err := WaitStatus(ctx, "http://"+t+"/control/counts", http.StatusOK); err != nil {
			return err
		}
	}
	return nil
}

// groups returns the addresses of the targets of each process.
func (d *Deployment) groups() [][]string {
	if d.cfg.Shared && len(d.Targets) > 1 {
		return [][]string{d.Targets[:1], d.Targets[1:]}
	}
	var list [][]string
	for i := range d.Targets {
		list = append(list, d.Targets[i:i+1])
	}
	return list
}

func (d *Deployment) publish(ctx context.Context, peers []string) error {
	if err := WaitStatus(ctx, "http://"+d.Platform+discovery.PathIndex, http.StatusOK); err != nil {
		return err
	}
	var list []discovery.Instance
	for i, addr := range d.Targets {
		t := discovery.Instance{Service: "registry", Address: addr, Zone: zone(i), Start: "1", State: discovery.StateLive}
		list = append(list, t)
	}
	for i, addr := range peers {
		e := discovery.Instance{Service: discovery.LoadBalancerService, Address: addr, Zone: zone(i), State: discovery.StateLive}
		list = append(list, e)
	}
	d.instances = list
	if err := PublishInstances(d.Platform, list); err != nil {
		return err
	}
	return PublishDocument(d.Platform, Document)
}

func zone(i int) string { return string(rune('a' + i%zones)) }

func (d *Deployment) startEntries(ctx context.Context, peers []string) error {
	for i := range d.Callers {
		text := fmt.Sprintf("zone = %q\nlisten = %q\nadmin_listen = %q\npeer_listen = %q\nplatform = %q\nlame_duck = \"100ms\"\n",
			zone(i), d.Callers[i], d.Admins[i], peers[i], "http://"+d.Platform)
		if d.cfg.Selection != "" {
			text += fmt.Sprintf("selection = %q\n", d.cfg.Selection)
		}
		p, err := d.StartEntry(fmt.Sprint("entry", i), text)
		if err != nil {
			return err
		}
		d.Entries = append(d.Entries, p)
	}
	for i, admin := range d.Admins {
		if err := waitReady(ctx, d.Entries[i], admin); err != nil {
			return eris.Wrapf(err, "entry instance %d: %s", i, d.Entries[i].Output())
		}
	}
	return nil
}

// waitReady waits until an entry instance is ready, but not after its process ended.
func waitReady(ctx context.Context, p *Process, admin string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	return WaitStatus(ctx, "http://"+admin+"/v1/ready", http.StatusOK)
}

// maxEntryOutput is how much of the end of a failed entry instance's output an error shows, in bytes.
const maxEntryOutput = 4 << 10

// EntriesRunning returns an error with the last output of an entry instance that ended. A caller sees only refused
// connections then, which looks like a fast failure.
func (d *Deployment) EntriesRunning() error {
	for i, p := range d.Entries {
		select {
		case <-p.Done():
			out := p.Output()
			return eris.Errorf("entry instance %d ended: %s", i, out[max(0, len(out)-maxEntryOutput):])
		default:
		}
	}
	return nil
}

// Ledger returns the merged ledgers of all targets, those of killed targets included.
func (d *Deployment) Ledger() (standin.Ledger, error) {
	all := make(standin.Ledger)
	for _, addr := range d.Targets {
		l, err := standin.ReadLedgerFile(filepath.Join(d.ledgers, standin.LedgerFileName(addr)))
		if err != nil {
			return nil, err
		}
		all.Merge(l)
	}
	return all, nil
}

// SetPlatformFaults replaces the faults of the platform.
func (d *Deployment) SetPlatformFaults(faults standin.PlatformFaults) error {
	return setPlatformFaults(d.Platform, faults)
}

// SetFault switches a fault on at a target.
func (d *Deployment) SetFault(target int, fault standin.Fault) error {
	return SetFault(d.Targets[target], fault)
}

// Counts returns the counts of a target.
func (d *Deployment) Counts(target int) (standin.TargetCounts, error) {
	var c standin.TargetCounts
	resp, err := control.Get("http://" + d.Targets[target] + "/control/counts")
	if err != nil {
		return c, eris.Wrap(err, "read counts")
	}
	defer resp.Body.Close()
	return c, eris.Wrap(json.NewDecoder(resp.Body).Decode(&c), "decode counts")
}

// Metric returns the sum of a counter over all labels and all entry instances that answer.
func (d *Deployment) Metric(name string) float64 {
	var sum float64
	for _, admin := range d.Admins {
		sum += readMetric(admin, name)
	}
	return sum
}

func readMetric(admin, name string) float64 {
	resp, err := control.Get("http://" + admin + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil || families[name] == nil {
		return 0
	}
	var sum float64
	for _, m := range families[name].Metric {
		sum += m.GetCounter().GetValue()
	}
	return sum
}

// OwnAddresses returns n addresses on a random loopback network, with ports that no outgoing connection takes. They stay
// free while a process is started again.
func OwnAddresses(n int) []string {
	network := loopbackNetwork()
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s.1:%d", network, firstPort+i)
	}
	return list
}

// loopbackNetwork returns the first three numbers of a random loopback network.
func loopbackNetwork() string { return fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256)) }

// SetFault switches a fault on at the target at addr.
func SetFault(addr string, fault standin.Fault) error {
	text, err := json.Marshal(fault)
	if err != nil {
		return eris.Wrap(err, "encode fault")
	}
	resp, err := control.Post("http://"+addr+"/control/faults", "application/json", strings.NewReader(string(text)))
	if err != nil {
		return eris.Wrap(err, "set fault")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("set fault %s: status %d", fault.Kind, resp.StatusCode)
	}
	return nil
}

// clearFaults switches all faults of the target at addr off.
func clearFaults(addr string) error {
	req, err := http.NewRequest(http.MethodDelete, "http://"+addr+"/control/faults", nil)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	resp, err := control.Do(req)
	if err != nil {
		return eris.Wrap(err, "clear faults")
	}
	resp.Body.Close()
	return nil
}

func setPlatformFaults(addr string, faults standin.PlatformFaults) error {
	text, err := json.Marshal(faults)
	if err != nil {
		return eris.Wrap(err, "encode faults")
	}
	return put("http://"+addr+"/control/faults", strings.NewReader(string(text)))
}
