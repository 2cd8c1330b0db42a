package peer

import (
	"slices"
	"time"

	"fernvane/internal/cluster/replication"
)

// Commit is for a record to be held by enough.
type Commit struct {
	seq  uint64
	done chan struct{}
	err  error
}

// Done is closed when it is, or never will be.
func (k *Commit) Done() <-chan struct{} { return k.done }

// Err tells which, once Done is closed.
func (k *Commit) Err() error { return k.err }

// StartJournal tells the folder of this life's journal, "" for none; with stream it is kept by others as well. Until then nothing is
// held for anybody.
func (p *Node) StartJournal(dir string, stream bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.begun:
	default:
		close(p.begun)
	}
	if p.journal = dir; stream {
		now := p.now()
		p.origin = replication.NewOrigin(now, replication.Stream{Name: p.name, Incarnation: p.table.Self().Incarnation}, p.candidate(), p.cfg.Replicas, p.cfg.SlowAfter.Std())
		p.sum = 0 // members are handed on to it
		p.after(now)
	}
}

// ReplicateChunk takes in numbered records in frames, before they are written here. Those that nobody waits for go out together.
func (p *Node) ReplicateChunk(first uint64, n int, body []byte, waited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	_, out := p.origin.Append(now, n, body, waited)
	p.send(now, out)
	p.settle()
}

// RecordsStored tells that records last here.
func (p *Node) RecordsStored(first uint64, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.origin.RecordsStored(first, first+uint64(n))
}

// CommitOf is for a record, by its number, to be held by enough.
func (p *Node) CommitOf(seq uint64) *Commit {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := &Commit{seq: seq, done: make(chan struct{})}
	p.waiters = append(p.waiters, k)
	p.settle()
	return k
}

// StalledFor tells for how long records have waited for holders, or for how long there have been too few.
func (p *Node) StalledFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.told || p.origin == nil {
		return time.Hour
	}
	return p.origin.StalledFor(p.now())
}

// settle ends what has been waited for.
func (p *Node) settle() {
	if len(p.waiters) == 0 {
		return
	}
	kept, base := p.origin.Committed(), p.origin.FirstQueued()
	p.waiters = slices.DeleteFunc(p.waiters, func(k *Commit) bool {
		switch {
		case k.seq < kept:
		case k.seq < base:
			k.err = ErrQueueOverflow
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
