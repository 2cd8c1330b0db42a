package distribution

import (
	"cmp"
	"slices"
	"time"
)

// AllStatuses is of all subscribers, by name.
func (p *Publisher) AllStatuses(now time.Duration) []NodeStatus {
	all := make([]NodeStatus, 0, len(p.subscriptions))
	for _, s := range p.subscriptions {
		all = append(all, s.status(now))
	}
	slices.SortFunc(all, func(a, b NodeStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// SubscriberStatus is of one subscriber.
func (p *Publisher) SubscriberStatus(now time.Duration, id SubscriptionID) (NodeStatus, bool) {
	s := p.subscriptions[id]
	if s == nil {
		return NodeStatus{}, false
	}
	return s.status(now), true
}

func (s *subscription) status(now time.Duration) NodeStatus {
	return NodeStatus{Name: s.Name, Role: s.Role, Region: s.Region, Zone: s.Zone, Revision: s.Vector.Total(), AcknowledgedClock: s.clock, Lag: s.lag(now),
		PendingKeys: len(s.fresh) + len(s.keys), UnacknowledgedBytes: s.inFlight, HasAcknowledged: s.acknowledged, IsCatchingUp: s.owed, IsConnected: true,
		Rejected: slices.Clone(s.rejected)}
}

// lag is the age of the oldest change that is not acknowledged, whether it waits or was sent. While a subscriber is
// caught up it is the time since it began.
func (s *subscription) lag(now time.Duration) time.Duration {
	oldest := now
	if s.owed {
		oldest = min(oldest, s.since)
	}
	if len(s.fresh) > 0 {
		oldest = min(oldest, s.freshSince[s.fresh[0]])
	}
	for _, b := range s.sent {
		oldest = min(oldest, b.since)
	}
	return now - oldest
}
