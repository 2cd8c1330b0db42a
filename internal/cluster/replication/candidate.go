package replication

import (
	"cmp"
	"hash/crc32"
	"slices"
	"strings"
)

// settledBy stands in the name of a stream between the one whose entries it settles and the node that does.
const settledBy = "~"

// Candidate is a node that may hold a replica.
type Candidate struct {
	Name      string
	Site      string
	Machine   string
	IsHealthy bool // it can be counted on now
}

// rank orders candidates for a stream, alike at all nodes (rendezvous): a node more or less moves only what it holds itself.
func rank(stream string, all []Candidate) []Candidate {
	stream, _, _ = strings.Cut(stream, settledBy) // what settles a stream stands where it does
	type ranked struct {
		Candidate
		by uint32
	}
	list := make([]ranked, len(all))
	for i, p := range all {
		list[i] = ranked{p, crc32.ChecksumIEEE([]byte(stream + "\x00" + p.Name + "\x00" + stream))}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.by, b.by), cmp.Compare(a.Name, b.Name)) })
	out := make([]Candidate, len(list))
	for i := range list {
		out[i] = list[i].Candidate
	}
	return out
}

// choose takes n candidates, those of kept first: each on a machine of its own, and on as many sites as there are. taken are
// machines and sites that hold the stream already. Only what is well is chosen.
func choose(ranked []Candidate, n int, kept map[string]bool, taken []Candidate) (chosen []Candidate) {
	machines, sites := map[string]bool{}, map[string]bool{}
	for _, p := range taken {
		machines[p.Machine], sites[p.Site] = true, true
	}
	take := func(fits func(Candidate) bool) {
		for _, p := range ranked {
			if len(chosen) < n && p.IsHealthy && !machines[p.Machine] && fits(p) {
				machines[p.Machine], sites[p.Site] = true, true
				chosen = append(chosen, p)
			}
		}
	}
	take(func(p Candidate) bool { return kept[p.Name] && !sites[p.Site] })
	take(func(p Candidate) bool { return !sites[p.Site] })
	take(func(p Candidate) bool { return kept[p.Name] })
	take(func(Candidate) bool { return true })
	return chosen
}
