package proxy

import (
	"errors"
	"net"
	"os"
	"time"

	"fernvane/internal/protocol/connclose"
)

// AwaitReadable returns nil when bytes have arrived, which the caller then reads. Until then the dispatcher may close the connection to free
// its descriptor, but not while a complete request is unanswered, nor after the first request while part of a request has been read.
// isPartial reports that an incomplete record has arrived.
func (c *fastcgiClientConn) AwaitReadable(isPartial bool) error {
	for {
		c.setReadDeadline(isPartial)
		err := c.conn.AwaitReadable()
		if !c.client.ReadReady() {
			return net.ErrClosed
		}
		isTimeout := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case err == nil, isTimeout && c.conn.HasUnread(): // bytes may have arrived as the deadline passed
			c.clearReadDeadline()
			return nil
		case !isTimeout, c.handleTimeout(isPartial):
			return err
		}
	}
}

// clearReadDeadline removes the read deadline, so that arrived bytes are read. If the connection is closed for writing, its linger deadline
// stays.
func (c *fastcgiClientConn) clearReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingerDeadline.IsZero() {
		c.tcp.SetReadDeadline(time.Time{})
	}
}

// setReadDeadline sets the deadline for the next bytes. An idle connection and an incomplete request have a deadline; a connection that only
// waits for answers has none.
func (c *fastcgiClientConn) setReadDeadline(isPartial bool) {
	oldest := c.conn.OldestPartial()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isPartial {
		c.partialSince = time.Time{}
	} else if c.partialSince.IsZero() {
		c.partialSince = time.Now()
	}
	if oldest.IsZero() || isPartial && c.partialSince.Before(oldest) {
		oldest = c.partialSince
	}
	if !c.lingerDeadline.IsZero() {
		c.tcp.SetReadDeadline(c.lingerDeadline)
		return
	}
	c.tcp.SetReadDeadline(c.readDeadline(oldest))
	c.client.ReadBlocked(!oldest.IsZero())
}

// readDeadline returns the read deadline of a connection that is open for writing; zero: none. oldest is when the first bytes of the oldest
// incomplete request or record arrived. The caller holds mu.
func (c *fastcgiClientConn) readDeadline(oldest time.Time) time.Time {
	switch {
	case c.lifecycle.State() == connclose.Draining: // incomplete requests were rejected
		return time.Time{}
	case !oldest.IsZero():
		deadline := oldest.Add(requestTimeout)
		if !c.firstRequestDeadline.IsZero() && c.firstRequestDeadline.Before(deadline) {
			deadline = c.firstRequestDeadline
		}
		return deadline
	case c.lifecycle.InFlight() > 0:
		return time.Time{}
	case !c.firstRequestDeadline.IsZero():
		return c.firstRequestDeadline
	}
	return time.Now().Add(idleTimeout)
}

// handleTimeout handles a read deadline that has passed, and reports whether reading ends, which it does after the linger deadline. If a
// request has stalled, all incomplete requests are rejected and no new ones are admitted; complete requests are still answered. An idle
// connection is closed for writing.
func (c *fastcgiClientConn) handleTimeout(isPartial bool) bool {
	c.mu.Lock()
	isLingerOver, isStalled := !c.lingerDeadline.IsZero(), c.lifecycle.Receiving() > 0 || isPartial
	if !isLingerOver && !isStalled {
		c.handleLocked(connclose.IdleTimeout)
	}
	c.mu.Unlock()
	if isLingerOver {
		return true
	}
	if isStalled {
		c.RequestsRejected()
	}
	return false
}
