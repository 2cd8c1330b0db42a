package soak

import (
	"fmt"
	"hash/crc32"
	"sync/atomic"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
	"fernvane/internal/testbed/standin/link"
)

// server is a stand-in server. Its behaviour for a request depends only on the request's ID, so that each run of a seed has the same
// faults.
type server struct {
	plan       *Plan
	start      time.Time
	audit      *Audit
	listener   *link.Listener
	isDraining atomic.Bool // requests are rejected before execution
}

func newServer(address string, plan *Plan, start time.Time, audit *Audit) (s *server, err error) {
	s = &server{plan: plan, start: start, audit: audit}
	s.listener, err = link.Listen(address, s.serve)
	return s, err
}

// serve processes the requests of a connection sequentially.
func (s *server) serve(conn *link.Conn) {
	c := http1.NewConn(conn)
	var req message.Request
	for c.ReadRequest(&req) == nil {
		id := string(req.Get(message.RequestID))
		s.audit.Received(id, time.Since(s.start))
		if s.isDraining.Load() {
			notStarted := []message.Field{{Name: []byte(message.NotStarted), Value: []byte("1")}}
			c.Send(http1.AppendAnswer(nil, message.Answer{Status: 503, Fields: notStarted}))
			continue
		}
		s.audit.Ran(id)
		if draw(id, "hang") < s.plan.HangRate {
			c.WaitDisconnected()
			return
		}
		time.Sleep(time.Duration(draw(id, "work") * float64(s.plan.MaxWork)))
		c.Send(http1.AppendAnswer(nil, message.Answer{Status: 200, Body: fmt.Appendf(nil, "%s\n", id)}))
	}
}

// draw returns a pseudo-random number in [0, 1) for one aspect of a request.
func draw(id, aspect string) float64 {
	return float64(crc32.ChecksumIEEE([]byte(id+aspect))) / (1 << 32)
}
