package admin

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/findings"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// fakeSource is a Source with fixed content.
type fakeSource struct {
	ready     error
	inForce   []ConfigurationEntry
	refused   []Refusal
	conflicts []rules.Conflict
	services  map[string]core.View
	instances []Instance
	withheld  []QuarantinedRequest
	evacuated []string
}

func (f fakeSource) Quarantined() []QuarantinedRequest   { return f.withheld }
func (f fakeSource) EvacuatedZones() []string            { return f.evacuated }
func (f fakeSource) Ready() error                        { return f.ready }
func (f fakeSource) Configuration() []ConfigurationEntry { return f.inForce }
func (f fakeSource) Refused() []Refusal                  { return f.refused }
func (f fakeSource) Conflicts() []rules.Conflict         { return f.conflicts }
func (f fakeSource) Services() map[string]core.View      { return f.services }
func (f fakeSource) Instances() []Instance               { return f.instances }

var populatedSource = fakeSource{
	inForce: []ConfigurationEntry{{Service: "a", Version: rules.Version{Epoch: 1, Revision: 7}, BasedOn: &rules.Version{Epoch: 1, Revision: 6}, Rules: 2}},
	refused: []Refusal{{
		Service: "a", Version: rules.Version{Epoch: 1, Revision: 8}, Source: "platform", Time: time.Unix(0, 0).UTC(), Reason: "invalid",
		Findings: findings.List{{File: "platform", Line: 5, Column: 1, Message: "m", Want: "w"}},
	}},
	conflicts: []rules.Conflict{{Path: "/x", Method: "GET", Winner: "a", Loser: "b", WinnerRule: "r", LoserRule: "s"}},
	services: map[string]core.View{
		"b": {},
		"a": {
			Targets: []core.TargetView{{ID: "10.0.0.2:80", Zone: "z", Status: core.TargetStatusEjected, Reason: core.ReasonSlow, InFlight: 1, Limit: 4, Latency: time.Millisecond}},
			Budgets: core.BudgetView{Requests: 9, Retries: 2, Hedges: 1}, Queued: map[string]int{"once": 1},
		},
	},
	instances: []Instance{{Address: "10.0.0.1:9000", Zone: "z", Start: "s", State: "live"}},
	withheld:  []QuarantinedRequest{{Content: "00ff", Crashes: 3, IdleSeconds: 1.5}},
}

const (
	validDocument   = "service = \"a\"\nepoch = 1\nrevision = 8\n[rules]\nr = { path = \"/r\", class = \"once\", deadline = \"1s\" } # ops\n"
	jsonContentType = "application/json"
)

