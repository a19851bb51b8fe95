package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/internal/standin"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
)

// DeploymentDocument is the configuration document of a Deployment: it routes the paths of the load generator to the
// service "registry".
const DeploymentDocument = `service = "registry"
epoch = 1
revision = 1
[rules]
lookup = { path = "/records/*", methods = ["GET"], class = "lookup", deadline = "1s" } # asked by the load generator
archive = { path = "/archive/*", methods = ["GET"], class = "patient", deadline = "5s" } # asked by the load generator
booking = { path = "/bookings/*", methods = ["POST"], class = "once", deadline = "3s" } # asked by the load generator
`

// controlClient calls the control paths of the stand-ins and the administration API of the instances. It never reuses a
// connection, since a fault may have made that connection unresponsive. Its timeout ends calls to paused processes.
var controlClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: controlTimeout}

// controlTimeout is long enough for a busy machine and short compared with the phases of a run.
const controlTimeout = 500 * time.Millisecond

// zoneCount is the number of availability zones that targets and instances are spread over.
const zoneCount = 3

// DeploymentConfig configures a Deployment.
type DeploymentConfig struct {
	// Targets is the number of targets.
	Targets int
	// Instances is the number of load balancer instances.
	Instances int
	// SharedProcess runs all targets but the first in one process, so that the machine runs fewer processes and the
	// first target can still be paused or killed alone. Otherwise each target is a process.
	SharedProcess bool
	// Slots, QueueLimit, ServiceTime, Sigma and Seed configure the targets. Sigma is the standard deviation of the
	// logarithm of the service time.
	Slots       int
	QueueLimit  int
	ServiceTime time.Duration
	Sigma       float64
	Seed        uint64
	// Selection is the selection method of the instances; empty for the default.
	Selection string
}

// Deployment is a running platform stand-in with targets and load balancer instances.
type Deployment struct {
	*Cluster
	// PlatformAddress is the address of the platform stand-in.
	PlatformAddress string
	// TargetAddresses are the addresses that the targets listen on.
	TargetAddresses []string
	// TargetProcesses run the targets; the first runs the first target alone.
	TargetProcesses []*Process
	// CallerAddresses and AdminAddresses are the addresses of the instances for callers and for the administration API.
	CallerAddresses []string
	AdminAddresses  []string
	// InstanceProcesses are the processes of the instances.
	InstanceProcesses []*Process

	cfg                 DeploymentConfig
	ledgerDir           string
	initialInstanceList []discovery.Instance // the instance list that publish stores; the targets come first
}

