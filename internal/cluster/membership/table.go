package membership

import (
	"cmp"
	"encoding/binary"
	"hash/crc64"
	"maps"
	"slices"
	"time"
)

// Times and bounds. A silence is four heartbeats, so that one that is late or lost makes nobody suspected; the other
// times follow from it.
const (
	// HeartbeatInterval is the time between two messages to each connected node.
	HeartbeatInterval = 250 * time.Millisecond

	silenceTimeout     = time.Second
	queryTimeout       = 500 * time.Millisecond // for the other watchers to answer
	queryInterval      = 2 * time.Second        // between two queries about a node that others hear
	suspicionTimeout   = 2 * time.Second        // for a suspected node to hear of it and refute it
	reconnectInterval  = time.Second            // between two attempts to reach a dead node, as after a partition
	fullUpdateDelay    = 2 * time.Second        // until all members are sent to a node whose digest differs
	tombstoneRetention = 10 * time.Minute       // for which a member that died or left is remembered

	maxQueriedWatchers = 3
	maxMembers         = 8192 // further ones are not taken in, whatever a peer says
	maxUpdateMembers   = 512  // in one Update: 60 kB
)

// Table is what one node knows of its cluster's members.
type Table struct {
	self           Member
	members        map[string]Member        // self among them
	conditionSince map[string]time.Duration // when each member got its condition or incarnation, by this node's clock
	digest         uint64                   // sum over the members
	peers          map[string]*peerView
	rings          [ringCount]ring

	lastTick              time.Duration
	lastHeartbeat         time.Duration
	lastReconnect         time.Duration
	reconnectAttempts     uint32
	isIsolated            bool  // it watches some nodes and hears no node at all: most likely it is cut off itself, and suspects nobody
	highestOwnIncarnation int64 // the latest incarnation of this node's own name that was heard of
}

// peerView is what this node sees of another by itself.
type peerView struct {
	isConnected        bool
	lastContact        time.Duration
	state              reachability
	stateSince         time.Duration
	pending            map[string]bool // members that are sent to it with the next update
	needsFullUpdate    bool            // all members are sent to it with the next update
	digestDiffersSince time.Duration   // since when its digest has differed; 0: it is the same
	lastFullUpdate     time.Duration
}

func (p *peerView) isReachable(now time.Duration) bool {
	return p.isConnected && now-p.lastContact < silenceTimeout
}

// New knows of nobody but the node itself.
func New(self Member) *Table {
	t := &Table{
		self:           self,
		members:        map[string]Member{},
		conditionSince: map[string]time.Duration{},
		peers:          map[string]*peerView{},
	}
	for i := range t.rings {
		t.rings[i].number = byte(i)
	}
	t.set(self, 0)
	return t
}

// Self is the member that this node is.
func (t *Table) Self() Member { return t.self }

// Get finds a member.
func (t *Table) Get(name string) (Member, bool) {
	m, ok := t.members[name]
	return m, ok
}

// Members returns all members in the order of their names, including those that died or left recently.
func (t *Table) Members() []Member {
	return slices.SortedFunc(maps.Values(t.members), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
}

// Digest changes with all that is known of members.
func (t *Table) Digest() uint64 { return t.digest }

// IsReplaced reports that a later incarnation of this node's own name was heard of.
func (t *Table) IsReplaced() bool { return t.highestOwnIncarnation > t.self.Incarnation }

var crcTable = crc64.MakeTable(crc64.ECMA)

func memberDigest(m Member) uint64 {
	b := append([]byte(m.Name), 0)
	b = binary.LittleEndian.AppendUint64(b, uint64(m.Incarnation))
	b = binary.LittleEndian.AppendUint32(b, m.Refutations)
	return crc64.Checksum(append(b, byte(m.Condition)), crcTable)
}

// set replaces what is known of a member.
func (t *Table) set(m Member, now time.Duration) {
	previous, isKnown := t.members[m.Name]
	if isKnown {
		t.digest -= memberDigest(previous)
	}
	t.digest += memberDigest(m)
	t.members[m.Name] = m
	if !isKnown || previous.Condition != m.Condition || previous.Incarnation != m.Incarnation {
		t.conditionSince[m.Name] = now
	}
	for i := range t.rings {
		if m.Condition.IsLive() {
			t.rings[i].add(m.Name)
		} else {
			t.rings[i].remove(m.Name)
		}
	}
	if p := t.peers[m.Name]; p != nil && isKnown && (previous.Incarnation != m.Incarnation || previous.Refutations < m.Refutations) {
		p.observe(suspicionRefuted, now)
		if previous.Incarnation != m.Incarnation {
			p.state = reachable
			p.lastContact = now
		}
	}
}

// forget removes a member that died or left long ago.
func (t *Table) removeTombstone(m Member) {
	t.digest -= memberDigest(m)
	delete(t.members, m.Name)
	delete(t.conditionSince, m.Name)
	delete(t.peers, m.Name)
}

// spread sends a member to all connected nodes, except the one that it came from.
func (t *Table) gossip(name, from string) {
	for other, p := range t.peers {
		if p.isConnected && other != from {
			p.pending[name] = true
		}
	}
}

func (t *Table) peer(name string) *peerView {
	p := t.peers[name]
	if p == nil {
		p = &peerView{pending: map[string]bool{}}
		t.peers[name] = p
	}
	return p
}
