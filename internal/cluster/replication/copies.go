package replication

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// desired are the nodes that should hold a stream whose life is gone: a later life of its node, and as many others as make
// enough, in order.
func (k *ReplicaTable) desired(s Stream, h *held) []Candidate {
	if h.by == k.looks && h.wanted != nil {
		return h.wanted
	}
	all := append(slices.Clone(k.candidates), k.self)
	for i := range all {
		t := h.targets[all[i].Name]
		all[i].IsHealthy = t == nil || t.refused == 0
	}
	ranked := rank(s.Name, all)
	name, _, _ := strings.Cut(s.Name, settledBy)
	if i := slices.IndexFunc(ranked, func(p Candidate) bool { return p.Name == name }); i > 0 {
		own := ranked[i]
		ranked = append([]Candidate{own}, slices.Delete(ranked, i, i+1)...)
	}
	h.wanted, h.by = choose(ranked, k.need+1, nil, nil), k.looks
	return h.wanted
}

// WantedConnections are the nodes to which a connection is needed for streams without a life.
func (k *ReplicaTable) WantedConnections() []string {
	wanted := map[string]bool{}
	for s, h := range k.streams {
		for name, t := range h.targets {
			if h.orphan >= 0 && t.refused == 0 && (!t.answers || len(k.MissingAt(s, name)) > 0) {
				wanted[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(wanted))
}

// MissingAt is what is held here of a stream and not at a node that should hold it.
func (k *ReplicaTable) MissingAt(s Stream, name string) Ranges {
	h := k.streams[s]
	if h == nil {
		return nil
	}
	if h.orphan < 0 {
		if name == s.Name { // it is not lost: it lacks a part of what it had
			return h.ranges.Without(h.ranges.Without(h.returns))
		}
		return nil
	}
	t := h.targets[name]
	if t == nil || !t.answers || t.refused > 0 {
		return nil
	}
	return h.ranges.Without(t.ranges)
}

// CopyJob is a stream to be copied to a node.
type CopyJob struct {
	Stream
	To string
}

// CopyJobs are those that are this node's to do now: the holders of a stream begin one after the other.
func (k *ReplicaTable) CopyJobs(now time.Duration) (jobs []CopyJob) {
	for _, s := range k.Streams() {
		h := k.streams[s]
		if h.orphan < 0 && len(k.MissingAt(s, s.Name)) > 0 {
			jobs = append(jobs, CopyJob{s, s.Name})
		}
		if h.orphan < 0 || now-h.orphan < orphanFor {
			continue
		}
		holders := []Candidate{k.self}
		for _, p := range k.candidates {
			if h.others[p.Name] && p.Name != k.self.Name {
				holders = append(holders, p)
			}
		}
		turn := slices.IndexFunc(rank(s.Name, holders), func(p Candidate) bool { return p.Name == k.self.Name })
		if now-h.orphan < orphanFor+time.Duration(turn+1)*staggerFor/2 {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(h.targets)) {
			if len(k.MissingAt(s, name)) > 0 {
				jobs = append(jobs, CopyJob{s, name})
			}
		}
	}
	return jobs
}

// ShouldReconcile tells whether a stream without a life is this node's to settle: it stands first of those that should hold it, and
// lacks nothing that another was seen to have.
func (k *ReplicaTable) ShouldReconcile(now time.Duration, s Stream, after time.Duration) bool {
	h := k.streams[s]
	if h == nil || h.orphan < 0 || now-h.orphan < max(after, orphanFor) || s.IsReconciliation() {
		return false
	}
	for _, t := range h.targets {
		if len(t.ranges.Without(h.ranges)) > 0 {
			return false
		}
	}
	all := k.desired(s, h)
	return len(all) > 0 && all[0].Name == k.self.Name
}
