package replication

import (
	"maps"
	"slices"
	"time"
)

// SetCandidates tells which nodes there are, without this one.
func (o *Origin) SetCandidates(now time.Duration, candidates []Candidate) []Outgoing {
	o.candidates = rank(o.stream.Name, candidates)
	return o.choose(now, nil)
}

// choose sees to it that enough holders are called: first of those that nothing speaks against, then, where these are too
// few, of all that do not refuse.
func (o *Origin) choose(now time.Duration, out []Outgoing) []Outgoing {
	kept := map[string]bool{}
	fits := func(strict bool) []Candidate {
		usable := slices.Clone(o.candidates)
		for i := range usable {
			h, bad := o.holders[usable[i].Name], o.bad[usable[i].Name]
			lately := bad > 0 && now-bad < avoidFor
			kept[usable[i].Name] = h != nil && h.state <= level
			switch {
			case h != nil && h.state == refused:
				usable[i].IsHealthy = usable[i].IsHealthy && !lately
			case strict:
				usable[i].IsHealthy = usable[i].IsHealthy && !lately && (h == nil || h.state != late)
			}
		}
		return usable
	}
	chosen := choose(fits(true), o.need, kept, []Candidate{o.self})
	if len(chosen) < o.need {
		chosen = choose(fits(false), o.need, kept, []Candidate{o.self})
	}
	wanted := map[string]bool{}
	for _, p := range chosen {
		wanted[p.Name] = true
		h := o.holders[p.Name]
		if h == nil {
			h = &holder{since: now, out: map[uint64]bool{}}
			o.holders[p.Name] = h
		}
		h.candidate = p
		if h.state == refused {
			h.connected = false // a connection that stands is told of anew
			out = o.moves(now, h, recalled, out)
		}
	}
	o.release(now, wanted)
	o.tally(now)
	return out
}

// release lets go of holders that are not wanted: when those that are have all there is, or when there are too many.
func (o *Origin) release(now time.Duration, wanted map[string]bool) {
	whole := 0
	for name := range wanted {
		if h := o.holders[name]; h.state == level && h.acked >= o.kept && len(o.MissingAt(name)) == 0 {
			whole++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(o.holders)) {
		h := o.holders[name]
		idle := h.state <= offered || h.state == refused
		if !wanted[name] && (whole >= o.need || idle && now-h.since > settleFor || len(o.holders) > o.need+extraMost && h.state != level) {
			delete(o.holders, name)
		}
	}
}

// tally notes since when too few are sent what comes.
func (o *Origin) tally(now time.Duration) {
	n := 0
	for _, h := range o.holders {
		if h.state == level {
			n++
		}
	}
	if n >= o.need {
		o.short = -1
	} else if o.short < 0 {
		o.short = now
	}
}

// moves leads a holder on by an event.
func (o *Origin) moves(now time.Duration, h *holder, e event, out []Outgoing) []Outgoing {
	move := transitions[h.state][e]
	if move.next != h.state {
		h.state, h.since = move.next, now
	}
	switch move.do {
	case offer:
		h.offered = now
		out = append(out, Outgoing{h.candidate.Name, &Offer{Stream: o.stream, FromOrigin: true, Ranges: o.ranges}})
	case send:
		h.acked = h.ranges.EndOfRange(max(o.base, o.kept))
		h.next = max(o.base, o.kept)
		clear(h.out)
		out = o.feed(h, out)
		o.count()
	case other:
		o.bad[h.candidate.Name] = max(now, 1)
		out = o.choose(now, out)
	}
	o.tally(now)
	return out
}

// Connected tells that a connection to a node stands.
func (o *Origin) Connected(now time.Duration, name string) []Outgoing {
	if h := o.holders[name]; h != nil && !h.connected {
		h.connected = true
		return o.moves(now, h, connected, nil)
	}
	return nil
}

// Disconnected tells that none does any more.
func (o *Origin) Disconnected(now time.Duration, name string) []Outgoing {
	if h := o.holders[name]; h != nil && h.connected {
		h.connected = false
		return o.moves(now, h, disconnected, nil)
	}
	return nil
}

func (o *Origin) turned(now time.Duration, h *holder, why string) []Outgoing {
	h.refusal = why
	if why == ReasonLaterIncarnation {
		o.SawLaterIncarnation = true
	}
	return o.moves(now, h, turned, nil)
}

// everywhere tells whether all holders that are sent what comes have been sent all before a record.
func (o *Origin) everywhere(next uint64) bool {
	for _, h := range o.holders {
		if (h.state == level || h.state == late) && h.next < next {
			return false
		}
	}
	return true
}

// WantedConnections are the nodes to which a connection is to be kept.
func (o *Origin) WantedConnections() []string { return slices.Sorted(maps.Keys(o.holders)) }
