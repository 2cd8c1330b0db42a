package membership

import "time"

// Connected records that a connection to or from a node is established, and schedules a full update to that node.
func (t *Table) Connected(now time.Duration, name string) {
	p := t.peer(name)
	p.isConnected = true
	p.lastContact = now
	p.needsFullUpdate = true
	p.state = reachable
}

// Disconnected records that the last connection to or from a node is closed.
func (t *Table) Disconnected(name string) {
	if p := t.peers[name]; p != nil {
		p.isConnected = false
		clear(p.pending)
	}
}

// RecordContact records that a frame was received from a node.
func (t *Table) RecordContact(now time.Duration, name string) {
	if p := t.peers[name]; p != nil {
		p.lastContact = now
		p.observe(messageReceived, now)
	}
}

// CanReach reports whether another node is connected and a message from it was received within silenceTimeout.
func (t *Table) CanReach(now time.Duration, name string) bool {
	p := t.peers[name]
	return p != nil && p.isReachable(now)
}

// HandleMessage processes a message from another node and returns the reply, if any. A message type of another package
// only counts as contact with the node.
func (t *Table) HandleMessage(now time.Duration, from string, message any) (out []Outgoing) {
	t.RecordContact(now, from)
	p := t.peer(from)
	switch m := message.(type) {
	case *Heartbeat:
		if m.Digest == t.digest {
			p.digestDiffersSince = 0
		} else if p.digestDiffersSince == 0 {
			p.digestDiffersSince = now
		}
	case *Update:
		t.MergeMembers(now, from, m.Members)
	case *LivenessQuery:
		return []Outgoing{{from, &LivenessReply{Name: m.Name, IsReachable: t.CanReach(now, m.Name)}}}
	case *LivenessReply:
		if subject := t.peers[m.Name]; subject != nil && m.IsReachable {
			subject.observe(reachableByOther, now)
		}
	}
	return nil
}

// MergeMembers merges reports of members that were received from a node; from is "" for reports of another source.
// Reports older than the stored state and those with texts over maxTextBytes are ignored. When maxMembers members are stored, including dead ones and those
// that left, reports of unknown members are ignored too.
func (t *Table) MergeMembers(now time.Duration, from string, members []Member) {
	for _, m := range members {
		if !m.isValid() {
			continue
		}
		if m.Name == t.self.Name {
			t.mergeSelf(now, m)
			continue
		}
		previous, isKnown := t.members[m.Name]
		if !isKnown && len(t.members) >= maxMembers || isKnown && Compare(previous, m) >= 0 {
			continue
		}
		t.set(m, now)
		t.gossip(m.Name, from)
	}
}

// mergeSelf processes another node's report of this node. Unless this node has left, it refutes a report that would
// supersede its own entry, by a higher number of refutations. After an outdated report it gossips its entry again. A
// report of a later incarnation is only recorded (IsReplaced).
func (t *Table) mergeSelf(now time.Duration, m Member) {
	switch {
	case m.Incarnation > t.self.Incarnation:
		t.highestOwnIncarnation = max(t.highestOwnIncarnation, m.Incarnation)
	case m.Incarnation == t.self.Incarnation && t.self.Condition != Left && Compare(m, t.self) > 0:
		t.self.Refutations = m.Refutations + 1
		t.set(t.self, now)
		t.gossip(t.self.Name, "")
	case m.Incarnation < t.self.Incarnation || Compare(m, t.self) < 0: // the report is outdated
		t.gossip(t.self.Name, "")
	}
}

// StartLaterIncarnation gives this node an incarnation number above every reported one. The caller uses it when
// IsReplaced is true for a node that has just started: its clock was set back between two starts.
func (t *Table) StartLaterIncarnation(now time.Duration) {
	t.self.Incarnation = t.highestOwnIncarnation + 1
	t.set(t.self, now)
	t.gossip(t.self.Name, "")
}

// Leave marks this node as Left when it shuts down gracefully; the next Tick notifies the connected nodes.
func (t *Table) Leave(now time.Duration) {
	t.self.Condition = Left
	t.set(t.self, now)
	t.gossip(t.self.Name, "")
}
