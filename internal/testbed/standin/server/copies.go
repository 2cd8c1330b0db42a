package server

import (
	"sync"
	"sync/atomic"
	"time"

	"fernvane/internal/protocol/message"
)

// maxCopyOverdue bounds how much later than Faults.CopyDelay a second copy is sent. A copy that a busy machine delays further is
// not sent, so that copies are not later than the fault states.
const maxCopyOverdue = 10 * time.Millisecond

// connState is the state of one connection that its requests and the second copies of its responses share.
type connState struct {
	requests atomic.Uint64 // requests that have arrived, after the latency of the network
	copies   sync.WaitGroup
}

// requestArrived records that a request has arrived at the server.
func (c *connState) requestArrived() { c.requests.Add(1) }

// sendCopy writes a response a second time, delay after the first. latency is the one-way latency to the caller. Like a server
// that repeats a response while nothing else waits on the connection, it sends no copy if the next request has arrived by then.
func (c *connState) sendCopy(p peer, encoded []byte, latency, delay time.Duration) {
	due := time.Now().Add(delay)
	answered := c.requests.Load()
	c.copies.Go(func() {
		time.Sleep(time.Until(due.Add(-latency))) // the first response was written after its latency
		if c.requests.Load() != answered {
			return
		}
		time.Sleep(time.Until(due))
		if time.Since(due) < maxCopyOverdue {
			p.writeRaw(encoded)
		}
	})
}

// answerTwice writes a response and, if the fault hits the request, a second copy of it. It reports whether the connection can be
// used again.
func (s *Server) answerTwice(p peer, id uint64, a message.Answer, latency time.Duration, share float64, delay time.Duration) bool {
	encoded := p.encode(a)
	isReusable := p.answer(a)
	if isReusable && isHit(id, "copy", share) {
		p.state().sendCopy(p, encoded, latency, delay)
	}
	return isReusable
}
