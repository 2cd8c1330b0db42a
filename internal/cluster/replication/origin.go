package replication

import (
	"maps"
	"slices"
	"time"
)

// Times and bounds of an origin.
const (
	avoidDuration     = 5 * time.Second  // a holder that was slow, rejected or was lost is not selected, if others can be
	idleHolderTimeout = 10 * time.Second // until a holder that is no longer wanted, and has not answered or rejects, is released
	offerTimeout      = 2 * time.Second  // an offer without an answer is made again
	reviewInterval    = time.Second      // between two reviews of who holds what

	maxQueuedRecords   = 16 << 10 // that wait for holders; older ones wait on disk
	maxQueuedBytes     = 8 << 20
	maxExtraHolders    = 2         // beyond those required, while some are lagging
	maxBatchBytes      = 256 << 10 // sent at a time
	maxInFlightBatches = 64        // to one holder; further records wait in the queue
)

// notShort is the value of Origin.shortSince where there are enough holders.
const noShortage = -1

// Origin is the stream of this node's running incarnation, and decides who holds it.
type Origin struct {
	stream     Stream
	self       Candidate
	required   int           // how many other machines hold a record before it is committed
	ackTimeout time.Duration // a holder that has not acknowledged a record within it is replaced

	candidates    []Candidate // ranked
	holders       map[string]*holder
	avoided       map[string]time.Duration // when a holder was last slow, lost or rejecting
	lastReview    time.Duration
	shortageSince time.Duration // since when too few holders are in sync; notShort: there are enough

	stored      Ranges // that are written to this node's own disk, not all of them synced
	queue       []queuedRecords
	queuedBytes int
	next        uint64 // the number of the next record
	firstQueued uint64 // older records that aren't committed wait on disk for a holder
	committed   uint64 // all before this are durable at enough holders, or have left the queue before they were

	// SawLaterIncarnation is set when a holder rejects records because it knows of a later incarnation of this node.
	// Nothing reads it: a node stops when membership reports that incarnation.
	SawLaterIncarnation bool
}

// NewOrigin begins a stream. required is how many other machines hold a record before it is committed. A holder that has
// not acknowledged a record within ackTimeout is replaced.
func NewOrigin(now time.Duration, s Stream, self Candidate, required int, ackTimeout time.Duration) *Origin {
	return &Origin{
		stream:        s,
		self:          self,
		required:      required,
		ackTimeout:    ackTimeout,
		holders:       map[string]*holder{},
		avoided:       map[string]time.Duration{},
		shortageSince: now,
		next:          1,
		firstQueued:   1,
		committed:     1,
	}
}

// Stream is the origin's own.
func (o *Origin) Stream() Stream { return o.stream }

// Committed is the first record that is not committed. A record before it may have left the queue because too many waited
// (Append): it is on this node's disk, and is copied to holders from there.
func (o *Origin) Committed() uint64 { return o.committed }

// FirstQueued is the first record that may still be committed soon. An older one that is not committed waits on disk
// until it is copied to a holder.
func (o *Origin) FirstQueued() uint64 { return o.firstQueued }

// NextNumber is the number that the next record gets.
func (o *Origin) NextNumber() uint64 { return o.next }

// UncommittedCount is how many records wait to be committed.
func (o *Origin) UncommittedCount() int { return int(o.next - max(o.committed, o.firstQueued)) }

// StalledFor is how long the oldest record has waited to be committed, or how long there have been too few holders.
func (o *Origin) StalledFor(now time.Duration) (stalled time.Duration) {
	if o.shortageSince >= 0 {
		stalled = now - o.shortageSince
	}
	if i := o.firstUncommitted(); i >= 0 {
		stalled = max(stalled, now-o.queue[i].queuedAt)
	}
	return stalled
}

// RecordsStored is called when records are written to this node's own disk, and synced if someone waits for them.
func (o *Origin) RecordsStored(from, to uint64) { o.stored = o.stored.With(from, to) }

// StoredRanges are the records that are written to this node's own disk.
func (o *Origin) StoredRanges() Ranges { return o.stored }

