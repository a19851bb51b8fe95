// Package examples holds two complete example deployments. Its test checks them.
package examples

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/cli"
	"github.com/burdockpitch/burdockpitch/pkg/settings"
)

// Guards against examples with findings, and against edits that change the class of a route, the slots per target or
// the connection limit that the deployment needs.
func TestExamples(t *testing.T) {
	tests := []struct {
		dir      string
		services []string
		slots    int
		routes   map[string]string // "METHOD path" to class
	}{
		{"registre", []string{"registry", "archive"}, 4, map[string]string{
			"GET /records/12": "lookup", "POST /records/search": "lookup", "POST /bookings/7": "once", "GET /bookings/availability": "lookup",
			"POST /deposits/3": "once", "GET /photographs/1/front": "patient", "PUT /photographs/1": "once",
		}},
		{"remnant-shop", []string{"showroom", "catalogue"}, 3, map[string]string{
			"GET /stock/linen": "lookup", "POST /reservations/7": "once", "GET /offcuts/blue": "patient", "GET /": "patient",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.dir, func(t *testing.T) {
			var files []string
			for _, s := range tt.services {
				files = append(files, filepath.Join(tt.dir, s+".toml"))
			}
			var out bytes.Buffer
			settingsFile := filepath.Join(tt.dir, "instance.toml")
			require.NoError(t, cli.Check(&out, cli.CheckOptions{SettingsFile: settingsFile, RulesFiles: files}), out.String())
			s, err := settings.Load(settingsFile)
			require.NoError(t, err)
			require.Equal(t, tt.slots, s.Policy().SlotsPerTarget)
			require.Equal(t, 200, s.Connections.PerTarget)
			for route, class := range tt.routes {
				method, path, _ := bytes.Cut([]byte(route), []byte(" "))
				out.Reset()
				require.NoError(t, cli.Explain(&out, files, string(method), string(path)), route)
				require.Contains(t, out.String(), "class:     "+class+"\n", route)
			}
		})
	}
}
