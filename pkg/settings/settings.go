// Package settings reads the TOML settings of an entry instance and checks them.
package settings

import (
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/findings"
)

// Duration is a time.Duration written with its unit, such as "150ms".
type Duration time.Duration

// UnmarshalText parses a duration with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Settings configures one entry instance.
type Settings struct {
	// Zone is the availability zone of the instance.
	Zone string `toml:"zone"`
	// Listen is the address for callers.
	Listen string `toml:"listen"`
	// AdminListen is the address of the administration API; loopback by default.
	AdminListen string `toml:"admin_listen"`
	// PeerListen is the address for other entry instances.
	PeerListen string `toml:"peer_listen"`
	// Peers are addresses of other entry instances.
	Peers []string `toml:"peers"`
	// Platform is the base URL of the configuration service and instance list.
	Platform string `toml:"platform"`
	// Selection is the method of choosing a target; empty for the default. Other methods serve measurements.
	Selection string `toml:"selection"`
	// LameDuck is how long idle caller connections stay open after the stop signal.
	LameDuck Duration `toml:"lame_duck"`
	// StopLimit is the last-resort limit of a graceful stop.
	StopLimit Duration `toml:"stop_limit"`
}

// Default returns the documented defaults.
func Default() Settings {
	return Settings{
		AdminListen: "127.0.0.1:9900",
		LameDuck:    Duration(5 * time.Second),
		StopLimit:   Duration(60 * time.Second),
	}
}

// Load reads and checks a settings file. A problem in the text is a findings.List.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse checks a settings text. The error is a findings.List.
func Parse(file string, text []byte) (Settings, error) {
	s := Default()
	if err := toml.Unmarshal(text, &s); err != nil {
		return Settings{}, findings.List{{File: file, Message: err.Error()}}
	}
	return s, nil
}
