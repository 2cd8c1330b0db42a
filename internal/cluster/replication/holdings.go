package replication

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// FirstRecord is the first record of a stream that is still held.
func (k *ReplicaTable) FirstRecord(s Stream) uint64 {
	if h := k.streams[s]; h != nil && len(h.ranges) > 0 {
		return h.ranges[0].From
	}
	return 0
}

// ReconciliationStream is the stream in which this node settles entries of another one.
func (k *ReplicaTable) ReconciliationStream(s Stream) Stream {
	return Stream{Name: s.Name + settledBy + k.self.Name, Incarnation: s.Incarnation}
}

// ReconciliationStreams are the streams held here that settle entries of one.
func (k *ReplicaTable) ReconciliationStreams(s Stream) (all []Stream) {
	for _, x := range k.Streams() {
		if name, _, ok := strings.Cut(x.Name, settledBy); ok && name == s.Name && x.Incarnation == s.Incarnation {
			all = append(all, x)
		}
	}
	return all
}

// IsReconciliation tells whether a stream is one that settles entries of another.
func (s Stream) IsReconciliation() bool { return strings.Contains(s.Name, settledBy) }

// Ranges of a stream that are held here.
func (k *ReplicaTable) Ranges(s Stream) Ranges {
	if h := k.streams[s]; h != nil {
		return h.ranges
	}
	return nil
}

// Streams that are held, in order.
func (k *ReplicaTable) Streams() []Stream {
	return slices.SortedFunc(maps.Keys(k.streams), func(a, b Stream) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// StoredReplica is a stream as it is held, for those who ask.
type StoredReplica struct {
	_ struct{} `cbor:",toarray"`
	Stream
	Ranges             Ranges
	Bytes              int64
	LastRecordUnixNano int64             `json:"Last"`
	IsOrphan           bool              `json:"Orphan"`
	MissingRecords     map[string]uint64 `json:"Lacks"` // records that are still to be copied, by node
}

// StoredReplicas are all that is held.
func (k *ReplicaTable) StoredReplicas() (all []StoredReplica) {
	for _, s := range k.Streams() {
		h := k.streams[s]
		x := StoredReplica{Stream: s, Ranges: h.ranges, Bytes: h.bytes, LastRecordUnixNano: h.last, IsOrphan: h.orphan >= 0, MissingRecords: map[string]uint64{}}
		for name := range h.targets {
			if n := k.MissingAt(s, name).Count(); n > 0 {
				x.MissingRecords[name] = n
			}
		}
		all = append(all, x)
	}
	return all
}

// StoredBytes that are held.
func (k *ReplicaTable) StoredBytes() int64 { return k.bytes }

// ExpiredStreams are streams whose life is gone and whose last record is older than what is kept.
func (k *ReplicaTable) ExpiredStreams(clock int64) (old []Stream) {
	for _, s := range k.Streams() {
		if h := k.streams[s]; k.keepFor > 0 && h.orphan >= 0 && clock-h.last > int64(k.keepFor) {
			old = append(old, s)
		}
	}
	return old
}
