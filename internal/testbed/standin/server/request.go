package server

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"strconv"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
	"fernvane/internal/testbed/standin/link"
)

// serveConn serves a connection from a site, in the server's protocol.
func (b *Server) serveConn(nc *link.Conn, site int) {
	b.mu.Lock()
	b.conns++
	full := b.settings.Connections > 0 && b.conns > b.settings.Connections
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.conns--
		b.mu.Unlock()
	}()
	way := b.latency(site)
	if b.settings.FastCGI {
		b.serveFastCGI(nc, way, full)
		return
	}
	c := http1.NewConn(nc)
	var req http1.Request
	last := uint64(0) // request on it
	for fresh := true; ; fresh = false {
		c.SetReadDeadline(time.Now().Add(maxIdle))
		idle := b.now()
		err := c.AwaitMessage()
		b.idle(last, idle)
		if err != nil {
			return
		}
		first := nc.Received().Sub(b.start) // bytes held back by a silence came before its end
		if err := c.ReadRequest(&req); err != nil {
			if bad, ok := err.(*http1.Malformed); ok {
				c.Send(http1.AppendAnswer(nil, http1.Answer{Status: bad.Status, Close: true}))
			}
			return
		}
		last = idOf(&req)
		if !b.serveRequest(httpPeer{nc, c}, &req, first, nc.Received().Sub(b.start), way, fresh, full) || full {
			return
		}
	}
}

// idOf returns the ID of a request, 0 if it has none.
func idOf(r *message.Request) uint64 {
	id, err := strconv.ParseUint(string(r.Get(http1.RequestID)), 16, 64)
	if err != nil {
		return 0
	}
	return id
}

// idle reports how long a connection was unused after its last request, if it had one.
func (b *Server) idle(last uint64, from time.Duration) {
	if _, isKnown := b.watcher.FindRequest(last); isKnown && last != 0 {
		b.watcher.Idle(last, b.Number, from, b.now())
	}
}

// serveRequest serves a request and reports whether its connection can be used again. fresh says that it is the first on its
// connection, full that the server has too many connections.
func (b *Server) serveRequest(p peer, req *message.Request, first, last, way time.Duration, fresh, full bool) bool {
	text := string(req.Get(http1.RequestID))
	if text == "" {
		return p.answer(message.Answer{Status: 404, Body: []byte("no id")})
	}
	id, err := strconv.ParseUint(text, 16, 64)
	info, isKnown := b.watcher.FindRequest(id)
	b.watcher.Attempt(id, b.Number, first, last)
	if err != nil || len(text) != 16 || !isKnown {
		return p.answer(message.Answer{Status: 400, Body: []byte("nobody has sent this request")})
	}
	wait(way)
	b.mu.Lock()
	faults, draining := b.faults, b.draining
	b.mu.Unlock()
	if isHit(id, "cut-before", faults.CutBefore) {
		b.watcher.AttemptEnded(id, b.Number, b.now(), false)
		p.reset()
		return false
	}
	if full || draining || isHit(id, "refuse", faults.Refuse) {
		return b.reject(p, id, 503)
	}
	left, err := strconv.ParseFloat(string(req.Get(http1.RequestTimeout)), 64)
	if err != nil {
		left = 3600
	}
	work := info.Work
	if fresh {
		work += b.settings.Handshake
	}
	h := &attempt{id: id, ended: make(chan Step, 1)}
	switch b.offer(h, Work{Work: work, Key: info.Key, Deadline: last + time.Duration(left*float64(time.Second))}) {
	case Full:
		return b.reject(p, id, 503)
	case Down:
		p.reset()
		return false
	}
	step, isReported := b.work(p, h)
	switch step {
	case Expired:
		return b.reject(p, id, 504)
	case Lost:
		if !isReported {
			b.watcher.AttemptEnded(id, b.Number, b.now(), false)
		}
		p.reset()
		return false
	}
	wait(way)
	if !isReported {
		b.watcher.AttemptEnded(id, b.Number, b.now(), false)
	}
	return b.reply(p, id, text, faults)
}

// offer offers an attempt to the model. If it overloads the server, the listeners stop.
func (b *Server) offer(h *attempt, j Work) (verdict Admission) {
	isOverloaded := false
	b.do(func(now time.Duration) {
		b.last++
		b.attempts[b.last] = h
		j.ID = b.last
		verdict = b.model.Offer(now, j, b.event)
		if verdict != Admitted {
			delete(b.attempts, b.last)
		}
		isOverloaded = verdict == Down && b.model.IsOverloaded()
	})
	if verdict == Down {
		b.watcher.AttemptEnded(h.id, b.Number, b.now(), false)
	}
	if isOverloaded {
		b.watcher.Overloaded(b.Number, b.now())
		for _, l := range b.listeners {
			l.Stop()
		}
	}
	return verdict
}

// work waits until an attempt ends, also if its caller disconnects. isDisconnected says that it did and that the watcher
// was notified of the end.
func (b *Server) work(p peer, h *attempt) (last Step, isDisconnected bool) {
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if isDisconnected = p.disconnected(); isDisconnected {
			b.watcher.AttemptEnded(h.id, b.Number, b.now(), false)
		}
	}()
	last = <-h.ended
	p.peek(time.Unix(1, 0))
	<-watched
	return last, isDisconnected
}

// wait simulates the latency of the network.
func wait(d time.Duration) {
	if d >= minLatency {
		time.Sleep(d)
	}
}

// isHit decides by its ID whether a fault hits a request: the same in each run.
func isHit(id uint64, fault string, share float64) bool {
	if share <= 0 {
		return false
	}
	return float64(crc32.ChecksumIEEE(fmt.Append(nil, id, fault)))/(1<<32) < share
}

// reject answers that the request did not run.
func (b *Server) reject(p peer, id uint64, status int) bool {
	b.watcher.AttemptEnded(id, b.Number, b.now(), true)
	return p.answer(message.Answer{Status: status, Fields: []message.Field{{Name: []byte(message.NotStarted), Value: []byte("1")}}})
}

var fill = bytes.Repeat([]byte{'.'}, fillBytes)

// reply answers an executed request. The body begins with the request ID.
func (b *Server) reply(p peer, id uint64, text string, f Faults) bool {
	if isHit(id, "error", f.Err) {
		return p.answer(message.Answer{Status: 500, Body: []byte("it failed")})
	}
	a := message.Answer{Status: 200, Body: fmt.Appendf(nil, "%s %s\n%s\n", text, b.Name, fill)}
	switch {
	case isHit(id, "cut-within", f.CutWithin):
		whole := p.encode(a)
		p.raw(whole[:len(whole)/2])
		return false
	case isHit(id, "spoil", f.Spoil):
		p.raw(p.garbled(id, a))
		p.peek(time.Now().Add(maxIdle)) // the connection stays open but is not used again
		p.disconnected()
		return false
	}
	return p.answer(a) && !isHit(id, "cut-after", f.CutAfter)
}