// StartDeployment starts all processes and waits until every instance is ready. On failure it stops the cluster.
func StartDeployment(ctx context.Context, c *Cluster, cfg DeploymentConfig) (*Deployment, error) {
	d := &Deployment{Cluster: c, cfg: cfg, ledgerDir: filepath.Join(c.workDir, "ledgers")}
	if err := d.start(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	if err := os.MkdirAll(d.ledgerDir, 0o700); err != nil {
		return eris.Wrap(err, "make ledger directory")
	}
	addresses := LoopbackAddresses(1 + d.cfg.Targets + 3*d.cfg.Instances)
	d.PlatformAddress, addresses = addresses[0], addresses[1:]
	d.TargetAddresses, addresses = addresses[:d.cfg.Targets], addresses[d.cfg.Targets:]
	d.CallerAddresses, addresses = addresses[:d.cfg.Instances], addresses[d.cfg.Instances:]
	// The addresses after those of the administration APIs are the peer addresses of the instances.
	d.AdminAddresses, addresses = addresses[:d.cfg.Instances], addresses[d.cfg.Instances:]
	if _, err := d.Start("standin", "platform", "--listen", d.PlatformAddress); err != nil {
		return err
	}
	if err := d.startTargets(ctx); err != nil {
		return err
	}
	if err := d.publish(ctx, addresses); err != nil {
		return err
	}
	return d.startInstances(ctx, addresses)
}

func (d *Deployment) startTargets(ctx context.Context) error {
	// The n-th target of a process uses the seed --seed + n. Seeds of processes are 100 apart, so that all targets have
	// different seeds.
	for _, group := range d.targetGroups() {
		p, err := d.Start("standin", "target", "--listen", strings.Join(group, ","), "--ledger-dir", d.ledgerDir,
			"--slots", strconv.Itoa(d.cfg.Slots), "--queue", strconv.Itoa(d.cfg.QueueLimit),
			"--service-time", d.cfg.ServiceTime.String(), "--sigma", fmt.Sprint(d.cfg.Sigma),
			"--seed", strconv.FormatUint(d.cfg.Seed+uint64(len(d.TargetProcesses))*100, 10))
		if err != nil {
			return err
		}
		d.TargetProcesses = append(d.TargetProcesses, p)
	}
	for _, t := range d.TargetAddresses {
		if err := WaitStatus(ctx, "http://"+t+"/control/counts", http.StatusOK); err != nil {
			return err
		}
	}
	return nil
}

// targetGroups returns the target addresses, grouped by process.
func (d *Deployment) targetGroups() [][]string {
	if d.cfg.SharedProcess && len(d.TargetAddresses) > 1 {
		return [][]string{d.TargetAddresses[:1], d.TargetAddresses[1:]}
	}
	var list [][]string
	for i := range d.TargetAddresses {
		list = append(list, d.TargetAddresses[i:i+1])
	}
	return list
}

// publish stores the instance list and the configuration document on the platform.
func (d *Deployment) publish(ctx context.Context, peerAddresses []string) error {
	if err := WaitStatus(ctx, "http://"+d.PlatformAddress+discovery.PathIndex, http.StatusOK); err != nil {
		return err
	}
	var list []discovery.Instance
	for i, addr := range d.TargetAddresses {
		t := discovery.Instance{Service: "registry", Address: addr, Zone: zoneName(i), Start: "1", State: discovery.StateLive}
		list = append(list, t)
	}
	for i, addr := range peerAddresses {
		lb := discovery.Instance{Service: discovery.LoadBalancerService, Address: addr, Zone: zoneName(i), State: discovery.StateLive}
		list = append(list, lb)
	}
	d.initialInstanceList = list
	if err := PublishInstances(d.PlatformAddress, list); err != nil {
		return err
	}
	return PublishDocument(d.PlatformAddress, DeploymentDocument)
}

func zoneName(i int) string { return string(rune('a' + i%zoneCount)) }

func (d *Deployment) startInstances(ctx context.Context, peerAddresses []string) error {
	for i := range d.CallerAddresses {
		settings := fmt.Sprintf("zone = %q\nlisten = %q\nadmin_listen = %q\npeer_listen = %q\nplatform = %q\nlame_duck = \"100ms\"\n",
			zoneName(i), d.CallerAddresses[i], d.AdminAddresses[i], peerAddresses[i], "http://"+d.PlatformAddress)
		if d.cfg.Selection != "" {
			settings += fmt.Sprintf("selection = %q\n", d.cfg.Selection)
		}
		p, err := d.StartInstance(fmt.Sprint("entry", i), settings)
		if err != nil {
			return err
		}
		d.InstanceProcesses = append(d.InstanceProcesses, p)
	}
	for i, admin := range d.AdminAddresses {
		if err := waitReady(ctx, d.InstanceProcesses[i], admin); err != nil {
			return eris.Wrapf(err, "start instance %d: %s", i, d.InstanceProcesses[i].Output())
		}
	}
	return nil
}

// waitReady waits until an instance is ready and fails as soon as its process exits.
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

// maxErrorOutputBytes limits the output of a failed instance in an error; the end is kept.
const maxErrorOutputBytes = 4 << 10

// CheckInstancesRunning returns an error with the end of the output if an instance has exited. Without this check, the
// refused connections of an exited instance would count as requests that failed fast.
func (d *Deployment) CheckInstancesRunning() error {
	for i, p := range d.InstanceProcesses {
		select {
		case <-p.Done():
			out := p.Output()
			return eris.Errorf("instance %d exited: %s", i, out[max(0, len(out)-maxErrorOutputBytes):])
		default:
		}
	}
	return nil
}

// Ledger reads the ledger files of all targets, killed ones included, and merges them.
func (d *Deployment) Ledger() (standin.Ledger, error) {
	all := make(standin.Ledger)
	for _, addr := range d.TargetAddresses {
		l, err := standin.ReadLedgerFile(filepath.Join(d.ledgerDir, standin.LedgerFileName(addr)))
		if err != nil {
			return nil, err
		}
		all.Merge(l)
	}
	return all, nil
}

// SetPlatformFaults replaces all faults of the platform stand-in.
func (d *Deployment) SetPlatformFaults(faults standin.PlatformFaults) error {
	return setPlatformFaults(d.PlatformAddress, faults)
}

// SetFault enables a fault on the target with this index.
func (d *Deployment) SetFault(target int, fault standin.Fault) error {
	return SetFault(d.TargetAddresses[target], fault)
}

// TargetCounts reads the counters of the target with this index.
func (d *Deployment) TargetCounts(target int) (standin.TargetCounts, error) {
	var c standin.TargetCounts
	resp, err := controlClient.Get("http://" + d.TargetAddresses[target] + "/control/counts")
	if err != nil {
		return c, eris.Wrap(err, "read target counts")
	}
	defer resp.Body.Close()
	return c, eris.Wrap(json.NewDecoder(resp.Body).Decode(&c), "decode target counts")
}

// SumCounter returns the sum of a counter metric over all labels and instances. Instances that do not respond count as
// 0.
func (d *Deployment) SumCounter(name string) float64 {
	var sum float64
	for _, admin := range d.AdminAddresses {
		sum += readCounter(admin, name)
	}
	return sum
}

func readCounter(admin, name string) float64 {
	resp, err := controlClient.Get("http://" + admin + "/metrics")
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

// LoopbackAddresses returns n addresses on a random loopback network, with ports below the ephemeral range. No outgoing
// connection takes such a port while the process that listens on it restarts.
func LoopbackAddresses(n int) []string {
	network := reserveLoopbackNetwork()
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s.1:%d", network, firstPort+i)
	}
	return list
}

// reservations keeps the listeners that reserve loopback networks for this process open.
var reservations struct {
	mu        sync.Mutex
	listeners []net.Listener
}

// reserveLoopbackNetwork returns the first three octets of a random loopback network that no other test process uses. A
// listener on the port before firstPort reserves the network until the process ends.
func reserveLoopbackNetwork() string {
	for {
		network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, firstPort-1))
		if err != nil {
			continue // another process has reserved it
		}
		reservations.mu.Lock()
		defer reservations.mu.Unlock()
		reservations.listeners = append(reservations.listeners, l)
		return network
	}
}

// SetFault enables a fault on the target stand-in at addr.
func SetFault(addr string, fault standin.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return eris.Wrap(err, "encode target fault")
	}
	resp, err := controlClient.Post("http://"+addr+"/control/faults", "application/json", strings.NewReader(string(body)))
	if err != nil {
		return eris.Wrap(err, "set target fault")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("set target fault %s: status %d", fault.Kind, resp.StatusCode)
	}
	return nil
}

// clearFaults disables all faults of the target stand-in at addr.
func clearFaults(addr string) error {
	req, err := http.NewRequest(http.MethodDelete, "http://"+addr+"/control/faults", nil)
	if err != nil {
		return eris.Wrap(err, "build request to clear target faults")
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "clear target faults")
	}
	resp.Body.Close()
	return nil
}

func setPlatformFaults(addr string, faults standin.PlatformFaults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return eris.Wrap(err, "encode platform faults")
	}
	return put("http://"+addr+"/control/faults", strings.NewReader(string(body)))
}
