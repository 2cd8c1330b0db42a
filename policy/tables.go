package policy

import (
	"slices"
	"time"
)

// The tables below are what the decisions read and write. Each is sparse or counted as it changes, so that no change and
// no tick walks all servers.

// allTypes stands for the types in a rest that holds for all of them.
const allTypes = -1

// trouble is what a server has had of one type of operation.
type trouble struct {
	kind    int
	faults  int           // failures in a row
	faulted time.Duration // the last of them
	shy     time.Duration // nothing of the type is sent there until then
}

// setReady keeps the count of ready servers, and which of them are not listed, in step.
func (p *Policy) setReady(s int, ready bool) {
	if ready != p.ready[s] {
		p.readyNow += sign(ready)
	}
	p.ready[s] = ready
	p.dropped.Put(s, ready && !p.listed[s])
}

func (p *Policy) setListed(s int, listed bool) {
	if listed != p.listed[s] {
		p.listedNow += sign(listed)
	}
	p.listed[s] = listed
	p.dropped.Put(s, p.ready[s] && !listed)
}

func sign(up bool) int {
	if up {
		return 1
	}
	return -1
}

// wasListed tells whether a server was listed before the list that is being taken in.
func (p *Policy) wasListed(s int) bool {
	if s >= len(p.listed) {
		return false
	}
	if p.heard[s] != p.lists {
		p.heard[s], p.before[s] = p.lists, p.listed[s]
	}
	return p.before[s]
}

// smooth sets the smoothed latency of a server and keeps the sum over all.
func (p *Policy) smooth(s int, latency time.Duration) {
	p.smoothedSum += latency - p.smoothed[s]
	p.smoothed[s] = latency
}

// trouble is what a server has had of a type, or nothing.
func (p *Policy) trouble(s, kind int) trouble {
	for _, t := range p.troubles[s] {
		if t.kind == kind {
			return t
		}
	}
	return trouble{kind: kind}
}

// troubleOf is the same to be written to; it holds until the next call.
func (p *Policy) troubleOf(s, kind int) *trouble {
	i := slices.IndexFunc(p.troubles[s], func(t trouble) bool { return t.kind == kind })
	if i < 0 {
		i = len(p.troubles[s])
		p.troubles[s] = append(p.troubles[s], trouble{kind: kind})
		p.troubled.Add(s)
	}
	return &p.troubles[s][i]
}

// endTrouble has a type be served again by a server that has just done so.
func (p *Policy) endTrouble(s, kind int) {
	for i := range p.troubles[s] {
		if t := &p.troubles[s][i]; t.kind == kind {
			t.faults, t.shy = 0, 0
		}
	}
}

// until is when a server's rest ends, for one type or for all.
func (p *Policy) until(s, kind int) time.Duration {
	if kind == allTypes {
		return p.restUntil[s]
	}
	return p.trouble(s, kind).shy
}

// untilOf is the same to be written to.
func (p *Policy) untilOf(s, kind int) *time.Duration {
	if kind == allTypes {
		p.troubled.Add(s)
		return &p.restUntil[s]
	}
	return &p.troubleOf(s, kind).shy
}

// forgetTrouble has nothing of a type be known of a server, since the type is another now.
func (p *Policy) forgetTrouble(s, kind int) {
	p.troubles[s] = slices.DeleteFunc(p.troubles[s], func(t trouble) bool { return t.kind == kind })
}

// dropTroubles lets go of troubles that bear on nothing any more: the last failure matters to attempts that were out
// at its time only.
func (p *Policy) dropTroubles(s int) {
	if p.inFlight[s] == 0 {
		p.troubles[s] = slices.DeleteFunc(p.troubles[s], func(t trouble) bool { return t.faults == 0 && p.now >= t.shy })
	}
	if len(p.troubles[s]) == 0 && p.now >= p.restUntil[s] {
		p.troubles[s] = nil // a copy's must not share what is left of it
		p.troubled.Remove(s)
	}
}
