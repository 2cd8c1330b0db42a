package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"fernvane/internal/protocol/fastcgi"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
)

// Way is where a connection of a client leads, by the protocol that it speaks.
type Way struct {
	Node    int
	Address string
	FastCGI string
}

// conn is a client's connection, in either protocol.
type conn interface {
	io.Closer
	SetDeadline(time.Time) error
	IsIdle() bool
	HasUnread() bool
	HasMore() bool
	SendRequest(r *message.Request, left time.Duration, from string) (whole bool, err error)
	ReceiveResponse(r *message.Response) error
	IsReusable(r *message.Response) bool
	ReleaseBuffers()
}

// Target deals out connections, as the connection balancer before the nodes does.
type Target interface {
	// Pick says where a client of a site connects to; ok is false while nothing is known to serve.
	Pick(site int) (way Way, ok bool)
}

// Fixed is a door with one way.
type Fixed string

// Pick returns it.
func (f Fixed) Pick(int) (Way, bool) { return Way{Address: string(f)}, true }

// End is how a try ended.
type End uint8

// Ends of a try.
const (
	Answered     End = iota // a complete response, with its status
	Late                    // the same, after the client's timeout
	Unanswered              // the client's timeout passed
	Dropped                 // the connection ended without a complete response
	Unsent                  // no connection, or it broke before the last byte was written
	Disconnected            // the client disconnected before its timeout
)

// Try is one sending of a request. Times count since the start.
type Try struct {
	ID      uint64
	Request int // place in the schedule
	Number  int // 0 for the first
	Way     Way
	Begun   time.Duration
	Sent    time.Duration // last byte written; -1 if never
	Ended   time.Duration
	Until   time.Duration // when the client gives up
	End     End
	Status  int
	Foreign bool // the answer was made for another request
	Extra   bool // more than the answer came
}

// ID is the request id of a try: the same for each run of a schedule.
func ID(op, number int) uint64 { return uint64(op+1)<<8 | uint64(number) }

// FromID is the reverse.
func FromID(id uint64) (op, number int) { return int(id>>8) - 1, int(id & 0xff) }

// AppendID writes an id as it goes on the wire.
func AppendID(b []byte, id uint64) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[id>>shift&15])
	}
	return b
}

const (
	maxIdle      = 30 * time.Second       // a client's connection that is not used for so long is closed
	maxKept      = 512                    // idle connections of a site's clients
	balancerWait = 2 * time.Millisecond   // between tries at a balancer that knows of no node
	minRemaining = 5 * time.Millisecond   // of a client's time for which it still sends
	newConnGrace = 100 * time.Millisecond // for which nodes keep a new connection open (docs/design.md)
)

// pool keeps the idle connections of the clients of one site.
type pool struct {
	mu   sync.Mutex
	idle []idleConn
}

type idleConn struct {
	conn  conn
	heard *heard
	way   Way
	since time.Time // it rests; of a new one, it is being opened
}

// heard is a connection that knows whether anything has come on it since it was asked last.
type heard struct {
	*net.TCPConn
	any bool
}

func (h *heard) Read(b []byte) (int, error) {
	n, err := h.TCPConn.Read(b)
	h.any = h.any || n > 0
	return n, err
}

// crossed reports that a node closed a idle connection as a request crossed, which it then has not read: no byte has come
// back, and the connection has ended. It is the same in every protocol, and the one place that says so for the audit. A
// node that lives answers whatever it has read, so such a request may be sent once more on a new connection.
func crossed(k idleConn, err error) bool {
	return !k.heard.any && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE))
}

// excused reports whether a request that was not read may be sent once more: where it crossed the close of a connection that
// had rested, or of a new one whose client, on a busy machine, took so long to ask that nodes do not hold it any more.
// asked is when it had asked.
func excused(k idleConn, old, again bool, asked time.Time, err error) bool {
	return (old && !again || !old && asked.Sub(k.since) >= newConnGrace) && crossed(k, err)
}

func (p *pool) take() (idleConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return idleConn{}, false
	}
	k := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return k, true
}

