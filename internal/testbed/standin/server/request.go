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
func (s *Server) serveConn(nc *link.Conn, site int) {
	s.mu.Lock()
	s.conns++
	full := s.settings.Connections > 0 && s.conns > s.settings.Connections
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.conns--
		s.mu.Unlock()
	}()
	latency := s.latency(site)
	if s.settings.FastCGI {
		s.serveFastCGI(nc, latency, full)
		return
	}
	c := http1.NewConn(nc)
	conn := &connState{}
	defer conn.copies.Wait()
	var req http1.Request
	last := uint64(0) // ID of the last request on the connection
	for fresh := true; ; fresh = false {
		c.SetReadDeadline(time.Now().Add(maxIdle))
		idle := s.now()
		err := c.AwaitMessage()
		s.idle(last, idle)
		if err != nil {
			return
		}
		first := nc.Received().Sub(s.start) // bytes that waited for the end of a silence arrived before it
		if err := c.ReadRequest(&req); err != nil {
			if requestErr, ok := err.(*http1.RequestError); ok {
				c.Send(http1.AppendAnswer(nil, http1.Answer{Status: requestErr.Status, Close: true}))
			}
			return
		}
		last = idOf(&req)
		if !s.serveRequest(httpPeer{nc, c, conn}, &req, first, nc.Received().Sub(s.start), latency, fresh, full) || full {
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
func (s *Server) idle(last uint64, from time.Duration) {
	if _, isKnown := s.watcher.FindRequest(last); isKnown && last != 0 {
		s.watcher.Idle(last, s.Number, from, s.now())
	}
}

// serveRequest serves a request and reports whether its connection can be used again. first and last are the arrival times of its
// first and last byte, latency is the one-way latency to the caller. fresh means that the request is the first on its connection,
// full that the server has too many connections.
func (s *Server) serveRequest(p peer, req *message.Request, first, last, latency time.Duration, fresh, full bool) bool {
	text := string(req.Get(http1.RequestID))
	if text == "" {
		return p.answer(message.Answer{Status: 404, Body: []byte("no id")})
	}
	id, err := strconv.ParseUint(text, 16, 64)
	info, isKnown := s.watcher.FindRequest(id)
	s.watcher.Attempt(id, s.Number, first, last)
	if err != nil || len(text) != 16 || !isKnown {
		return p.answer(message.Answer{Status: 400, Body: []byte("nobody has sent this request")})
	}
	wait(latency)
	p.state().requestArrived()
	s.mu.Lock()
	faults, draining := s.faults, s.draining
	s.mu.Unlock()
	if isHit(id, "cut-before", faults.CutBefore) {
		s.watcher.AttemptEnded(id, s.Number, s.now(), false)
		p.reset()
		return false
	}
	if full || draining || isHit(id, "refuse", faults.Reject) {
		return s.reject(p, id, 503, latency, faults)
	}
	timeout, err := strconv.ParseFloat(string(req.Get(http1.RequestTimeout)), 64)
	if err != nil {
		timeout = 3600 // s: a caller that states no timeout is assumed to wait
	}
	work := info.Work
	if fresh {
		work += s.settings.Handshake
	}
	current := &attempt{id: id, ended: make(chan Step, 1)}
	switch s.offer(current, Work{Work: work, Key: info.Key, Deadline: last + time.Duration(timeout*float64(time.Second))}) {
	case Full:
		return s.reject(p, id, 503, latency, faults)
	case Down:
		p.reset()
		return false
	}
	step, isReported := s.work(p, current)
	switch step {
	case Expired:
		return s.reject(p, id, 504, latency, faults)
	case Lost:
		if !isReported {
			s.watcher.AttemptEnded(id, s.Number, s.now(), false)
		}
		p.reset()
		return false
	}
	wait(latency)
	if !isReported {
		s.watcher.AttemptEnded(id, s.Number, s.now(), false)
	}
	return s.reply(p, id, text, latency, faults)
}

// offer offers an attempt to the model. If the process does not run, it reports the end of the attempt; if the attempt overloads
// the server, it stops the listeners as well.
func (s *Server) offer(a *attempt, work Work) (admission Admission) {
	isOverloaded := false
	s.withLock(func(now time.Duration) {
		s.lastAttempt++
		s.attempts[s.lastAttempt] = a
		work.ID = s.lastAttempt
		admission = s.model.Offer(now, work, s.handleEvent)
		if admission != Admitted {
			delete(s.attempts, s.lastAttempt)
		}
		isOverloaded = admission == Down && s.model.IsOverloaded()
	})
	if admission == Down {
		s.watcher.AttemptEnded(a.id, s.Number, s.now(), false)
	}
	if isOverloaded {
		s.watcher.Overloaded(s.Number, s.now())
		for _, l := range s.listeners {
			l.Stop()
		}
	}
	return admission
}

// work waits until the execution of an attempt ends, even if the caller disconnects. isDisconnected means that the caller did,
// and that the watcher is already notified of the attempt's end.
func (s *Server) work(p peer, a *attempt) (last Step, isDisconnected bool) {
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if isDisconnected = p.disconnected(); isDisconnected {
			s.watcher.AttemptEnded(a.id, s.Number, s.now(), false)
		}
	}()
	last = <-a.ended
	p.setReadDeadline(time.Unix(1, 0)) // ends the call of disconnected
	<-watched
	return last, isDisconnected
}

// wait simulates the latency of the network.
func wait(d time.Duration) {
	if d >= minLatency {
		time.Sleep(d)
	}
}

// isHit decides by the ID of a request whether a fault hits it, with the same result in each run. share is the share of requests
// that the fault hits.
func isHit(id uint64, fault string, share float64) bool {
	if share <= 0 {
		return false
	}
	return float64(crc32.ChecksumIEEE(fmt.Append(nil, id, fault)))/(1<<32) < share
}

// reject responds that the request was not executed.
func (s *Server) reject(p peer, id uint64, status int, latency time.Duration, f Faults) bool {
	s.watcher.AttemptEnded(id, s.Number, s.now(), true)
	a := message.Answer{Status: status, Fields: []message.Field{{Name: []byte(message.NotStarted), Value: []byte("1")}}}
	return s.answerTwice(p, id, a, latency, f.CopyRejection, f.CopyDelay)
}

var filler = bytes.Repeat([]byte{'.'}, fillerBytes)

// reply responds to an executed request. The body begins with the request ID.
func (s *Server) reply(p peer, id uint64, text string, latency time.Duration, f Faults) bool {
	if isHit(id, "error", f.ErrorResponse) {
		return p.answer(message.Answer{Status: 500, Body: []byte("it failed")})
	}
	a := message.Answer{Status: 200, Body: fmt.Appendf(nil, "%s %s\n%s\n", text, s.Name, filler)}
	switch {
	case isHit(id, "cut-within", f.CutWithin):
		encoded := p.encode(a)
		p.writeRaw(encoded[:len(encoded)/2])
		return false
	case isHit(id, "spoil", f.GarbleResponse):
		p.writeRaw(p.garbled(id, a))
		p.setReadDeadline(time.Now().Add(maxIdle)) // the connection stays open but is not used again
		p.disconnected()
		return false
	}
	return s.answerTwice(p, id, a, latency, f.CopyResponse, f.CopyDelay) && !isHit(id, "cut-after", f.CutAfter)
}
