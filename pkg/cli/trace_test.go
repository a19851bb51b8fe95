package cli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a trace that includes lines of other requests, sorts lines of several instances wrongly, or stops at a
// line that is not JSON.
func TestTrace(t *testing.T) {
	log := `b {"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"request","request":"7","status":502}
starting
a {"time":"2026-01-01T00:00:01Z","level":"DEBUG","msg":"attempt sent","request":"7","target":"i/1","attempt":1}
a {"time":"2026-01-01T00:00:01Z","msg":"attempt sent","request":"8"}
a {"time":"2026-01-01T00:00:00Z","msg":"cut
`
	var out bytes.Buffer
	require.NoError(t, Trace(&out, strings.NewReader(log), "7"))
	require.Equal(t, "2026-01-01T00:00:01Z a attempt sent attempt=1 target=i/1\n2026-01-01T00:00:02Z b request status=502\n", out.String())
	require.ErrorIs(t, Trace(&out, strings.NewReader(log), "9"), ErrFindings)
}
