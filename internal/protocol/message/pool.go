package message

import "sync/atomic"

// BufferBudget bounds the memory that all connections together use for messages larger than the buffer that each retains.
// It is safe for concurrent use. A nil budget is unlimited.
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

// Available returns how many bytes are left.
func (p *BufferBudget) Available() int64 { return p.free.Load() }
