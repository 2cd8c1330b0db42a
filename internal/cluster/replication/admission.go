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
	h := t.streams[o.Stream]
	if h != nil && !o.FromOrigin {
		h.otherHolders[from] = true
	}
	answer := &Inventory{Stream: o.Stream, RejectReason: t.rejectReason(o.Stream, o.FromOrigin)}
	if h != nil {
		answer.Ranges = h.ranges
		if o.FromOrigin && len(o.Ranges) > 0 && answer.RejectReason == "" {
			h.followOrigin(o.Ranges)
		}
	}
	return []Outgoing{{from, answer}}
}

// followOrigin drops the records before the origin's first, which it has removed as too old or lost to damage at the start
// of its journal, and notes those between its first and last that it lacks: it has lost them.
func (h *storedStream) followOrigin(atOrigin Ranges) {
	first := atOrigin[0].From
	end := atOrigin[len(atOrigin)-1].To
	h.ranges = h.ranges.Without(Ranges{{From: 0, To: first}})
	h.lostByOrigin = Ranges{{From: first, To: end}}.Without(atOrigin)
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
	if h := t.streams[b.Stream]; h != nil && h.ranges.Contains(records.From, records.To) {
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
	h := t.streams[m.Stream]
	if h == nil || h.targets[from] == nil || !m.Ranges.isValid() {
		return
	}
	to := h.targets[from]
	to.hasAnswered = true
	to.stored = m.Ranges
	to.rejectedAt = 0
	if m.RejectReason != "" {
		t.noteReject(now, to)
	}
	if len(m.Ranges) > 0 {
		h.otherHolders[from] = true
	}
}

func (t *ReplicaTable) handleAck(now time.Duration, from string, m *Ack) {
	h := t.streams[m.Stream]
	if h == nil || m.Count <= 0 {
		return
	}
	records := m.records()
	to := h.targets[from]
	switch {
	case to != nil && m.RejectReason != "":
		t.noteReject(now, to)
	case to != nil:
		to.stored = to.stored.With(records.From, records.To)
		h.otherHolders[from] = true
	case from == m.Name: // what the origin had lost is back there
		h.lostByOrigin = h.lostByOrigin.Without(Ranges{records})
	}
}

func (t *ReplicaTable) noteReject(now time.Duration, to *target) {
	to.rejectedAt = max(now, 1) // 0 is never
	t.candidatesVersion++
}
