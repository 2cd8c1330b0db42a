package client

import (
	"time"

	"fernvane/internal/controlplane/distribution"
)

// Status of a node as it knows it itself.
type Status struct {
	State            distribution.State
	Revision         uint64 // total of the vector
	NewestChange     time.Time
	Upstream         string        // the control process followed; "" for none
	Staleness        time.Duration // since the node was last current
	IsStalenessKnown bool          // whether it ever was
	Rejected         []distribution.Rejection
}

// Status returns the node's status.
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

// describeStaleness says by how much the node is behind, as far as that is known.
func (s Status) describeStaleness() string {
	switch {
	case s.State == distribution.StateCurrent:
		return "nothing"
	case s.IsStalenessKnown:
		return s.Staleness.Round(time.Second / 10).String()
	case s.Revision == 0:
		return "unknown: nothing is held"
	}
	return "unknown"
}
