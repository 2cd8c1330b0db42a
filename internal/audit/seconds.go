package audit

import (
	"cmp"
	"slices"
	"time"
)

// Second is what befell in one second of a run, over all nodes and boxes.
type Second struct {
	Tries      int // of clients, by when they were sent
	First      int // hops at boxes, by when their first byte came: the first of a try ...
	Further    int // ... and those after it
	Ran        int // begun by boxes in it
	Vain       int // of those: the try was not handled by them, whatever their work was
	Handled    int // tries that ended in it
	Denied     int
	WrittenOff int
	Lost       int // without a whole answer, or none in time
	Busiest    int // hops of the node that sent the most
}

const (
	statusDenied  = 503
	statusLimited = 429
	statusHandled = 200
)

// Seconds are those of a run, from its start.
func (a *Audit) Seconds() []Second {
	var all []Second
	nodes := []map[int]int{}
	at := func(t time.Duration) *Second {
		i := int(max(t, 0) / time.Second)
		for len(all) <= i {
			all, nodes = append(all, Second{}), append(nodes, map[int]int{})
		}
		return &all[i]
	}
	for _, r := range a.requests {
		if !r.known {
			continue
		}
		if r.sent >= 0 {
			at(r.sent).Tries++
		}
		handled := r.end == Answered && r.status == statusHandled
		if r.ended >= 0 {
			switch s := at(r.ended); {
			case handled:
				s.Handled++
			case r.end == Answered && (r.status == statusDenied || r.status == statusLimited):
				s.Denied++
			case r.end == Answered:
				s.WrittenOff++
			default:
				s.Lost++
			}
		}
		hops := slices.Clone(r.hops)
		slices.SortFunc(hops, func(a, b hop) int { return cmp.Compare(a.first, b.first) })
		answered := -1 // the hop whose answer the client got: the last that was over when the try ended
		for i, h := range hops {
			if handled && h.ran >= 0 && h.over >= 0 && (answered < 0 || h.over <= r.ended) {
				answered = i
			}
		}
		for i, h := range hops {
			s := at(h.first)
			if i == 0 {
				s.First++
			} else {
				s.Further++
			}
			nodes[int(max(h.first, 0)/time.Second)][r.node]++
			if h.ran >= 0 {
				s := at(h.ran)
				if s.Ran++; i != answered {
					s.Vain++
				}
			}
		}
	}
	for i, by := range nodes {
		for _, n := range by {
			all[i].Busiest = max(all[i].Busiest, n)
		}
	}
	return all
}
