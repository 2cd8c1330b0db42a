package load

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"fernvane/internal/protocol/fastcgi"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
	"fernvane/internal/testbed/scenario"
)

const (
	pickInterval = 2 * time.Millisecond // between calls of Picker.Pick while no node is known to serve
	minTimeLeft  = 5 * time.Millisecond // remaining client timeout below which a try is not sent
)

// clientRequest is the content that each try of a request sends.
type clientRequest struct {
	method          string
	path            string
	tenant          string
	key             int
	body            []byte
	timeout         time.Duration // the client's timeout
	disconnectAfter time.Duration // time after which the client disconnects; 0: it does not
	pipelined       []byte        // bytes that a client sends after the request before it disconnects
}

// methods maps the idempotency of a type, as named in scenario files, to the method of its requests.
var methods = map[string]string{"retriable": "GET", "fingerprinted": "PUT", "binding": "POST"}

var body = []byte("what the client sends, as long as a short form filled in at a counter")

// clientRequest returns the content of the request with the given index in the schedule.
func (g *Generator) clientRequest(index int) *clientRequest {
	s := g.Scenario
	scheduled := &g.Requests[index]
	requestType := &s.Types[scheduled.Type]
	r := &clientRequest{
		method:  methods[requestType.Idempotency],
		path:    requestType.Path,
		key:     scheduled.Key,
		timeout: time.Duration(s.Clients.TimeoutShare * float64(requestType.AbandonTime)),
	}
	if r.method != "GET" {
		r.body = body
	}
	if scheduled.Disconnects {
		r.disconnectAfter = time.Duration(s.Clients.DisconnectAfter * float64(requestType.AbandonTime))
		if index%2 == 0 && !g.FastCGI {
			r.pipelined = []byte("GET ")
		}
	}
	if scheduled.Tenant >= 0 {
		r.tenant = s.Tenants[scheduled.Tenant].Name
	}
	return r
}

