package tomldoc

import (
	"regexp"
	"time"

	"github.com/docker/go-units"
	"github.com/rotisserie/eris"
)

// The expected forms of durations and sizes, for findings.
const (
	WantDuration = `a duration with its unit, such as "2s" or "150ms"`
	WantSize     = `a size with its unit, such as "64KiB" or "2MiB"`
)

// sizePattern limits the digits because go-units computes in floating point, which is exact only below 2^53.
var sizePattern = regexp.MustCompile(`^[0-9]{1,6}(B|KiB|MiB|GiB)$`)

// ParseSize returns a size in bytes. It accepts only whole numbers with a binary unit: "64KB" could mean 64,000 or
// 65,536 bytes.
func ParseSize(text string) (int64, error) {
	if !sizePattern.MatchString(text) {
		return 0, eris.Errorf("%q is not a whole number with the unit B, KiB, MiB or GiB", text)
	}
	return units.RAMInBytes(text)
}

// ParseDuration parses a duration as time.ParseDuration does, but returns an error for "0" without a unit.
func ParseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		return 0, eris.Errorf("%q is not a duration with a unit", text)
	}
	return d, nil
}
