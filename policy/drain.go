package policy

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
)

// drain has idle connections closed to servers that get no new requests, where Settings.CloseOnDrain asks for it.
type drain struct {
	closing      indexset.Set    // servers whose connections are to be closed once more
	lastActivity []time.Duration // by server: the notice, or the last outcome after it
}

func (d *drain) addServer(s int) {
	d.closing.Remove(s)
	columns.Put(s, 0, &d.lastActivity)
}

func (d *drain) clone() drain {
	return drain{closing: d.closing.Clone(), lastActivity: slices.Clone(d.lastActivity)}
}

// closeIdleConnections closes idle connections to a server that is not ready, now and once more later.
func (p *Policy) closeIdleConnections(s int) {
	if p.settings.CloseOnDrain && !p.readiness.Ready(s) {
		p.emit(Effect{Kind: CloseIdle, Server: s})
		p.drain.closing.Add(s)
		p.drain.lastActivity[s] = p.now
	}
}

// closeAgain closes connections once more after half of the drain timeout: a connect that was under way at the first
// time has ended by then.
func (p *Policy) closeAgain() {
	for s := range p.drain.closing.All() {
		if p.now-p.drain.lastActivity[s] >= p.settings.DrainCloseTimeout/2 {
			p.drain.closing.Remove(s)
			p.emit(Effect{Kind: CloseIdle, Server: s})
		}
	}
}
