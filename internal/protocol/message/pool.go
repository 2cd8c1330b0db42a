package message

import "sync/atomic"

// BufferBudget is memory that connections share for messages larger than the buffer each may hold on to. Few are large at a
// time, so that the number of connections need not be cut to what all could grow to.
type BufferBudget struct{ free atomic.Int64 }

// NewBufferBudget makes one of so many bytes.
func NewBufferBudget(bytes int) *BufferBudget {
	p := &BufferBudget{}
	p.free.Store(int64(bytes))
	return p
}

// Reserve is false where so much is not left. No pool has no end.
func (p *BufferBudget) Reserve(n int) bool {
	if p == nil || p.free.Add(int64(-n)) >= 0 {
		return true
	}
	p.Release(n)
	return false
}

// Release takes memory back.
func (p *BufferBudget) Release(n int) {
	if p != nil {
		p.free.Add(int64(n))
	}
}

// Available is how many bytes are left.
func (p *BufferBudget) Available() int64 { return p.free.Load() }
