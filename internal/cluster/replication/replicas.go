// Package replication decides where what a node keeps is copied to, and when an entry counts as kept. It is free of I/O:
// whoever runs it has records written and sent, and hands in what came back.
//
// What one life of a node keeps is a stream of numbered records. Its origin sends each record to a few holders, one after
// the other without waiting, and a record counts as kept when so many holders on other machines have said that it lasts
// there. A holder that is silent, late or full is passed over at once for the next; what the new one lacks is copied to it
// from disk, beside the serving. When the origin is gone the holders see to it that there are enough again.
//
// (A second copy of an operation is another thing; what is held elsewhere is called a replica throughout.)
package replication

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times and bounds.
const (
	avoidFor    = 5 * time.Second  // a holder that was late, refused or was lost is not chosen anew for so long, if others are there
	settleFor   = 10 * time.Second // until one that never came to be needed is let go of
	offerAgain  = 2 * time.Second  // an offer without an answer is made again
	queueMost   = 16 << 10         // records that wait for holders; older ones wait on disk
	queueBytes  = 8 << 20          // of them
	extraMost   = 2                // holders beyond those needed, while some are late
	batchBytes  = 256 << 10        // sent at a time
	waitingMost = 64               // batches on their way to one holder; more wait here
)

// Outgoing is something to send.
type Outgoing = struct {
	To      string
	Message any
}

type waiting struct {
	first uint64
	next  uint64
	at    time.Duration
	body  []byte
}

// Origin is the running life's own stream.
type Origin struct {
	stream     Stream
	self       Candidate
	need       int
	slow       time.Duration // a record that waits longer for a holder has another one taken
	candidates []Candidate
	holders    map[string]*holder
	ranges     Ranges // that last on this node's own disk
	queue      []waiting
	bytes      int
	next       uint64                   // the number of the next record
	base       uint64                   // the first that is not waited for on disk alone
	kept       uint64                   // all before this are kept at enough holders
	chosen     time.Duration            // when holders were last looked over
	bad        map[string]time.Duration // when a holder was last late, lost or refusing
	short      time.Duration            // since when too few holders are sent what comes; -1: there are enough
	// Later is set when a holder knows of a later life of this name.
	SawLaterIncarnation bool
}

// NewOrigin begins a stream. need is how many other machines have to hold a record until it is kept.
func NewOrigin(now time.Duration, s Stream, self Candidate, need int, slow time.Duration) *Origin {
	return &Origin{short: now, stream: s, self: self, need: need, slow: slow, holders: map[string]*holder{}, bad: map[string]time.Duration{}, next: 1, base: 1, kept: 1}
}

// Stream that it is.
func (o *Origin) Stream() Stream { return o.stream }

// Committed is the record up to and without which all are held by enough.
func (o *Origin) Committed() uint64 { return o.kept }

// FirstQueued is the first record that is still waited for: what is older and not kept waits on disk for a holder.
func (o *Origin) FirstQueued() uint64 { return o.base }

// NextNumber is the number that the next record gets.
func (o *Origin) NextNumber() uint64 { return o.next }

// UncommittedCount are the records that are not kept.
func (o *Origin) UncommittedCount() int { return int(o.next - max(o.kept, o.base)) }

// StalledFor tells for how long the oldest record has waited to be kept, or for how long there have been too few holders.
func (o *Origin) StalledFor(now time.Duration) (stalled time.Duration) {
	if o.short >= 0 {
		stalled = now - o.short
	}
	if i := o.oldest(); i >= 0 {
		stalled = max(stalled, now-o.queue[i].at)
	}
	return stalled
}

// oldest is the first that is not kept; -1 for none.
func (o *Origin) oldest() int {
	return slices.IndexFunc(o.queue, func(w waiting) bool { return w.next > o.kept })
}

// Append numbers records and has them sent, at once if somebody waits for them. They are in frames as they go to disk.
func (o *Origin) Append(now time.Duration, n int, body []byte, waited bool) (first uint64, out []Outgoing) {
	first = o.next
	o.next += uint64(n)
	o.queue = append(o.queue, waiting{first, o.next, now, body})
	o.bytes += len(body)
	for len(o.queue) > 1 && (o.next-o.queue[0].first > queueMost || o.bytes > queueBytes) {
		o.drop()
	}
	if waited {
		out = o.feedAll(out)
	}
	return first, out
}

func (o *Origin) feedAll(out []Outgoing) []Outgoing {
	for _, name := range slices.Sorted(maps.Keys(o.holders)) {
		out = o.feed(o.holders[name], out)
	}
	return out
}

// drop lets go of the oldest that waits: it stands on disk, and goes to holders from there.
func (o *Origin) drop() {
	o.base = o.queue[0].next
	o.bytes -= len(o.queue[0].body)
	o.queue[0].body = nil
	o.queue = o.queue[1:]
}

