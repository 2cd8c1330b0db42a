package distribution

import (
	"cmp"
	"time"
)

// Defaults of Budget, in bytes per second.
const (
	defaultTotalBytes   = 8 << 20
	defaultNodeBytes    = 16 << 10 // 16 KiB/s
	defaultControlBytes = 4 << 20
)

// How much of a budget may be saved up.
const (
	totalBurst      = 250 * time.Millisecond // of the whole budget
	subscriberBurst = 1 * time.Second        // of a subscriber's
)

// Budget is what a control process may send, in bytes per second. A field that is zero takes its default.
type Budget struct {
	TotalBytesPerSecond   int
	NodeBytesPerSecond    int // to one node
	ControlBytesPerSecond int // to one control process, or to a command that reads
}

func (b Budget) withDefaults() Budget {
	b.TotalBytesPerSecond = cmp.Or(b.TotalBytesPerSecond, defaultTotalBytes)
	b.NodeBytesPerSecond = cmp.Or(b.NodeBytesPerSecond, defaultNodeBytes)
	b.ControlBytesPerSecond = cmp.Or(b.ControlBytesPerSecond, defaultControlBytes)
	return b
}

// forRole returns the bytes per second to one subscriber of a role.
func (b Budget) forRole(r Role) int {
	if r == RoleControl || r == RoleReader {
		return b.ControlBytesPerSecond
	}
	return b.NodeBytesPerSecond
}

// tokenBucket holds a budget that time refills. It may be overdrawn by one batch.
type tokenBucket struct {
	rate       float64 // bytes per second
	capacity   float64 // bytes
	tokens     float64 // bytes
	lastRefill time.Duration
}

func newTokenBucket(bytesPerSecond int, burst time.Duration) tokenBucket {
	b := tokenBucket{rate: float64(bytesPerSecond), capacity: float64(bytesPerSecond) * burst.Seconds()}
	b.tokens = b.capacity
	return b
}

func (b *tokenBucket) refill(now time.Duration) {
	if now > b.lastRefill {
		b.tokens = min(b.capacity, b.tokens+b.rate*(now-b.lastRefill).Seconds())
		b.lastRefill = now
	}
}

// wait returns how long it takes until the bucket holds more than minTokens.
func (b *tokenBucket) wait(now time.Duration, minTokens float64) time.Duration {
	b.refill(now)
	if b.tokens > minTokens {
		return 0
	}
	return time.Duration((minTokens-b.tokens)/b.rate*float64(time.Second)) + time.Microsecond
}
