package policy

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
)

const (
	maxSuspicion      = 3                // each level halves a server's turns
	unlistedRetention = 60 * time.Second // without a success, after which an unlisted server is removed
)

// suspicion holds the levels of suspicion of servers that the endpoint list omits without a drain notice. If
// Settings.UnlistedUsable is set, these servers stay in use, with fewer turns, because a list may be wrong, outdated
// or truncated.
type suspicion struct {
	level      []int           // 0 to maxSuspicion
	lastSeenAt []time.Duration // when the list omitted the server, or its last success since then
	maxListed  int             // largest number of servers listed at a time since the start
}

func (x *suspicion) addServer(s int) {
	columns.Put(s, 0, &x.level)
	columns.Put(s, 0, &x.lastSeenAt)
}

func (x *suspicion) clone() suspicion {
	c := *x
	c.level, c.lastSeenAt = slices.Clone(x.level), slices.Clone(x.lastSeenAt)
	return c
}

func (x *suspicion) raise(s int) { x.level[s] = min(x.level[s]+1, maxSuspicion) }

// lower reduces the suspicion of a server after a success.
func (x *suspicion) lower(s int, now time.Duration) {
	x.level[s], x.lastSeenAt[s] = max(x.level[s]-1, 0), now
}

// handleUnlisted applies the omission of a ready server from a list. If Settings.UnlistedUsable is set, the server stays
// ready under suspicion, otherwise it gets no new requests. wasListed means that the previous list contained it.
func (p *Policy) handleUnlisted(s int, wasListed bool) {
	p.setReady(s, p.settings.UnlistedUsable)
	if !p.readiness.Ready(s) {
		return
	}
	if wasListed {
		p.suspicion.raise(s)
		p.suspicion.lastSeenAt[s] = p.now
	}
	p.emit(Effect{Kind: RetainServer, Server: s})
}

// removeSilentServer removes the unlisted server with the longest time since its last success, if that time exceeds
// unlistedRetention or more unlisted servers are in use than were ever listed, which bounds their number. The server is
// not removed while an attempt is in flight there.
func (p *Policy) removeSilentServer() {
	unlisted, oldest := p.readiness.ReadyUnlisted(), -1
	for s := range unlisted.All() {
		if oldest < 0 || p.suspicion.lastSeenAt[s] < p.suspicion.lastSeenAt[oldest] {
			oldest = s
		}
	}
	if oldest < 0 || p.load.inFlight[oldest] > 0 {
		return
	}
	isSilent := p.now-p.suspicion.lastSeenAt[oldest] > unlistedRetention
	if unlisted.Len() <= p.suspicion.maxListed && !isSilent {
		return
	}
	p.setReady(oldest, false)
	if i := slices.Index(p.subset.members, oldest); i >= 0 {
		p.removeFromSubset(i)
	}
	p.emit(Effect{Kind: RemoveServer, Server: oldest})
}