// message returns the message of a try with the given ID.
func (r *clientRequest) message(id uint64) *message.Request {
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

// runRequest sends tries of a request until it is handled, its retries are exhausted, or the outcome of a non-idempotent
// request does not allow a retry. Clients that disconnect do not retry.
func (g *Generator) runRequest(ctx context.Context, index int) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	s := g.Scenario
	scheduled := &g.Requests[index]
	r := g.clientRequest(index)
	var t Try
	for n := 0; ; n++ {
		t = Try{ID: ID(index, n), Request: index, Number: n}
		g.sendTry(ctx, scheduled.Site, r, &t, s.Rules.Slack.Std())
		g.watcher.Ended(&t)
		g.recordTry(&t)
		isLast := t.isHandled() || scheduled.Disconnects || n >= s.Clients.Retries
		if isLast || !mayRetry(&s.Types[scheduled.Type], &t) || ctx.Err() != nil {
			break
		}
		backoff := s.Clients.Backoff.Std()
		if s.Clients.DoublesBackoff {
			backoff <<= n
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
	}
	g.recordOutcome(scheduled, &t)
}

// mayRetry reports whether a client may retry a request after a try that was not handled.
func mayRetry(requestType *scenario.Type, t *Try) bool {
	return t.isRejected() || t.End == Unsent || requestType.Idempotency != "binding"
}

// sendTry sends a try and waits until it ends. It waits for an answer for slack beyond the client's timeout, to
// distinguish a late answer from a missing one.
func (g *Generator) sendTry(ctx context.Context, site int, r *clientRequest, t *Try, slack time.Duration) {
	t.Sent = -1
	deadline := time.Now().Add(r.timeout)
	t.Started = time.Since(g.start)
	t.Deadline = t.Started + r.timeout
	for isResent := false; ; isResent = true {
		c, wasIdle, ok := g.connection(ctx, site, deadline, t, !isResent)
		if !ok {
			g.end(t, Unsent)
			return
		}
		t.Endpoint = c.endpoint
		left := time.Until(deadline)
		if left < minTimeLeft {
			c.conn.Close()
			g.end(t, Unsent)
			return
		}
		c.conn.SetDeadline(deadline.Add(slack))
		if r.disconnectAfter > 0 {
			c.conn.SetDeadline(deadline.Add(r.disconnectAfter - r.timeout))
		}
		isComplete, sentAt, err := g.exchange(c, r, t, left, site)
		if err == nil && isComplete {
			return
		}
		c.conn.Close()
		t.Ended = time.Since(g.start)
		if mayResend(c, wasIdle, isResent, sentAt, err) && g.watcher.HasRunSince(t.Endpoint, t.Started) {
			g.watcher.Unread(t)
			if time.Now().Before(deadline) {
				continue
			}
			t.End = Unsent
			return
		}
		t.End = endWithoutAnswer(isComplete, err, r.disconnectAfter > 0)
		return
	}
}

// exchange sends a try on a connection and receives its answer. isComplete: the request was completely written. sentAt is
// the time at which writing ended. An error means that no answer was received.
func (g *Generator) exchange(c idleConn, r *clientRequest, t *Try, left time.Duration, site int) (isComplete bool, sentAt time.Time, err error) {
	g.watcher.Sending(t)
	c.tracked.hasRead = false
	isComplete, err = c.conn.SendRequest(r.message(t.ID), left, "127.0.0.1")
	sentAt = time.Now()
	if !isComplete {
		return false, sentAt, err
	}
	t.Sent = time.Since(g.start)
	g.watcher.Sent(t)
	c.tracked.Write(r.pipelined)
	return true, sentAt, g.receiveAnswer(c, t, &g.pools[site])
}

// end records that a try ended now.
func (g *Generator) end(t *Try, end End) {
	t.End = end
	t.Ended = time.Since(g.start)
}

// endWithoutAnswer returns the End of a try without an answer.
func endWithoutAnswer(isComplete bool, err error, disconnects bool) End {
	switch {
	case !isComplete:
		return Unsent
	case errors.Is(err, http1.ErrTimeout) && disconnects:
		return Disconnected
	case errors.Is(err, http1.ErrTimeout):
		return Unanswered
	}
	return Dropped
}

// receiveAnswer reads the answer to a try and returns the connection to the pool, or closes it.
func (g *Generator) receiveAnswer(c idleConn, t *Try, pool *pool) error {
	var resp message.Response
	if err := c.conn.ReceiveResponse(&resp); err != nil {
		return err
	}
	g.end(t, Answered)
	t.Status = resp.Status
	if t.Ended > t.Deadline {
		t.End = Late
	}
	if resp.Status == 200 && g.ChecksIDs {
		t.IsForeign = !bytes.HasPrefix(resp.Body, AppendID(nil, t.ID))
	}
	t.HasExtra = c.conn.HasMore()
	isReusable := c.conn.IsReusable(&resp)
	c.conn.ReleaseBuffers()
	if !isReusable || t.HasExtra {
		c.conn.Close()
		return nil
	}
	c.since = time.Now()
	pool.put(c)
	return nil
}

// connection returns an idle connection, if mayBeIdle allows it and one exists, or a new one. ok is false if no connection
// could be opened before the deadline.
func (g *Generator) connection(ctx context.Context, site int, deadline time.Time, t *Try, mayBeIdle bool) (c idleConn, wasIdle, ok bool) {
	for mayBeIdle {
		c, wasIdle = g.pools[site].get()
		if !wasIdle {
			break
		}
		if c.conn.IsIdle() {
			return c, true, true
		}
		g.closeStale(c)
	}
	c, ok = g.open(ctx, site, deadline, t)
	return c, false, ok
}

// closeStale closes an idle connection that the node closed or wrote to. Unread bytes on it count as an unsolicited
// response.
func (g *Generator) closeStale(c idleConn) {
	if c.conn.HasUnread() {
		g.watcher.UnsolicitedResponse(c.endpoint)
	}
	c.conn.Close()
}

// open opens a connection to the node that the Picker selects. While no node is known to serve, the client waits.
func (g *Generator) open(ctx context.Context, site int, deadline time.Time, t *Try) (idleConn, bool) {
	endpoint, ok := g.picker.Pick(site)
	for !ok {
		if time.Until(deadline) < pickInterval || ctx.Err() != nil {
			return idleConn{}, false
		}
		time.Sleep(pickInterval)
		endpoint, ok = g.picker.Pick(site)
	}
	t.Endpoint = endpoint
	address := endpoint.Address
	if g.FastCGI {
		address = endpoint.FastCGI
	}
	dialer := net.Dialer{Deadline: deadline}
	openedAt := time.Now()
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return idleConn{}, false
	}
	tracked := &trackedConn{TCPConn: nc.(*net.TCPConn)}
	c := idleConn{tracked: tracked, endpoint: endpoint, since: openedAt}
	if g.FastCGI {
		c.conn = fastcgi.NewServerConn(tracked, nil, nil)
	} else {
		c.conn = http1.NewConn(tracked)
	}
	return c, true
}
