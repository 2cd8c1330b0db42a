package replication

import (
	"maps"
	"slices"
	"time"
)

// CopyTask is a stream of which records are to be copied to a node.
type CopyTask struct {
	Stream
	To string
}

// Tick is called often. It has streams whose incarnation is gone offered to the nodes that should hold them.
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

// offerOrphan offers a stream to the nodes that should hold it, and forgets targets that no longer should.
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
			dest.offeredAt = max(now, 1) // 0 is never
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

func (dest *target) isOfferDue(now time.Duration, held Ranges) bool {
	sinceOffer := now - dest.offeredAt
	switch {
	case dest.offeredAt == 0:
		return true
	case !dest.hasReplied && sinceOffer > offerTimeout:
		return true
	case !dest.hasAll(held) && sinceOffer > incompleteOfferInterval:
		return true
	}
	return sinceOffer > completeOfferInterval
}

func (dest *target) hasAll(held Ranges) bool {
	return dest.hasReplied && len(held.Without(dest.stored)) == 0
}

// desiredHolders are the nodes that should hold a stream whose incarnation is gone, in order: a later incarnation of its
// node, and others by rank, one more than are required beside an origin.
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
		own := ranked[i]
		ranked = append([]Candidate{own}, slices.Delete(ranked, i, i+1)...)
	}
	stored.desired = selectCandidates(ranked, t.required+1, nil, nil)
	stored.desiredVersion = t.candidatesVersion
	return stored.desired
}

// WantedConnections returns the nodes to which a connection is needed for streams whose incarnation is gone.
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

// MissingAt is what is held here of a stream and is to be copied to a node: what a live origin has lost, or what a node
// that should hold an orphan does not have.
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

// CopyTasks returns the copies that this node makes now. The holders of an orphan begin one after the other.
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

// copyDelay is how long this node waits until it copies an orphan, by its rank among the holders.
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
