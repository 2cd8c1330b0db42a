package replication

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Floor is the first record of a stream that is still held.
func (k *Keeper) Floor(s Stream) uint64 {
	if h := k.streams[s]; h != nil && len(h.ranges) > 0 {
		return h.ranges[0].From
	}
	return 0
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
