package client

import (
	"fmt"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// handle takes in an event of the current connection. Events of earlier connections are ignored.
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
		c.receive(e.message, e.at)
	}
}

// subscribe subscribes at a control process that has answered.
func (c *Client) subscribe() {
	c.mu.Lock()
	c.subscriber.UpstreamConnected(c.now())
	c.upstream = c.config.Control[c.link.upstream]
	asked := distribution.Subscription{
		Name:             c.config.Name,
		Role:             distribution.RoleNode,
		Region:           c.config.Region,
		Zone:             c.config.Zone,
		Services:         c.config.scope(),
		Vector:           c.store.Vector().Clone(),
		UnsyncedServices: c.store.UnsyncedServices(),
	}
	c.link.receiver = distribution.NewReceiver(c.store)
	c.link.reported = asked.Vector.Clone()
	c.mu.Unlock()
	c.log.Info().Str("control", c.upstream).Msg("distribution: control process connected")
	c.link.send(&wire.Subscribe{Subscription: asked})
}

// receive takes in a message.
func (c *Client) receive(m wire.Message, at time.Time) {
	c.link.lastMessage = c.now()
	c.link.isPinged = false
	switch m := m.(type) {
	case *wire.Batch:
		c.receiveBatch(m.Batch, at)
	case *wire.Digests:
		c.compareDigests(m.Digests)
	case *wire.Pull:
		c.startUpload(m)
	case *wire.Acknowledge:
		c.uploadAcknowledged(m.Acknowledgement)
	default:
		c.rejectLink(fmt.Errorf("a %T from a control process", m))
	}
}

// rejectLink ends a connection whose other side does not keep to the protocol, after telling it why.
func (c *Client) rejectLink(why error) {
	c.link.reject(why)
	c.link.isRejected = true
	c.endLink(why, true)
}

// endLink ends the current connection or attempt. The subscriber is notified unless it has decided so itself.
func (c *Client) endLink(why error, notifiesSubscriber bool) {
	if c.link == nil {
		return
	}
	c.log.Warn().Err(why).Str("control", c.config.Control[c.link.upstream]).Msg("distribution: control process disconnected")
	c.disconnect()
	if !notifiesSubscriber {
		return
	}
	c.mu.Lock()
	c.subscriber.UpstreamLost(c.now())
	c.mu.Unlock()
}

// disconnect closes the current connection. One that is being rejected closes itself when the rejection has been sent.
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

// pingIfSilent asks a silent control process whether it is there, and leaves one that does not answer. It returns how long to
// wait until the next look; 0 if none is followed.
func (c *Client) pingIfSilent(now time.Duration) time.Duration {
	l := c.link
	if l == nil || l.receiver == nil {
		return 0
	}
	silence := now - l.lastMessage
	switch {
	case silence >= pingAfter+pingTimeout:
		c.endLink(errSilent, true)
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
