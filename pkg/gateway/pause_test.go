package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// simulatePause makes the last heartbeat as old as after a pause.
func (p *pauseDetector) simulatePause(gap time.Duration) {
	now := p.clock.readClocks()
	p.last.Store(&heartbeat{clockReading: clockReading{boot: now.boot.Add(-gap), monotonic: now.monotonic - gap}, generation: p.generation()})
}

// Guards against acting on a decision that was made on the view from before a pause. The decision must be found
// outdated even if it is checked only after the view was refreshed.
func TestGenerationChangesWithPause(t *testing.T) {
	p := &pauseDetector{clock: newClock()}
	require.True(t, p.isCurrent(p.generation()), "before the first heartbeat")
	p.recordHeartbeat(false)
	before := p.generation()
	require.True(t, p.isCurrent(before))
	p.simulatePause(2 * pauseThreshold)
	during := p.generation()
	require.False(t, p.isCurrent(before), "decided before the pause, checked before the refresh")
	require.False(t, p.isCurrent(during), "decided between pause and refresh, checked before the refresh")
	p.recordHeartbeat(true)
	require.False(t, p.isCurrent(before), "decided before the pause, checked after the refresh")
	require.False(t, p.isCurrent(during), "decided between pause and refresh, checked after the refresh")
	require.True(t, p.isCurrent(p.generation()))
	p.recordHeartbeat(false)
	require.True(t, p.isCurrent(p.generation()))
}

// Guards against a request that is sent under an outdated rule because the process was paused, and the rules were
// reloaded, while its body was read.
func TestBodyReadDuringPauseUsesReloadedRules(t *testing.T) {
	for name, tc := range map[string]struct {
		old, new string // text that changes in the rules during the pause
		status   int
	}{
		"same rule":     {"/b/*", "/b/*", http.StatusOK},
		"rule removed":  {"/b/*", "/c/*", http.StatusNotFound},
		"smaller limit": {`class = "once", deadline = "10s", body = "16B"`, `class = "once", deadline = "10s", body = "4B"`, http.StatusRequestEntityTooLarge},
	} {
		for timing, afterReload := range map[string]bool{"body ends before the reload": false, "body ends after the reload": true} {
			t.Run(name+", "+timing, func(t *testing.T) {
				addr := newHandlerTarget(t, func(http.ResponseWriter, *http.Request) {})
				f := newFixture(t, logr.Discard(), Config{}, addr)
				f.pauses.recordHeartbeat(false)
				c, err := net.Dial("tcp", f.addr)
				require.NoError(t, err)
				defer c.Close()
				_, err = io.WriteString(c, "POST /b/1 HTTP/1.1\r\nHost: registry\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n")
				require.NoError(t, err)
				r := bufio.NewReader(c)
				line, err := r.ReadString('\n') // the rule was matched and the body is being read
				require.NoError(t, err)
				require.Contains(t, line, "100")
				_, err = r.ReadString('\n')
				require.NoError(t, err)

				f.pauses.simulatePause(2 * pauseThreshold)
				refresh := func() {
					doc, err := rules.Parse("test", []byte(strings.Replace(testRules, tc.old, tc.new, 1)))
					require.NoError(t, err)
					f.SetDocuments([]*rules.Document{doc})
					f.pauses.recordHeartbeat(true)
				}
				if afterReload {
					refresh()
				}
				_, err = io.WriteString(c, "horse 7 8")
				require.NoError(t, err)
				if !afterReload {
					refresh()
				}
				resp, err := http.ReadResponse(r, nil)
				require.NoError(t, err)
				require.Equal(t, tc.status, resp.StatusCode, resp.Header.Get(wire.HeaderReason))
			})
		}
	}
}
