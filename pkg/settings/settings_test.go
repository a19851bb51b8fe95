package settings

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/findings"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/target"
)

const requiredKeys = "zone = \"a\"\nlisten = \"10.0.0.1:8080\"\nplatform = \"http://10.0.0.5:9801\"\n"

// Guards against invalid or contradictory settings that are accepted, so that an instance starts with them.
func TestFindings(t *testing.T) {
	tests := []struct{ text, want string }{ // the text follows the three required lines
		{`retries = 1`, `4:1: unknown key "retries"`},
		{"[retry]\nrate = 1", `5:1: unknown key "retry.rate"`},
		{"[retries]\nratio = 0.1", `4:2: unknown section "retries"`},
		{"[[retry]]", `4:3: unknown section "retry"`},
		{`zone = "b"`, `4:1: zone is already given on line 1`},
		{"[retry]\n[retry]", `5:2: invalid TOML: toml: table retry already exists`},
		{`lame_duck = 5`, `4:13: bad value for lame_duck`},
		{`lame_duck = "5"`, `4:13: bad value for lame_duck`},
		{`limits.body = "64KB"`, `4:15: bad value for limits.body`},
		{`limits = { header = 64 }`, `4:21: bad value for limits.header`},
		{`instances = "14"`, `4:13: bad value for instances`},
		{`instances = 99999999999999999999`, `4:13: bad value for instances`},
		{`retry.ratio = "10%"`, `4:15: bad value for retry.ratio`},
		{`peers = "10.0.0.2:9000"`, `4:9: bad value for peers`},
		{`peers = [1]`, `4:1: bad value for peers`},
		{`admin_remote = "yes"`, `4:16: bad value for admin_remote`},
		{`selection = 1`, `4:13: bad value for selection`},
		{`selection = "best"`, `4:13: unknown selection "best"`},
		{`hedge.ratio = 1.5`, `4:15: hedge.ratio is out of range`},
		{`hedge.ratio = nan`, `4:15: hedge.ratio is out of range`},
		{`retry.ratio = -0.1`, `4:15: retry.ratio is out of range`},
		{`probe.share = 0.5`, `4:15: probe.share is out of range`},
		{`probe.path = "health"`, `4:14: probe.path does not begin with a slash`},
		{`queue.limit = 0`, `4:15: queue.limit is out of range`},
		{`deadline.max = "51s"`, `4:16: deadline.max is out of range`},
		{`stop_limit = "0s"`, `4:14: stop_limit is out of range`},
		{`stop_limit = "54s"`, `4:14: stop_limit 54s can abort a request that arrives in the lame-duck period (5s) and may take 50s`},
		{`lame_duck = "12s"`, `4:13: stop_limit 1m0s can abort a request that arrives in the lame-duck period (12s) and may take 50s`},
		{`lame_duck = "60s"`, `4:13: lame_duck 1m0s is not shorter than stop_limit 1m0s`},
		{`connections.per_target = 13`, `4:26: connections.per_target is lower than instances`},
		{`connections.fresh_within = "31s"`, `4:28: connections.fresh_within is longer than connections.idle_timeout`},
		{`deadline.max = "500ms"`, `4:16: connections.dial_timeout is longer than every deadline`},
		{`retry.max_attempts = 1`, `4:22: retries or hedges are allowed, but retry.max_attempts allows one attempt`},
		{`admin_listen = "0.0.0.0:9900"`, `4:16: admin_listen is not on loopback`},
		{`admin_listen = ""`, `4:16: bad address "" for admin_listen`},
		{`peer_listen = "localhost:9000"`, `4:15: bad address "localhost:9000" for peer_listen`},
		{`peer_listen = "10.0.0.1:0"`, `4:15: bad address "10.0.0.1:0" for peer_listen`},
		{`peer_listen = "10.0.0.1:8080"`, `4:15: listen and peer_listen take the same port`},
		{`peer_listen = ":9900"`, `4:15: admin_listen and peer_listen take the same port`},
		{`memory.process = "413KiB"`, `4:18: memory.process is too small for an instance`},
		{`limits.connections = 63`, `4:22: limits.connections leaves none for callers`},
		{`memory.process = 413`, `4:18: bad value for memory.process`},
		{`memory.body_share = 25`, `4:21: memory.body_share is out of range`},
		{`memory.body_share = 0.5`, `4:21: memory.body_share has no effect without memory.process`},
		{"[memory]\nprocess = \"64MiB\"\nlimit = \"65MiB\"", `6:9: memory.limit is larger than memory.process, at which the process is killed`},
		{`peers = ["10.0.0.2"]`, `4:10: bad address "10.0.0.2" in peers`},
		{`peers = ["10.0.0.2:1", "10.0.0.2:1"]`, `4:24: peer 10.0.0.2:1 is repeated`},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) { require.Equal(t, []string{tt.want}, findingsIn(requiredKeys+tt.text)) })
	}
	require.Equal(t, []string{"0:0: zone is missing", "0:0: platform is missing", "0:0: listen is missing"}, findingsIn(""))
	require.Equal(t, []string{"2:10: platform is not a base URL", "3:13: bad value for lame_duck", "4:7: invalid TOML: expected '=' after key"},
		findingsIn("zone = \"a\"\nplatform=\"10.0.0.5\"\nlame_duck = 1\nlisten\nlisten = \":1\""))
}

func findingsIn(text string) []string {
	_, err := Parse("f", []byte(text))
	list, _ := err.(findings.List)
	var lines []string
	for _, f := range list {
		lines = append(lines, fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message))
	}
	return lines
}

