package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/admin"
	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/findings"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

type fakeSource struct{}

func (fakeSource) Ready() error { return nil }
func (fakeSource) Configuration() []admin.ConfigurationEntry {
	return []admin.ConfigurationEntry{{Service: "registry", Version: rules.Version{Epoch: 1, Revision: 42}, Rules: 7}}
}
func (fakeSource) Refused() []admin.Refusal {
	return []admin.Refusal{{Service: "registry", Version: rules.Version{Epoch: 1, Revision: 43}, Source: "platform", Reason: "not valid",
		Findings: findings.List{{File: "platform", Line: 7, Column: 1, Message: `rule "x" has no comment`}}}}
}
func (fakeSource) Conflicts() []rules.Conflict {
	return []rules.Conflict{{Path: "/x", Winner: "a", Loser: "b", WinnerRule: "r", LoserRule: "s"}}
}
func (fakeSource) Services() map[string]core.View {
	return map[string]core.View{"registry": {
		Targets: []core.TargetView{{ID: "10.0.0.2:80", Zone: "qc-a", Status: core.TargetStatusEjected, Reason: core.ReasonSlow}},
		Budgets: core.BudgetView{Requests: 900, Retries: 12, Hedges: 3}, Queued: map[string]int{"once": 2, "lookup": 3},
	}}
}
func (fakeSource) EvacuatedZones() []string                { return []string{"qc-c"} }
func (fakeSource) Quarantined() []admin.QuarantinedRequest { return nil }
func (fakeSource) Instances() []admin.Instance {
	return []admin.Instance{{Address: "10.0.0.1:9000", Zone: "qc-b", State: "live"}}
}

// Guards against changes to exit codes, error messages or output that operators and their scripts rely on.
func TestCommands(t *testing.T) {
	server := httptest.NewServer(admin.NewHandler(fakeSource{}, prometheus.NewRegistry()))
	defer server.Close()
	addr := server.Listener.Addr().String()
	dir := t.TempDir()
	invalid := filepath.Join(dir, "bad.toml")
	conflicting := filepath.Join(dir, "clash.toml")
	header := "service = \"zoo\"\nepoch = 1\nrevision = 1\n[rules]\n"
	require.NoError(t, os.WriteFile(invalid, []byte(header+"a = { path = \"a\", class = \"x\", deadline = \"1s\" } # ops\n"), 0o600))
	require.NoError(t, os.WriteFile(conflicting, []byte(header+"a = { path = \"/records/*\", methods = [\"GET\"], deadline = \"49s\" } # ops\n"), 0o600))
	const example = "../../examples/registre/"
	const registry, instance = example + "registry.toml", example + "instance.toml"

	tests := []struct {
		name string
		args []string
		code int
		want []string // parts of standard output and standard error
	}{
		{"check valid files", []string{"check", "--settings", instance, "--rules", registry, example + "archive.toml"}, 0, []string{"no findings"}},
		{"check valid files as JSON", []string{"check", "--json", "--rules", registry}, 0, []string{`"valid": true`, `"findings": []`}},
		{"check invalid rules", []string{"check", "--rules", invalid}, 1, []string{invalid + ":5:14: bad path pattern", invalid + ":5:27: unknown class", "(want "}},
		{"check invalid rules as JSON", []string{"check", "--rules", invalid, "--json"}, 1, []string{`"valid": false`, `"line": 5`, `"column": 14`}},
		{"check rules file as settings", []string{"check", "--settings", registry}, 1, []string{`1:1: unknown key "service"`}},
		{"check conflict", []string{"check", "--rules", registry, "--rules", conflicting}, 1, []string{conflicting + `:5:1: GET /records/*: rule "records" of service registry takes precedence over rule "a" of service zoo`}},
		{"check service twice", []string{"check", "--rules", registry, "--rules", registry}, 1, []string{"service registry already has its rules in"}},
		{"check against settings", []string{"check", "--settings", "../../examples/remnant-shop/instance.toml", "--rules", conflicting}, 1, []string{`the settings lower its deadline 49s to 20s`}},
		{"check missing file", []string{"check", "--rules", dir + "/none"}, 1, []string{"read rules"}},
		{"check without files", []string{"check"}, 2, []string{"check needs --settings or --rules"}},
		{"explain", []string{"explain", "--rules", registry, "GET", "http://h/records/search"}, 0, []string{
			"rule:      records of service registry", "class:     lookup", "deadline:  800ms", "asked by:  front desk, M. Gagnon",
			"not:       search of service registry", "method GET is not one of POST"}},
		{"explain no rule", []string{"explain", "--rules", registry, "GET", "/none"}, 1, []string{"GET /none: no rule has a matching path"}},
		{"explain wrong method", []string{"explain", "--rules", registry, "PATCH", "/records/1"}, 1, []string{"no rule with a matching path has method PATCH"}},
		{"explain invalid rules", []string{"explain", "--rules", invalid, "GET", "/"}, 1, []string{"unknown class"}},
		{"explain without URL", []string{"explain", "--rules", registry, "GET"}, 2, []string{"requires at least 2 arg"}},
		{"status", []string{"status", "--admin", addr}, 0, []string{"state: ready", "registry  1.42", "refused: registry 1.43 from platform", `rule "x" has no comment`,
			"conflict: all methods /x", "ejected  slow", "10.0.0.1:9000  qc-b", "900       12       3       5", "evacuated zone: qc-c"}},
		{"status as JSON", []string{"status", "--admin", addr, "--json"}, 0, []string{`"revision": 42`, `"state": "ejected"`, `"evacuated_zones"`}},
		{"status of unreachable instance", []string{"status", "--admin", "127.0.0.1:1"}, 1, []string{"read administration API"}},
		{"serve without settings", []string{"serve"}, 2, []string{`required flag(s) "settings" not set`}},
		{"serve with invalid settings", []string{"serve", "--settings", registry}, 1, []string{`unknown key "service"`, "zone is missing"}},
		{"version", []string{"version"}, 0, []string{"go1"}},
		{"help", []string{"check", "--help"}, 0, []string{"Examples:", "burdockpitch check --settings instance.toml"}},
		{"exit codes in help", []string{"help"}, 0, []string{"Exit codes: 0 success, 1 findings or a failure, 2 wrong usage."}},
		{"unknown command", []string{"run"}, 2, []string{`unknown command "run"`}},
		{"unknown flag", []string{"check", "--rule", registry}, 2, []string{"unknown flag: --rule"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			require.Equal(t, tt.code, run(context.Background(), tt.args, &out, &out), out.String())
			for _, part := range tt.want {
				require.Contains(t, out.String(), part)
			}
		})
	}
}
