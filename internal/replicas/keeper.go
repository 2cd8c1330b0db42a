package replicas

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	orphanFor   = 3 * time.Second  // after a life was given up its streams are seen to: it may only be restarting
	staggerFor  = 2 * time.Second  // between the beginnings of two holders of one stream, so that one copies, not all
	offerEvery  = 10 * time.Minute // to one that has had all
	streamsMost = 4096             // that a node holds
)

// Life is what is known of a node that may have streams.
type Life struct {
	Place
	Up    int64
	Lives bool
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
	wanted  []Place         // who should hold it
	by      int             // the look at the places by which they were found
}

// Keeper is what a node holds of others' streams, and of earlier lives of its own.
type Keeper struct {
	self    Place
	need    int
	streams map[Stream]*held
	lives   map[string]Life
	later   map[string]int64 // the latest life of a name that was heard of
	places  []Place
	looks   int // at the places: each change of them, and of refusals, is one
	bytes   int64
	most    int64         // bytes; new streams are refused beyond nine tenths, all beyond it
	keepFor time.Duration // records that are older are not taken
	at      time.Duration // of the last look at streams
}

// NewKeeper holds nothing. need is how many machines beside the origin's hold each stream.
func NewKeeper(self Place, need int, bytesMost int64, keepFor time.Duration) *Keeper {
	return &Keeper{self: self, need: need, streams: map[Stream]*held{}, lives: map[string]Life{}, later: map[string]int64{}, most: bytesMost, keepFor: keepFor}
}

// Found tells what of a stream lasts on this node's disk.
func (k *Keeper) Found(s Stream, from, to uint64, bytes, last int64) {
	h := k.stream(s)
	h.ranges = h.ranges.With(from, to)
	if h.reading {
		h.again = h.again.With(from, to)
	}
	h.bytes += bytes
	h.last = max(h.last, last)
	k.bytes += bytes
}

func (k *Keeper) stream(s Stream) *held {
	h := k.streams[s]
	if h == nil {
		h = &held{orphan: -1, targets: map[string]*target{}, others: map[string]bool{}}
		k.streams[s] = h
		k.bury(s, h, 0)
	}
	return h
}

// Read begins a reading of a stream from disk; what comes meanwhile counts to it.
func (k *Keeper) Read(s Stream) {
	if h := k.streams[s]; h != nil {
		h.reading, h.again = true, nil
	}
}

// Reread ends it with what was found whole, and returns who is to be told where that is less than was thought.
func (k *Keeper) Reread(s Stream, found Ranges) (out []Out) {
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
				out = append(out, Out{name, &Have{Stream: s, Ranges: h.ranges}})
			}
		}
	}
	return out
}

// Gone tells that a stream is no longer on this node's disk.
func (k *Keeper) Gone(s Stream) {
	if h := k.streams[s]; h != nil {
		k.bytes -= h.bytes
		delete(k.streams, s)
	}
}

// Lived tells which nodes there are. The keeper's own life counts as well: streams of its earlier ones are orphans.
func (k *Keeper) Lived(now time.Duration, lives []Life) {
	k.places = k.places[:0]
	k.looks++
	for _, l := range lives {
		k.lives[l.Name] = l
		k.later[l.Name] = max(k.later[l.Name], l.Up)
		if l.Lives {
			k.places = append(k.places, l.Place)
		}
	}
	for s, h := range k.streams {
		k.bury(s, h, now)
	}
}

// bury notes whether the life of a stream is gone.
func (k *Keeper) bury(s Stream, h *held, now time.Duration) {
	if s.Settles() { // it is nobody's running life's
		h.orphan = max(h.orphan, 0)
		return
	}
	l, known := k.lives[s.Name]
	switch lives := known && l.Lives && l.Up <= s.Up; {
	case lives:
		h.orphan = -1
	case h.orphan < 0 && (known || now > orphanFor): // of one that nobody has named yet nothing is known right after the start
		h.orphan = now
	}
}

// reason is why records of a stream are not taken; "" where they are.
func (k *Keeper) reason(s Stream, origin bool) string {
	_, known := k.streams[s]
	switch {
	case origin && s.Up < k.later[s.Name]:
		return LaterLife
	case k.bytes >= k.most || !known && k.bytes >= k.most/10*9:
		return "no room is left"
	case !known && len(k.streams) >= streamsMost:
		return "too many streams"
	}
	return ""
}