func (p *pool) keep(k idleConn) {
	p.mu.Lock()
	var old conn
	if len(p.idle) == maxKept || len(p.idle) > 0 && time.Since(p.idle[0].since) > maxIdle {
		old = p.idle[0].conn
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.idle = append(p.idle, k)
	p.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.idle {
		k.conn.Close()
	}
	p.idle = nil
}

// request is what a try sends.
type request struct {
	method string
	path   string
	tenant string
	key    int
	body   []byte
	wait   time.Duration // how long the client waits for its answer
	leaves time.Duration // when it goes in truth; 0: it does not
	behind []byte        // what it has sent by then behind the request
}

// message is the request of a try.
func (r *request) message(id uint64) *message.Request {
	m := &message.Request{Method: []byte(r.method), Target: []byte(r.path), Body: r.body}
	add := func(name string, value []byte) {
		m.Fields = append(m.Fields, message.Field{Name: []byte(name), Value: value})
	}
	add("Host", []byte("origin.svc"))
	add(message.RequestID, AppendID(nil, id))
	if r.tenant != "" {
		add("Tenant", []byte(r.tenant))
	}
	if r.key > 0 {
		add("Affinity-Key", strconv.AppendInt(nil, int64(r.key), 16))
	}
	return m
}

// do sends a try and waits for its end. slack is how long beyond the client's own time an answer is still looked for,
// so that one that comes late is told from none.
func (g *Generator) do(ctx context.Context, site int, r *request, t *Try, slack time.Duration) {
	pool := &g.pools[site]
	t.Sent = -1
	until := time.Now().Add(r.wait)
	t.Begun = time.Since(g.start)
	t.Until = t.Begun + r.wait
	for again := false; ; again = true {
		k, old, ok := g.connection(ctx, site, until, t, !again)
		if !ok {
			t.End, t.Ended = Unsent, time.Since(g.start)
			return
		}
		t.Way = k.way
		left := time.Until(until) // the wait for a connection is over; what is told counts from the sending
		if left < minRemaining {
			k.conn.Close()
			t.End, t.Ended = Unsent, time.Since(g.start)
			return
		}
		k.conn.SetDeadline(until.Add(slack))
		if r.leaves > 0 {
			k.conn.SetDeadline(until.Add(r.leaves - r.wait))
		}
		g.watch.Sending(t)
		k.heard.any = false
		whole, err := k.conn.SendRequest(r.message(t.ID), left, "127.0.0.1")
		asked := time.Now()
		if whole {
			t.Sent = time.Since(g.start)
			g.watch.Sent(t)
			k.heard.Write(r.behind)
			if err = g.answer(k, t, pool); err == nil {
				return
			}
		}
		k.conn.Close()
		t.Ended = time.Since(g.start)
		if excused(k, old, again, asked, err) && g.watch.Incarnations(t.Way, t.Begun) && time.Now().Before(until) {
			g.watch.Unread(t)
			continue
		}
		t.End = endWithout(whole, err, r.leaves > 0)
		return
	}
}

// connection is one that is kept, if it may be, or a new one; ok is false where none comes up in time.
func (g *Generator) connection(ctx context.Context, site int, until time.Time, t *Try, mayBeKept bool) (k idleConn, old, ok bool) {
	for mayBeKept {
		if k, old = g.pools[site].take(); !old {
			break
		}
		if k.conn.IsIdle() {
			return k, true, true
		}
		g.dropStale(k)
	}
	k, ok = g.open(ctx, site, until, t)
	return k, false, ok
}

// endWithout is how a try ended that has no answer.
func endWithout(whole bool, err error, leaves bool) End {
	switch {
	case !whole:
		return Unsent
	case errors.Is(err, http1.ErrTimeout) && leaves:
		return Disconnected
	case errors.Is(err, http1.ErrTimeout):
		return Unanswered
	}
	return Dropped
}

// answer reads the answer to a try and puts the connection by.
func (g *Generator) answer(k idleConn, t *Try, pool *pool) error {
	var resp message.Response
	if err := k.conn.ReceiveResponse(&resp); err != nil {
		return err
	}
	t.Ended = time.Since(g.start)
	t.End, t.Status = Answered, resp.Status
	if t.Ended > t.Until {
		t.End = Late
	}
	if resp.Status == 200 && g.Checked {
		t.Foreign = !bytes.HasPrefix(resp.Body, AppendID(nil, t.ID))
	}
	t.Extra = k.conn.HasMore()
	again := k.conn.IsReusable(&resp)
	if k.conn.ReleaseBuffers(); !again || t.Extra {
		k.conn.Close()
		return nil
	}
	k.since = time.Now()
	pool.keep(k)
	return nil
}

// dropStale closes a connection that stood idle and is no longer quiet. Bytes on it are a second answer to its last
// request.
func (g *Generator) dropStale(k idleConn) {
	if k.conn.HasUnread() {
		g.watch.Extra(k.way)
	}
	k.conn.Close()
}

func (g *Generator) open(ctx context.Context, site int, until time.Time, t *Try) (idleConn, bool) {
	for {
		way, ok := g.target.Pick(site)
		if !ok { // nothing serves: the client waits at the connection balancer
			if time.Until(until) < balancerWait || ctx.Err() != nil {
				return idleConn{}, false
			}
			time.Sleep(balancerWait)
			continue
		}
		t.Way = way
		d, since := net.Dialer{Deadline: until}, time.Now()
		address := way.Address
		if g.FastCGI {
			address = way.FastCGI
		}
		nc, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return idleConn{}, false
		}
		h := &heard{TCPConn: nc.(*net.TCPConn)}
		if g.FastCGI {
			return idleConn{conn: fastcgi.NewServerConn(h, nil, nil), heard: h, way: way, since: since}, true
		}
		return idleConn{conn: http1.NewConn(h), heard: h, way: way, since: since}, true
	}
}
