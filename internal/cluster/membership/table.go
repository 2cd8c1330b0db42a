package membership

import (
	"cmp"
	"encoding/binary"
	"hash/crc64"
	"maps"
	"slices"
	"time"
)

// Times and bounds. silenceTimeout is four heartbeats, so that a single late or lost heartbeat causes no suspicion; the
// other times are derived from it.
const (
	// HeartbeatInterval is the maximum time between two messages to each connected node.
	HeartbeatInterval = 250 * time.Millisecond

	silenceTimeout     = time.Second
	queryTimeout       = 500 * time.Millisecond // for the other watchers to reply
	queryInterval      = 2 * time.Second        // between two queries about a partitioned or unreachable node
	suspicionTimeout   = 2 * time.Second        // for a suspected node to receive the suspicion and refute it
	reconnectInterval  = time.Second            // between two attempts to connect to a dead node, which may be back after a partition
	fullUpdateDelay    = 2 * time.Second        // until a node whose digest differs is sent all members
	tombstoneRetention = 10 * time.Minute       // of members that are dead or have left

	maxQueriedWatchers = 3
	maxMembers         = 8192 // bounds memory, whatever peers report, with maxTextBytes
	maxTextBytes       = 300  // of each text of a member
	maxUpdateMembers   = 512  // in one Update, about 60 kB
)

// Table is one node's view of the members of its cluster.
type Table struct {
	self           Member
	members        map[string]Member        // by name, including self
	conditionSince map[string]time.Duration // when each member's condition or incarnation last changed, by this node's clock
	digest         uint64                   // sum over the members
	peers          map[string]*peerView
	rings          [ringCount]ring

	lastTick              time.Duration
	lastHeartbeat         time.Duration
	lastReconnect         time.Duration
	reconnectAttempts     uint32
	isIsolated            bool  // no node is reachable, most likely because this node is cut off: it suspects none and declares none dead
	highestOwnIncarnation int64 // the highest incarnation of this node's own name that others reported
}

// peerView is what this node observes of another node directly.
type peerView struct {
	isConnected        bool
	lastContact        time.Duration
	state              reachability
	stateSince         time.Duration
	pending            map[string]bool // names of the members to send with the next update
	needsFullUpdate    bool            // the next update contains all members
	digestDiffersSince time.Duration   // when its digest began to differ from this node's; 0 if they are equal
	lastFullUpdate     time.Duration
}

func (p *peerView) isReachable(now time.Duration) bool {
	return p.isConnected && now-p.lastContact < silenceTimeout
}

// New returns a table whose only member is the node itself.
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

// Self returns this node's own member entry.
func (t *Table) Self() Member { return t.self }

// Get returns the member of a name, and whether there is one.
func (t *Table) Get(name string) (Member, bool) {
	m, ok := t.members[name]
	return m, ok
}

// Members returns all members sorted by name, including those that died or left within tombstoneRetention.
func (t *Table) Members() []Member {
	return slices.SortedFunc(maps.Values(t.members), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
}

// Digest returns a checksum of the names, incarnations, refutations and conditions of all members. It does not cover
// their addresses, sites and machines, which are constant within an incarnation.
func (t *Table) Digest() uint64 { return t.digest }

// IsReplaced reports whether another node reported a later incarnation of this node's own name.
func (t *Table) IsReplaced() bool { return t.highestOwnIncarnation > t.self.Incarnation }

var crcTable = crc64.MakeTable(crc64.ECMA)

func memberDigest(m Member) uint64 {
	b := append([]byte(m.Name), 0)
	b = binary.LittleEndian.AppendUint64(b, uint64(m.Incarnation))
	b = binary.LittleEndian.AppendUint32(b, m.Refutations)
	return crc64.Checksum(append(b, byte(m.Condition)), crcTable)
}

// set stores a member and updates the digest, the rings and the state machine of its peer.
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

// removeTombstone removes a member whose tombstone has expired.
func (t *Table) removeTombstone(m Member) {
	t.digest -= memberDigest(m)
	delete(t.members, m.Name)
	delete(t.conditionSince, m.Name)
	delete(t.peers, m.Name)
}

// gossip schedules a member for the next update to all connected nodes, except to the node that reported it.
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
