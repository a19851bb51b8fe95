package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// slowReader is the connection of a caller that takes one byte in each interval.
type slowReader struct {
	http.ResponseWriter
	interval time.Duration
	deadline time.Time
}

func (s *slowReader) SetWriteDeadline(t time.Time) error {
	s.deadline = t
	return nil
}

func (s *slowReader) Write(b []byte) (int, error) {
	time.Sleep(s.interval)
	return len(b), nil
}

// Guards against a caller that takes a long response so slowly that each write is within its timeout, but the whole takes
// hours in which it occupies a slot of the target.
func TestSlowReaderEnds(t *testing.T) {
	reader := &slowReader{ResponseWriter: httptest.NewRecorder(), interval: 10 * time.Millisecond}
	w := &callerWriter{ResponseWriter: reader, control: http.NewResponseController(reader), writeTimeout: 100 * time.Millisecond, dialect: wire.Native{}, stop: newStopState()}
	const enough = 100 // writes take ten times the timeout
	for range enough {
		began := time.Now()
		_, err := w.Write([]byte("x"))
		require.NoError(t, err)
		if reader.deadline.Before(began) {
			return
		}
	}
	require.Fail(t, "each write gets the whole timeout")
}

// Guards against a response that is cut because the target provides it slowly.
func TestSlowTargetDoesNotCountAsSlowReader(t *testing.T) {
	reader := &slowReader{ResponseWriter: httptest.NewRecorder()}
	w := &callerWriter{ResponseWriter: reader, control: http.NewResponseController(reader), writeTimeout: time.Second, dialect: wire.Native{}, stop: newStopState()}
	for range 20 {
		time.Sleep(w.writeTimeout / 10)
		began := time.Now()
		_, err := w.Write([]byte("x"))
		require.NoError(t, err)
		require.True(t, reader.deadline.After(began))
	}
}
