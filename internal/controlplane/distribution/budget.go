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

// Capacities of token buckets, as the time in which the budget refills them.
const (
	totalBurst      = 250 * time.Millisecond // of the total budget
	subscriberBurst = 1 * time.Second        // of a subscriber's budget
)

// Budget limits the bytes per second that a control process sends. A field that is zero takes its default.
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

// forRole returns the limit in bytes per second for one subscriber of a role.
func (b Budget) forRole(r Role) int {
	if r == RoleControl || r == RoleReader {
		return b.ControlBytesPerSecond
	}
	return b.NodeBytesPerSecond
}

// tokenBucket is a token bucket that may be overdrawn by one batch.
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

// wait returns the time until the bucket contains more than minTokens.
func (b *tokenBucket) wait(now time.Duration, minTokens float64) time.Duration {
	b.refill(now)
	if b.tokens > minTokens {
		return 0
	}
	return time.Duration((minTokens-b.tokens)/b.rate*float64(time.Second)) + time.Microsecond
}
