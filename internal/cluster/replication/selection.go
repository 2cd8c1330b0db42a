package replication

import (
	"maps"
	"slices"
	"time"
)

// SetCandidates replaces the candidates after a membership change and selects holders anew. The candidates are all
// nodes except this one.
func (o *Origin) SetCandidates(now time.Duration, candidates []Candidate) []Outgoing {
	o.candidates = rankCandidates(o.stream, candidates)
	return o.selectHolders(now, nil)
}

// WantedConnections returns the nodes to which the caller should maintain a connection.
func (o *Origin) WantedConnections() []string { return slices.Sorted(maps.Keys(o.holders)) }

// Connected records that a connection to an incarnation of a node is established. Further calls while it is open have no
// effect, unless they report another incarnation: the node was restarted and may have lost its disk, so it is offered the
// records again, even if connections to the earlier process are still open.
func (o *Origin) Connected(now time.Duration, name string, incarnation int64) []Outgoing {
	h := o.holders[name]
	if h == nil || h.isConnected && h.incarnation == incarnation {
		return nil
	}
	if h.incarnation != incarnation {
		h.incarnation = incarnation
		h.stored = nil
	}
	h.isConnected = true
	return o.advance(now, h, holderConnected, nil)
}

// Disconnected records that the last connection to a node is closed.
func (o *Origin) Disconnected(now time.Duration, name string) []Outgoing {
	if h := o.holders[name]; h != nil && h.isConnected {
		h.isConnected = false
		return o.advance(now, h, holderDisconnected, nil)
	}
	return nil
}

// selectHolders selects the required number of holders. It first considers only candidates that are neither lagging nor
// avoided; if these are too few, it considers all that have not rejected records recently.
func (o *Origin) selectHolders(now time.Duration, out []Outgoing) []Outgoing {
	current := map[string]bool{}
	for name, h := range o.holders {
		current[name] = h.isAwaitingInventory() || h.state == inSync
	}
	self := []Candidate{o.self}
	chosen := selectCandidates(o.usableCandidates(now, true), o.required, current, self)
	if len(chosen) < o.required {
		chosen = selectCandidates(o.usableCandidates(now, false), o.required, current, self)
	}
	wanted := map[string]bool{}
	for _, c := range chosen {
		wanted[c.Name] = true
		h := o.holders[c.Name]
		if h == nil {
			h = &holder{stateSince: now, inFlight: map[uint64]bool{}}
			o.holders[c.Name] = h
		}
		h.candidate = c
		if h.state == rejected {
			h.isConnected = false // so that Connected takes effect for a connection that is already open
			out = o.advance(now, h, reselected, out)
		}
	}
	o.releaseHolders(now, wanted)
	o.updateShortage(now)
	return out
}

// usableCandidates returns all candidates with IsHealthy set only for those that may be selected. Candidates that
// rejected records recently are excluded, and with isStrict also those that are lagging or avoided.
func (o *Origin) usableCandidates(now time.Duration, isStrict bool) []Candidate {
	usable := slices.Clone(o.candidates)
	for i := range usable {
		c := &usable[i]
		h := o.holders[c.Name]
		avoided := o.avoided[c.Name]
		isAvoided := avoided > 0 && now-avoided < avoidDuration
		switch {
		case h != nil && h.state == rejected:
			c.IsHealthy = c.IsHealthy && !isAvoided
		case isStrict:
			c.IsHealthy = c.IsHealthy && !isAvoided && (h == nil || h.state != lagging)
		}
	}
	return usable
}

// releaseHolders releases a holder that is not wanted in each of these cases: the wanted holders have all records, the
// holder has not replied or has rejected records for idleHolderTimeout, or it is not in sync and there are more than
// maxExtraHolders extra ones.
func (o *Origin) releaseHolders(now time.Duration, wanted map[string]bool) {
	complete := 0
	for name := range wanted {
		if h := o.holders[name]; h.state == inSync && h.acked >= o.committed && len(o.MissingAt(name)) == 0 {
			complete++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(o.holders)) {
		if wanted[name] {
			continue
		}
		h := o.holders[name]
		isUnused := h.isAwaitingInventory() || h.state == rejected
		isTimedOut := isUnused && now-h.stateSince > idleHolderTimeout
		isExtra := len(o.holders) > o.required+maxExtraHolders && h.state != inSync
		if complete >= o.required || isTimedOut || isExtra {
			delete(o.holders, name)
		}
	}
}

// updateShortage records since when fewer holders than required have been in sync.
func (o *Origin) updateShortage(now time.Duration) {
	count := 0
	for _, h := range o.holders {
		if h.state == inSync {
			count++
		}
	}
	if count >= o.required {
		o.shortageSince = noShortage
	} else if o.shortageSince < 0 {
		o.shortageSince = now
	}
}

// advance applies an event to a holder's state machine and performs the resulting action.
func (o *Origin) advance(now time.Duration, h *holder, e holderEvent, out []Outgoing) []Outgoing {
	t := holderTransitions[h.state][e]
	if t.next != h.state {
		h.state = t.next
		h.stateSince = now
	}
	switch t.do {
	case sendOffer:
		h.offeredAt = now
		out = append(out, o.offerTo(h))
	case sendQueued:
		from := max(o.firstQueued, o.committed)
		h.acked = h.stored.EndOfRange(from)
		h.next = from
		clear(h.inFlight)
		out = o.sendTo(h, out)
		o.commit()
	case selectAnother:
		o.avoided[h.candidate.Name] = max(now, 1) // 0 means that it was not avoided
		out = o.selectHolders(now, out)
	}
	o.updateShortage(now)
	return out
}

// offerTo returns an Offer to a holder with the records that are on this node's own disk.
func (o *Origin) offerTo(h *holder) Outgoing {
	return Outgoing{h.candidate.Name, &Offer{Stream: o.stream, FromOrigin: true, Ranges: o.stored}}
}
