package replication

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times and bounds of a replica table.
const (
	orphanDelay             = 3 * time.Second  // until copies of a lost incarnation's stream are made: it may only be restarting
	copyStagger             = time.Second      // between the beginnings of holders of one stream, so that one copies, not all
	incompleteOfferInterval = 10 * time.Second // between offers to a node that lacks some
	completeOfferInterval   = 10 * time.Minute // between offers to a node that has all
	rejectRetention         = 10 * time.Second // for which a node that rejected is remembered when it is no longer wanted
	maxStreams              = 4096
)

// notOrphaned is the value of storedStream.orphanedSince while the incarnation is live.
const notOrphaned = -1

// Node is what is known of a node that may have streams.
type Node struct {
	Candidate
	Incarnation int64
	IsLive      bool
}

// ReplicaTable is what a node holds of other nodes' streams, and of its own earlier incarnations.
type ReplicaTable struct {
	self               Candidate
	required           int // how many machines hold a stream, beside the origin's
	maxBytes           int64
	retention          time.Duration // older records are not taken; 0: all are
	streams            map[Stream]*storedStream
	storedBytes        int64 // see StoredBytes
	nodes              map[string]Node
	highestIncarnation map[string]int64 // of each name that was heard of
	candidates         []Candidate      // the nodes that are live
	candidatesVersion  int              // raised by each change of the candidates, and of who rejects
	lastTick           time.Duration
}

// storedStream is a stream as it is held here.
type storedStream struct {
	ranges         Ranges
	verification   verification
	bytes          int64         // that were taken in
	lastRecordNano int64         // Unix time of the last record
	orphanedSince  time.Duration // since when its incarnation is gone; notOrphaned: it is live
	lostByOrigin   Ranges        // records in it that its origin has lost
	otherHolders   map[string]bool
	targets        map[string]*target // the nodes that should hold it, where its incarnation is gone

	// desired is a cache of desiredHolders, valid for one version of the candidates.
	desired        []Candidate
	desiredVersion int
}

// verification is a reading of the stream from disk that is under way.
type verification struct {
	isRunning bool
	found     Ranges
}

// target is a node that should hold a stream whose incarnation is gone.
type target struct {
	incarnation int64 // when it was asked; a later one may have lost its disk
	offeredAt   time.Duration
	hasReplied  bool
	stored      Ranges
	rejectedAt  time.Duration // 0: it has not rejected
}

// NewReplicaTable returns an empty table. required is how many machines hold each stream beside the origin's. New
// streams are rejected when StoredBytes reaches nine tenths of maxBytes, all records when it reaches maxBytes. Records
// older than retention are rejected; with 0 none are.
func NewReplicaTable(self Candidate, required int, maxBytes int64, retention time.Duration) *ReplicaTable {
	return &ReplicaTable{
		self:               self,
		required:           required,
		maxBytes:           maxBytes,
		retention:          retention,
		streams:            map[Stream]*storedStream{},
		nodes:              map[string]Node{},
		highestIncarnation: map[string]int64{},
	}
}

// RecordsStored is called when records of a stream are durable on this node's disk, and for those that are found there
// at the start.
func (t *ReplicaTable) RecordsStored(s Stream, from, to uint64, bytes, lastRecordUnixNano int64) {
	stored := t.stream(s)
	stored.ranges = stored.ranges.With(from, to)
	if stored.verification.isRunning {
		stored.verification.found = stored.verification.found.With(from, to)
	}
	stored.bytes += bytes
	stored.lastRecordNano = max(stored.lastRecordNano, lastRecordUnixNano)
	t.storedBytes += bytes
}

func (t *ReplicaTable) stream(s Stream) *storedStream {
	stored := t.streams[s]
	if stored == nil {
		stored = &storedStream{orphanedSince: notOrphaned, targets: map[string]*target{}, otherHolders: map[string]bool{}}
		t.streams[s] = stored
		t.updateOrphanState(s, stored, 0)
	}
	return stored
}

// StreamRemoved is called when a stream is no longer on this node's disk.
func (t *ReplicaTable) StreamRemoved(s Stream) {
	if stored := t.streams[s]; stored != nil {
		t.storedBytes -= stored.bytes
		delete(t.streams, s)
	}
}

// BeginVerification is called before a stream is read from disk again. What is stored meanwhile counts to it.
func (t *ReplicaTable) BeginVerification(s Stream) {
	if stored := t.streams[s]; stored != nil {
		stored.verification = verification{isRunning: true}
	}
}

