package load

import (
	"runtime"
	"syscall"
	"time"
)

const (
	minSleep = 20 * time.Microsecond // shorter sleeps overrun, so pace polls instead
	maxSleep = 50 * time.Millisecond // interval of checks of stop
)

// pace calls begin for each request at its scheduled time, and returns after the last call or when stop is closed. begin
// must not block: all requests that are due are started immediately. pace sleeps with nanosleep on a locked OS thread,
// because timers of the Go runtime fire up to a millisecond late when the process is idle.
//
// stall, if not nil, returns an extra delay before each sleep. Tests use it to make the generator fall behind.
func pace(start time.Time, requests []Request, stop <-chan struct{}, stall func(at time.Duration) time.Duration, begin func(int)) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i := 0; i < len(requests); {
		now := time.Since(start)
		for i < len(requests) && requests[i].At <= now {
			begin(i)
			i++
		}
		if i == len(requests) {
			return
		}
		select {
		case <-stop:
			return
		default:
		}
		if stall != nil {
			time.Sleep(stall(now))
		}
		if wait := min(requests[i].At-time.Since(start), maxSleep); wait > minSleep {
			t := syscall.NsecToTimespec(int64(wait))
			syscall.Nanosleep(&t, nil) // the loop sleeps again if a signal ended it
		}
	}
}
