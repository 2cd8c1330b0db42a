package replication

import (
	"cmp"
	"hash/crc32"
	"slices"
)

// Candidate is a node that may be selected as a replica holder.
type Candidate struct {
	Name      string
	Site      string
	Machine   string // failure domain: nodes on one machine fail together
	IsHealthy bool   // may be selected
}

// rankCandidates orders candidates for a stream by rendezvous hashing. All nodes compute the same order, and adding or
// removing a node moves only the replicas of that node. A reconciliation stream is ranked like the stream that it
// reconciles, so both are stored on the same nodes.
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

// selectCandidates selects up to count healthy candidates on distinct machines and on as many distinct sites as
// possible. Among candidates that are equal in this respect it selects preferred ones first, then by rank. The
// candidates in occupied already store the stream, so their machines are excluded and other sites are favored.
func selectCandidates(ranked []Candidate, count int, preferred map[string]bool, occupied []Candidate) (selected []Candidate) {
	machines := map[string]bool{}
	sites := map[string]bool{}
	for _, c := range occupied {
		machines[c.Machine] = true
		sites[c.Site] = true
	}
	selectWhere := func(isEligible func(Candidate) bool) {
		for _, c := range ranked {
			if len(selected) < count && c.IsHealthy && !machines[c.Machine] && isEligible(c) {
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