// EndVerification takes in what was found undamaged. Where that is less than was thought, other holders are notified.
func (t *ReplicaTable) EndVerification(s Stream, found Ranges) (out []Outgoing) {
	stored := t.streams[s]
	if stored == nil || !stored.verification.isRunning {
		return nil
	}
	left := stored.verification.found
	for _, r := range found {
		left = left.With(r.From, r.To)
	}
	hasLost := len(stored.ranges.Without(left)) > 0
	stored.ranges = left
	stored.verification = verification{}
	if !hasLost {
		return nil
	}
	names := maps.Clone(stored.otherHolders)
	names[s.Name] = true
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if name != t.self.Name {
			out = append(out, Outgoing{name, &Inventory{Stream: s, Ranges: stored.ranges}})
		}
	}
	return out
}

// SetNodes is called when the members have changed, with all nodes. This node's own incarnation counts as well: streams
// of its earlier ones are orphans.
func (t *ReplicaTable) SetNodes(now time.Duration, nodes []Node) {
	t.candidates = t.candidates[:0]
	t.candidatesVersion++
	for _, n := range nodes {
		t.nodes[n.Name] = n
		t.highestIncarnation[n.Name] = max(t.highestIncarnation[n.Name], n.Incarnation)
		if n.IsLive {
			t.candidates = append(t.candidates, n.Candidate)
		}
	}
	for s, stored := range t.streams {
		t.updateOrphanState(s, stored, now)
	}
}

// updateOrphan notes whether the incarnation of a stream is gone. Of a node that nobody has named yet nothing is known
// shortly after the start.
func (t *ReplicaTable) updateOrphanState(s Stream, stored *storedStream, now time.Duration) {
	if s.IsReconciliation() {
		stored.orphanedSince = max(stored.orphanedSince, 0)
		return
	}
	n, isKnown := t.nodes[s.Name]
	switch isLive := isKnown && n.IsLive && n.Incarnation <= s.Incarnation; {
	case isLive:
		stored.orphanedSince = notOrphaned
	case stored.orphanedSince < 0 && (isKnown || now > orphanDelay):
		stored.orphanedSince = now
	}
}

// isOrphan reports whether the incarnation of the stream is gone.
func (stored *storedStream) isOrphan() bool { return stored.orphanedSince >= 0 }

// isOrphanFor reports whether it has been gone for so long.
func (stored *storedStream) isOrphanedFor(now, least time.Duration) bool {
	return stored.isOrphan() && now-stored.orphanedSince >= least
}

// Streams returns the streams that are held, in order.
func (t *ReplicaTable) Streams() []Stream {
	return slices.SortedFunc(maps.Keys(t.streams), func(a, b Stream) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// Ranges returns the records of a stream that are held.
func (t *ReplicaTable) Ranges(s Stream) Ranges {
	if stored := t.streams[s]; stored != nil {
		return stored.ranges
	}
	return nil
}

// FirstRecord is the first record of a stream that is held, 0 for none.
func (t *ReplicaTable) FirstRecord(s Stream) uint64 {
	if stored := t.streams[s]; stored != nil && len(stored.ranges) > 0 {
		return stored.ranges[0].From
	}
	return 0
}

// StoredBytes is how many bytes were taken in for the streams that are held. What was removed of such a stream since, was
// found damaged or came twice still counts.
func (t *ReplicaTable) StoredBytes() int64 { return t.storedBytes }

// ExpiredStreams returns the streams whose incarnation is gone and whose last record is older than the retention.
func (t *ReplicaTable) ExpiredStreams(nowUnixNano int64) (expired []Stream) {
	for _, s := range t.Streams() {
		if stored := t.streams[s]; t.retention > 0 && stored.isOrphan() && nowUnixNano-stored.lastRecordNano > int64(t.retention) {
			expired = append(expired, s)
		}
	}
	return expired
}

// StoredReplica describes a stream that is held, to commands. It is sent as a CBOR array and printed as JSON by field
// name, with the fields of Stream in place: the order of the fields and the tags stay.
type StoredReplica struct {
	_ struct{} `cbor:",toarray"`
	Stream
	Ranges             Ranges
	Bytes              int64
	LastRecordUnixNano int64             `json:"Last"`
	IsOrphan           bool              `json:"Orphan"`
	MissingRecords     map[string]uint64 `json:"Lacks"` // that are still to be copied, by node
}

// StoredReplicas describes all streams that are held.
func (t *ReplicaTable) StoredReplicas() (replicas []StoredReplica) {
	for _, s := range t.Streams() {
		stored := t.streams[s]
		r := StoredReplica{
			Stream:             s,
			Ranges:             stored.ranges,
			Bytes:              stored.bytes,
			LastRecordUnixNano: stored.lastRecordNano,
			IsOrphan:           stored.isOrphan(),
			MissingRecords:     map[string]uint64{},
		}
		for name := range stored.targets {
			if n := t.MissingAt(s, name).Count(); n > 0 {
				r.MissingRecords[name] = n
			}
		}
		replicas = append(replicas, r)
	}
	return replicas
}
