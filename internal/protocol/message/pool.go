package message

import "sync/atomic"

// BufferBudget bounds the memory that all connections together use for large messages, in addition to the buffer that each
// connection retains. It is safe for concurrent use. A nil budget is unlimited.
type BufferBudget struct{ free atomic.Int64 }

// NewBufferBudget returns a budget of the given number of bytes.
func NewBufferBudget(bytes int) *BufferBudget {
	b := &BufferBudget{}
	b.free.Store(int64(bytes))
	return b
}

// Reserve reserves n bytes. It returns false and reserves nothing if fewer are left.
func (b *BufferBudget) Reserve(n int) bool {
	if b == nil || b.free.Add(int64(-n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// Release returns n reserved bytes to the budget.
func (b *BufferBudget) Release(n int) {
	if b != nil {
		b.free.Add(int64(n))
	}
}

// Available returns the number of bytes that are left. It must not be called on a nil budget.
func (b *BufferBudget) Available() int64 { return b.free.Load() }
