package client

import (
	"time"

	"fernvane/internal/controlplane/distribution"
)

// Status is the status of a node as reported by the node itself.
type Status struct {
	State            distribution.State
	Revision         uint64 // number of changes that the vector covers
	NewestChange     time.Time
	Upstream         string        // address of the connected control process; "" for none
	Staleness        time.Duration // time since the node was last current
	IsStalenessKnown bool          // whether a time at which the node was current is known
	Rejected         []distribution.Rejection
}

// Status returns the current status of the node.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{
		State:        c.subscriber.State(),
		Revision:     c.store.Vector().Total(),
		NewestChange: distribution.ClockTime(c.store.Clock()),
		Upstream:     c.upstream,
		Rejected:     c.rejections.first(),
	}
	if age, isKnown := c.subscriber.Staleness(c.now()); isKnown {
		s.Staleness, s.IsStalenessKnown = age, true
	} else if !c.syncMark.Current.IsZero() {
		s.Staleness, s.IsStalenessKnown = max(time.Since(c.syncMark.Current), 0), true
	}
	return s
}

// describeStaleness describes how far the node is behind, as the value of a log key.
func (s Status) describeStaleness() string {
	switch {
	case s.State == distribution.StateCurrent:
		return "nothing"
	case s.IsStalenessKnown:
		return s.Staleness.Round(time.Second / 10).String()
	case s.Revision == 0:
		return "unknown: no entries stored"
	}
	return "unknown"
}
