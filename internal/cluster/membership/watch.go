package membership

import (
	"slices"
	"time"
)

// sees moves what is seen of a node on; it is true where it is to be suspected.
func (t *Table) sees(p *peer, name string, e event, now time.Duration) action {
	move := transitions[p.state][e]
	if move.next != p.state {
		p.state, p.since = move.next, now
	}
	return move.do
}

// Watched are those that this node watches: it leads a connection to each.
func (t *Table) Watched() []string { return t.beside(t.self.Name, -1) }

// Watchers are those that watch a node.
func (t *Table) Watchers(name string) []string { return t.beside(name, 1) }

func (t *Table) beside(name string, by int) (names []string) {
	for i := range t.rings {
		if other := t.rings[i].beside(name, by); other != "" && !slices.Contains(names, other) {
			names = append(names, other)
		}
	}
	return names
}

// ReconnectCandidate is a node that was given up and is tried once more, "" for none: after a cut nobody else would find back.
func (t *Table) ReconnectCandidate(now time.Duration) string {
	if now-t.knocked < knockEvery {
		return ""
	}
	t.knocked = now
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
	t.turn++
	return dead[hashed(t.self.Name, byte(t.turn))%uint32(len(dead))]
}

// watch looks at one that this node watches.
func (t *Table) watch(now time.Duration, name string, out []Outgoing) []Outgoing {
	p := t.at(name)
	if p.since == 0 && p.heard == 0 { // newly watched: it has the time of a silence to be connected
		p.heard, p.since = now, now
	}
	var e event
	switch {
	case p.connected && now-p.heard < silentAfter:
		e = heard
	case p.state == asking && now-p.since > askFor:
		if e = nobody; t.alone {
			return out
		}
	case p.state >= cut && now-p.since > cutAgain:
		e = again
	case now-p.heard >= silentAfter:
		e = silence
	default:
		return out
	}
	switch t.sees(p, name, e, now) {
	case askOthers:
		p.since = now
		asked := 0
		for _, other := range t.Watchers(name) {
			if m := t.members[other]; other != t.self.Name && m.Condition == Alive && asked < askMost {
				out = append(out, Outgoing{other, &LivenessQuery{Name: name}})
				asked++
			}
		}
	case suspect:
		if m := t.members[name]; m.Condition == Alive {
			m.Condition = Suspected
			t.set(m, now)
			t.spread(name, "")
		}
	}
	return out
}
