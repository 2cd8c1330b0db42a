package replication

import (
	"strings"
	"time"
)

// ShouldReconcile reports whether this node reconciles a stream whose incarnation has been gone for so long: it is the
// first of the nodes that should hold the stream, and lacks nothing that another was seen to have.
func (t *ReplicaTable) ShouldReconcile(now time.Duration, s Stream, after time.Duration) bool {
	stored := t.streams[s]
	if stored == nil || !stored.isOrphanedFor(now, max(after, orphanDelay)) || s.IsReconciliation() {
		return false
	}
	for _, dest := range stored.targets {
		if len(dest.stored.Without(stored.ranges)) > 0 {
			return false
		}
	}
	holders := t.desiredHolders(s, stored)
	return len(holders) > 0 && holders[0].Name == t.self.Name
}

// ReconciliationStream is the stream in which this node reconciles entries of another stream.
func (t *ReplicaTable) ReconciliationStream(s Stream) Stream {
	return Stream{Name: s.Name + reconcilerSeparator + t.self.Name, Incarnation: s.Incarnation}
}

// ReconciliationStreams returns the streams held here that reconcile entries of a stream.
func (t *ReplicaTable) ReconciliationStreams(s Stream) (streams []Stream) {
	for _, r := range t.Streams() {
		name, _, ok := strings.Cut(r.Name, reconcilerSeparator)
		if ok && name == s.Name && r.Incarnation == s.Incarnation {
			streams = append(streams, r)
		}
	}
	return streams
}
