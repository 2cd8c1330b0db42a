package replication

import (
	"maps"
	"slices"
	"time"
)

// CopyTask identifies a copy of a stream's records to a node.
type CopyTask struct {
	Stream
	To string
}

// Tick returns offers of orphaned streams to their desired holders. It acts at most once per reviewInterval.
func (t *ReplicaTable) Tick(now time.Duration) (out []Outgoing) {
	if now-t.lastTick < reviewInterval {
		return nil
	}
	t.lastTick = now
	for _, s := range t.Streams() {
		stored := t.streams[s]
		t.updateOrphanState(s, stored, now)
		if stored.isOrphanedFor(now, orphanDelay) {
			out = t.offerOrphan(now, s, stored, out)
		}
	}
	return out
}

// offerOrphan offers a stream to its desired holders and removes targets that are no longer desired. A target that
// rejected is not desired, and is removed only after rejectRetention, so that it is not selected again before.
func (t *ReplicaTable) offerOrphan(now time.Duration, s Stream, stored *storedStream, out []Outgoing) []Outgoing {
	wanted := map[string]bool{}
	for _, c := range t.desiredHolders(s, stored) {
		if c.Name == t.self.Name {
			continue
		}
		wanted[c.Name] = true
		dest := stored.targets[c.Name]
		if incarnation := t.nodes[c.Name].Incarnation; dest == nil || dest.incarnation != incarnation {
			dest = &target{incarnation: incarnation}
			stored.targets[c.Name] = dest
		}
		if dest.isOfferDue(now, stored.ranges) {
			dest.offeredAt = max(now, 1) // 0 means that no offer was sent
			out = append(out, Outgoing{c.Name, &Offer{Stream: s, Ranges: stored.ranges}})
		}
	}
	for name, dest := range stored.targets {
		if !wanted[name] && (dest.rejectedAt == 0 || now-dest.rejectedAt > rejectRetention) {
			delete(stored.targets, name)
			t.candidatesVersion++
		}
	}
	return out
}

func (dest *target) isOfferDue(now time.Duration, stored Ranges) bool {
	sinceOffer := now - dest.offeredAt
	switch {
	case dest.offeredAt == 0:
		return true
	case !dest.hasReplied && sinceOffer > offerTimeout:
		return true
	case !dest.hasAll(stored) && sinceOffer > incompleteOfferInterval:
		return true
	}
	return sinceOffer > completeOfferInterval
}

func (dest *target) hasAll(stored Ranges) bool {
	return dest.hasReplied && len(stored.Without(dest.stored)) == 0
}

// desiredHolders returns the nodes that should store an orphaned stream, in order: a later incarnation of its node
// first, then others by rank. Their number is required+1, because the origin's own copy is lost.
func (t *ReplicaTable) desiredHolders(s Stream, stored *storedStream) []Candidate {
	if stored.desiredVersion == t.candidatesVersion && stored.desired != nil {
		return stored.desired
	}
	candidates := append(slices.Clone(t.candidates), t.self)
	for i := range candidates {
		dest := stored.targets[candidates[i].Name]
		candidates[i].IsHealthy = dest == nil || dest.rejectedAt == 0
	}
	ranked := rankCandidates(s, candidates)
	name := s.nodeName()
	if i := slices.IndexFunc(ranked, func(c Candidate) bool { return c.Name == name }); i > 0 {
		restarted := ranked[i]
		ranked = append([]Candidate{restarted}, slices.Delete(ranked, i, i+1)...)
	}
	stored.desired = selectCandidates(ranked, t.required+1, nil, nil)
	stored.desiredVersion = t.candidatesVersion
	return stored.desired
}

// WantedConnections returns the nodes to which connections are needed to repair orphaned streams.
func (t *ReplicaTable) WantedConnections() []string {
	wanted := map[string]bool{}
	for s, stored := range t.streams {
		for name, dest := range stored.targets {
			if stored.isOrphan() && dest.rejectedAt == 0 && (!dest.hasReplied || len(t.MissingAt(s, name)) > 0) {
				wanted[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(wanted))
}

// MissingAt returns the stored records of a stream that are to be copied to a node: records that a live origin has
// lost, or records of an orphaned stream that a desired holder lacks.
func (t *ReplicaTable) MissingAt(s Stream, name string) Ranges {
	stored := t.streams[s]
	if stored == nil {
		return nil
	}
	if !stored.isOrphan() {
		if name != s.Name {
			return nil
		}
		return stored.ranges.Without(stored.ranges.Without(stored.lostByOrigin))
	}
	dest := stored.targets[name]
	if dest == nil || !dest.hasReplied || dest.rejectedAt > 0 {
		return nil
	}
	return stored.ranges.Without(dest.stored)
}

// CopyTasks returns the copies that this node should make now. The holders of an orphaned stream start at staggered
// times.
func (t *ReplicaTable) CopyTasks(now time.Duration) (tasks []CopyTask) {
	for _, s := range t.Streams() {
		stored := t.streams[s]
		if !stored.isOrphan() {
			if len(t.MissingAt(s, s.Name)) > 0 {
				tasks = append(tasks, CopyTask{Stream: s, To: s.Name})
			}
			continue
		}
		if !stored.isOrphanedFor(now, t.copyDelay(s, stored)) {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(stored.targets)) {
			if len(t.MissingAt(s, name)) > 0 {
				tasks = append(tasks, CopyTask{Stream: s, To: name})
			}
		}
	}
	return tasks
}

// copyDelay returns how long this node waits before it copies an orphaned stream, by its rank among the known holders.
func (t *ReplicaTable) copyDelay(s Stream, stored *storedStream) time.Duration {
	holders := []Candidate{t.self}
	for _, c := range t.candidates {
		if stored.otherHolders[c.Name] && c.Name != t.self.Name {
			holders = append(holders, c)
		}
	}
	rank := slices.IndexFunc(rankCandidates(s, holders), func(c Candidate) bool { return c.Name == t.self.Name })
	return orphanDelay + time.Duration(rank+1)*copyStagger
}
