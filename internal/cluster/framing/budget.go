package framing

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/semaphore"
)

// ErrNoMemory means that other connections have used the memory for long frames until the deadline.
var ErrNoMemory = errors.New("no memory for a frame of this length")

// MemoryBudget bounds the memory that all connections of a process together use to receive long frames. It is safe for concurrent use. A
// nil budget is unlimited.
type MemoryBudget struct{ free *semaphore.Weighted }

// NewMemoryBudget returns a budget of the given number of bytes, which must be enough for the longest frame of the protocol.
func NewMemoryBudget(bytes int) *MemoryBudget {
	return &MemoryBudget{semaphore.NewWeighted(int64(bytes))}
}

// reserve waits for n bytes of the budget. It returns ErrNoMemory if they are not free by the deadline.
func (b *MemoryBudget) reserve(n int, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if b.free.Acquire(ctx, int64(n)) != nil {
		return ErrNoMemory
	}
	return nil
}

func (b *MemoryBudget) release(n int) {
	if n > 0 {
		b.free.Release(int64(n))
	}
}
