package message

import "sync/atomic"

// Pool is memory that connections share for messages larger than the buffer each may hold on to. Few are large at a
// time, so that the number of connections need not be cut to what all could grow to.
type Pool struct{ free atomic.Int64 }

// NewPool makes one of so many bytes.
func NewPool(bytes int) *Pool {
	p := &Pool{}
	p.free.Store(int64(bytes))
	return p
}

// Take is false where so much is not left. No pool has no end.
func (p *Pool) Take(n int) bool {
	if p == nil || p.free.Add(int64(-n)) >= 0 {
		return true
	}
	p.Give(n)
	return false
}

// Give takes memory back.
func (p *Pool) Give(n int) {
	if p != nil {
		p.free.Add(int64(n))
	}
}

// Free is how many bytes are left.
func (p *Pool) Free() int64 { return p.free.Load() }
