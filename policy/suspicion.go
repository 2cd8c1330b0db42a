package policy

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
)

const (
	maxSuspicion      = 3                // each level halves a server's turns
	unlistedRetention = 60 * time.Second // without an answer, after which an unlisted server is forgotten
)

// suspicion is how little the node trusts servers that the endpoint list omits without a drain notice. Where
// Settings.UnlistedUsable allows it they stay in use, with fewer turns, against lists that are wrong, old or cut short.
type suspicion struct {
	level      []int           // 0 to maxSuspicion
	lastSignAt []time.Duration // when the list omitted the server, or its last answer since
	maxListed  int             // most servers ever listed at a time
}

func (x *suspicion) addServer(s int) {
	columns.Put(s, 0, &x.level)
	columns.Put(s, 0, &x.lastSignAt)
}

func (x *suspicion) clone() suspicion {
	c := *x
	c.level, c.lastSignAt = slices.Clone(x.level), slices.Clone(x.lastSignAt)
	return c
}

func (x *suspicion) raise(s int) { x.level[s] = min(x.level[s]+1, maxSuspicion) }

// lower trusts a server more, since it answered.
func (x *suspicion) lower(s int, now time.Duration) {
	x.level[s], x.lastSignAt[s] = max(x.level[s]-1, 0), now
}

// unlistServer takes in that a list omits a ready server; wasListed says that the one before named it.
func (p *Policy) unlistServer(s int, wasListed bool) {
	p.setReady(s, p.settings.UnlistedUsable)
	if !p.readiness.Ready(s) {
		return
	}
	if wasListed {
		p.suspicion.raise(s)
		p.suspicion.lastSignAt[s] = p.now
	}
	p.emit(Effect{Kind: Retain, Server: s})
}

// forgetSilent forgets the unlisted server that has been silent for longest, if that is too long or more are in use
// than were ever listed, so that their number stays bounded.
func (p *Policy) forgetSilent() {
	unlisted, oldest := p.readiness.ReadyUnlisted(), -1
	for s := range unlisted.All() {
		if oldest < 0 || p.suspicion.lastSignAt[s] < p.suspicion.lastSignAt[oldest] {
			oldest = s
		}
	}
	if oldest < 0 || p.load.inFlight[oldest] > 0 {
		return
	}
	isSilent := p.now-p.suspicion.lastSignAt[oldest] > unlistedRetention
	if unlisted.Len() <= p.suspicion.maxListed && !isSilent {
		return
	}
	p.setReady(oldest, false)
	if i := slices.Index(p.subset.members, oldest); i >= 0 {
		p.removeFromSubset(i)
	}
	p.emit(Effect{Kind: Forget, Server: oldest})
}
