package load

import (
	"runtime"
	"syscall"
	"time"
)

const (
	minSleep = 20 * time.Microsecond // a shorter sleep takes longer than it should
	maxSleep = 50 * time.Millisecond // after which stop is looked at
)

// pace calls begin for each request at its time and returns after the last, or when stop is closed. It never waits for
// a request; all that is due begins at once. It sleeps by the system's clock in a thread of its own, because the
// runtime's timers are late by up to a millisecond when all is idle.
//
// stall, if not nil, is asked before each sleep how long to do nothing: tests use it to make the generator fall behind.
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
