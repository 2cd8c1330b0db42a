package replication

import "time"

// HandleOffer processes a node's report of the records that it stores of a stream, and replies with this node's
// Inventory.
func (t *ReplicaTable) HandleOffer(now time.Duration, from string, o *Offer) []Outgoing {
	if o.Name == "" || !o.Ranges.isValid() {
		return nil
	}
	if o.FromOrigin {
		t.learnIncarnation(o.Name, o.Incarnation)
	}
	stored := t.streams[o.Stream]
	if stored != nil && !o.FromOrigin {
		stored.otherHolders[from] = true
	}
	inventory := &Inventory{Stream: o.Stream, RejectReason: t.rejectReason(o.Stream, o.FromOrigin)}
	if stored != nil {
		inventory.Ranges = stored.ranges
		if o.FromOrigin && len(o.Ranges) > 0 && inventory.RejectReason == "" {
			stored.applyOriginRanges(o.Ranges)
		}
	}
	return []Outgoing{{from, inventory}}
}

// learnIncarnation records an incarnation that a node reports of itself in an offer. Names of which nothing is known are ignored beyond
// maxReportedNames and if they are long, so that offers take bounded memory.
func (t *ReplicaTable) learnIncarnation(name string, incarnation int64) {
	highest, isKnown := t.highestIncarnation[name]
	if !isKnown && (len(t.highestIncarnation) >= maxReportedNames || len(name) > maxNameBytes) {
		return
	}
	t.highestIncarnation[name] = max(highest, incarnation)
}

// applyOriginRanges drops the records before the origin's first one, which the origin removed after the retention or
// lost to damage at the start of its journal. Records between its first and last that the origin lacks are recorded as
// lost.
func (stored *storedStream) applyOriginRanges(atOrigin Ranges) {
	first := atOrigin[0].From
	end := atOrigin[len(atOrigin)-1].To
	stored.ranges = stored.ranges.Without(Ranges{{From: 0, To: first}})
	stored.lostByOrigin = Ranges{{From: first, To: end}}.Without(atOrigin)
}

// rejectReason returns why records of a stream are rejected, or "" if they are admitted.
func (t *ReplicaTable) rejectReason(s Stream, fromOrigin bool) string {
	_, isKnown := t.streams[s]
	switch {
	case fromOrigin && s.Incarnation < t.highestIncarnation[s.Name]:
		return ReasonLaterIncarnation
	case t.storedBytes >= t.maxBytes || !isKnown && t.storedBytes >= t.maxBytes/10*9:
		return reasonFull
	case !isKnown && len(t.streams) >= maxStreams:
		return reasonTooManyStreams
	}
	return ""
}

// AdmitBatch reports whether a batch is to be written. If not, out contains the reply to its sender: a rejection, or an
// acknowledgement if all records of the batch are stored already. batchUnixNano is the time of the batch's last chunk.
func (t *ReplicaTable) AdmitBatch(from string, b *Batch, batchUnixNano, nowUnixNano int64) (ok bool, out []Outgoing) {
	reason := t.rejectReason(b.Stream, b.FromOrigin)
	if reason == "" && t.retention > 0 && nowUnixNano-batchUnixNano > int64(t.retention) {
		reason = reasonExpired
	}
	if reason != "" {
		return false, []Outgoing{{from, &Ack{Stream: b.Stream, First: b.First, Count: b.Count, RejectReason: reason}}}
	}
	records := b.records()
	if stored := t.streams[b.Stream]; stored != nil && stored.ranges.Contains(records.From, records.To) {
		return false, []Outgoing{{from, &Ack{Stream: b.Stream, First: b.First, Count: b.Count}}}
	}
	return true, nil
}

// HandleMessage processes an Inventory or an Ack from a node and ignores other messages.
func (t *ReplicaTable) HandleMessage(now time.Duration, from string, message any) {
	switch m := message.(type) {
	case *Inventory:
		t.handleInventory(now, from, m)
	case *Ack:
		t.handleAck(now, from, m)
	}
}

// handleInventory processes the reply to an offer, or the inventory of a node that has found damaged records.
func (t *ReplicaTable) handleInventory(now time.Duration, from string, m *Inventory) {
	stored := t.streams[m.Stream]
	if stored == nil || stored.targets[from] == nil || !m.Ranges.isValid() {
		return
	}
	dest := stored.targets[from]
	dest.hasReplied = true
	dest.stored = m.Ranges
	dest.rejectedAt = 0
	if m.RejectReason != "" {
		t.recordReject(now, dest)
	}
	if len(m.Ranges) > 0 {
		stored.otherHolders[from] = true
	}
}

func (t *ReplicaTable) handleAck(now time.Duration, from string, m *Ack) {
	stored := t.streams[m.Stream]
	if stored == nil || m.Count <= 0 {
		return
	}
	records := m.records()
	dest := stored.targets[from]
	switch {
	case dest != nil && m.RejectReason != "":
		t.recordReject(now, dest)
	case dest != nil:
		dest.stored = dest.stored.With(records.From, records.To)
		stored.otherHolders[from] = true
	case from == m.Name: // the origin has stored records again that it had lost
		stored.lostByOrigin = stored.lostByOrigin.Without(Ranges{records})
	}
}

func (t *ReplicaTable) recordReject(now time.Duration, dest *target) {
	dest.rejectedAt = max(now, 1) // 0 means that it has not rejected
	t.candidatesVersion++
}
