package membership

import (
	"cmp"
	"encoding/binary"
	"hash/crc64"
	"maps"
	"slices"
	"time"
)

// Times and bounds. Silence is a few beats, so that one that is late or lost blames nobody; all others follow from it.
const (
	HeartbeatInterval = 250 * time.Millisecond
	silentAfter       = time.Second            // four beats
	askFor            = 500 * time.Millisecond // for the other watchers to answer
	deadAfter         = 2 * time.Second        // for a suspected node to hear of it and refute it
	cutAgain          = 2 * time.Second        // between two rounds of asking about a node that others hear
	knockEvery        = time.Second            // between two tries to reach one that was given up, as after a cut
	differsFor        = 2 * time.Second        // until one whose table differs is told all of it
	tombstoneFor      = 10 * time.Minute       // how long one that is gone is remembered
	rings             = 5                      // so many watch a node, and it watches so many
	askMost           = 3                      // others that are asked about one
	membersMost       = 8192                   // of a table; more are not taken in, whatever a peer says
	newsMost          = 512                    // members in one word: 60 kB
)

// Outgoing is something to send. It is sent to one that is connected, or for which a connection is wanted.
type Outgoing = struct {
	To      string
	Message any
}

// peer is what this node sees of another by itself.
type peer struct {
	heard     time.Duration // last
	state     state
	since     time.Duration // when it is in this state
	connected bool
	pending   map[string]bool // members of which it has to be told
	differs   time.Duration   // since when its digest has been another; 0: it is not
	digest    uint64
	whole     bool // it is to be told all
	mentioned time.Duration
}

// Table is what one node knows of its tier.
type Table struct {
	self    Member
	members map[string]Member
	since   map[string]time.Duration // of the present condition, here
	peers   map[string]*peer
	rings   [rings]ring
	ticked  time.Duration
	beat    time.Duration
	knocked time.Duration
	turn    uint32 // of knocks
	sum     uint64 // of digests of all members
	alone   bool   // it hears none of those with which it should be in touch: most likely it is cut off itself, and blames nobody
	later   int64  // the latest life of this node's own name that was heard of
}

// New knows of nobody but the node itself.
func New(self Member) *Table {
	t := &Table{self: self, members: map[string]Member{}, since: map[string]time.Duration{}, peers: map[string]*peer{}}
	for i := range t.rings {
		t.rings[i].number = byte(i)
	}
	t.set(self, 0)
	return t
}

// Self is the node's own word of itself.
func (t *Table) Self() Member { return t.self }

// Get finds a member.
func (t *Table) Get(name string) (Member, bool) {
	m, ok := t.members[name]
	return m, ok
}

