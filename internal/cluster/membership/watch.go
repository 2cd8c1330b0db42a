package membership

import (
	"slices"
	"time"
)

// Watched returns the nodes that this node watches. The caller maintains a connection to each.
func (t *Table) Watched() []string { return t.neighbors(t.self.Name, -1) }

// Watchers returns the nodes that watch a node.
func (t *Table) Watchers(name string) []string { return t.neighbors(name, 1) }

func (t *Table) neighbors(name string, offset int) (names []string) {
	for i := range t.rings {
		if other := t.rings[i].neighbor(name, offset); other != "" && !slices.Contains(names, other) {
			names = append(names, other)
		}
	}
	return names
}

// ReconnectCandidate returns a dead node to connect to again, or "" if there is none. Without such attempts the two
// sides of a healed partition would not find each other. It returns at most one node per reconnectInterval.
func (t *Table) ReconnectCandidate(now time.Duration) string {
	if now-t.lastReconnect < reconnectInterval {
		return ""
	}
	t.lastReconnect = now
	var dead []string
	for name, m := range t.members {
		if m.Condition == Dead {
			dead = append(dead, name)
		}
	}
	if len(dead) == 0 {
		return ""
	}
	slices.Sort(dead)
	t.reconnectAttempts++
	return dead[hashName(t.self.Name, byte(t.reconnectAttempts))%uint32(len(dead))]
}

// watch applies timeouts to a watched node.
func (t *Table) watch(now time.Duration, name string, out []Outgoing) []Outgoing {
	p := t.peer(name)
	if p.stateSince == 0 && p.lastContact == 0 { // newly watched: silenceTimeout starts now
		p.lastContact = now
		p.stateSince = now
	}
	e, ok := t.watchEvent(now, p)
	if !ok {
		return out
	}
	switch p.observe(e, now) {
	case queryWatchers:
		p.stateSince = now
		out = t.appendQueries(name, out)
	case suspect:
		if m := t.members[name]; m.Condition == Alive {
			m.Condition = Suspected
			t.set(m, now)
			t.gossip(name, "")
		}
	}
	return out
}

// watchEvent returns the event that is due for a watched node; ok is false if none is.
func (t *Table) watchEvent(now time.Duration, p *peerView) (e event, ok bool) {
	timeInState := now - p.stateSince
	switch {
	case p.isReachable(now):
		return messageReceived, true
	case p.state == querying && timeInState > queryTimeout:
		return queryTimedOut, !t.isIsolated
	case (p.state == partitioned || p.state == unreachable) && timeInState > queryInterval:
		return queryDue, true
	case now-p.lastContact >= silenceTimeout:
		return silenceDetected, true
	}
	return 0, false
}

// appendQueries appends liveness queries about a node to at most maxQueriedWatchers of its other watchers.
func (t *Table) appendQueries(name string, out []Outgoing) []Outgoing {
	queried := 0
	for _, watcher := range t.Watchers(name) {
		if m := t.members[watcher]; watcher != t.self.Name && m.Condition == Alive && queried < maxQueriedWatchers {
			out = append(out, Outgoing{watcher, &LivenessQuery{Name: name}})
			queried++
		}
	}
	return out
}
