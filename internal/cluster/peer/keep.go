package peer

import (
	"slices"
	"time"

	"fernvane/internal/cluster/replication"
)

// Kept is for a record to be held by enough.
type Kept struct {
	seq  uint64
	done chan struct{}
	err  error
}

// Done is closed when it is, or never will be.
func (k *Kept) Done() <-chan struct{} { return k.done }

// Err tells which, once Done is closed.
func (k *Kept) Err() error { return k.err }

// Keep tells the folder of this life's journal, "" for none; with stream it is kept by others as well. Until then nothing is
// held for anybody.
func (p *Peers) Keep(dir string, stream bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.begun:
	default:
		close(p.begun)
	}
	if p.journal = dir; stream {
		now := p.now()
		p.origin = replication.NewOrigin(now, replication.Stream{Name: p.name, Up: p.table.Self().Up}, p.candidate(), p.cfg.Replicas, p.cfg.SlowAfter.D())
		p.sum = 0 // members are handed on to it
		p.after(now)
	}
}

// Copy takes in numbered records in frames, before they are written here. Those that nobody waits for go out together.
func (p *Peers) Copy(first uint64, n int, body []byte, waited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	_, out := p.origin.Add(now, n, body, waited)
	p.send(now, out)
	p.settle()
}

// Stored tells that records last here.
func (p *Peers) Stored(first uint64, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.origin.Stored(first, first+uint64(n))
}

// Wait is for a record, by its number, to be held by enough.
func (p *Peers) Wait(seq uint64) *Kept {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := &Kept{seq: seq, done: make(chan struct{})}
	p.waiters = append(p.waiters, k)
	p.settle()
	return k
}

// Stalled tells for how long records have waited for holders, or for how long there have been too few.
func (p *Peers) Stalled() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.told || p.origin == nil {
		return time.Hour
	}
	return p.origin.Stalled(p.now())
}

// settle ends what has been waited for.
func (p *Peers) settle() {
	if len(p.waiters) == 0 {
		return
	}
	kept, base := p.origin.Kept(), p.origin.Base()
	p.waiters = slices.DeleteFunc(p.waiters, func(k *Kept) bool {
		switch {
		case k.seq < kept:
		case k.seq < base:
			k.err = ErrBehind
		case p.told:
			k.err = ErrReplaced
		case p.stop:
			k.err = ErrStopped
		default:
			return false
		}
		close(k.done)
		return true
	})
}
