package gateway

import (
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

// Guards against a retry budget of which an operator cannot see how much is used.
func TestBudgetIsExported(t *testing.T) {
	policy := core.DefaultPolicy()
	policy.RetryFloor = 3
	f := newFixture(t, logr.Discard(), Config{Policy: policy}, newRawTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	_, _, err := f.exchangeRaw(t, "GET", get("/r/1"))
	require.NoError(t, err)
	want := `# HELP burdockpitch_budget_window Requests, retries and hedges of the last 10 s, and the retries that the budget allows for them.
# TYPE burdockpitch_budget_window gauge
burdockpitch_budget_window{kind="hedges",service="registry"} 0
burdockpitch_budget_window{kind="limit",service="registry"} 3
burdockpitch_budget_window{kind="requests",service="registry"} 1
burdockpitch_budget_window{kind="retries",service="registry"} 0
`
	require.NoError(t, testutil.CollectAndCompare(f.NewBudgetCollector(), strings.NewReader(want)))
}
