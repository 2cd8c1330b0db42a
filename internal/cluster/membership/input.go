package membership

import "time"

// Connected is called when a connection to or from a node is established. All members are sent to the node.
func (t *Table) Connected(now time.Duration, name string) {
	p := t.peer(name)
	p.isConnected = true
	p.lastContact = now
	p.needsFullUpdate = true
	p.state = reachable
}

// Disconnected is called when no connection to or from a node is left.
func (t *Table) Disconnected(name string) {
	if p := t.peers[name]; p != nil {
		p.isConnected = false
		clear(p.pending)
	}
}

// HeardFrom is called when anything came from a node.
func (t *Table) RecordContact(now time.Duration, name string) {
	if p := t.peers[name]; p != nil {
		p.lastContact = now
		p.observe(messageReceived, now)
	}
}

// CanHear reports whether this node hears another now.
func (t *Table) CanReach(now time.Duration, name string) bool {
	p := t.peers[name]
	return p != nil && p.isReachable(now)
}

// HandleMessage takes in a message of another node and returns the answer, if there is one. Messages of other packages
// only show that the node is alive.
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

// MergeMembers takes in reports of members, from a node or, with from "", from elsewhere. Those that are older than what
// is known change nothing, nor do those of further members when maxMembers are known, dead ones and those that left
// included.
func (t *Table) MergeMembers(now time.Duration, from string, members []Member) {
	for _, m := range members {
		if m.Condition >= conditions || m.Name == "" {
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

// mergeSelf takes in what others say of this node, and refutes that it is not alive.
func (t *Table) mergeSelf(now time.Duration, m Member) {
	switch {
	case m.Incarnation > t.self.Incarnation:
		t.highestOwnIncarnation = max(t.highestOwnIncarnation, m.Incarnation)
	case m.Incarnation == t.self.Incarnation && t.self.Condition != Left && Compare(m, t.self) > 0:
		t.self.Refutations = m.Refutations + 1
		t.set(t.self, now)
		t.gossip(t.self.Name, "")
	case m.Incarnation < t.self.Incarnation || Compare(m, t.self) < 0: // it is older than what this node says
		t.gossip(t.self.Name, "")
	}
}

// StartLaterIncarnation gives this node an incarnation after all that were heard of. It is called for a node that has
// only just started and IsReplaced: its clock was set back between two starts.
func (t *Table) StartLaterIncarnation(now time.Duration) {
	t.self.Incarnation = t.highestOwnIncarnation + 1
	t.set(t.self, now)
	t.gossip(t.self.Name, "")
}

// Leave is called when the node shuts down gracefully; the next Tick notifies the others.
func (t *Table) Leave(now time.Duration) {
	t.self.Condition = Left
	t.set(t.self, now)
	t.gossip(t.self.Name, "")
}