// RecordsLost is called when records on this node's own disk were found to be damaged. Holders are notified of what is
// left, and send back what is missing between the first and the last record left. What is missing before the first looks
// to them as if it had expired: they drop it too.
func (o *Origin) RecordsLost(now time.Duration, lost Ranges) (out []Outgoing) {
	o.stored = o.stored.Without(lost)
	for _, name := range slices.Sorted(maps.Keys(o.holders)) {
		if h := o.holders[name]; h.isConnected {
			out = append(out, o.offerTo(h))
		}
	}
	return out
}

// RecordsExpired is called when records are no longer on this node's own disk because they were too old.
func (o *Origin) RecordsExpired(before uint64) {
	o.stored = o.stored.Without(Ranges{{From: 0, To: before}})
}

// HandleMessage takes in an Inventory or an Ack of a holder; others are ignored.
func (o *Origin) HandleMessage(now time.Duration, from string, message any) []Outgoing {
	h := o.holders[from]
	if h == nil {
		return nil
	}
	switch m := message.(type) {
	case *Inventory:
		return o.handleInventory(now, h, m)
	case *Ack:
		return o.handleAck(now, h, m)
	}
	return nil
}

func (o *Origin) handleInventory(now time.Duration, h *holder, m *Inventory) []Outgoing {
	if m.Stream != o.stream || !m.Ranges.isValid() {
		return nil
	}
	if m.RejectReason != "" {
		return o.handleReject(now, h, m.RejectReason)
	}
	h.stored = m.Ranges
	return o.advance(now, h, inventoryReceived, nil)
}

func (o *Origin) handleAck(now time.Duration, h *holder, m *Ack) []Outgoing {
	if m.Stream != o.stream || m.Count <= 0 || m.First >= o.next {
		return nil
	}
	if m.RejectReason != "" {
		return o.handleReject(now, h, m.RejectReason)
	}
	h.stored = h.stored.With(m.First, min(m.records().To, o.next))
	if !h.isReceiving() {
		return nil
	}
	delete(h.inFlight, m.First)
	h.acked = max(h.acked, h.stored.EndOfRange(h.acked))
	o.commit()
	out := o.sendTo(h, nil)
	if h.state == lagging && h.acked >= o.next {
		out = o.advance(now, h, caughtUp, out)
	}
	return out
}

func (o *Origin) handleReject(now time.Duration, h *holder, reason string) []Outgoing {
	h.rejectReason = reason
	if reason == ReasonLaterIncarnation {
		o.SawLaterIncarnation = true
	}
	return o.advance(now, h, recordsRejected, nil)
}

// Tick is called often. It replaces holders that are overdue and sends what is queued.
func (o *Origin) Tick(now time.Duration) (out []Outgoing) {
	uncommitted := o.firstUncommitted()
	for _, name := range slices.Sorted(maps.Keys(o.holders)) {
		h := o.holders[name]
		if h == nil || h.state == rejected { // it was released meanwhile
			continue
		}
		if o.isOverdue(now, h, uncommitted) && h.state != lagging && !o.wasAvoidedRecently(now, name) {
			out = o.advance(now, h, ackOverdue, out)
		}
		if h.state == offered && now-h.offeredAt > offerTimeout {
			h.offeredAt = now
			out = append(out, o.offerTo(h))
		}
	}
	out = o.sendToAll(out)
	if now-o.lastReview > reviewInterval {
		o.lastReview = now
		out = o.selectHolders(now, out)
	}
	return out
}

// isOverdue reports whether a holder does not answer, or the oldest uncommitted record (its index in the queue, -1 for
// none) has waited for it too long.
func (o *Origin) isOverdue(now time.Duration, h *holder, uncommitted int) bool {
	timeInState := now - h.stateSince
	if h.isAwaitingInventory() && timeInState > offerTimeout {
		return true
	}
	if uncommitted < 0 || uncommitted >= len(o.queue) {
		return false
	}
	oldest := o.queue[uncommitted]
	return now-oldest.queuedAt > o.ackTimeout && h.acked < oldest.next && timeInState > o.ackTimeout
}

// wasAvoidedRecently reports whether a holder was replaced so recently that it isn't replaced again.
func (o *Origin) wasAvoidedRecently(now time.Duration, name string) bool {
	since, ok := o.avoided[name]
	return ok && now-since <= avoidDuration
}