// Guards against changes to paths, status codes or JSON fields that break operators' scripts, and against empty lists
// that are encoded as null.
func TestAPIContract(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		src                      fakeSource
		status                   int
		want                     string
	}{
		{"health", "GET", PathHealth, "", fakeSource{}, 200, `{"state":"ok"}`},
		{"ready", "GET", PathReady, "", fakeSource{}, 200, `{"state":"ready"}`},
		{"unreachable", "GET", PathTargets, "", fakeSource{services: map[string]core.View{"a": {Unreachable: true}}}, 200,
			`{"services":[{"service":"a","unreachable":true,"targets":[]}]}`},
		{"evacuated zones", "GET", PathTargets, "", fakeSource{evacuated: []string{"a", "b"}}, 200, `{"evacuated_zones":["a","b"],"services":[]}`},
		{"quarantine", "GET", PathQuarantine, "", populatedSource, 200, `{"requests":[{"content":"00ff","crashes":3,"idle_seconds":1.5}]}`},
		{"nothing quarantined", "GET", PathQuarantine, "", fakeSource{}, 200, `{"requests":[]}`},
		{"not ready", "GET", PathReady, "", fakeSource{ready: errors.New("stopping")}, 503, `{"state":"stopping"}`},
		{"configuration", "GET", PathConfiguration, "", populatedSource, 200, `{"in_force":[{"service":"a","epoch":1,"revision":7,"based_on":{"epoch":1,"revision":6},"rules":2}],` +
			`"refused":[{"service":"a","epoch":1,"revision":8,"source":"platform","time":"1970-01-01T00:00:00Z","reason":"invalid",` +
			`"findings":[{"file":"platform","line":5,"column":1,"message":"m","want":"w"}]}],` +
			`"conflicts":[{"path":"/x","method":"GET","winner":"a","loser":"b","winner_rule":"r","loser_rule":"s"}]}`},
		{"configuration empty", "GET", PathConfiguration, "", fakeSource{}, 200, `{"in_force":[],"refused":[],"conflicts":[]}`},
		{"targets", "GET", PathTargets, "", populatedSource, 200, `{"services":[{"service":"a","targets":[{"id":"10.0.0.2:80","zone":"z","state":"ejected",` +
			`"reason":"slow","in_flight":1,"limit":4,"latency_ns":1000000}]},{"service":"b","targets":[]}]}`},
		{"targets empty", "GET", PathTargets, "", fakeSource{}, 200, `{"services":[]}`},
		{"instances", "GET", PathInstances, "", populatedSource, 200, `{"instances":[{"address":"10.0.0.1:9000","zone":"z","start":"s","state":"live","in_contact":false}]}`},
		{"instances empty", "GET", PathInstances, "", fakeSource{}, 200, `{"instances":[]}`},
		{"budgets", "GET", PathBudgets, "", populatedSource, 200, `{"services":[{"service":"a","requests":9,"retries":2,"hedges":1,"retry_limit":0,"queued":{"once":1}},` +
			`{"service":"b","requests":0,"retries":0,"hedges":0,"retry_limit":0,"queued":{}}]}`},
		{"check valid", "POST", PathCheck, validDocument, fakeSource{}, 200, `{"valid":true,"service":"a","epoch":1,"revision":8,"rules":1,"findings":[],"notes":[]}`},
		{"check outdated", "POST", PathCheck, "based_on = \"1.5\"\n" + validDocument, fakeSource{inForce: []ConfigurationEntry{{Service: "a", Version: rules.Version{Epoch: 1, Revision: 8}}}}, 200,
			`{"valid":true,"service":"a","epoch":1,"revision":8,"rules":1,"findings":[],` +
				`"notes":["version 1.8 is not higher than 1.8 in force and would be ignored","the document is based on 1.5, but 1.8 is in force"]}`},
		{"check invalid", "POST", PathCheck, "service = 1\nepoch = 1\nrevision = 8\n[rules]\n", populatedSource, 200, `{"valid":false,"epoch":1,"revision":8,"rules":0,` +
			`"findings":[{"file":"rules","line":1,"column":11,"message":"bad service","want":"a name of lower-case letters, digits and \"-\", at most 63 bytes, other than \"burdockpitch\""}],"notes":[]}`},
		{"check too large", "POST", PathCheck, strings.Repeat("#", rules.MaxDocumentBytes+1), populatedSource, 413, `{"state":"a document has at most 1048576 bytes"}`},
		{"check with GET", "GET", PathCheck, "", populatedSource, 405, ""},
		{"configuration is read-only", "POST", PathConfiguration, validDocument, populatedSource, 405, ""},
		{"metrics are read-only", "POST", PathMetrics, "", populatedSource, 405, ""},
		{"unknown", "GET", "/v2/health", "", populatedSource, 404, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			NewHandler(tt.src, prometheus.NewRegistry()).ServeHTTP(w, httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body)))
			require.Equal(t, tt.status, w.Code)
			if tt.want != "" {
				require.Equal(t, jsonContentType, w.Header().Get("Content-Type"))
				require.JSONEq(t, tt.want, w.Body.String())
			}
		})
	}
}

// Guards against metrics that are registered but missing from the metrics endpoint.
func TestMetrics(t *testing.T) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(prometheus.NewCounter(prometheus.CounterOpts{Name: "x_total"}))
	w := httptest.NewRecorder()
	NewHandler(fakeSource{}, reg).ServeHTTP(w, httptest.NewRequest("GET", PathMetrics, nil))
	require.Contains(t, w.Body.String(), "x_total 0")
}

// Guards against a client that omits a part of the status, that fails on the 503 response of an instance that is not
// ready, or that takes an error response for a status.
func TestClient(t *testing.T) {
	src := populatedSource
	src.ready, src.evacuated = errors.New("no configuration in force"), []string{"z"}
	server := httptest.NewServer(NewHandler(src, prometheus.NewRegistry()))
	defer server.Close()
	s, err := NewClient(server.Listener.Addr().String()).Status(context.Background())
	require.NoError(t, err)
	require.Equal(t, "no configuration in force", s.Ready)
	require.Equal(t, Configuration{src.inForce, src.refused, src.conflicts}, s.Configuration)
	require.Equal(t, src.services["a"].Targets, s.Targets[0].Targets)
	require.Equal(t, src.evacuated, s.EvacuatedZones)
	require.Equal(t, src.instances, s.Instances)
	require.Equal(t, src.services["a"].Budgets, s.Budgets[0].BudgetView)

	broken := httptest.NewServer(http.NotFoundHandler())
	defer broken.Close()
	_, err = NewClient(broken.URL).Status(context.Background())
	require.ErrorContains(t, err, "read /v1/ready: status 404")
}
