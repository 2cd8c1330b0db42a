package replication

import (
	"maps"
	"slices"
	"time"
)

// Times and bounds of an origin.
const (
	// avoidDuration is how long a slow or lost holder is not selected if others are available, and a rejecting holder
	// is not selected at all.
	avoidDuration     = 5 * time.Second
	idleHolderTimeout = 10 * time.Second // until a superseded holder that has not replied, or rejects records, is released
	offerTimeout      = 2 * time.Second  // until a holder that has not replied to an offer is replaced, and the offer is re-sent
	reviewInterval    = time.Second      // between two reviews of the selected holders

	maxQueuedRecords   = 16 << 10 // in memory; the oldest beyond it leave the queue and are copied from disk
	maxQueuedBytes     = 8 << 20
	maxExtraHolders    = 2         // beyond the required number; further ones that are not in sync are released
	maxBatchBytes      = 256 << 10 // of the frames in one Batch
	maxInFlightBatches = 64        // per holder; further records wait in the queue
)

// noShortage is the value of Origin.shortageSince while enough holders are in sync.
const noShortage = -1

// Origin replicates the stream of this node's running incarnation and selects its replica holders.
type Origin struct {
	stream     Stream
	self       Candidate
	required   int           // number of other machines on which a record must be durable to be committed
	ackTimeout time.Duration // after which a holder that has not acknowledged a record is replaced

	candidates    []Candidate // in ranked order
	holders       map[string]*holder
	avoided       map[string]time.Duration // when a holder was last slow, lost or rejecting
	lastReview    time.Duration
	shortageSince time.Duration // when fewer holders than required became in sync; noShortage if enough are

	stored      Ranges // written to this node's own disk, not necessarily synced
	queue       []queuedRecords
	queuedBytes int
	next        uint64 // number of the next record
	firstQueued uint64 // number of the first queued record; older uncommitted records are copied from disk
	committed   uint64 // all records before this are durable at enough holders, or overflowed the queue before they were

	// SawLaterIncarnation is set when a holder rejects records because a later incarnation of this node was reported to
	// it. The field is informational and not read: a node stops when membership reports that incarnation.
	SawLaterIncarnation bool
}

// NewOrigin returns an origin with an empty stream. required is the number of other machines on which a record must be
// durable to be committed. A holder that has not acknowledged a record within ackTimeout is replaced.
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

// Stream returns the stream that the origin replicates.
func (o *Origin) Stream() Stream { return o.stream }

// Committed returns the number of the first uncommitted record. An earlier record may also have overflowed the queue
// (Append): such a record is on this node's disk and is copied to holders from there.
func (o *Origin) Committed() uint64 { return o.committed }

// FirstQueued returns the number of the first record that is sent to holders from memory. Older uncommitted records are
// copied to holders from disk.
func (o *Origin) FirstQueued() uint64 { return o.firstQueued }

// NextNumber returns the number of the next record.
func (o *Origin) NextNumber() uint64 { return o.next }

// UncommittedCount returns the number of queued records that are not committed.
func (o *Origin) UncommittedCount() int { return int(o.next - max(o.committed, o.firstQueued)) }

// StalledFor returns how long the oldest uncommitted record has been queued, or how long too few holders have been in
// sync, whichever is longer.
func (o *Origin) StalledFor(now time.Duration) (stalled time.Duration) {
	if o.shortageSince >= 0 {
		stalled = now - o.shortageSince
	}
	if i := o.firstUncommitted(); i >= 0 {
		stalled = max(stalled, now-o.queue[i].queuedAt)
	}
	return stalled
}

// RecordsStored records that a range was written to this node's own disk, and synced if a commit of it is awaited.
func (o *Origin) RecordsStored(from, to uint64) { o.stored = o.stored.With(from, to) }

// StoredRanges returns the records that are written to this node's own disk.
func (o *Origin) StoredRanges() Ranges { return o.stored }

// RecordsLost removes records that were found damaged on this node's own disk, and offers the remaining ones to the
// holders. The holders send back the records that are missing between the first and the last remaining one. They cannot
// distinguish records that are missing before the first from expired ones, so they drop those too.
func (o *Origin) RecordsLost(now time.Duration, lost Ranges) (out []Outgoing) {
	o.stored = o.stored.Without(lost)
	for _, name := range slices.Sorted(maps.Keys(o.holders)) {
		if h := o.holders[name]; h.isConnected {
			out = append(out, o.offerTo(h))
		}
	}
	return out
}

// RecordsExpired records that all records before a number were removed from this node's own disk after the retention.
func (o *Origin) RecordsExpired(before uint64) {
	o.stored = o.stored.Without(Ranges{{From: 0, To: before}})
}

// HandleMessage processes an Inventory or an Ack from a holder and ignores other messages.
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

// Tick replaces overdue holders, re-sends offers and returns the queued records to send.
func (o *Origin) Tick(now time.Duration) (out []Outgoing) {
	uncommitted := o.firstUncommitted()
	for _, name := range slices.Sorted(maps.Keys(o.holders)) {
		h := o.holders[name]
		if h == nil || h.state == rejected { // nil: released by an earlier iteration
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

// isOverdue reports whether a holder has not replied in time, or has not acknowledged the oldest uncommitted record
// within ackTimeout. uncommitted is that record's index in the queue, -1 for none.
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

// wasAvoidedRecently reports whether a holder was replaced within avoidDuration, so that it is not replaced again.
func (o *Origin) wasAvoidedRecently(now time.Duration, name string) bool {
	since, ok := o.avoided[name]
	return ok && now-since <= avoidDuration
}
