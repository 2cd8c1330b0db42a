package client

import (
	"errors"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// wanted gives a control process what it lacks, as after it lost its disk: in batches of a bounded rate, which it
// acknowledges.
func (c *Client) wanted(m *wire.Pull) {
	if !m.IsContinuous && len(m.Services) == 0 { // a sign of life
		return
	}
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.link
	if l.publisher == nil {
		l.publisher = distribution.NewPublisher(c.store, distribution.Budget{TotalBytesPerSecond: offerBudget, ControlBytesPerSecond: offerBudget})
	}
	vector, services := m.Vector, m.Services
	if m.IsContinuous {
		services = c.config.scope()
	}
	l.publisher.Unsubscribe(l.offered)
	l.offered = l.publisher.SubscribePartial(now, distribution.Subscription{Name: "upstream", Role: distribution.RoleControl, Services: services, Vector: vector})
	c.log.Info().Str("control", c.upstream).Msg("distribution: the control process lacks what this node holds: it is sent")
}

// offer sends what is due of it, and says how long to wait for more; 0 for nothing that waits.
func (c *Client) offer(now time.Duration) time.Duration {
	l := c.link
	if l == nil || l.publisher == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		_, b, ok, wait := l.publisher.NextBatch(now)
		if !ok {
			if wait == distribution.WaitForever {
				return 0
			}
			return max(wait, time.Millisecond)
		}
		l.send(&wire.Batch{Batch: b})
	}
}

// acknowledged takes in what the control process has taken of it.
func (l *link) acknowledged(c *Client, a distribution.Acknowledgement) {
	if l.publisher == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l.publisher.BatchAcknowledged(c.now(), l.offered, a)
}

// ping asks a control process that has been silent for a while whether it is there, and leaves one that does not answer. It
// says how long to wait until the next look; 0 where nobody is followed.
func (c *Client) ping(now time.Duration) time.Duration {
	l := c.link
	if l == nil || l.receiver == nil {
		return 0
	}
	silent := now - l.heard
	switch {
	case silent >= pingAfter+pingWithin:
		c.lost(errors.New("it has fallen silent"), true)
		return time.Millisecond
	case silent >= pingAfter && !l.pinged:
		l.pinged = true
		l.send(&wire.Pull{})
	}
	if l.pinged {
		return pingAfter + pingWithin - silent
	}
	return pingAfter - silent
}
