package replication

import (
	"strings"
	"time"
)

// ShouldReconcile reports whether this node reconciles a stream. That is the case if the stream's incarnation has been
// gone for at least the duration after, this node is the first of the desired holders, and the replies of the others to
// this node's offers list no record that this node lacks.
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

// ReconciliationStream returns the stream to which this node writes reconciliations of another stream's entries.
func (t *ReplicaTable) ReconciliationStream(s Stream) Stream {
	return Stream{Name: s.Name + reconcilerSeparator + t.self.Name, Incarnation: s.Incarnation}
}

// ReconciliationStreams returns the stored streams that reconcile entries of a stream.
func (t *ReplicaTable) ReconciliationStreams(s Stream) (streams []Stream) {
	for _, r := range t.Streams() {
		name, _, ok := strings.Cut(r.Name, reconcilerSeparator)
		if ok && name == s.Name && r.Incarnation == s.Incarnation {
			streams = append(streams, r)
		}
	}
	return streams
}
