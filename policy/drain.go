package policy

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
)

// drain closes idle connections to servers that get no new requests, if Settings.CloseOnDrain is set.
type drain struct {
	closing      indexset.Set    // servers whose connections must be closed a second time
	lastActivity []time.Duration // by server: the drain notice, or the last outcome after it
}

func (d *drain) addServer(s int) {
	d.closing.Remove(s)
	columns.Put(s, 0, &d.lastActivity)
}

func (d *drain) clone() drain {
	return drain{closing: d.closing.Clone(), lastActivity: slices.Clone(d.lastActivity)}
}

// closeIdleConnections closes idle connections to a server that is not ready, immediately and a second time later.
func (p *Policy) closeIdleConnections(s int) {
	if p.settings.CloseOnDrain && !p.readiness.Ready(s) {
		p.emit(Effect{Kind: CloseIdle, Server: s})
		p.drain.closing.Add(s)
		p.drain.lastActivity[s] = p.now
	}
}

// repeatCloseIdle closes connections a second time after half of the drain timeout: a connect that was in progress at the
// first time has ended by then.
func (p *Policy) repeatCloseIdle() {
	for s := range p.drain.closing.All() {
		if p.now-p.drain.lastActivity[s] >= p.settings.DrainCloseTimeout/2 {
			p.drain.closing.Remove(s)
			p.emit(Effect{Kind: CloseIdle, Server: s})
		}
	}
}
