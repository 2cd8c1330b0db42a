package replication

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times and bounds of a replica table.
const (
	orphanDelay             = 3 * time.Second  // until an orphaned stream is copied: its node may only be restarting
	copyStagger             = time.Second      // between the starts of one stream's holders, so that usually only one copies
	incompleteOfferInterval = 10 * time.Second // between offers to a node that lacks records
	completeOfferInterval   = 10 * time.Minute // between offers to a node that has all records
	rejectRetention         = 10 * time.Second // until a stream may be offered again to a node that rejected it
	maxStreams              = 4096
	maxReportedNames        = 2 * maxStreams // with an incarnation that only an offer has reported
	maxNameBytes            = 300            // of such a name
)

// notOrphaned is the value of storedStream.orphanedSince while the incarnation is live.
const notOrphaned = -1

// Node is a cluster member that may be the origin or a holder of streams.
type Node struct {
	Candidate
	Incarnation int64
	IsLive      bool
}

// ReplicaTable tracks the streams that a node stores for other nodes and for its own earlier incarnations.
type ReplicaTable struct {
	self               Candidate
	required           int // number of machines that store a stream, in addition to the origin's
	maxBytes           int64
	retention          time.Duration // older records are rejected; 0: none are
	streams            map[Stream]*storedStream
	storedBytes        int64 // see StoredBytes
	nodes              map[string]Node
	highestIncarnation map[string]int64 // by node name, from membership and from offers of origins
	candidates         []Candidate      // the live nodes
	candidatesVersion  int              // incremented when the candidates or the set of rejecting targets change
	lastTick           time.Duration
}

// storedStream is the state of one stream in the table.
type storedStream struct {
	ranges         Ranges
	verification   verification
	bytes          int64              // received, see StoredBytes
	lastRecordNano int64              // Unix time of the last record
	orphanedSince  time.Duration      // since when the incarnation is gone; notOrphaned if it is live
	lostByOrigin   Ranges             // records that the origin has lost
	otherHolders   map[string]bool    // nodes other than the origin that have reported or acknowledged records
	targets        map[string]*target // desired holders of an orphaned stream, by node name

	// desired is a cache of desiredHolders, valid for one version of the candidates.
	desired        []Candidate
	desiredVersion int
}

// verification is the state of a running re-read of a stream from disk.
type verification struct {
	isRunning bool
	found     Ranges
}

// target is the state of a desired holder of an orphaned stream.
type target struct {
	incarnation int64 // of the node when the offer was sent; a later incarnation may have lost its disk
	offeredAt   time.Duration
	hasReplied  bool
	stored      Ranges
	rejectedAt  time.Duration // 0 if it has not rejected
}

// NewReplicaTable returns an empty table. required is the number of machines that store each stream in addition to the
// origin's. New streams are rejected when StoredBytes reaches nine tenths of maxBytes, all records when it reaches
// maxBytes. Records older than retention are rejected; with 0 none are.
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

// RecordsStored records that a range of a stream is durable on this node's disk. It is also called for records that are
// found there at startup.
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

// StreamRemoved records that a stream is removed from this node's disk.
func (t *ReplicaTable) StreamRemoved(s Stream) {
	if stored := t.streams[s]; stored != nil {
		t.storedBytes -= stored.bytes
		delete(t.streams, s)
	}
}

// BeginVerification starts the verification of a stream that is about to be re-read from disk. Records that are stored
// until EndVerification count as found.
func (t *ReplicaTable) BeginVerification(s Stream) {
	if stored := t.streams[s]; stored != nil {
		stored.verification = verification{isRunning: true}
	}
}

// EndVerification replaces the ranges of a stream by the records that were found undamaged. If records are lost, it
// returns Inventory messages that notify the origin and the other holders.
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

// SetNodes replaces the known nodes after a membership change. The nodes include this node, so that streams of its
// earlier incarnations become orphans.
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

// updateOrphanState records whether the incarnation of a stream is gone. A node that is not among the known nodes
// counts as gone only orphanDelay after the start, because membership may not have reported it yet. A reconciliation
// stream has no running origin and is always an orphan.
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

// isOrphan reports whether the stream's incarnation is gone.
func (stored *storedStream) isOrphan() bool { return stored.orphanedSince >= 0 }

// isOrphanedFor reports whether the stream's incarnation has been gone for at least a duration.
func (stored *storedStream) isOrphanedFor(now, atLeast time.Duration) bool {
	return stored.isOrphan() && now-stored.orphanedSince >= atLeast
}

// Streams returns the stored streams, sorted by name and incarnation.
func (t *ReplicaTable) Streams() []Stream {
	return slices.SortedFunc(maps.Keys(t.streams), func(a, b Stream) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// Ranges returns the stored records of a stream.
func (t *ReplicaTable) Ranges(s Stream) Ranges {
	if stored := t.streams[s]; stored != nil {
		return stored.ranges
	}
	return nil
}

// FirstRecord returns the number of the first stored record of a stream, 0 for none.
func (t *ReplicaTable) FirstRecord(s Stream) uint64 {
	if stored := t.streams[s]; stored != nil && len(stored.ranges) > 0 {
		return stored.ranges[0].From
	}
	return 0
}

// StoredBytes returns the number of bytes received for all stored streams. It also counts records that were received
// twice, trimmed since, or found damaged.
func (t *ReplicaTable) StoredBytes() int64 { return t.storedBytes }

// ExpiredStreams returns the orphaned streams whose last record is older than the retention.
func (t *ReplicaTable) ExpiredStreams(nowUnixNano int64) (expired []Stream) {
	for _, s := range t.Streams() {
		if stored := t.streams[s]; t.retention > 0 && stored.isOrphan() && nowUnixNano-stored.lastRecordNano > int64(t.retention) {
			expired = append(expired, s)
		}
	}
	return expired
}

// StoredReplica describes a stored stream to commands. It is sent as a CBOR array and printed as JSON by field name,
// with the fields of Stream inlined, so the order of the fields, their names and their tags must not change.
type StoredReplica struct {
	_ struct{} `cbor:",toarray"`
	Stream
	Ranges             Ranges
	Bytes              int64
	LastRecordUnixNano int64             `json:"Last"`
	IsOrphan           bool              `json:"Orphan"`
	MissingRecords     map[string]uint64 `json:"Lacks"` // number of records that remain to be copied, by node
}

// StoredReplicas returns descriptions of all stored streams.
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
