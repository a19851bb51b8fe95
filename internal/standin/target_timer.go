package standin

import (
	"context"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// sleeper waits with the precision of a kernel timer. The runtime rounds its own timers to whole milliseconds when all
// threads are idle in epoll_wait, which is as much as the latency that measurements look for. A sleeper serves one
// goroutine at a time.
type sleeper struct {
	fd   int
	file *os.File // nil when the kernel timer could not be created; runtime timers are used then
}

func newSleeper() *sleeper {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return &sleeper{}
	}
	return &sleeper{fd: fd, file: os.NewFile(uintptr(fd), "timer")}
}

func (s *sleeper) close() {
	if s.file != nil {
		_ = s.file.Close()
	}
}

// sleep waits for d or until ctx ends, and returns the error of ctx in the latter case.
func (s *sleeper) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	if s.file == nil || s.arm(d) != nil {
		return sleepCoarse(ctx, d)
	}
	_ = s.file.SetReadDeadline(time.Time{})
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = s.file.SetReadDeadline(time.Unix(1, 0))
		close(interrupted)
	})
	var expirations [8]byte
	_, err := s.file.Read(expirations[:])
	if !stop() {
		<-interrupted
		return ctx.Err()
	}
	return err
}

func (s *sleeper) arm(d time.Duration) error {
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(d.Nanoseconds())}
	return unix.TimerfdSettime(s.fd, 0, &spec, nil)
}

func sleepCoarse(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
