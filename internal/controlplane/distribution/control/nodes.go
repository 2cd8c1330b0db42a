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
	maxReportedStatuses  = 1000 // to one upstream at a time
	maxStatusesInMessage = 100
	maxNodes             = 1 << 15
	forgetAfter          = time.Hour // without a connection
)

// nodeRecord is what is known of a subscriber, here or at a process below.
type nodeRecord struct {
	status         distribution.NodeStatus
	reportedBy     *link // nil for this process's own subscriber
	disconnectedAt time.Time
}

// nodeTable is all subscribers that are seen here or reported, by name. Server.mu is held around it.
type nodeTable map[string]*nodeRecord

// own notes a subscriber of this process.
func (t nodeTable) own(status distribution.NodeStatus) { t.put(&nodeRecord{status: status}) }

// reported notes a subscriber that another process reports. One that is connected here is known better here, and a report that
// one has disconnected elsewhere does not say where it has gone.
func (t nodeTable) reported(by *link, status distribution.NodeStatus) {
	held := t[status.Name]
	if held != nil && held.status.IsConnected && held.reportedBy != by && (held.reportedBy == nil || !status.IsConnected) {
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

// linkEnded notes that a connection has ended, and with it the view of the nodes that it reported. isSubscriber says that the
// peer itself was subscribed by it.
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

// forgetOld drops nodes that have been disconnected for forgetAfter.
func (t nodeTable) forgetOld() {
	maps.DeleteFunc(t, func(_ string, r *nodeRecord) bool {
		return !r.status.IsConnected && time.Since(r.disconnectedAt) > forgetAfter
	})
}

// nodesReported takes in a report of a process below or beside.
func (s *Server) nodesReported(l *link, statuses []distribution.NodeStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, status := range statuses {
		if status.Name != s.config.Name {
			s.nodes.reported(l, status)
		}
	}
}

// reportNodes tells upstreams of the subscribers whose statuses have changed.
func (s *Server) reportNodes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateOwnNodes()
	s.nodes.forgetOld()
	upstreams := map[string]bool{} // that hear each other's reports themselves
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

// updateOwnNodes notes the statuses of this process's own subscribers. s.mu is held.
func (s *Server) updateOwnNodes() {
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
		s.nodes.own(status)
	}
}

// reportTo sends one upstream the statuses that have changed. s.mu is held.
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

// ownStatus is this process's own status. s.mu is held.
func (s *Server) ownStatus() distribution.NodeStatus {
	return distribution.NodeStatus{
		Name:              s.config.Name,
		Role:              distribution.RoleControl,
		Region:            s.config.Region,
		Zone:              s.config.Zone,
		Revision:          s.store.Vector().Total(),
		AcknowledgedClock: s.store.Clock(),
		HasAcknowledged:   s.isCurrent,
		IsCatchingUp:      !s.isCurrent || len(s.unheld) > 0,
		IsConnected:       true,
		Rejected:          s.unheld,
	}
}

// answerStatus tells a command of all nodes that are known here.
func (s *Server) answerStatus(l *link, m *wire.StatusQuery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateOwnNodes()
	var all []distribution.NodeStatus
	for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
		all = append(all, s.nodes[name].status)
	}
	for {
		n := min(len(all), maxStatusesInMessage)
		l.enqueue(&wire.StatusAnswer{ID: m.ID, Self: s.ownStatus(), Nodes: all[:n], IsLast: n == len(all)})
		if all = all[n:]; len(all) == 0 {
			return
		}
	}
}
