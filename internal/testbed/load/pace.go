package load

import (
	"runtime"
	"syscall"
	"time"
)

const shortest = 20 * time.Microsecond // of a sleep; less is over before it has begun

// pace calls begin for each request at its moment. It sleeps in a thread of its own by the system's clock: the
// runtime's timers are late by up to a millisecond when all is idle, which at 20,000 a second is twenty requests.
// It never waits for a request. Where it is behind, all that is due begins at once. stall, where it is not nil, is
// asked before each sleep how long to do nothing, for tests of what a generator that falls behind says of itself.
func pace(start time.Time, ops []Request, stop <-chan struct{}, stall func(at time.Duration) time.Duration, begin func(int)) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i := 0; i < len(ops); {
		now := time.Since(start)
		for i < len(ops) && ops[i].At <= now {
			begin(i)
			i++
		}
		if i == len(ops) {
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
		if wait := min(ops[i].At-time.Since(start), 50*time.Millisecond); wait > shortest {
			t := syscall.NsecToTimespec(int64(wait))
			syscall.Nanosleep(&t, nil) // a signal ends it early; then it is begun again
		}
	}
}