// Offered answers one who tells what it has of a stream.
func (k *Keeper) Offered(now time.Duration, from string, o *Offer) []Out {
	if o.Name == "" || !o.Ranges.sound() {
		return nil
	}
	if o.Origin {
		k.later[o.Name] = max(k.later[o.Name], o.Up)
	}
	h := k.streams[o.Stream]
	if h != nil && !o.Origin {
		h.others[from] = true
	}
	answer := &Have{Stream: o.Stream, Refused: k.reason(o.Stream, o.Origin)}
	if h != nil {
		answer.Ranges = h.ranges
		if o.Origin && len(o.Ranges) > 0 && answer.Refused == "" { // what its life lets go of is let go of here
			h.ranges = h.ranges.Without(Ranges{{From: 0, To: o.Ranges[0].From}})
			h.returns = Ranges{{From: o.Ranges[0].From, To: o.Ranges[len(o.Ranges)-1].To}}.Without(o.Ranges)
		}
	}
	return []Out{{from, answer}}
}

// Floor is the first record of a stream that is still held.
func (k *Keeper) Floor(s Stream) uint64 {
	if h := k.streams[s]; h != nil && len(h.ranges) > 0 {
		return h.ranges[0].From
	}
	return 0
}

// Takes tells whether records are to be written; if not, it answers. at is when the last of them was, Unix time in ns, and
// clock the time now.
func (k *Keeper) Takes(from string, b *Batch, at, clock int64) (ok bool, out []Out) {
	why := k.reason(b.Stream, b.Origin)
	if why == "" && k.keepFor > 0 && clock-at > int64(k.keepFor) {
		why = "older than what is kept"
	}
	if why != "" {
		return false, []Out{{from, &Ack{Stream: b.Stream, First: b.First, N: b.N, Refused: why}}}
	}
	if h := k.streams[b.Stream]; h != nil && h.ranges.Has(b.First, b.First+uint64(b.N)) {
		return false, []Out{{from, &Ack{Stream: b.Stream, First: b.First, N: b.N}}}
	}
	return true, nil
}

// Got takes in what another says of a stream that is offered to it.
func (k *Keeper) Got(now time.Duration, from string, what any) {
	switch w := what.(type) {
	case *Have:
		h := k.streams[w.Stream]
		if h == nil || h.targets[from] == nil || !w.Ranges.sound() {
			return
		}
		t := h.targets[from]
		t.answers, t.ranges, t.refused = true, w.Ranges, 0 // also unasked, of one that has found a part damaged
		if w.Refused != "" {
			t.refused = max(now, 1)
			k.looks++
		}
		if len(w.Ranges) > 0 {
			h.others[from] = true
		}
	case *Ack:
		if h := k.streams[w.Stream]; h != nil && h.targets[from] != nil && w.N > 0 {
			t := h.targets[from]
			if w.Refused != "" {
				t.refused = max(now, 1)
				k.looks++
				return
			}
			t.ranges = t.ranges.With(w.First, w.First+uint64(w.N))
			h.others[from] = true
		} else if h != nil && from == w.Name && w.N > 0 {
			h.returns = h.returns.Without(Ranges{{From: w.First, To: w.First + uint64(w.N)}})
		}
	}
}

// desired are the nodes that should hold a stream whose life is gone: a later life of its node, and as many others as make
// enough, in order.
func (k *Keeper) desired(s Stream, h *held) []Place {
	if h.by == k.looks && h.wanted != nil {
		return h.wanted
	}
	all := append(slices.Clone(k.places), k.self)
	for i := range all {
		t := h.targets[all[i].Name]
		all[i].Well = t == nil || t.refused == 0
	}
	ranked := rank(s.Name, all)
	name, _, _ := strings.Cut(s.Name, settledBy)
	if i := slices.IndexFunc(ranked, func(p Place) bool { return p.Name == name }); i > 0 {
		own := ranked[i]
		ranked = append([]Place{own}, slices.Delete(ranked, i, i+1)...)
	}
	h.wanted, h.by = choose(ranked, k.need+1, nil, nil), k.looks
	return h.wanted
}

