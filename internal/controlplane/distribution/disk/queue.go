package disk

import (
	"maps"
	"slices"

	"fernvane/internal/controlplane/distribution"
)

// Bounds of a transaction, so that a single one does not occupy the disk for long.
const (
	maxBatchEntries = 2048
	maxBatchBytes   = 1 << 20 // names and values
)

// queue holds the pending changes, the latest one of each key. Callers hold Disk.mu.
type queue struct {
	pending     map[distribution.Key]change
	urgent      []distribution.Key // written before normal keys
	normal      []distribution.Key
	urgentAdded uint64 // number of urgent changes queued so far
	urgentTaken uint64 // number of those that were moved to a batch
	waiters     []waiter
}

// change is a pending write or removal of an entry.
type change struct {
	entry     distribution.Entry
	isRemoval bool
}

// waiter is notified once all urgent changes up to its own are in the file.
type waiter struct {
	through uint64 // value of queue.urgentAdded after its changes
	done    chan<- error
}

// batch is the content of one transaction.
type batch struct {
	keys    []distribution.Key
	changes []change
	bytes   int                 // names and values
	through uint64              // number of urgent changes in the file after this batch
	vector  distribution.Vector // nil while entries that it covers are pending
	pruned  distribution.Vector // nil leaves it unchanged
	origin  distribution.Origin // empty leaves it unchanged
	isClean bool                // whether to mark the file as clean
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
		q.normal = append(q.normal, k)
	}
	q.pending[k] = c
}

func (q *queue) putUrgent(entries []distribution.Entry, done chan<- error) {
	for _, e := range entries {
		q.urgent = append(q.urgent, e.Key)
		q.pending[e.Key] = change{entry: e}
	}
	q.urgentAdded += uint64(len(entries))
	q.waiters = append(q.waiters, waiter{q.urgentAdded, done})
}

// take moves changes to a batch until it is full.
func (q *queue) take(b *batch) {
	q.urgent = q.takeKeys(q.urgent, b)
	q.urgentTaken = q.urgentAdded - uint64(len(q.urgent))
	b.through = q.urgentTaken
	q.normal = q.takeKeys(q.normal, b)
}

// takeKeys moves the changes of keys to a batch until it is full, and returns the remaining keys. A key may be queued twice.
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

// markDrained clears the key lists after the last pending change was taken. Remaining keys are duplicates without a change.
func (q *queue) markDrained(b *batch) {
	q.urgent, q.normal = nil, nil
	q.urgentTaken, b.through = q.urgentAdded, q.urgentAdded
}

// requeueBatch queues the changes of a failed batch again, except for keys with a newer pending change.
func (q *queue) requeueBatch(b *batch) {
	for i, k := range b.keys {
		if _, hasNewer := q.pending[k]; !hasNewer {
			q.pending[k] = b.changes[i]
		}
	}
	q.requeue()
}

// requeue queues all pending changes as normal.
func (q *queue) requeue() { q.normal = slices.Collect(maps.Keys(q.pending)) }

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

// failAll notifies all waiters of a failure. Their changes remain queued as normal.
func (q *queue) failAll(cause error) {
	for _, w := range q.waiters {
		w.done <- cause
	}
	q.waiters = nil
	q.urgent, q.urgentTaken = nil, q.urgentAdded
	q.requeue()
}
