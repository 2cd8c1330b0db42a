package message

import "sync/atomic"

// BufferBudget bounds the memory that connections together use for large messages, beyond what each retains by itself. It
// is safe for concurrent use. Reserve and Release of a nil budget are unlimited.
type BufferBudget struct{ free atomic.Int64 }

// NewBufferBudget returns a budget of so many bytes.
func NewBufferBudget(bytes int) *BufferBudget {
	p := &BufferBudget{}
	p.free.Store(int64(bytes))
	return p
}

// Reserve takes n bytes, or reports false where fewer are left.
func (p *BufferBudget) Reserve(n int) bool {
	if p == nil || p.free.Add(int64(-n)) >= 0 {
		return true
	}
	p.Release(n)
	return false
}

// Release gives n reserved bytes back.
func (p *BufferBudget) Release(n int) {
	if p != nil {
		p.free.Add(int64(n))
	}
}

// Available returns how many bytes are left. It must not be called on a nil budget.
func (p *BufferBudget) Available() int64 { return p.free.Load() }