// Members are the members in the order of their names.
func (t *Table) Members() []Member {
	return slices.SortedFunc(maps.Values(t.members), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
}

var table64 = crc64.MakeTable(crc64.ECMA)

func digest(m Member) uint64 {
	b := append([]byte(m.Name), 0)
	b = binary.LittleEndian.AppendUint64(b, uint64(m.Incarnation))
	b = binary.LittleEndian.AppendUint32(b, m.Refutations)
	return crc64.Checksum(append(b, byte(m.Condition)), table64)
}

// Digest of all that is known.
func (t *Table) Digest() uint64 { return t.sum }

func (t *Table) set(m Member, now time.Duration) {
	was, known := t.members[m.Name]
	if known {
		t.sum -= digest(was)
	}
	t.sum += digest(m)
	t.members[m.Name] = m
	if !known || was.Condition != m.Condition || was.Incarnation != m.Incarnation {
		t.since[m.Name] = now
	}
	for i := range t.rings {
		if m.Condition.IsLive() {
			t.rings[i].put(m.Name)
		} else {
			t.rings[i].take(m.Name)
		}
	}
	if p := t.peers[m.Name]; p != nil && known && (was.Incarnation != m.Incarnation || was.Refutations < m.Refutations) {
		t.sees(p, m.Name, refuted, now)
		if was.Incarnation != m.Incarnation {
			p.state, p.heard = hearing, now
		}
	}
}

// Connected tells that a connection to or from a node stands; it is told all there is.
func (t *Table) Connected(now time.Duration, name string) {
	p := t.at(name)
	p.connected, p.heard, p.whole, p.state = true, now, true, hearing
}

// Disconnected tells that no connection to or from a node is left.
func (t *Table) Disconnected(name string) {
	if p := t.peers[name]; p != nil {
		p.connected = false
		clear(p.pending)
	}
}

func (t *Table) at(name string) *peer {
	p := t.peers[name]
	if p == nil {
		p = &peer{pending: map[string]bool{}}
		t.peers[name] = p
	}
	return p
}

// HeardFrom tells that something came from a node.
func (t *Table) HeardFrom(now time.Duration, name string) {
	if p := t.peers[name]; p != nil {
		p.heard = now
		t.sees(p, name, heard, now)
	}
}

// CanHear tells whether this node hears another now.
func (t *Table) CanHear(now time.Duration, name string) bool {
	p := t.peers[name]
	return p != nil && p.connected && now-p.heard < silentAfter
}

// HandleMessage takes in a word of another node and returns what is to be answered.
func (t *Table) HandleMessage(now time.Duration, from string, what any) (out []Outgoing) {
	t.HeardFrom(now, from)
	p := t.at(from)
	switch w := what.(type) {
	case *Heartbeat:
		if p.digest = w.Digest; w.Digest == t.sum {
			p.differs = 0
		} else if p.differs == 0 {
			p.differs = now
		}
	case *Update:
		t.MergeMembers(now, from, w.Members)
	case *LivenessQuery:
		return []Outgoing{{from, &LivenessReply{Name: w.Name, IsHeard: t.CanHear(now, w.Name)}}}
	case *LivenessReply:
		if q := t.peers[w.Name]; q != nil && w.IsHeard {
			t.sees(q, w.Name, vouched, now)
		}
	}
	return nil
}

// MergeMembers takes in words of members, from a peer or, with from "", from elsewhere.
func (t *Table) MergeMembers(now time.Duration, from string, members []Member) {
	for _, m := range members {
		if m.Condition >= conditions || m.Name == "" {
			continue
		}
		if m.Name == t.self.Name {
			t.own(now, m)
			continue
		}
		was, known := t.members[m.Name]
		if !known && len(t.members) >= membersMost || known && Compare(was, m) >= 0 {
			continue
		}
		t.set(m, now)
		t.spread(m.Name, from)
	}
}

// own takes in what others say of this node.
func (t *Table) own(now time.Duration, m Member) {
	switch {
	case m.Incarnation > t.self.Incarnation:
		t.later = max(t.later, m.Incarnation)
	case m.Incarnation == t.self.Incarnation && t.self.Condition != Left && Compare(m, t.self) > 0: // refute it
		t.self.Refutations = m.Refutations + 1
		t.set(t.self, now)
		t.spread(t.self.Name, "")
	case m.Incarnation < t.self.Incarnation || Compare(m, t.self) < 0:
		t.spread(t.self.Name, "") // who said so has an older word
	}
}

// IsReplaced tells whether a later life of this node's own name was heard of.
func (t *Table) IsReplaced() bool { return t.later > t.self.Incarnation }

// StartLaterIncarnation begins a life behind all that were heard of, for a node that has only started: clocks are set back.
func (t *Table) StartLaterIncarnation(now time.Duration) {
	t.self.Incarnation = t.later + 1
	t.set(t.self, now)
	t.spread(t.self.Name, "")
}

// Leave has the node leave in good order.
func (t *Table) Leave(now time.Duration) {
	t.self.Condition = Left
	t.set(t.self, now)
	t.spread(t.self.Name, "")
}

// spread has all that are connected told of a member, but the one who has told it.
func (t *Table) spread(name, from string) {
	for other, p := range t.peers {
		if p.connected && other != from {
			p.pending[name] = true
		}
	}
}

// Tick moves on by time and returns what is to be sent.
func (t *Table) Tick(now time.Duration) (out []Outgoing) {
	if now-t.ticked > silentAfter { // this process stood still: what it has not heard says nothing of the others
		for _, p := range t.peers {
			p.heard, p.since = now, now
		}
		for name := range t.since {
			t.since[name] = now
		}
	}
	t.ticked = now
	watched := t.Watched()
	t.alone = len(watched) > 0
	for _, p := range t.peers {
		if p.connected && now-p.heard < silentAfter {
			t.alone = false
		}
	}
	for _, name := range watched {
		out = t.watch(now, name, out)
	}
	for name, m := range t.members {
		switch {
		case m.Condition == Suspected && !t.alone && now-t.since[name] > deadAfter:
			m.Condition = Dead
			t.set(m, now)
			t.spread(name, "")
		case !m.Condition.IsLive() && now-t.since[name] > tombstoneFor && name != t.self.Name:
			t.sum -= digest(m)
			delete(t.members, name)
			delete(t.since, name)
			delete(t.peers, name)
		}
	}
	return t.tell(now, out)
}

// tell sends beats and news to all that are connected.
func (t *Table) tell(now time.Duration, out []Outgoing) []Outgoing {
	beat := now-t.beat >= HeartbeatInterval
	if beat {
		t.beat = now
	}
	for other, p := range t.peers {
		if !p.connected {
			continue
		}
		if p.differs > 0 && now-p.differs > differsFor && now-p.mentioned > differsFor {
			p.whole = true
		}
		if p.whole {
			p.whole, p.differs, p.mentioned = false, 0, now
			for name := range t.members {
				p.pending[name] = true
			}
		}
		if len(p.pending) > 0 {
			names := slices.Sorted(maps.Keys(p.pending))
			clear(p.pending)
			for part := range slices.Chunk(names, newsMost) {
				news := &Update{}
				for _, name := range part {
					if m, ok := t.members[name]; ok {
						news.Members = append(news.Members, m)
					}
				}
				out = append(out, Outgoing{other, news})
			}
		} else if beat {
			out = append(out, Outgoing{other, &Heartbeat{Digest: t.sum}})
		}
	}
	slices.SortStableFunc(out, func(a, b Outgoing) int { return cmp.Compare(a.To, b.To) })
	return out
}
