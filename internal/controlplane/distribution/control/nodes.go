package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

const (
	reportInterval       = time.Second
	maxReportedStatuses  = 1000 // in one round of reports to an upstream
	maxStatusesInMessage = 100
	maxNodes             = 1 << 15
	nodeRetention        = time.Hour // after the disconnection of a node
)

// nodeRecord is the last known status of a subscriber of this process or of another one.
type nodeRecord struct {
	status         distribution.NodeStatus
	reportedBy     *link // nil for a subscriber of this process
	disconnectedAt time.Time
}

// nodeTable contains the subscribers of this process and those that other processes report, by name. Server.mu guards it.
type nodeTable map[string]*nodeRecord

// putSubscriber stores the status of a subscriber of this process.
func (t nodeTable) putSubscriber(status distribution.NodeStatus) { t.put(&nodeRecord{status: status}) }

// putReported stores a status that another process reports. The status of a subscriber that is connected to this process takes
// precedence, and a report of a disconnection does not replace a connection reported by another process, because the
// subscriber may have moved there.
func (t nodeTable) putReported(by *link, status distribution.NodeStatus) {
	stored := t[status.Name]
	if stored != nil && stored.status.IsConnected && stored.reportedBy != by && (stored.reportedBy == nil || !status.IsConnected) {
		return
	}
	t.put(&nodeRecord{status: status, reportedBy: by})
}

func (t nodeTable) put(r *nodeRecord) {
	if _, isKnown := t[r.status.Name]; !isKnown && len(t) >= maxNodes {
		return
	}
	if !r.status.IsConnected {
		r.disconnectedAt = time.Now()
		r.status.DisconnectedMs = cmp.Or(r.status.DisconnectedMs, r.disconnectedAt.UnixMilli())
	}
	t[r.status.Name] = r
}

// linkEnded marks the nodes that an ended connection reported as disconnected. isSubscriber reports that the peer itself had
// subscribed on this connection; then it is marked too.
func (t nodeTable) linkEnded(l *link, isSubscriber bool) {
	for name, r := range t {
		if r.reportedBy == l || r.reportedBy == nil && isSubscriber && name == l.peer {
			now := time.Now()
			status := r.status
			status.IsConnected, status.DisconnectedMs = false, now.UnixMilli()
			t[name] = &nodeRecord{status: status, disconnectedAt: now}
		}
	}
}

// removeExpired removes nodes that have been disconnected for nodeRetention.
func (t nodeTable) removeExpired() {
	maps.DeleteFunc(t, func(_ string, r *nodeRecord) bool {
		return !r.status.IsConnected && time.Since(r.disconnectedAt) > nodeRetention
	})
}

// nodesReported stores the statuses that another control process reports.
func (s *Server) nodesReported(l *link, statuses []distribution.NodeStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, status := range statuses {
		if status.Name != s.config.Name {
			s.nodes.putReported(l, status)
		}
	}
}

// reportNodes reports the changed statuses of subscribers to the upstreams.
func (s *Server) reportNodes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateSubscriberStatuses()
	s.nodes.removeExpired()
	upstreams := map[string]bool{} // names; upstreams report to each other directly
	for _, f := range s.followers {
		if f.link != nil {
			upstreams[f.link.peer] = true
		}
	}
	for _, f := range s.followers {
		if f.link != nil {
			s.reportTo(f.link, upstreams)
		}
	}
}

// updateSubscriberStatuses updates the statuses of this process's subscribers. s.mu is held.
func (s *Server) updateSubscriberStatuses() {
	for name, l := range s.links.subscribers {
		if l.subscription.Role == distribution.RoleReader {
			continue
		}
		status, ok := s.publisher.SubscriberStatus(s.now(), l.sending)
		if !ok {
			status = distribution.NodeStatus{
				Role:         l.subscription.Role,
				Region:       l.subscription.Region,
				Zone:         l.subscription.Zone,
				Revision:     l.subscription.Vector.Total(),
				IsCatchingUp: true,
				IsConnected:  true,
			}
		}
		status.Name, status.Via = name, s.config.Name
		s.nodes.putSubscriber(status)
	}
}

// reportTo sends the changed statuses to one upstream. s.mu is held.
func (s *Server) reportTo(l *link, upstreams map[string]bool) {
	var changed []distribution.NodeStatus
	for name, r := range s.nodes {
		isKnownThere := name == l.peer || r.reportedBy != nil && upstreams[r.reportedBy.peer]
		if isKnownThere || len(changed) >= maxReportedStatuses {
			continue
		}
		status := r.status
		status.Lag = status.Lag.Truncate(time.Second)
		if reported, ok := l.reportedStatuses[name]; ok && statusesEqual(reported, status) {
			continue
		}
		l.reportedStatuses[name] = status
		changed = append(changed, status)
	}
	maps.DeleteFunc(l.reportedStatuses, func(name string, _ distribution.NodeStatus) bool { return s.nodes[name] == nil })
	for part := range slices.Chunk(changed, maxStatusesInMessage) {
		l.enqueue(&wire.Report{Nodes: part})
	}
}

func statusesEqual(a, b distribution.NodeStatus) bool {
	return slices.Equal(a.Rejected, b.Rejected) &&
		a.Name == b.Name && a.Role == b.Role && a.Region == b.Region && a.Zone == b.Zone && a.Via == b.Via &&
		a.Revision == b.Revision && a.AcknowledgedClock == b.AcknowledgedClock && a.Lag == b.Lag &&
		a.PendingKeys == b.PendingKeys && a.UnacknowledgedBytes == b.UnacknowledgedBytes &&
		a.HasAcknowledged == b.HasAcknowledged && a.IsCatchingUp == b.IsCatchingUp && a.IsConnected == b.IsConnected &&
		a.DisconnectedMs == b.DisconnectedMs
}

// processStatus returns the status of this process. s.mu is held.
func (s *Server) processStatus() distribution.NodeStatus {
	return distribution.NodeStatus{
		Name:              s.config.Name,
		Role:              distribution.RoleControl,
		Region:            s.config.Region,
		Zone:              s.config.Zone,
		Revision:          s.store.Vector().Total(),
		AcknowledgedClock: s.store.Clock(),
		HasAcknowledged:   s.isCurrent,
		IsCatchingUp:      !s.isCurrent || len(s.unstored) > 0,
		IsConnected:       true,
		Rejected:          s.unstored,
	}
}

// sendStatus sends the statuses of this process and of all known nodes to a command.
func (s *Server) sendStatus(l *link, m *wire.StatusQuery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateSubscriberStatuses()
	var all []distribution.NodeStatus
	for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
		all = append(all, s.nodes[name].status)
	}
	for {
		n := min(len(all), maxStatusesInMessage)
		l.enqueue(&wire.StatusAnswer{ID: m.ID, Self: s.processStatus(), Nodes: all[:n], IsLast: n == len(all)})
		if all = all[n:]; len(all) == 0 {
			return
		}
	}
}
