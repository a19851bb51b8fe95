package standin

import (
	"context"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// preciseTimer waits with the precision of a kernel timer. The Go runtime rounds its own timers to whole milliseconds
// when all threads are idle in epoll_wait, an error as large as the latencies to be measured. A preciseTimer serves one
// goroutine at a time.
type preciseTimer struct {
	fd   int
	file *os.File // nil when the kernel timer could not be created; runtime timers are used then
}

func newPreciseTimer() *preciseTimer {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return &preciseTimer{}
	}
	return &preciseTimer{fd: fd, file: os.NewFile(uintptr(fd), "timer")}
}

func (t *preciseTimer) close() {
	if t.file != nil {
		_ = t.file.Close()
	}
}

// sleep waits for d or until ctx ends. If ctx ends first, it returns the error of ctx.
func (t *preciseTimer) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	if t.file == nil || t.arm(d) != nil {
		return sleepContext(ctx, d)
	}
	_ = t.file.SetReadDeadline(time.Time{})
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = t.file.SetReadDeadline(time.Unix(1, 0)) // a deadline in the past interrupts Read
		close(interrupted)
	})
	var expirations [8]byte
	_, err := t.file.Read(expirations[:])
	if !stop() {
		<-interrupted // wait for the callback, which could otherwise set its deadline during the next sleep
		return ctx.Err()
	}
	return err
}

func (t *preciseTimer) arm(d time.Duration) error {
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(d.Nanoseconds())}
	return unix.TimerfdSettime(t.fd, 0, &spec, nil)
}

// sleepContext waits for d or until ctx ends, with the precision of runtime timers. If ctx ends first, it returns the
// error of ctx.
func sleepContext(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
