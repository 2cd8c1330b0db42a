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

// answerSlack is the time after a request's deadline for which a client still waits for the answer.
const answerSlack = 2 * time.Second

// clientConn is a client's connection, for HTTP or FastCGI.
type clientConn interface {
	net.Conn
	IsIdle() bool
	SendRequest(r *message.Request, remaining time.Duration, clientAddress string) (isComplete bool, err error)
	ReceiveResponse(r *message.Response) error
}

// trackedConn is a TCP connection that records whether bytes were read.
type trackedConn struct {
	*net.TCPConn
	hasRead bool
}

// Read reads from the connection and records whether it returned bytes.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.hasRead = c.hasRead || n > 0
	return n, err
}

// client sends sequential requests. It uses a connection until the node announces its close or closes it.
type client struct {
	run       *run
	number    int
	rng       *rand.Rand
	isFastCGI bool
	sent      int

	tracked    *trackedConn
	conn       clientConn // nil: no connection is open
	answeredAt time.Time  // time of the last answer on conn; zero: none
}

func newClient(r *run, number int) *client {
	isFastCGI := float64(number) < r.plan.FastCGIShare*float64(r.plan.Clients)
	return &client{run: r, number: number, rng: rand.New(rand.NewPCG(r.plan.Seed, uint64(number))), isFastCGI: isFastCGI}
}

// serve sends requests until no connection can be opened or ctx ends.
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

// open opens a connection. It returns false if the node no longer has to accept connections, or did not accept this one.
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
			c.run.audit.Violation(Answered, "client %d failed to connect %s after the stop: %v", c.number, c.run.sinceStop().Round(time.Millisecond), err)
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

// closedBetweenRequests reports that the node closed the connection between two requests, and closes the client's end. isRace: a request
// was sent on it at the same time.
func (c *client) closedBetweenRequests(isRace bool) {
	description := fmt.Sprintf("client %d, race with a request %v, %s after the stop", c.number, isRace, c.run.sinceStop().Round(time.Millisecond))
	c.run.audit.Closed(c.isFastCGI, isRace, time.Since(c.answeredAt), description)
	c.close()
}

// exchange sends a request, sometimes followed by a pipelined one, and receives the answers. It returns false if the connection is no
// longer usable.
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
		if isComplete, err := c.conn.SendRequest(requestMessage(id), timeout, "127.0.0.1"); !isComplete {
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
			for _, pipelined := range ids[i+1:] {
				c.run.audit.SentBehindLastAnswer(pipelined)
			}
			return false
		}
	}
	return true
}

// receive receives the answer to a request, and returns whether it announces the close of the connection.
func (c *client) receive(id string) (closes bool, err error) {
	var resp message.Response
	if err := c.conn.ReceiveResponse(&resp); err != nil {
		return true, err
	}
	c.answeredAt = time.Now()
	c.run.audit.Answer(id, time.Since(c.run.start))
	if resp.Status == 200 && !bytes.HasPrefix(resp.Body, []byte(id)) {
		c.run.audit.Violation(Answered, "%s got the answer to another request", id)
	}
	return message.HasToken(resp.Fields, "Connection", "close"), nil // not resp.Close, which is also set if another answer follows this one
}

// endedWithoutAnswer reports requests on a connection that ended before the first of them was answered. A node may close an idle
// connection while a request is sent on it, but it must read the first request on a new one.
func (c *client) endedWithoutAnswer(ids []string, err error) {
	isReused := !c.answeredAt.IsZero()
	since := c.run.sinceStop().Round(time.Millisecond)
	switch {
	case c.run.wasKilled():
		c.run.audit.Violation(Answered, "%s was not answered before the node was killed", ids[0])
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.run.audit.Violation(Answered, "%s was not answered within %s after its deadline", ids[0], answerSlack)
	case c.tracked.hasRead:
		rule := Answered
		if len(ids) > 1 {
			rule = LastAnswerComplete
		}
		c.run.audit.Violation(rule, "answer to %s incomplete: connection ended %s after the stop: %v", ids[0], since, err)
	case isReused:
		c.run.addUnread(ids)
		c.closedBetweenRequests(true)
	default:
		c.run.addUnread(ids)
		if !c.run.plan.HasIdleClients { // a node short of descriptors may close a new connection unread
			c.run.audit.Violation(Answered, "%s not answered: new connection closed %s after the stop: %v", ids[0], since, err)
		}
	}
}

// nextID returns the ID of the client's next request. Its last digit determines whether the request is non-idempotent.
func (c *client) nextID() string {
	c.sent++
	return fmt.Sprintf("%04x%04x%07x%x", c.run.plan.Seed&0xffff, c.number, c.sent, c.rng.IntN(16))
}

// isNonIdempotent reports whether the request with the given ID is non-idempotent.
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