// Tick has streams without a life offered where they should be.
func (k *Keeper) Tick(now time.Duration) (out []Out) {
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
			t, up := h.targets[p.Name], k.lives[p.Name].Up
			if t == nil || t.up != up {
				t = &target{up: up}
				h.targets[p.Name] = t
			}
			whole := t.answers && len(h.ranges.Without(t.ranges)) == 0
			if t.asked == 0 || !t.answers && now-t.asked > offerAgain || !whole && now-t.asked > settleFor || now-t.asked > offerEvery {
				t.asked = max(now, 1)
				out = append(out, Out{p.Name, &Offer{Stream: s, Ranges: h.ranges}})
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

// Wanted are the nodes to which a connection is needed for streams without a life.
func (k *Keeper) Wanted() []string {
	wanted := map[string]bool{}
	for s, h := range k.streams {
		for name, t := range h.targets {
			if h.orphan >= 0 && t.refused == 0 && (!t.answers || len(k.Lacks(s, name)) > 0) {
				wanted[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(wanted))
}

// Lacks is what is held here of a stream and not at a node that should hold it.
func (k *Keeper) Lacks(s Stream, name string) Ranges {
	h := k.streams[s]
	if h == nil {
		return nil
	}
	if h.orphan < 0 {
		if name == s.Name { // it is not lost: it lacks a part of what it had
			return h.ranges.Without(h.ranges.Without(h.returns))
		}
		return nil
	}
	t := h.targets[name]
	if t == nil || !t.answers || t.refused > 0 {
		return nil
	}
	return h.ranges.Without(t.ranges)
}

// Job is a stream to be copied to a node.
type Job struct {
	Stream
	To string
}

// Jobs are those that are this node's to do now: the holders of a stream begin one after the other.
func (k *Keeper) Jobs(now time.Duration) (jobs []Job) {
	for _, s := range k.Streams() {
		h := k.streams[s]
		if h.orphan < 0 && len(k.Lacks(s, s.Name)) > 0 {
			jobs = append(jobs, Job{s, s.Name})
		}
		if h.orphan < 0 || now-h.orphan < orphanFor {
			continue
		}
		holders := []Place{k.self}
		for _, p := range k.places {
			if h.others[p.Name] && p.Name != k.self.Name {
				holders = append(holders, p)
			}
		}
		turn := slices.IndexFunc(rank(s.Name, holders), func(p Place) bool { return p.Name == k.self.Name })
		if now-h.orphan < orphanFor+time.Duration(turn+1)*staggerFor/2 {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(h.targets)) {
			if len(k.Lacks(s, name)) > 0 {
				jobs = append(jobs, Job{s, name})
			}
		}
	}
	return jobs
}

// Adopts tells whether a stream without a life is this node's to settle: it stands first of those that should hold it, and
// lacks nothing that another was seen to have.
func (k *Keeper) Adopts(now time.Duration, s Stream, after time.Duration) bool {
	h := k.streams[s]
	if h == nil || h.orphan < 0 || now-h.orphan < max(after, orphanFor) || s.Settles() {
		return false
	}
	for _, t := range h.targets {
		if len(t.ranges.Without(h.ranges)) > 0 {
			return false
		}
	}
	all := k.desired(s, h)
	return len(all) > 0 && all[0].Name == k.self.Name
}

// Settlement is the stream in which this node settles entries of another one.
func (k *Keeper) Settlement(s Stream) Stream {
	return Stream{Name: s.Name + settledBy + k.self.Name, Up: s.Up}
}

// Settlements are the streams held here that settle entries of one.
func (k *Keeper) Settlements(s Stream) (all []Stream) {
	for _, x := range k.Streams() {
		if name, _, ok := strings.Cut(x.Name, settledBy); ok && name == s.Name && x.Up == s.Up {
			all = append(all, x)
		}
	}
	return all
}

// Settles tells whether a stream is one that settles entries of another.
func (s Stream) Settles() bool { return strings.Contains(s.Name, settledBy) }

// Ranges of a stream that are held here.
func (k *Keeper) Ranges(s Stream) Ranges {
	if h := k.streams[s]; h != nil {
		return h.ranges
	}
	return nil
}

// Streams that are held, in order.
func (k *Keeper) Streams() []Stream {
	return slices.SortedFunc(maps.Keys(k.streams), func(a, b Stream) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Up, b.Up))
	})
}

// Holding is a stream as it is held, for those who ask.
type Holding struct {
	_ struct{} `cbor:",toarray"`
	Stream
	Ranges Ranges
	Bytes  int64
	Last   int64
	Orphan bool
	Lacks  map[string]uint64 // records that are still to be copied, by node
}

// Holdings are all that is held.
func (k *Keeper) Holdings() (all []Holding) {
	for _, s := range k.Streams() {
		h := k.streams[s]
		x := Holding{Stream: s, Ranges: h.ranges, Bytes: h.bytes, Last: h.last, Orphan: h.orphan >= 0, Lacks: map[string]uint64{}}
		for name := range h.targets {
			if n := k.Lacks(s, name).Count(); n > 0 {
				x.Lacks[name] = n
			}
		}
		all = append(all, x)
	}
	return all
}

// Bytes that are held.
func (k *Keeper) Bytes() int64 { return k.bytes }

// Old are streams whose life is gone and whose last record is older than what is kept.
func (k *Keeper) Old(clock int64) (old []Stream) {
	for _, s := range k.Streams() {
		if h := k.streams[s]; k.keepFor > 0 && h.orphan >= 0 && clock-h.last > int64(k.keepFor) {
			old = append(old, s)
		}
	}
	return old
}
