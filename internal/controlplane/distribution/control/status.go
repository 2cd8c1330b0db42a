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
	reportEvery  = time.Second
	reportMost   = 1000 // statuses to one upstream at a time
	statusesMost = 100  // in a message
	nodesMost    = 1 << 15
	forgetAfter  = time.Hour // without a connection
)

// nodeRecord is what is known of a subscriber, here or somewhere below.
type nodeRecord struct {
	status distribution.NodeStatus
	by     *link // that reported it; nil for this process's own
	lost   time.Time
}

// nodeTable is of all that are seen here or reported, by name.
type nodeTable map[string]*nodeRecord

// own notes a subscriber of this process.
func (t nodeTable) own(status distribution.NodeStatus) { t.put(&nodeRecord{status: status}) }

// reported notes another process's word of a subscriber. Who is connected here is known better here, and a word that one
// has left says nothing of where it has gone.
func (t nodeTable) reported(by *link, status distribution.NodeStatus) {
	if held := t[status.Name]; held != nil && held.status.IsConnected && held.by != by && (held.by == nil || !status.IsConnected) {
		return
	}
	t.put(&nodeRecord{status: status, by: by})
}

func (t nodeTable) put(r *nodeRecord) {
	if _, held := t[r.status.Name]; !held && len(t) >= nodesMost {
		return
	}
	if !r.status.IsConnected {
		r.lost = time.Now()
		r.status.DisconnectedMs = cmp.Or(r.status.DisconnectedMs, r.lost.UnixMilli())
	}
	t[r.status.Name] = r
}

// lost notes that a connection has ended, and with it the sight of those that it reported.
func (t nodeTable) lost(l *link, own bool) {
	for name, r := range t {
		if r.by == l || r.by == nil && own && name == l.peer {
			status := r.status
			now := time.Now()
			status.IsConnected, status.DisconnectedMs = false, now.UnixMilli()
			t[name] = &nodeRecord{status: status, lost: now}
		}
	}
}

// forget drops those that have been away for long.
func (t nodeTable) forget() {
	maps.DeleteFunc(t, func(_ string, r *nodeRecord) bool { return !r.status.IsConnected && time.Since(r.lost) > forgetAfter })
}

// nodesReported takes in a report from below or beside.
func (s *Server) nodesReported(l *link, statuses []distribution.NodeStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, status := range statuses {
		if status.Name != s.config.Name {
			s.nodes.reported(l, status)
		}
	}
}

// report tells upstreams of those subscribers whose states have changed.
func (s *Server) report() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.look()
	s.nodes.forget()
	beside := map[string]bool{} // processes that hear the others' words themselves
	for _, f := range s.followers {
		if f.link != nil {
			beside[f.link.peer] = true
		}
	}
	for _, f := range s.followers {
		if f.link != nil {
			s.reportTo(f.link, beside)
		}
	}
}

// look notes how this process's own subscribers are.
func (s *Server) look() {
	for name, l := range s.subscribers {
		if l.subscription.Role == distribution.RoleReader {
			continue
		}
		status, ok := s.publisher.SubscriberStatus(s.now(), l.sending)
		if !ok {
			status = distribution.NodeStatus{Role: l.subscription.Role, Region: l.subscription.Region, Zone: l.subscription.Zone,
				Revision: l.subscription.Vector.Total(), IsCatchingUp: true, IsConnected: true}
		}
		status.Name, status.Via = name, s.config.Name
		s.nodes.own(status)
	}
}

func (s *Server) reportTo(l *link, beside map[string]bool) {
	var changed []distribution.NodeStatus
	for name, r := range s.nodes {
		if name == l.peer || r.by != nil && beside[r.by.peer] || len(changed) >= reportMost {
			continue
		}
		status := r.status
		status.Lag = status.Lag.Truncate(time.Second)
		if told, ok := l.reported[name]; ok && same(told, status) {
			continue
		}
		l.reported[name] = status
		changed = append(changed, status)
	}
	maps.DeleteFunc(l.reported, func(name string, _ distribution.NodeStatus) bool { return s.nodes[name] == nil })
	for part := range slices.Chunk(changed, statusesMost) {
		l.put(&wire.Report{Nodes: part})
	}
}

func same(a, b distribution.NodeStatus) bool {
	if !slices.Equal(a.Rejected, b.Rejected) {
		return false
	}
	a.Rejected, b.Rejected = nil, nil
	return a.Name == b.Name && a.Role == b.Role && a.Region == b.Region && a.Zone == b.Zone && a.Via == b.Via && a.Revision == b.Revision &&
		a.AcknowledgedClock == b.AcknowledgedClock && a.Lag == b.Lag && a.PendingKeys == b.PendingKeys && a.UnacknowledgedBytes == b.UnacknowledgedBytes && a.HasAcknowledged == b.HasAcknowledged &&
		a.IsCatchingUp == b.IsCatchingUp && a.IsConnected == b.IsConnected && a.DisconnectedMs == b.DisconnectedMs
}

// self is this process's own state.
func (s *Server) self() distribution.NodeStatus {
	return distribution.NodeStatus{Name: s.config.Name, Role: distribution.RoleControl, Region: s.config.Region, Zone: s.config.Zone,
		Revision: s.store.Vector().Total(), AcknowledgedClock: s.store.Clock(), HasAcknowledged: s.current, IsCatchingUp: !s.current, IsConnected: true}
}

// answer tells a command of all nodes that are known here.
func (s *Server) answer(l *link, m *wire.StatusQuery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.look()
	var all []distribution.NodeStatus
	for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
		all = append(all, s.nodes[name].status)
	}
	for {
		n := min(len(all), statusesMost)
		l.put(&wire.StatusAnswer{ID: m.ID, Self: s.self(), Nodes: all[:n], IsLast: n == len(all)})
		if all = all[n:]; len(all) == 0 {
			return
		}
	}
}
