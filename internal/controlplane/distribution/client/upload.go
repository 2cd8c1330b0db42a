package client

import (
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// uploadBudget is what a control process is sent of what it lacks, in bytes per second: 16 KiB/s.
const uploadBudget = 16 << 10

// upload sends a control process what it lacks and this node holds, as after the control process lost its disk.
type upload struct {
	publisher    *distribution.Publisher // nil until the control process asks
	subscription distribution.SubscriptionID
}

// startUpload begins to send what a control process asks for. A Pull that asks for nothing is a ping.
func (c *Client) startUpload(m *wire.Pull) {
	if !m.IsContinuous && len(m.Services) == 0 {
		return
	}
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	u := &c.link.upload
	if u.publisher == nil {
		u.publisher = distribution.NewPublisher(c.store, distribution.Budget{TotalBytesPerSecond: uploadBudget, ControlBytesPerSecond: uploadBudget})
	}
	services := m.Services
	if m.IsContinuous {
		services = c.config.scope()
	}
	u.publisher.Unsubscribe(u.subscription)
	u.subscription = u.publisher.SubscribePartial(now, distribution.Subscription{
		Name:     "upstream",
		Role:     distribution.RoleControl,
		Services: services,
		Vector:   m.Vector,
	})
	c.log.Info().Str("control", c.upstream).Msg("distribution: sending control process what it lacks")
}

// sendUpload sends what is due, and returns how long to wait for more; 0 if nothing waits.
func (c *Client) sendUpload(now time.Duration) time.Duration {
	l := c.link
	if l == nil || l.upload.publisher == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		_, b, ok, wait := l.upload.publisher.NextBatch(now)
		switch {
		case ok:
			l.send(&wire.Batch{Batch: b})
		case wait == distribution.WaitForever:
			return 0
		default:
			return max(wait, time.Millisecond)
		}
	}
}

// uploadAcknowledged takes in what the control process has taken.
func (c *Client) uploadAcknowledged(a distribution.Acknowledgement) {
	u := &c.link.upload
	if u.publisher == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	u.publisher.BatchAcknowledged(c.now(), u.subscription, a)
}
