package client

import (
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// uploadBudget is the rate limit of uploads to a control process, in bytes per second.
const uploadBudget = 16 << 10

// upload is the transfer of stored entries to a control process that lacks them, for example because it lost its disk.
type upload struct {
	publisher    *distribution.Publisher // nil until the first request of the control process
	subscription distribution.SubscriptionID
}

// startUpload starts to send the requested entries to the control process. An empty Pull is a ping response and starts nothing.
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
	c.log.Info().Str("control", c.upstream).Msg("distribution: uploading missing entries to control process")
}

// sendUpload sends the batches that are due, and returns the time until the next one; 0 if none is pending.
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

// uploadAcknowledged processes an acknowledgement of uploaded entries.
func (c *Client) uploadAcknowledged(a distribution.Acknowledgement) {
	u := &c.link.upload
	if u.publisher == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	u.publisher.BatchAcknowledged(c.now(), u.subscription, a)
}
