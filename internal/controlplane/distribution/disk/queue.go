package disk

import (
	"maps"
	"slices"

	"fernvane/internal/controlplane/distribution"
)

// Bounds of a transaction, so that none occupies the disk for long.
const (
	maxBatchEntries = 2048
	maxBatchBytes   = 1 << 20 // of names and values
)

// queue is the changes that wait to be written, the last one of each key. Disk.mu is held around its methods.
type queue struct {
	pending map[distribution.Key]change
	urgent  []distribution.Key // written ahead of others
	others  []distribution.Key
	added   uint64 // urgent changes so far
	taken   uint64 // of them, those that are no longer in urgent
	waiters []waiter
}

// change is what an entry becomes.
type change struct {
	entry     distribution.Entry
	isRemoval bool
}

// waiter is notified when all urgent changes up to its own are in the file.
type waiter struct {
	through uint64 // of the changes counted by queue.added
	done    chan<- error
}

// batch is what one transaction writes.
type batch struct {
	keys    []distribution.Key
	changes []change
	bytes   int                 // of names and values
	through uint64              // of the urgent changes, those that are in the file with this batch
	vector  distribution.Vector // nil while entries that it covers wait
	pruned  distribution.Vector // nil: as it was
	origin  distribution.Origin // empty: as it was
	isClean bool                // marks the file as clean
}

func (b *batch) isEmpty() bool {
	return len(b.keys) == 0 && b.vector == nil && b.pruned == nil && b.origin == ""
}

func (b *batch) isFull() bool { return len(b.keys) >= maxBatchEntries || b.bytes >= maxBatchBytes }

func (b *batch) add(k distribution.Key, c change) {
	b.keys = append(b.keys, k)
	b.changes = append(b.changes, c)
	b.bytes += len(k.Service) + len(k.Name) + len(c.entry.Value)
}

func (q *queue) put(k distribution.Key, c change) {
	if _, isQueued := q.pending[k]; !isQueued {
		q.others = append(q.others, k)
	}
	q.pending[k] = c
}

func (q *queue) putUrgent(entries []distribution.Entry, done chan<- error) {
	for _, e := range entries {
		q.urgent = append(q.urgent, e.Key)
		q.pending[e.Key] = change{entry: e}
	}
	q.added += uint64(len(entries))
	q.waiters = append(q.waiters, waiter{q.added, done})
}

// take moves changes to a batch until it is full.
func (q *queue) take(b *batch) {
	q.urgent = q.takeKeys(q.urgent, b)
	q.taken = q.added - uint64(len(q.urgent))
	b.through = q.taken
	q.others = q.takeKeys(q.others, b)
}

// takeKeys moves the changes of keys to a batch and returns the keys that are left. A key may be queued twice.
func (q *queue) takeKeys(keys []distribution.Key, b *batch) []distribution.Key {
	for len(keys) > 0 && !b.isFull() {
		k := keys[0]
		keys = keys[1:]
		if c, ok := q.pending[k]; ok {
			delete(q.pending, k)
			b.add(k, c)
		}
	}
	return keys
}

// takeLast ends the taking of everything that waited: keys that are left have nothing pending.
func (q *queue) takeLast(b *batch) {
	q.urgent, q.others = nil, nil
	q.taken, b.through = q.added, q.added
}

// giveBack has a batch that failed wait again, except where a newer change waits.
func (q *queue) giveBack(b *batch) {
	for i, k := range b.keys {
		if _, hasNewer := q.pending[k]; !hasNewer {
			q.pending[k] = b.changes[i]
		}
	}
	q.requeue()
}

// requeue queues all pending changes as not urgent.
func (q *queue) requeue() { q.others = slices.Collect(maps.Keys(q.pending)) }

// confirm notifies the waiters whose changes are in the file.
func (q *queue) confirm(through uint64) {
	remaining := q.waiters[:0]
	for _, w := range q.waiters {
		if w.through <= through {
			w.done <- nil
		} else {
			remaining = append(remaining, w)
		}
	}
	q.waiters = remaining
}

// failAll notifies all waiters why their changes are not in the file. Nothing is urgent any more.
func (q *queue) failAll(why error) {
	for _, w := range q.waiters {
		w.done <- why
	}
	q.waiters = nil
	q.urgent, q.taken = nil, q.added
	q.requeue()
}
