package replication

import (
	"fmt"
	"slices"
	"testing"
)

func testCandidates(n int) (all []Candidate) {
	for i := range n {
		all = append(all, Candidate{Name: fmt.Sprint("n", i), Site: fmt.Sprint("s", i%3), Machine: fmt.Sprint("m", i/2), IsHealthy: true})
	}
	return all
}

// Selected holders are on distinct machines and distinct sites, and removing one node moves few replicas.
func TestSelectCandidates(t *testing.T) {
	all := testCandidates(12)
	moved := 0
	for i := range 200 {
		name := fmt.Sprint("stream", i)
		self := all[i%len(all)]
		others := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.Name == self.Name })
		selected := selectCandidates(rankCandidates(Stream{Name: name}, others), 2, nil, []Candidate{self})
		machines, sites := map[string]bool{self.Machine: true}, map[string]bool{self.Site: true}
		for _, c := range selected {
			machines[c.Machine] = true
			sites[c.Site] = true
		}
		if len(selected) != 2 || len(machines) != 3 || len(sites) != 3 {
			t.Fatalf("got selected candidates %v for origin %v, want 2 on other machines and sites", selected, self)
		}
		fewer := others[:len(others)-1]
		for _, c := range selectCandidates(rankCandidates(Stream{Name: name}, fewer), 2, nil, []Candidate{self}) {
			if !slices.Contains(selected, c) {
				moved++
			}
		}
	}
	if moved > 100 {
		t.Errorf("removing one node moved %d of 400 replicas, want at most 100", moved)
	}
}