// Guards against a key that is read but has no effect, or that changes another field.
func TestMapping(t *testing.T) {
	s, err := Parse("f", []byte(requiredKeys+`selection = "random"
peers = ["10.0.0.2:9000"]
admin_listen = "10.0.0.1:9900"
admin_remote = true
instances = 7
hedge = { ratio = 0, floor = 1, quantile = 0.9 }
fleet = { warmup_overshoot = 1.5, warmup_slack = 8 }
[targets]
slots = 3
[connections]
per_target = 100
dial_timeout = "2s"
idle_timeout = "9s"
wait_limit = "4s"
fresh_within = "3s"
[retry]
ratio = 0.2
floor = 2
max_attempts = 3
[probe]
share = 0.001
cost = "2ms"
path = "/alive"
[queue]
limit = 9
[limits]
body = "1MiB"
`))
	require.NoError(t, err)
	require.Equal(t, []string{"10.0.0.2:9000"}, s.Peers)
	require.EqualValues(t, 1<<20, s.Limits.Body)
	want := core.DefaultPolicy()
	want.Selection, want.Zone, want.SlotsPerTarget, want.InstanceCount, want.QueueLimit = core.SelectRandom, "a", 3, 7, 9
	want.MaxAttempts, want.RetryRatio, want.StartRetryRatio, want.RetryFloor = 3, 0.2, 0.2, 2
	want.ProbeShare, want.ProbeCost = 0.001, 2*time.Millisecond
	require.Equal(t, "/alive", s.Probe.Path)
	want.HedgeRatio, want.HedgeFloor, want.HedgeQuantile = 0, 1, 0.9
	want.InstanceID, want.HasPeers = s.Listen, true
	want.WarmupOvershoot, want.WarmupSlack = 1.5, 8
	require.Equal(t, want, s.Policy())
	require.Equal(t, target.Config{
		DialTimeout: 2 * time.Second, WaitLimit: 4 * time.Second, MaxConnections: 14, FreshWithin: 3 * time.Second, IdleTimeout: 9 * time.Second,
	}, s.TargetConfig())
}

// Guards against instances that together repeat more requests than the fleet may, also after they have restarted.
func TestFleetBudgetMapping(t *testing.T) {
	s := Default()
	s.Fleet.RepeatRatio, s.Fleet.RepeatSlack = 0.2, 200
	p := s.Policy()
	require.True(t, p.RetriesIncludeHedges)
	require.Zero(t, p.RetryFloor+p.HedgeFloor)
	require.LessOrEqual(t, p.RetryRatio+p.StartRetryRatio, 0.2+1e-9)
	require.InDeltaSlice(t, []float64{0.18, 0.02, 180}, []float64{p.RetryRatio, p.StartRetryRatio, p.RetrySlack}, 1e-9)
}

// Guards against defaults that differ from those of the packages they configure.
func TestDefaults(t *testing.T) {
	s := Default()
	want := core.DefaultPolicy()
	want.ProbeShare = 0.005 // pkg/core sends no probes itself, so its default is off
	require.Equal(t, want, s.Policy())
	require.Equal(t, target.DefaultConfig(), s.TargetConfig())
}

// Guards against a rule that the settings restrict without a finding.
func TestCheckRules(t *testing.T) {
	s := Default()
	s.Deadline.Max, s.Limits.Body = Duration(time.Second), 1<<10
	doc := &rules.Document{Rules: []rules.Rule{
		{Name: "fits", Deadline: time.Second, BodyLimit: 1 << 10, Line: 5}, {Name: "long", Deadline: 2 * time.Second, BodyLimit: 1, Line: 6},
		{Name: "large", Deadline: time.Second, BodyLimit: 1<<10 + 1, Line: 7},
	}}
	list := s.CheckRules("r", doc)
	require.Len(t, list, 2)
	require.Equal(t, `r:6:1: rule "long": the settings lower its deadline 2s to 1s (want a deadline of at most deadline.max of the settings)`, list[0].String())
	require.Equal(t, 7, list[1].Line)

	s.Limits.Body, s.Memory.Process = 1<<20, 64<<20
	require.EqualValues(t, 16<<20, s.BodyMemory())
	require.EqualValues(t, 1<<20, s.MaxBody())
	s.Limits.Body = 64 << 20
	require.EqualValues(t, 8<<20, s.MaxBody(), "a larger body could never be held")
	doc.Rules[2].BodyLimit = 8<<20 + 1
	require.Len(t, s.CheckRules("r", doc), 2)
}

// Guards against input that makes the parser panic or return different results each time.
func FuzzParse(f *testing.F) {
	f.Add([]byte(requiredKeys))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f", text)
		again, errAgain := Parse("f", text)
		require.Equal(t, err, errAgain)
		require.Equal(t, s, again)
		if err == nil {
			require.Positive(t, s.TargetConfig().MaxConnections)
		}
	})
}

// Guards against missing files of the fuzz corpus, without which the fuzz target runs on almost no input.
func TestFuzzCorpusIsPresent(t *testing.T) {
	files, err := filepath.Glob("testdata/fuzz/FuzzParse/*")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 10)
}

// Guards against garbage that takes a process beyond the memory at which it is killed, although what it holds is bounded.
func TestMemoryLimitFollowsProcess(t *testing.T) {
	const required = "zone = \"a\"\nlisten = \"127.0.0.1:1\"\nplatform = \"http://127.0.0.1:2\"\n[memory]\n"
	for text, want := range map[string]Size{
		"gc_percent = 25":                         0,
		"process = \"100MiB\"":                    70 << 20,
		"process = \"100MiB\"\nlimit = \"90MiB\"": 90 << 20,
		"process = \"100MiB\"\nlimit = \"0B\"":    0,
	} {
		s, err := Parse("test", []byte(required+text))
		require.NoError(t, err)
		require.Equal(t, want, s.Memory.Limit, text)
	}
}
