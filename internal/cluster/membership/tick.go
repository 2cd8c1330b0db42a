package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Tick applies timeouts and returns the messages to send. The caller calls it several times per HeartbeatInterval.
func (t *Table) Tick(now time.Duration) (out []Outgoing) {
	if now-t.lastTick > silenceTimeout {
		t.resumeAfterStall(now)
	}
	t.lastTick = now
	watched := t.Watched()
	t.isIsolated = len(watched) > 0 && !t.hasReachablePeer(now)
	for _, name := range watched {
		out = t.watch(now, name, out)
	}
	t.expireMembers(now)
	return t.sendUpdates(now, out)
}

// resumeAfterStall restarts all timeouts: this process was stalled, so the missing messages are no evidence that other
// nodes are down.
func (t *Table) resumeAfterStall(now time.Duration) {
	for _, p := range t.peers {
		p.lastContact = now
		p.stateSince = now
	}
	for name := range t.conditionSince {
		t.conditionSince[name] = now
	}
}

func (t *Table) hasReachablePeer(now time.Duration) bool {
	for _, p := range t.peers {
		if p.isReachable(now) {
			return true
		}
	}
	return false
}

// expireMembers declares members dead whose suspicion has timed out, unless this node is isolated, and removes expired
// tombstones.
func (t *Table) expireMembers(now time.Duration) {
	for name, m := range t.members {
		since := now - t.conditionSince[name]
		switch {
		case m.Condition == Suspected && !t.isIsolated && since > suspicionTimeout:
			m.Condition = Dead
			t.set(m, now)
			t.gossip(name, "")
		case !m.Condition.IsLive() && since > tombstoneRetention && name != t.self.Name:
			t.removeTombstone(m)
		}
	}
}

// sendUpdates appends the pending updates, and a heartbeat for each connected node that has none pending.
func (t *Table) sendUpdates(now time.Duration, out []Outgoing) []Outgoing {
	isHeartbeatDue := now-t.lastHeartbeat >= HeartbeatInterval
	if isHeartbeatDue {
		t.lastHeartbeat = now
	}
	for name, p := range t.peers {
		if !p.isConnected {
			continue
		}
		t.scheduleFullUpdate(now, p)
		if len(p.pending) > 0 {
			out = t.appendUpdates(name, p, out)
		} else if isHeartbeatDue {
			out = append(out, Outgoing{name, &Heartbeat{Digest: t.digest}})
		}
	}
	slices.SortStableFunc(out, func(a, b Outgoing) int { return cmp.Compare(a.To, b.To) })
	return out
}

// scheduleFullUpdate schedules all members for a node that has just connected, or whose digest has differed for
// fullUpdateDelay.
func (t *Table) scheduleFullUpdate(now time.Duration, p *peerView) {
	if p.digestDiffersSince > 0 && now-p.digestDiffersSince > fullUpdateDelay && now-p.lastFullUpdate > fullUpdateDelay {
		p.needsFullUpdate = true
	}
	if !p.needsFullUpdate {
		return
	}
	p.needsFullUpdate = false
	p.digestDiffersSince = 0
	p.lastFullUpdate = now
	for name := range t.members {
		p.pending[name] = true
	}
}

func (t *Table) appendUpdates(to string, p *peerView, out []Outgoing) []Outgoing {
	names := slices.Sorted(maps.Keys(p.pending))
	clear(p.pending)
	for part := range slices.Chunk(names, maxUpdateMembers) {
		update := &Update{}
		for _, name := range part {
			if m, ok := t.members[name]; ok {
				update.Members = append(update.Members, m)
			}
		}
		out = append(out, Outgoing{to, update})
	}
	return out
}
