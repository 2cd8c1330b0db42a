package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replication"
)

type early struct {
	from  string
	offer *replication.Offer
}

type try struct {
	at   time.Duration
	wait time.Duration
}

// seek keeps on asking at an address of the file while no node is known there.
func (p *Node) seek(ctx context.Context, at string) {
	for wait := redialFirst; ctx.Err() == nil; wait = min(2*wait, redialMost) {
		p.mu.Lock()
		known := at == p.cfg.Advertise
		for name, all := range p.links {
			m, _ := p.table.Get(name)
			known = known || len(all) > 0 && m.Address == at && m.Condition.IsLive()
		}
		p.mu.Unlock()
		if !known {
			p.call(ctx, at)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration((0.75 + rand.Float64()/2) * float64(wait))):
		}
	}
}

// call leads a connection to an address.
func (p *Node) call(ctx context.Context, at string) {
	c, who, err := dial(ctx, p.cfg, p.cfg.ListenAddress.Addr(), at, p.name, p.self())
	if err == nil {
		defer context.AfterFunc(ctx, func() { c.Close() })()
		err = p.lead(ctx, newLink(c, who.Member.Name, true), who.Member)
	}
	if ctx.Err() == nil {
		p.log.Debug().Err(err).Str("at", at).Msg("peer lost")
	}
}

// met takes in a connection; l is nil for one that is not kept.
func (p *Node) met(l *link, who membership.Member, keep *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if keep != nil {
		p.links[l.name] = append(p.links[l.name], l)
		l.used = now
		p.table.Connected(now, l.name)
		for _, what := range p.letters[l.name] {
			l.put(what)
		}
		delete(p.letters, l.name)
		delete(p.tries, l.name)
	}
	p.table.MergeMembers(now, l.name, []membership.Member{who})
	if who.Name == p.name {
		l.put(&membership.Update{Members: []membership.Member{p.table.Self()}})
	}
	p.after(now)
}

// lost lets go of a connection.
func (p *Node) lost(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.links[l.name] = slices.DeleteFunc(p.links[l.name], func(o *link) bool { return o == l })
	if len(p.links[l.name]) > 0 {
		return
	}
	delete(p.links, l.name)
	p.table.Disconnected(l.name)
	if p.origin != nil {
		p.send(now, p.origin.Disconnected(now, l.name))
	}
	p.after(now)
}

// send puts words on their connections. For one without, a connection is wanted, and the word waits for it.
func (p *Node) send(now time.Duration, out []membership.Outgoing) {
	for _, o := range out {
		if all := p.links[o.To]; len(all) > 0 {
			all[len(all)-1].put(o.Message)
			continue
		}
		if m, ok := p.table.Get(o.To); !ok || !m.Condition.IsLive() {
			continue
		}
		p.wants[o.To] = now + wantFor
		if _, part := o.Message.(*replication.Batch); !part && len(p.letters[o.To]) < 8 {
			p.letters[o.To] = append(p.letters[o.To], o.Message)
		}
	}
}

// look notes which connections are wanted, and ends those that have not been for a while.
func (p *Node) look(now time.Duration) {
	wanted := p.table.Watched()
	if p.origin != nil {
		wanted = append(wanted, p.origin.WantedConnections()...)
	}
	if p.ready {
		wanted = append(wanted, p.keeper.WantedConnections()...)
	}
	if knock := p.table.ReconnectCandidate(now); knock != "" {
		wanted = append(wanted, knock)
	}
	for _, name := range wanted {
		p.wants[name] = max(p.wants[name], now+2*lookEvery)
	}
	for name, all := range p.links {
		for _, l := range all {
			if _, ok := p.wants[name]; ok || !l.dialed {
				l.used = now
			} else if now-l.used > unwantedFor {
				go l.end()
			}
		}
	}
}
