package replication

import (
	"maps"
	"slices"
	"time"
)

const (
	orphanFor   = 3 * time.Second  // after a life was given up its streams are seen to: it may only be restarting
	staggerFor  = 2 * time.Second  // between the beginnings of two holders of one stream, so that one copies, not all
	offerEvery  = 10 * time.Minute // to one that has had all
	streamsMost = 4096             // that a node holds
)

// Node is what is known of a node that may have streams.
type Node struct {
	Candidate
	Incarnation int64
	IsLive      bool
}

// target is one that should hold a stream whose life is gone.
type target struct {
	up      int64 // of its life when it was asked; a later one may have lost its disk
	asked   time.Duration
	answers bool
	ranges  Ranges
	refused time.Duration // 0: it was not
}

type held struct {
	ranges  Ranges
	again   Ranges // what lasts by a reading that is under way; nil: there is none
	reading bool
	bytes   int64
	last    int64         // Unix time in ns of the last record
	orphan  time.Duration // since when its life is gone; -1: it lives
	targets map[string]*target
	others  map[string]bool // who were seen to hold some of it
	returns Ranges          // that its origin has lost of it, between what it has
	wanted  []Candidate     // who should hold it
	by      int             // the look at the candidates by which they were found
}

// ReplicaTable is what a node holds of others' streams, and of earlier lives of its own.
type ReplicaTable struct {
	self       Candidate
	need       int
	streams    map[Stream]*held
	lives      map[string]Node
	later      map[string]int64 // the latest life of a name that was heard of
	candidates []Candidate
	looks      int // at the candidates: each change of them, and of refusals, is one
	bytes      int64
	most       int64         // bytes; new streams are refused beyond nine tenths, all beyond it
	keepFor    time.Duration // records that are older are not taken
	at         time.Duration // of the last look at streams
}

// NewReplicaTable holds nothing. need is how many machines beside the origin's hold each stream.
func NewReplicaTable(self Candidate, need int, bytesMost int64, keepFor time.Duration) *ReplicaTable {
	return &ReplicaTable{self: self, need: need, streams: map[Stream]*held{}, lives: map[string]Node{}, later: map[string]int64{}, most: bytesMost, keepFor: keepFor}
}

// RecordsStored tells what of a stream lasts on this node's disk.
func (k *ReplicaTable) RecordsStored(s Stream, from, to uint64, bytes, last int64) {
	h := k.stream(s)
	h.ranges = h.ranges.With(from, to)
	if h.reading {
		h.again = h.again.With(from, to)
	}
	h.bytes += bytes
	h.last = max(h.last, last)
	k.bytes += bytes
}

func (k *ReplicaTable) stream(s Stream) *held {
	h := k.streams[s]
	if h == nil {
		h = &held{orphan: -1, targets: map[string]*target{}, others: map[string]bool{}}
		k.streams[s] = h
		k.bury(s, h, 0)
	}
	return h
}

// BeginVerification begins a reading of a stream from disk; what comes meanwhile counts to it.
func (k *ReplicaTable) BeginVerification(s Stream) {
	if h := k.streams[s]; h != nil {
		h.reading, h.again = true, nil
	}
}

// EndVerification ends it with what was found whole, and returns who is to be told where that is less than was thought.
func (k *ReplicaTable) EndVerification(s Stream, found Ranges) (out []Outgoing) {
	h := k.streams[s]
	if h == nil || !h.reading {
		return nil
	}
	for _, r := range found {
		h.again = h.again.With(r.From, r.To)
	}
	less := len(h.ranges.Without(h.again)) > 0
	h.ranges, h.reading, h.again = h.again, false, nil
	if less {
		names := maps.Clone(h.others)
		names[s.Name] = true
		for _, name := range slices.Sorted(maps.Keys(names)) {
			if name != k.self.Name {
				out = append(out, Outgoing{name, &Inventory{Stream: s, Ranges: h.ranges}})
			}
		}
	}
	return out
}

// StreamRemoved tells that a stream is no longer on this node's disk.
func (k *ReplicaTable) StreamRemoved(s Stream) {
	if h := k.streams[s]; h != nil {
		k.bytes -= h.bytes
		delete(k.streams, s)
	}
}

// SetNodes tells which nodes there are. The keeper's own life counts as well: streams of its earlier ones are orphans.
func (k *ReplicaTable) SetNodes(now time.Duration, lives []Node) {
	k.candidates = k.candidates[:0]
	k.looks++
	for _, l := range lives {
		k.lives[l.Name] = l
		k.later[l.Name] = max(k.later[l.Name], l.Incarnation)
		if l.IsLive {
			k.candidates = append(k.candidates, l.Candidate)
		}
	}
	for s, h := range k.streams {
		k.bury(s, h, now)
	}
}

// bury notes whether the life of a stream is gone.
func (k *ReplicaTable) bury(s Stream, h *held, now time.Duration) {
	if s.IsReconciliation() { // it is nobody's running life's
		h.orphan = max(h.orphan, 0)
		return
	}
	l, known := k.lives[s.Name]
	switch lives := known && l.IsLive && l.Incarnation <= s.Incarnation; {
	case lives:
		h.orphan = -1
	case h.orphan < 0 && (known || now > orphanFor): // of one that nobody has named yet nothing is known right after the start
		h.orphan = now
	}
}

