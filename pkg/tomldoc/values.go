package tomldoc

import (
	"regexp"
	"time"

	"github.com/docker/go-units"
	"github.com/rotisserie/eris"
)

// What a duration and a size look like, for findings.
const (
	WantDuration = `a duration with its unit, such as "2s" or "150ms"`
	WantSize     = `a size with its unit, such as "64KiB" or "2MiB"`
)

// sizePattern bounds the digits because go-units computes in floating point, which is exact only below 2^53.
var sizePattern = regexp.MustCompile(`^[0-9]{1,6}(B|KiB|MiB|GiB)$`)

// ParseSize returns a size in bytes. Only whole numbers with a binary unit are taken: "64KB" could mean 64,000 or
// 65,536 bytes.
func ParseSize(text string) (int64, error) {
	if !sizePattern.MatchString(text) {
		return 0, eris.Errorf("wrong unit or number in %q", text)
	}
	return units.RAMInBytes(text)
}

// ParseDuration returns a duration that was written with its unit.
func ParseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		return 0, eris.Errorf("wrong unit or number in %q", text)
	}
	return d, nil
}