// feed sends a holder what it has not been sent.
func (o *Origin) feed(h *holder, out []Outgoing) []Outgoing {
	if h.state != level && h.state != late {
		return out
	}
	h.next = max(h.next, o.base)
	h.acked = max(h.acked, o.base)
	i, _ := slices.BinarySearchFunc(o.queue, h.next, func(w waiting, n uint64) int { return cmp.Compare(w.first, n) })
	if i > 0 && o.queue[i-1].next > h.next { // it has a part of one: what comes twice changes nothing
		i--
	}
	for i < len(o.queue) && len(h.out) < waitingMost {
		b := &Batch{Stream: o.stream, First: o.queue[i].first, FromOrigin: true, Frames: o.queue[i].body}
		end := o.queue[i].next
		for i++; i < len(o.queue) && len(b.Frames)+len(o.queue[i].body) <= batchBytes; i++ {
			b.Frames = append(b.Frames[:len(b.Frames):len(b.Frames)], o.queue[i].body...)
			end = o.queue[i].next
		}
		b.Count = int(end - b.First)
		out = append(out, Outgoing{h.candidate.Name, b})
		h.next = end
		h.out[b.First] = true
	}
	return out
}

// RecordsStored tells that records last on this node's own disk.
func (o *Origin) RecordsStored(from, to uint64) { o.ranges = o.ranges.With(from, to) }

// StoredRanges are the records that last on this node's own disk.
func (o *Origin) StoredRanges() Ranges { return o.ranges }

// RecordsLost tells that records were found to be damaged here: holders are told what is left, and send what lacks.
func (o *Origin) RecordsLost(now time.Duration, lost Ranges) (out []Outgoing) {
	o.ranges = o.ranges.Without(lost)
	for _, name := range slices.Sorted(maps.Keys(o.holders)) {
		if h := o.holders[name]; h.connected {
			out = append(out, Outgoing{name, &Offer{Stream: o.stream, FromOrigin: true, Ranges: o.ranges}})
		}
	}
	return out
}

// RecordsExpired tells that records are no longer on it, as when a segment became too old.
func (o *Origin) RecordsExpired(before uint64) {
	o.ranges = o.ranges.Without(Ranges{{From: 0, To: before}})
}

// HandleMessage takes in what a holder says.
func (o *Origin) HandleMessage(now time.Duration, from string, what any) []Outgoing {
	h := o.holders[from]
	if h == nil {
		return nil
	}
	switch w := what.(type) {
	case *Inventory:
		if w.Stream != o.stream || !w.Ranges.sound() {
			return nil
		}
		if w.RejectReason != "" {
			return o.turned(now, h, w.RejectReason)
		}
		h.ranges = w.Ranges
		return o.moves(now, h, answered, nil)
	case *Ack:
		if w.Stream != o.stream || w.Count <= 0 || w.First >= o.next {
			return nil
		}
		if w.RejectReason != "" {
			return o.turned(now, h, w.RejectReason)
		}
		to := min(w.First+uint64(w.Count), o.next)
		h.ranges = h.ranges.With(w.First, to)
		if h.state != level && h.state != late {
			return nil
		}
		delete(h.out, w.First)
		h.acked = max(h.acked, h.ranges.EndOfRange(h.acked))
		o.count()
		out := o.feed(h, nil)
		if h.state == late && h.acked >= o.next {
			out = o.moves(now, h, caught, out)
		}
		return out
	}
	return nil
}

// ReasonLaterIncarnation is the reason of a holder that knows of a later life of the same name.
const ReasonLaterIncarnation = "a later life of this name is known"

// count finds up to where enough holders have all.
func (o *Origin) count() {
	machines := map[string]uint64{}
	for _, h := range o.holders {
		if h.state == level || h.state == late {
			machines[h.candidate.Machine] = max(machines[h.candidate.Machine], h.acked)
		}
	}
	if len(machines) < o.need {
		return
	}
	acked := slices.Sorted(maps.Values(machines))
	if k := acked[len(acked)-o.need]; k > o.kept {
		o.kept = k
	}
	for len(o.queue) > 0 && o.queue[0].next <= o.kept && o.everywhere(o.queue[0].next) {
		o.bytes -= len(o.queue[0].body)
		o.queue[0].body = nil
		o.base = max(o.base, o.queue[0].next)
		o.queue = o.queue[1:]
	}
}

// Tick moves on by time.
func (o *Origin) Tick(now time.Duration) (out []Outgoing) {
	i := o.oldest()
	for _, name := range slices.Sorted(maps.Keys(o.holders)) {
		h := o.holders[name]
		if h == nil || h.state == refused { // it was let go of meanwhile
			continue
		}
		unheard := h.state <= offered && now-h.since > offerAgain
		waits := i >= 0 && i < len(o.queue) && now-o.queue[i].at > o.slow && h.acked < o.queue[i].next && now-h.since > o.slow
		if bad, ok := o.bad[name]; (unheard || waits) && h.state != late && (!ok || now-bad > avoidFor) {
			out = o.moves(now, h, slow, out)
		}
		if h.state == offered && now-h.offered > offerAgain {
			h.offered = now
			out = append(out, Outgoing{name, &Offer{Stream: o.stream, FromOrigin: true, Ranges: o.ranges}})
		}
	}
	out = o.feedAll(out) // what nobody waits for, together
	if now-o.chosen > time.Second {
		o.chosen = now
		out = o.choose(now, out)
	}
	return out
}

// MissingAt is what of this node's own disk a holder does not have, where it is to have it.
func (o *Origin) MissingAt(name string) Ranges {
	h := o.holders[name]
	if h == nil || h.state != level {
		return nil
	}
	return o.ranges.Without(h.ranges).Without(Ranges{{From: o.base, To: max(o.next, o.base)}})
}
