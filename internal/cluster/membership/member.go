// Package membership decides which nodes of a tier live, from what each hears of the others. It is free of I/O: whoever
// runs it leads connections, hands in what came on them, and sends what it is told to send.
//
// Each node watches the few that stand before it on rings of hashed names, and is watched by the few behind it, so that
// the price of watching does not grow with the tier. One that falls silent is asked about at its other watchers: if one of
// them hears it, the way between is cut and the node lives; if none does, it is suspected before all, may refute that
// itself, and is dead when it does not. Lives of one name are ordered by their starts and cannot go back.
package membership

import (
	"cmp"
	"slices"
)

// Condition of a node within one turn of one life; it only grows.
type Condition uint8

const (
	Alive     Condition = iota // heard of lately
	Suspected                  // nobody that watches it hears it; it may still refute that
	Dead                       // suspected for too long
	Left                       // went in good order
	conditions
)

var conditionNames = [conditions]string{"alive", "suspected", "dead", "left"}

func (c Condition) String() string {
	if c >= conditions {
		return "unknown"
	}
	return conditionNames[c]
}

// IsLive tells that a node is counted on: it has neither left nor been given up.
func (c Condition) IsLive() bool { return c <= Suspected }

// Member is one node. Only the node itself raises its turn, to refute what is said of it.
type Member struct {
	_ struct{} `cbor:",toarray"`

	Name        string
	Incarnation int64  `json:"Up"` // Unix time in ns of its start; a later start is another life
	Refutations uint32 `json:"Turn"`
	Condition   Condition
	Address     string // where it is reached
	Site        string
	Machine     string // nodes on one machine are lost together
}

// Compare orders two words of one node: the greater one holds.
func Compare(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Refutations, b.Refutations), cmp.Compare(a.Condition, b.Condition),
		cmp.Compare(a.Address, b.Address), cmp.Compare(a.Site, b.Site), cmp.Compare(a.Machine, b.Machine))
}

// What nodes tell each other. Any frame at all tells that its sender lives.
type (
	// Heartbeat tells nothing else.
	Heartbeat struct {
		_ struct{} `cbor:",toarray"`
		// Digest of all that the sender knows of members: who differs for long is told all.
		Digest uint64
	}
	// Update are words of members that the receiver may not have.
	Update struct {
		_       struct{} `cbor:",toarray"`
		Members []Member
	}
	// LivenessQuery asks whether a node is heard.
	LivenessQuery struct {
		_    struct{} `cbor:",toarray"`
		Name string
	}
	// LivenessReply answers it.
	LivenessReply struct {
		_       struct{} `cbor:",toarray"`
		Name    string
		IsHeard bool
	}
)

// ring is an order of the living nodes by hashes of their names.
type ring struct {
	number byte
	at     []spot
}

type spot struct {
	hash uint32
	name string
}

func (s spot) compare(o spot) int {
	return cmp.Or(cmp.Compare(s.hash, o.hash), cmp.Compare(s.name, o.name))
}

func (r *ring) spot(name string) spot { return spot{hashed(name, r.number), name} }

func (r *ring) put(name string) {
	s := r.spot(name)
	if i, found := slices.BinarySearchFunc(r.at, s, spot.compare); !found {
		r.at = slices.Insert(r.at, i, s)
	}
}

func (r *ring) take(name string) {
	if i, found := slices.BinarySearchFunc(r.at, r.spot(name), spot.compare); found {
		r.at = slices.Delete(r.at, i, i+1)
	}
}

// beside is the node that stands so many places behind a name; "" where it is the name itself.
func (r *ring) beside(name string, by int) string {
	i, found := slices.BinarySearchFunc(r.at, r.spot(name), spot.compare)
	if !found || len(r.at) < 2 {
		return ""
	}
	return r.at[(i+by+len(r.at))%len(r.at)].name
}

// hashed spreads names evenly on a ring (FNV-1a, then mixed: names differ in their last bytes only).
func hashed(name string, ring byte) uint32 {
	h := uint32(2166136261) ^ uint32(ring)*0x9E3779B9
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	h ^= h >> 16
	h *= 0x85EBCA6B
	h ^= h >> 13
	h *= 0xC2B2AE35
	return h ^ h>>16
}
