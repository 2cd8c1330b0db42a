package audit

import (
	"cmp"
	"slices"
	"time"
)

// Second holds the counts of one second of a run, over all nodes and servers. Reports store it under the names of its
// fields and tags.
type Second struct {
	Tries      int // tries of clients, in the second in which they were sent
	First      int // first attempts of tries, in the second in which a server received the first byte
	Retries    int `json:"Further"` // later attempts of tries, in the second in which a server received the first byte
	Ran        int // attempts that servers began to execute
	Wasted     int `json:"Vain"` // executions whose answer the client did not get
	Handled    int // tries answered in time with status 200
	Rejected   int // tries answered in time with status 429 or 503
	Failed     int `json:"WrittenOff"` // tries answered in time with another status
	Unanswered int `json:"Lost"`       // tries that ended without a complete response in time
	Busiest    int // attempts of the node with the most attempts
}

const (
	statusRejected = 503
	statusLimited  = 429
	statusHandled  = 200
)

// seconds accumulates the counts of a run.
type seconds struct {
	all    []Second
	byNode []map[int]int // attempts by node, for each second
}

// at returns the counts of the second that t falls in.
func (s *seconds) at(t time.Duration) *Second {
	i := int(max(t, 0) / time.Second)
	for len(s.all) <= i {
		s.all = append(s.all, Second{})
		s.byNode = append(s.byNode, map[int]int{})
	}
	return &s.all[i]
}

// Seconds returns the counts of each second of the run, from its start. Call it after the last event.
func (a *Audit) Seconds() []Second {
	var s seconds
	for _, r := range a.requests {
		if !r.isFromClient {
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

// handled reports whether the client got a successful answer in time.
func (r *request) handled() bool { return r.end == Answered && r.status == statusHandled }

// rejected reports whether the client got a rejection in time.
func (r *request) rejected() bool {
	return r.end == Answered && (r.status == statusRejected || r.status == statusLimited)
}

// countEnd counts how a try ended.
func (s *seconds) countEnd(r *request) {
	if r.ended < 0 {
		return
	}
	switch at := s.at(r.ended); {
	case r.handled():
		at.Handled++
	case r.rejected():
		at.Rejected++
	case r.end == Answered:
		at.Failed++
	default:
		at.Unanswered++
	}
}

// countAttempts counts the attempts and executions of a try.
func (s *seconds) countAttempts(r *request) {
	attempts := slices.Clone(r.attempts)
	slices.SortFunc(attempts, func(a, b attempt) int { return cmp.Compare(a.first, b.first) })
	answered := -1 // index of the attempt whose answer the client got: the last executed one that ended before the try, or else the first executed one
	for i, attempt := range attempts {
		if r.handled() && attempt.ran >= 0 && attempt.ended >= 0 && (answered < 0 || attempt.ended <= r.ended) {
			answered = i
		}
	}
	for i, attempt := range attempts {
		at := s.at(attempt.first)
		if i == 0 {
			at.First++
		} else {
			at.Retries++
		}
		s.byNode[int(max(attempt.first, 0)/time.Second)][r.node]++
		if attempt.ran >= 0 {
			at := s.at(attempt.ran)
			if at.Ran++; i != answered {
				at.Wasted++
			}
		}
	}
}
