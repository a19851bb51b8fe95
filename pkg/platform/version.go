package platform

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// Hash returns the content hash used in the index.
func Hash(text []byte) string { return strconv.FormatUint(xxhash.Sum64(text), 16) }

// parseVersion reads "epoch.revision".
func parseVersion(text string) (rules.Version, bool) {
	epoch, revision, ok := strings.Cut(text, ".")
	if !ok {
		return rules.Version{}, false
	}
	e, err1 := strconv.ParseUint(epoch, 10, 64)
	r, err2 := strconv.ParseUint(revision, 10, 64)
	return rules.Version{Epoch: e, Revision: r}, err1 == nil && err2 == nil
}
