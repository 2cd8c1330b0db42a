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

// lead is the life of one connection.
func (b *Server) lead(nc *link.Conn, site int) {
	b.mu.Lock()
	b.conns++
	full := b.f.Connections > 0 && b.conns > b.f.Connections
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.conns--
		b.mu.Unlock()
	}()
	way := b.cross(site)
	if b.f.FastCGI {
		b.leadCGI(nc, way, full)
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
		first := nc.Received().Sub(b.start) // what a silence holds back was sent before it
		if err := c.ReadRequest(&req); err != nil {
			if bad, ok := err.(*http1.Malformed); ok {
				c.Send(http1.AppendAnswer(nil, http1.Answer{Status: bad.Status, Close: true}))
			}
			return
		}
		last = idOf(&req)
		if !b.request(httpPeer{nc, c}, &req, first, nc.Received().Sub(b.start), way, fresh, full) || full {
			return
		}
	}
}

// idOf is the id of a request, 0 for one without.
func idOf(r *message.Request) uint64 {
	id, err := strconv.ParseUint(string(r.Get(http1.RequestID)), 16, 64)
	if err != nil {
		return 0
	}
	return id
}

// idle tells for how long a connection has stood unused since its last request was answered, if it had one.
func (b *Server) idle(last uint64, from time.Duration) {
	if _, known := b.watch.Asked(last); known && last != 0 {
		b.watch.Idle(last, b.Number, from, b.now())
	}
}

// request is the life of one request; it reports whether its connection can be used again.
func (b *Server) request(p peer, req *message.Request, first, last, way time.Duration, fresh, full bool) bool {
	text := string(req.Get(http1.RequestID))
	if text == "" {
		return p.answer(message.Answer{Status: 404, Body: []byte("no id")})
	}
	id, err := strconv.ParseUint(text, 16, 64)
	asked, known := b.watch.Asked(id)
	b.watch.Attempt(id, b.Number, first, last)
	if err != nil || len(text) != 16 || !known {
		return p.answer(message.Answer{Status: 400, Body: []byte("nobody has sent this request")})
	}
	wait(way)
	b.mu.Lock()
	faults, draining := b.faults, b.draining
	b.mu.Unlock()
	if meets(id, "cut-before", faults.CutBefore) {
		b.watch.Over(id, b.Number, b.now(), false)
		p.reset()
		return false
	}
	if full || draining || meets(id, "refuse", faults.Refuse) {
		return b.reject(p, id, 503)
	}
	left, err := strconv.ParseFloat(string(req.Get(http1.RequestTimeout)), 64)
	if err != nil {
		left = 3600
	}
	work := asked.Work
	if fresh {
		work += b.f.Handshake
	}
	h := &attempt{id: id, ended: make(chan Step, 1)}
	switch b.offer(h, Work{Work: work, Key: asked.Key, Until: last + time.Duration(left*float64(time.Second))}) {
	case Full:
		return b.reject(p, id, 503)
	case Down:
		p.reset()
		return false
	}
	what, told := b.work(p, h)
	switch what {
	case Expired:
		return b.reject(p, id, 504)
	case Lost:
		if !told {
			b.watch.Over(id, b.Number, b.now(), false)
		}
		p.reset()
		return false
	}
	wait(way)
	if !told {
		b.watch.Over(id, b.Number, b.now(), false)
	}
	return b.reply(p, id, text, faults)
}

// offer gives the model an attempt; a server that falls under it leaves its addresses.
func (b *Server) offer(h *attempt, j Work) (verdict Admission) {
	fell := false
	b.do(func(now time.Duration) {
		b.last++
		b.attempts[b.last] = h
		j.ID = b.last
		verdict = b.model.Offer(now, j, b.event)
		if verdict != Admitted {
			delete(b.attempts, b.last)
		}
		fell = verdict == Down && b.model.Fallen()
	})
	if verdict == Down {
		b.watch.Over(h.id, b.Number, b.now(), false)
	}
	if fell {
		b.watch.Fell(b.Number, b.now())
		for _, l := range b.listeners {
			l.Stop()
		}
	}
	return verdict
}

// work waits for the end of an attempt, which its caller's leaving does not change; gone tells that it has left, and that
// the watcher was told that the attempt is over.
func (b *Server) work(p peer, h *attempt) (what Step, gone bool) {
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if gone = p.disconnected(); gone {
			b.watch.Over(h.id, b.Number, b.now(), false)
		}
	}()
	what = <-h.ended
	p.peek(time.Unix(1, 0))
	<-watched
	return what, gone
}

func wait(d time.Duration) {
	if d >= worthWait {
		time.Sleep(d)
	}
}

// meets draws by the request's id whether it meets a fault, the same in each run.
func meets(id uint64, fault string, share float64) bool {
	if share <= 0 {
		return false
	}
	return float64(crc32.ChecksumIEEE(fmt.Append(nil, id, fault)))/(1<<32) < share
}

func (b *Server) reject(p peer, id uint64, status int) bool {
	b.watch.Over(id, b.Number, b.now(), true)
	return p.answer(message.Answer{Status: status, Fields: []message.Field{{Name: []byte(message.NotStarted), Value: []byte("1")}}})
}

var fill = bytes.Repeat([]byte{'.'}, fillBytes)

// reply answers a request whose work is over, with the id that it was made for at the beginning of the body.
func (b *Server) reply(p peer, id uint64, text string, f Faults) bool {
	if meets(id, "error", f.Err) {
		return p.answer(message.Answer{Status: 500, Body: []byte("it failed")})
	}
	a := message.Answer{Status: 200, Body: fmt.Appendf(nil, "%s %s\n%s\n", text, b.Name, fill)}
	switch {
	case meets(id, "cut-within", f.CutWithin):
		whole := p.encode(a)
		p.raw(whole[:len(whole)/2])
		return false
	case meets(id, "spoil", f.Spoil):
		p.raw(p.garbled(id, a))
		p.peek(time.Now().Add(maxIdle)) // it stays open and is of no further use
		p.disconnected()
		return false
	}
	return p.answer(a) && !meets(id, "cut-after", f.CutAfter)
}
