package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxAnswers is the number of keys in one generation of answers. Each answered request takes two. Two generations take
// about 1 MB and hold the last 8,192 answered requests at least: half an hour at five requests per second, 97 s at the 84 of the
// design scale.
const maxAnswers = 16384

// answers remembers when requests were last answered. Other instances send the crashes of a request only once it is
// quarantined, and a response that came between a crash and that time acquits the request of the crash.
type answers struct {
	// Times are values of Input.Now, by content and by content and caller. Once current is full, it replaces previous.
	current, previous map[uint64]time.Duration
}

func (a *answers) add(now time.Duration, f Fingerprint) {
	for _, key := range []uint64{f.Content, callerKey(f)} {
		if len(a.current) >= maxAnswers {
			a.previous, a.current = a.current, nil
		}
		if a.current == nil {
			a.current = make(map[uint64]time.Duration)
		}
		a.current[key] = now
	}
}

// since reports whether there was an answer after a time.
func (a *answers) since(key uint64, after time.Duration) bool {
	at, ok := a.current[key]
	if !ok {
		at, ok = a.previous[key]
	}
	return ok && at > after
}

func callerKey(f Fingerprint) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, f.Content), f.Caller))
}
