package audit

import (
	"cmp"
	"slices"
	"time"
)

// Second is what befell in one second of a run, over all nodes and servers.
type Second struct {
	Tries      int // of clients, by when they were sent
	First      int // attempts at servers, by when their first byte came: the first of a try ...
	Further    int // ... and those after it
	Ran        int // begun by servers in it
	Vain       int // of those: the try was not handled by them, whatever their work was
	Handled    int // tries that ended in it
	Rejected   int
	WrittenOff int
	Lost       int // without a complete response, or none in time
	Busiest    int // attempts of the node that sent the most
}

const (
	statusRejected = 503
	statusLimited  = 429
	statusHandled  = 200
)

// seconds are filled while the requests of a run are gone through.
type seconds struct {
	all    []Second
	byNode []map[int]int // for each second: attempts by node
}

// at finds the second of a moment.
func (s *seconds) at(t time.Duration) *Second {
	i := int(max(t, 0) / time.Second)
	for len(s.all) <= i {
		s.all, s.byNode = append(s.all, Second{}), append(s.byNode, map[int]int{})
	}
	return &s.all[i]
}

// Seconds are those of a run, from its start.
func (a *Audit) Seconds() []Second {
	var s seconds
	for _, r := range a.requests {
		if !r.known {
			continue
		}
		if r.sent >= 0 {
			s.at(r.sent).Tries++
		}
		s.countEnd(r)
		s.countAttempts(r)
	}
	for i, by := range s.byNode {
		for _, n := range by {
			s.all[i].Busiest = max(s.all[i].Busiest, n)
		}
	}
	return s.all
}

func (r *request) handled() bool { return r.end == Answered && r.status == statusHandled }

func (s *seconds) countEnd(r *request) {
	if r.ended < 0 {
		return
	}
	switch at := s.at(r.ended); {
	case r.handled():
		at.Handled++
	case r.end == Answered && (r.status == statusRejected || r.status == statusLimited):
		at.Rejected++
	case r.end == Answered:
		at.WrittenOff++
	default:
		at.Lost++
	}
}

func (s *seconds) countAttempts(r *request) {
	attempts := slices.Clone(r.attempts)
	slices.SortFunc(attempts, func(a, b attempt) int { return cmp.Compare(a.first, b.first) })
	answered := -1 // the attempt whose answer the client got: the last that was over when the try ended
	for i, h := range attempts {
		if r.handled() && h.ran >= 0 && h.over >= 0 && (answered < 0 || h.over <= r.ended) {
			answered = i
		}
	}
	for i, h := range attempts {
		at := s.at(h.first)
		if i == 0 {
			at.First++
		} else {
			at.Further++
		}
		s.byNode[int(max(h.first, 0)/time.Second)][r.node]++
		if h.ran >= 0 {
			at := s.at(h.ran)
			if at.Ran++; i != answered {
				at.Vain++
			}
		}
	}
}
