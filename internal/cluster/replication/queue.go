package replication

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// queuedRecords is a chunk of consecutive records that are queued for the holders.
type queuedRecords struct {
	first    uint64
	next     uint64 // number after the last record
	queuedAt time.Duration
	frames   []byte
}

// Append assigns numbers to count records and queues them in the encoding of the journal. If isAwaited is set they are
// sent immediately, else by the next Tick. It returns the number of the first record. If the queue exceeds its bounds,
// the oldest records leave it and are copied to holders from disk instead.
func (o *Origin) Append(now time.Duration, count int, frames []byte, isAwaited bool) (first uint64, out []Outgoing) {
	first = o.next
	o.next += uint64(count)
	o.queue = append(o.queue, queuedRecords{first: first, next: o.next, queuedAt: now, frames: frames})
	o.queuedBytes += len(frames)
	for len(o.queue) > 1 && (o.next-o.queue[0].first > maxQueuedRecords || o.queuedBytes > maxQueuedBytes) {
		o.firstQueued = o.queue[0].next
		o.dequeue()
	}
	if isAwaited {
		out = o.sendToAll(out)
	}
	return first, out
}

// dequeue removes the oldest chunk from the queue.
func (o *Origin) dequeue() {
	o.queuedBytes -= len(o.queue[0].frames)
	o.queue[0].frames = nil
	o.queue = o.queue[1:]
}

// firstUncommitted returns the index of the oldest queued chunk that is not committed, -1 for none.
func (o *Origin) firstUncommitted() int {
	return slices.IndexFunc(o.queue, func(q queuedRecords) bool { return q.next > o.committed })
}

func (o *Origin) sendToAll(out []Outgoing) []Outgoing {
	for _, name := range slices.Sorted(maps.Keys(o.holders)) {
		out = o.sendTo(o.holders[name], out)
	}
	return out
}

// sendTo appends batches with the queued records that a holder has not been sent.
func (o *Origin) sendTo(h *holder, out []Outgoing) []Outgoing {
	if !h.isReceiving() {
		return out
	}
	h.next = max(h.next, o.firstQueued)
	h.acked = max(h.acked, o.firstQueued)
	i, _ := slices.BinarySearchFunc(o.queue, h.next, func(q queuedRecords, n uint64) int { return cmp.Compare(q.first, n) })
	if i > 0 && o.queue[i-1].next > h.next { // the holder has a part of this chunk; storing records twice is harmless
		i--
	}
	for i < len(o.queue) && len(h.inFlight) < maxInFlightBatches {
		b := &Batch{Stream: o.stream, First: o.queue[i].first, FromOrigin: true, Frames: o.queue[i].frames}
		end := o.queue[i].next
		for i++; i < len(o.queue) && len(b.Frames)+len(o.queue[i].frames) <= maxBatchBytes; i++ {
			b.Frames = append(b.Frames[:len(b.Frames):len(b.Frames)], o.queue[i].frames...)
			end = o.queue[i].next
		}
		b.Count = int(end - b.First)
		out = append(out, Outgoing{h.candidate.Name, b})
		h.next = end
		h.inFlight[b.First] = true
	}
	return out
}

// commit advances committed to the highest number before which enough machines have acknowledged all records that did
// not overflow the queue. It then removes chunks from the queue that are committed and were sent to all holders that
// receive new records.
func (o *Origin) commit() {
	ackedByMachine := map[string]uint64{}
	for _, h := range o.holders {
		if h.isReceiving() {
			ackedByMachine[h.candidate.Machine] = max(ackedByMachine[h.candidate.Machine], h.acked)
		}
	}
	if len(ackedByMachine) < o.required {
		return
	}
	acked := slices.Sorted(maps.Values(ackedByMachine))
	o.committed = max(o.committed, acked[len(acked)-o.required])
	for len(o.queue) > 0 && o.queue[0].next <= o.committed && o.isSentToAll(o.queue[0].next) {
		o.firstQueued = max(o.firstQueued, o.queue[0].next)
		o.dequeue()
	}
}

// isSentToAll reports whether all receiving holders have been sent all records before next.
func (o *Origin) isSentToAll(next uint64) bool {
	for _, h := range o.holders {
		if h.isReceiving() && h.next < next {
			return false
		}
	}
	return true
}

// MissingAt returns the records on this node's own disk that a holder lacks and that are to be copied to it.
func (o *Origin) MissingAt(name string) Ranges {
	h := o.holders[name]
	if h == nil || h.state != inSync {
		return nil
	}
	return o.missingAt(h)
}

// missingAt excludes queued records, which are sent from memory.
func (o *Origin) missingAt(h *holder) Ranges {
	queued := Range{From: o.firstQueued, To: max(o.next, o.firstQueued)}
	return o.stored.Without(h.stored).Without(Ranges{queued})
}
