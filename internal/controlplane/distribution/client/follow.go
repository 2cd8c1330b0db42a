package client

import (
	"fmt"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// handle processes an event of a probe or of the current connection. It ignores events of earlier connections.
func (c *Client) handle(e event) {
	if e.isProbe {
		c.mu.Lock()
		c.subscriber.ProbeEnded(c.now(), e.upstream, e.err == nil)
		c.mu.Unlock()
		return
	}
	if c.link == nil || e.link != c.link.number {
		return
	}
	switch {
	case e.err != nil:
		c.endLink(e.err, true)
	case e.isConnected:
		c.subscribe()
	default:
		c.receive(e.message, e.receivedAt)
	}
}

// subscribe sends the subscription to a newly connected control process.
func (c *Client) subscribe() {
	c.mu.Lock()
	c.subscriber.UpstreamConnected(c.now())
	c.upstream = c.config.Control[c.link.upstream]
	subscription := distribution.Subscription{
		Name:             c.config.Name,
		Role:             distribution.RoleNode,
		Region:           c.config.Region,
		Zone:             c.config.Zone,
		Services:         c.config.scope(),
		Vector:           c.store.Vector().Clone(),
		UnsyncedServices: c.store.UnsyncedServices(),
	}
	c.link.receiver = distribution.NewReceiver(c.store)
	c.link.reportedVector = subscription.Vector.Clone()
	c.mu.Unlock()
	c.log.Info().Str("control", c.upstream).Msg("distribution: control process connected")
	c.link.send(&wire.Subscribe{Subscription: subscription})
}

// receive processes a message from the control process.
func (c *Client) receive(m wire.Message, receivedAt time.Time) {
	c.link.lastMessage = c.now()
	c.link.isPinged = false
	switch m := m.(type) {
	case *wire.Batch:
		c.receiveBatch(m.Batch, receivedAt)
	case *wire.Digests:
		c.compareDigests(m.Digests)
	case *wire.Pull:
		c.startUpload(m)
	case *wire.Acknowledge:
		c.uploadAcknowledged(m.Acknowledgement)
	default:
		c.rejectLink(fmt.Errorf("unexpected %T from control process", m))
	}
}

// rejectLink sends the reason to a control process that violated the protocol, and closes the connection.
func (c *Client) rejectLink(cause error) {
	c.link.reject(cause)
	c.link.isRejected = true
	c.endLink(cause, true)
}

// endLink closes the current connection or attempt. It notifies the subscriber if notifiesSubscriber, which is false for a
// decision of the subscriber itself.
func (c *Client) endLink(cause error, notifiesSubscriber bool) {
	if c.link == nil {
		return
	}
	c.log.Warn().Err(cause).Str("control", c.config.Control[c.link.upstream]).Msg("distribution: control process disconnected")
	c.disconnect()
	if !notifiesSubscriber {
		return
	}
	c.mu.Lock()
	c.subscriber.UpstreamLost(c.now())
	c.mu.Unlock()
}

// disconnect closes the current connection. A rejected connection closes after its writer has sent the rejection.
func (c *Client) disconnect() {
	if c.link == nil {
		return
	}
	if !c.link.isRejected {
		c.link.cancel()
	}
	c.link = nil
	c.pending.batchNumber = 0
	c.mu.Lock()
	c.upstream = ""
	c.mu.Unlock()
}

// pingIfSilent pings a silent control process, and disconnects from one that does not respond in time. It returns the time until
// the next check; 0 if no control process is connected.
func (c *Client) pingIfSilent(now time.Duration) time.Duration {
	l := c.link
	if l == nil || l.receiver == nil {
		return 0
	}
	silence := now - l.lastMessage
	switch {
	case silence >= pingAfter+pingTimeout:
		c.endLink(errPingTimeout, true)
		return time.Millisecond
	case silence >= pingAfter && !l.isPinged:
		l.isPinged = true
		l.send(&wire.Pull{})
	}
	if l.isPinged {
		return pingAfter + pingTimeout - silence
	}
	return pingAfter - silence
}
