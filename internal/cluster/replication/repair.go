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
		h := t.streams[s]
		t.updateOrphan(s, h, now)
		if h.isOrphanFor(now, orphanDelay) {
			out = t.offerOrphan(now, s, h, out)
		}
	}
	return out
}

// offerOrphan offers a stream to the nodes that should hold it, and forgets targets that no longer should.
func (t *ReplicaTable) offerOrphan(now time.Duration, s Stream, h *storedStream, out []Outgoing) []Outgoing {
	wanted := map[string]bool{}
	for _, c := range t.desiredHolders(s, h) {
		if c.Name == t.self.Name {
			continue
		}
		wanted[c.Name] = true
		to := h.targets[c.Name]
		if incarnation := t.nodes[c.Name].Incarnation; to == nil || to.incarnation != incarnation {
			to = &target{incarnation: incarnation}
			h.targets[c.Name] = to
		}
		if to.isOfferDue(now, h.ranges) {
			to.offeredAt = max(now, 1) // 0 is never
			out = append(out, Outgoing{c.Name, &Offer{Stream: s, Ranges: h.ranges}})
		}
	}
	for name, to := range h.targets {
		if !wanted[name] && (to.rejectedAt == 0 || now-to.rejectedAt > rejectRetention) {
			delete(h.targets, name)
			t.candidatesVersion++
		}
	}
	return out
}

func (to *target) isOfferDue(now time.Duration, held Ranges) bool {
	sinceOffer := now - to.offeredAt
	switch {
	case to.offeredAt == 0:
		return true
	case !to.hasAnswered && sinceOffer > offerTimeout:
		return true
	case !to.hasAll(held) && sinceOffer > incompleteOfferInterval:
		return true
	}
	return sinceOffer > completeOfferInterval
}

func (to *target) hasAll(held Ranges) bool {
	return to.hasAnswered && len(held.Without(to.stored)) == 0
}

// desiredHolders are the nodes that should hold a stream whose incarnation is gone, in order: a later incarnation of its
// node, and others by rank, one more than are required beside an origin.
func (t *ReplicaTable) desiredHolders(s Stream, h *storedStream) []Candidate {
	if h.desiredVersion == t.candidatesVersion && h.desired != nil {
		return h.desired
	}
	candidates := append(slices.Clone(t.candidates), t.self)
	for i := range candidates {
		to := h.targets[candidates[i].Name]
		candidates[i].IsHealthy = to == nil || to.rejectedAt == 0
	}
	ranked := rankCandidates(s, candidates)
	name := s.nodeName()
	if i := slices.IndexFunc(ranked, func(c Candidate) bool { return c.Name == name }); i > 0 {
		own := ranked[i]
		ranked = append([]Candidate{own}, slices.Delete(ranked, i, i+1)...)
	}
	h.desired = selectCandidates(ranked, t.required+1, nil, nil)
	h.desiredVersion = t.candidatesVersion
	return h.desired
}

// WantedConnections returns the nodes to which a connection is needed for streams whose incarnation is gone.
func (t *ReplicaTable) WantedConnections() []string {
	wanted := map[string]bool{}
	for s, h := range t.streams {
		for name, to := range h.targets {
			if h.isOrphan() && to.rejectedAt == 0 && (!to.hasAnswered || len(t.MissingAt(s, name)) > 0) {
				wanted[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(wanted))
}

// MissingAt is what is held here of a stream and is to be copied to a node: what a live origin has lost, or what a node
// that should hold an orphan does not have.
func (t *ReplicaTable) MissingAt(s Stream, name string) Ranges {
	h := t.streams[s]
	if h == nil {
		return nil
	}
	if !h.isOrphan() {
		if name != s.Name {
			return nil
		}
		return h.ranges.Without(h.ranges.Without(h.lostByOrigin))
	}
	to := h.targets[name]
	if to == nil || !to.hasAnswered || to.rejectedAt > 0 {
		return nil
	}
	return h.ranges.Without(to.stored)
}

// CopyTasks returns the copies that this node makes now. The holders of an orphan begin one after the other.
func (t *ReplicaTable) CopyTasks(now time.Duration) (tasks []CopyTask) {
	for _, s := range t.Streams() {
		h := t.streams[s]
		if !h.isOrphan() {
			if len(t.MissingAt(s, s.Name)) > 0 {
				tasks = append(tasks, CopyTask{Stream: s, To: s.Name})
			}
			continue
		}
		if !h.isOrphanFor(now, t.copyDelay(s, h)) {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(h.targets)) {
			if len(t.MissingAt(s, name)) > 0 {
				tasks = append(tasks, CopyTask{Stream: s, To: name})
			}
		}
	}
	return tasks
}

// copyDelay is how long this node waits until it copies an orphan, by its rank among the holders.
func (t *ReplicaTable) copyDelay(s Stream, h *storedStream) time.Duration {
	holders := []Candidate{t.self}
	for _, c := range t.candidates {
		if h.otherHolders[c.Name] && c.Name != t.self.Name {
			holders = append(holders, c)
		}
	}
	rank := slices.IndexFunc(rankCandidates(s, holders), func(c Candidate) bool { return c.Name == t.self.Name })
	return orphanDelay + time.Duration(rank+1)*copyStagger
}
