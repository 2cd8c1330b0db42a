package replication

import (
	"cmp"
	"hash/crc32"
	"slices"
)

// Candidate is a node that may hold a replica.
type Candidate struct {
	Name      string
	Site      string
	Machine   string // nodes on one machine are lost together
	IsHealthy bool   // it can be counted on now
}

// rankCandidates orders candidates for a stream by rendezvous hashing, the same at all nodes: one node more or less moves
// only what it holds itself. A reconciliation is ranked like the stream that it reconciles, to be on the same nodes.
func rankCandidates(stream Stream, candidates []Candidate) []Candidate {
	type rankedCandidate struct {
		Candidate
		rank uint32
	}
	name := stream.nodeName()
	list := make([]rankedCandidate, len(candidates))
	for i, c := range candidates {
		list[i] = rankedCandidate{Candidate: c, rank: crc32.ChecksumIEEE([]byte(name + "\x00" + c.Name + "\x00" + name))}
	}
	slices.SortFunc(list, func(a, b rankedCandidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name))
	})
	ranked := make([]Candidate, len(list))
	for i := range list {
		ranked[i] = list[i].Candidate
	}
	return ranked
}

// selectCandidates takes count healthy candidates: each on a machine of its own, and on as many sites as there are.
// Within that it takes those that are preferred first, and then by rank. Machines and sites of those in taken hold the
// stream already.
func selectCandidates(ranked []Candidate, count int, preferred map[string]bool, occupied []Candidate) (selected []Candidate) {
	machines := map[string]bool{}
	sites := map[string]bool{}
	for _, c := range occupied {
		machines[c.Machine] = true
		sites[c.Site] = true
	}
	selectWhere := func(fits func(Candidate) bool) {
		for _, c := range ranked {
			if len(selected) < count && c.IsHealthy && !machines[c.Machine] && fits(c) {
				machines[c.Machine] = true
				sites[c.Site] = true
				selected = append(selected, c)
			}
		}
	}
	selectWhere(func(c Candidate) bool { return preferred[c.Name] && !sites[c.Site] })
	selectWhere(func(c Candidate) bool { return !sites[c.Site] })
	selectWhere(func(c Candidate) bool { return preferred[c.Name] })
	selectWhere(func(Candidate) bool { return true })
	return selected
}
