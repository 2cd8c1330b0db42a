package replication

import "time"

// HandleOffer answers a node that reports what it has of a stream.
func (t *ReplicaTable) HandleOffer(now time.Duration, from string, o *Offer) []Outgoing {
	if o.Name == "" || !o.Ranges.isValid() {
		return nil
	}
	if o.FromOrigin {
		t.highestIncarnation[o.Name] = max(t.highestIncarnation[o.Name], o.Incarnation)
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

// followOrigin drops the records before the origin's first, which it has removed as too old or lost to damage at the start
// of its journal, and notes those between its first and last that it lacks: it has lost them.
func (stored *storedStream) applyOriginRanges(atOrigin Ranges) {
	first := atOrigin[0].From
	end := atOrigin[len(atOrigin)-1].To
	stored.ranges = stored.ranges.Without(Ranges{{From: 0, To: first}})
	stored.lostByOrigin = Ranges{{From: first, To: end}}.Without(atOrigin)
}

// rejectReason is why records of a stream are not taken; "" where they are.
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

// AdmitBatch reports whether a batch is to be written; if not, out answers its sender. batchUnixNano is the time of the
// batch's last record.
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

// HandleMessage takes in an Inventory or an Ack of a node; others are ignored.
func (t *ReplicaTable) HandleMessage(now time.Duration, from string, message any) {
	switch m := message.(type) {
	case *Inventory:
		t.handleInventory(now, from, m)
	case *Ack:
		t.handleAck(now, from, m)
	}
}

// handleInventory takes in the answer to an offer, or an inventory of a node that has found records damaged.
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
	case from == m.Name: // what the origin had lost is back there
		stored.lostByOrigin = stored.lostByOrigin.Without(Ranges{records})
	}
}

func (t *ReplicaTable) recordReject(now time.Duration, dest *target) {
	dest.rejectedAt = max(now, 1) // 0 is never
	t.candidatesVersion++
}