// reason is why records of a stream are not taken; "" where they are.
func (k *ReplicaTable) reason(s Stream, origin bool) string {
	_, known := k.streams[s]
	switch {
	case origin && s.Incarnation < k.later[s.Name]:
		return ReasonLaterIncarnation
	case k.bytes >= k.most || !known && k.bytes >= k.most/10*9:
		return "no room is left"
	case !known && len(k.streams) >= streamsMost:
		return "too many streams"
	}
	return ""
}

// HandleOffer answers one who tells what it has of a stream.
func (k *ReplicaTable) HandleOffer(now time.Duration, from string, o *Offer) []Outgoing {
	if o.Name == "" || !o.Ranges.sound() {
		return nil
	}
	if o.FromOrigin {
		k.later[o.Name] = max(k.later[o.Name], o.Incarnation)
	}
	h := k.streams[o.Stream]
	if h != nil && !o.FromOrigin {
		h.others[from] = true
	}
	answer := &Inventory{Stream: o.Stream, RejectReason: k.reason(o.Stream, o.FromOrigin)}
	if h != nil {
		answer.Ranges = h.ranges
		if o.FromOrigin && len(o.Ranges) > 0 && answer.RejectReason == "" { // what its life lets go of is let go of here
			h.ranges = h.ranges.Without(Ranges{{From: 0, To: o.Ranges[0].From}})
			h.returns = Ranges{{From: o.Ranges[0].From, To: o.Ranges[len(o.Ranges)-1].To}}.Without(o.Ranges)
		}
	}
	return []Outgoing{{from, answer}}
}

// AdmitBatch tells whether records are to be written; if not, it answers. at is when the last of them was, Unix time in ns, and
// clock the time now.
func (k *ReplicaTable) AdmitBatch(from string, b *Batch, at, clock int64) (ok bool, out []Outgoing) {
	why := k.reason(b.Stream, b.FromOrigin)
	if why == "" && k.keepFor > 0 && clock-at > int64(k.keepFor) {
		why = "older than what is kept"
	}
	if why != "" {
		return false, []Outgoing{{from, &Ack{Stream: b.Stream, First: b.First, Count: b.Count, RejectReason: why}}}
	}
	if h := k.streams[b.Stream]; h != nil && h.ranges.Contains(b.First, b.First+uint64(b.Count)) {
		return false, []Outgoing{{from, &Ack{Stream: b.Stream, First: b.First, Count: b.Count}}}
	}
	return true, nil
}

// HandleMessage takes in what another says of a stream that is offered to it.
func (k *ReplicaTable) HandleMessage(now time.Duration, from string, what any) {
	switch w := what.(type) {
	case *Inventory:
		h := k.streams[w.Stream]
		if h == nil || h.targets[from] == nil || !w.Ranges.sound() {
			return
		}
		t := h.targets[from]
		t.answers, t.ranges, t.refused = true, w.Ranges, 0 // also unasked, of one that has found a part damaged
		if w.RejectReason != "" {
			t.refused = max(now, 1)
			k.looks++
		}
		if len(w.Ranges) > 0 {
			h.others[from] = true
		}
	case *Ack:
		if h := k.streams[w.Stream]; h != nil && h.targets[from] != nil && w.Count > 0 {
			t := h.targets[from]
			if w.RejectReason != "" {
				t.refused = max(now, 1)
				k.looks++
				return
			}
			t.ranges = t.ranges.With(w.First, w.First+uint64(w.Count))
			h.others[from] = true
		} else if h != nil && from == w.Name && w.Count > 0 {
			h.returns = h.returns.Without(Ranges{{From: w.First, To: w.First + uint64(w.Count)}})
		}
	}
}

// Tick has streams without a life offered where they should be.
func (k *ReplicaTable) Tick(now time.Duration) (out []Outgoing) {
	if now-k.at < time.Second {
		return nil
	}
	k.at = now
	for _, s := range k.Streams() {
		h := k.streams[s]
		if k.bury(s, h, now); h.orphan < 0 || now-h.orphan < orphanFor {
			continue
		}
		wanted := map[string]bool{}
		for _, p := range k.desired(s, h) {
			if p.Name == k.self.Name {
				continue
			}
			wanted[p.Name] = true
			t, up := h.targets[p.Name], k.lives[p.Name].Incarnation
			if t == nil || t.up != up {
				t = &target{up: up}
				h.targets[p.Name] = t
			}
			whole := t.answers && len(h.ranges.Without(t.ranges)) == 0
			if t.asked == 0 || !t.answers && now-t.asked > offerAgain || !whole && now-t.asked > settleFor || now-t.asked > offerEvery {
				t.asked = max(now, 1)
				out = append(out, Outgoing{p.Name, &Offer{Stream: s, Ranges: h.ranges}})
			}
		}
		for name, t := range h.targets {
			if !wanted[name] && (t.refused == 0 || now-t.refused > settleFor) {
				delete(h.targets, name)
				k.looks++
			}
		}
	}
	return out
}
