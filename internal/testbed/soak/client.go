package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"fernvane/internal/protocol/fastcgi"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
)

// answerSlack is how long after its deadline a client still waits for an answer.
const answerSlack = 2 * time.Second

// clientConn is a client's connection, in either protocol.
type clientConn interface {
	net.Conn
	IsIdle() bool
	SendRequest(r *message.Request, remaining time.Duration, clientAddress string) (isWhole bool, err error)
	ReceiveResponse(r *message.Response) error
}

// countedConn records whether bytes were read.
type trackedConn struct {
	*net.TCPConn
	hasRead bool
}

// Read reads and records whether bytes came.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.hasRead = c.hasRead || n > 0
	return n, err
}

// client sends requests one after the other, and keeps its connection until the node announces or makes its end.
type client struct {
	run       *run
	number    int
	rng       *rand.Rand
	isFastCGI bool
	sent      int

	tracked    *trackedConn
	conn       clientConn // nil: none is open
	answeredAt time.Time  // when the last answer came on it; zero: none has
}

func newClient(r *run, number int) *client {
	isFastCGI := float64(number) < r.plan.FastCGIShare*float64(r.plan.Clients)
	return &client{run: r, number: number, rng: rand.New(rand.NewPCG(r.plan.Seed, uint64(number))), isFastCGI: isFastCGI}
}

// serve sends requests until no connection can be had any more or ctx ends.
func (c *client) serve(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if c.conn != nil && !c.conn.IsIdle() {
			c.closedBetweenRequests(false)
		}
		if c.conn == nil && !c.open(ctx) {
			return
		}
		if !c.exchange() {
			c.close()
		}
		if pause := time.Duration(c.rng.Int64N(int64(c.run.plan.MaxPause))); pause > time.Millisecond {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}
}

// open opens a connection. It returns false when the node takes none any more.
func (c *client) open(ctx context.Context) bool {
	address := c.run.httpAddress()
	if c.isFastCGI {
		address = c.run.fastCGIAddress()
	}
	if c.run.sinceStop() > connectWindow {
		return false
	}
	dialer := net.Dialer{}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if ctx.Err() == nil {
			c.run.audit.Violation(Answered, "client %d cannot connect %s after the stop: %v", c.number, c.run.sinceStop().Round(time.Millisecond), err)
		}
		return false
	}
	c.tracked = &trackedConn{TCPConn: nc.(*net.TCPConn)}
	c.answeredAt = time.Time{}
	if c.isFastCGI {
		c.conn = fastcgi.NewServerConn(c.tracked, nil, nil)
	} else {
		c.conn = http1.NewConn(c.tracked)
	}
	return true
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// closedBetween reports that the node has closed the connection between two requests, and gives it up. isCrossed says that a request was
// sent on it.
func (c *client) closedBetweenRequests(isCrossed bool) {
	when := fmt.Sprintf("client %d, request sent %v, %s after the stop", c.number, isCrossed, c.run.sinceStop().Round(time.Millisecond))
	c.run.audit.Closed(c.isFastCGI, isCrossed, time.Since(c.answeredAt), when)
	c.close()
}

// exchange sends a request, sometimes with another right behind it, and receives the answers. It returns false if the connection cannot
// be used any more.
func (c *client) exchange() bool {
	timeout := c.run.plan.Deadline / time.Duration(1+c.rng.IntN(2))
	ids := []string{c.nextID()}
	if !c.isFastCGI && c.rng.Float64() < c.run.plan.PipelineRate {
		ids = append(ids, c.nextID())
	}
	for _, id := range ids {
		c.run.audit.Sending(id, isNonIdempotent(id))
	}
	c.tracked.hasRead = false
	c.conn.SetDeadline(time.Now().Add(timeout + answerSlack))
	for i, id := range ids {
		if isWhole, err := c.conn.SendRequest(requestMessage(id), timeout, "127.0.0.1"); !isWhole {
			c.endedWithoutAnswer(ids[i:], err)
			return false
		}
	}
	for i, id := range ids {
		closes, err := c.receive(id)
		if err != nil {
			c.endedWithoutAnswer(ids[i:], err)
			return false
		}
		if closes {
			for _, behind := range ids[i+1:] {
				c.run.audit.SentBehindLastAnswer(behind)
			}
			return false
		}
	}
	return true
}

// receive receives one answer, and reports whether the connection closes after it.
func (c *client) receive(id string) (closes bool, err error) {
	var resp message.Response
	if err := c.conn.ReceiveResponse(&resp); err != nil {
		return true, err
	}
	c.answeredAt = time.Now()
	c.run.audit.Answer(id, time.Since(c.run.start))
	if resp.Status == 200 && !bytes.HasPrefix(resp.Body, []byte(id)) {
		c.run.audit.Violation(Answered, "%s got the answer of another request", id)
	}
	return message.HasToken(resp.Fields, "Connection", "close"), nil // resp.Close is also set by a second answer behind this one
}

// ended reports requests on a connection that ended before the answer to the first of them.
func (c *client) endedWithoutAnswer(ids []string, err error) {
	isReused := !c.answeredAt.IsZero()
	since := c.run.sinceStop().Round(time.Millisecond)
	switch {
	case c.run.wasKilled():
		c.run.audit.Violation(Answered, "%s had no answer when the node was killed", ids[0])
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.run.audit.Violation(Answered, "%s had no answer %s after its deadline", ids[0], answerSlack)
	case c.tracked.hasRead:
		rule := Answered
		if len(ids) > 1 {
			rule = LastAnswerComplete
		}
		c.run.audit.Violation(rule, "the answer to %s broke off %s after the stop: %v", ids[0], since, err)
	case isReused:
		c.run.addUnread(ids)
		c.closedBetweenRequests(true)
	default:
		c.run.addUnread(ids)
		if !c.run.plan.HasIdleClients { // for want of descriptors a new connection may be closed unread
			c.run.audit.Violation(Answered, "%s was sent on a new connection that was closed %s after the stop: %v", ids[0], since, err)
		}
	}
}

// nextID returns the ID of the client's next request. Its parity says whether the request is idempotent.
func (c *client) nextID() string {
	c.sent++
	return fmt.Sprintf("%04x%04x%07x%x", c.run.plan.Seed&0xffff, c.number, c.sent, c.rng.IntN(16))
}

// isNonIdempotent reports whether a request is one that must not run twice.
func isNonIdempotent(id string) bool { return id[len(id)-1] < '4' }

// requestMessage returns the message of a request.
func requestMessage(id string) *message.Request {
	m := &message.Request{Method: []byte("GET"), Target: []byte("/check/1")}
	if isNonIdempotent(id) {
		m.Method, m.Target, m.Body = []byte("POST"), []byte("/book/1"), []byte("an order")
	}
	m.Fields = []message.Field{{Name: []byte("Host"), Value: []byte("origin.svc")}, {Name: []byte(message.RequestID), Value: []byte(id)}}
	return m
}
