// Package distribution decides what moves between those that hold configuration: servers, routes, tenants and pools as
// keyed entries in versions that only grow, which of them a subscriber lacks, and when it is sent. Holders merge what they
// are told by a join, so the order, repetition and way of what is told do not matter. It is free of I/O and of clocks, and
// not safe for concurrent use: callers lock.
package distribution

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"strings"
	"time"
)

// Kind of an entry.
type Kind uint8

// The kinds, as they stand on the wire and on disk.
const (
	KindServer Kind = 1 + iota
	KindRoute
	KindTenant
	KindPool
	kindsEnd
)

var kindNames = [kindsEnd]string{KindServer: "server", KindRoute: "route", KindTenant: "tenant", KindPool: "pool"}

// String is the kind's name in commands and pages.
func (k Kind) String() string {
	if k == 0 || k >= kindsEnd {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return kindNames[k]
}

// ParseKind reads a kind's name.
func ParseKind(text string) (Kind, error) {
	for k := KindServer; k < kindsEnd; k++ {
		if kindNames[k] == text {
			return k, nil
		}
	}
	return 0, fmt.Errorf("%q is no kind of entry: server, route, tenant or pool", text)
}

// Key names an entry. Service "" is for every node.
type Key struct {
	_ struct{} `cbor:",toarray"`

	Service string
	Kind    Kind
	Name    string
}

// String is the key as people read it.
func (k Key) String() string { return k.Service + "/" + k.Kind.String() + "/" + k.Name }

// CompareKeys orders keys by service, kind and name.
func CompareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Origin is one run of a control process. It is not its disk's: an old copy of a disk would number other writes alike.
type Origin string

// NewOrigin names a run of a process by digits that were drawn when it started.
func NewOrigin(name string, drawn uint64) Origin { return Origin(fmt.Sprintf("%s/%016x", name, drawn)) }

// Name is the process's, without the run.
func (o Origin) Name() string {
	name, _, _ := strings.Cut(string(o), "/")
	return name
}

const clockShift = 16 // bits of the counter within a millisecond

// ClockAt is the first clock of a moment.
func ClockAt(wall time.Time) uint64 { return uint64(max(wall.UnixMilli(), 0)) << clockShift }

// ClockTime is the moment of a clock.
func ClockTime(clock uint64) time.Time { return time.UnixMilli(int64(clock >> clockShift)) }

// Entry is one version of a key's value. Its version is Clock and Origin: the greater one wins.
type Entry struct {
	_ struct{} `cbor:",toarray"`

	Key      Key
	Clock    uint64 // Unix time in ms << 16 | counter, greater than any that the origin had seen
	Origin   Origin
	Sequence uint64 // of the origin's writes, from 1
	Deleted  bool
	Value    []byte
}

// Compare orders two entries of one key: the greater one wins. Beyond the version, which two entries share only when an
// origin was copied, any order will do that all holders have.
func Compare(a, b Entry) int {
	if c := cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Sequence, b.Sequence)); c != 0 {
		return c
	}
	if a.Deleted != b.Deleted {
		if a.Deleted {
			return 1
		}
		return -1
	}
	return bytes.Compare(a.Value, b.Value)
}

// Change is what a write asks for.
type Change struct {
	_ struct{} `cbor:",toarray"`

	Key     Key
	Value   []byte
	Deleted bool
}

// Vector says by origin up to which sequence a holder has everything of the services that it is subscribed to: of each
// write up to there it holds that version of the key, a greater one, or knows it to be deleted.
type Vector map[Origin]uint64

// Covers tells whether an entry is within the vector.
func (v Vector) Covers(e Entry) bool { return e.Sequence <= v[e.Origin] }

// Join raises the vector to the greater of both, and tells whether it has grown.
func (v Vector) Join(other Vector) (grown bool) {
	for origin, sequence := range other {
		if sequence > v[origin] {
			v[origin], grown = sequence, true
		}
	}
	return grown
}

// CoversAll tells whether the vector covers all that another covers.
func (v Vector) CoversAll(other Vector) bool {
	for origin, sequence := range other {
		if v[origin] < sequence {
			return false
		}
	}
	return true
}

// within tells whether the others together cover all of the vector.
func (v Vector) within(others ...Vector) bool {
	for origin, sequence := range v {
		covered := false
		for _, other := range others {
			covered = covered || other[origin] >= sequence
		}
		if !covered {
			return false
		}
	}
	return true
}

// AheadOf is the part of the vector that another does not cover.
func (v Vector) AheadOf(other Vector) Vector {
	beyond := Vector{}
	for origin, sequence := range v {
		if sequence > other[origin] {
			beyond[origin] = sequence
		}
	}
	return beyond
}

// Clone copies the vector.
func (v Vector) Clone() Vector {
	if v == nil {
		return Vector{}
	}
	return maps.Clone(v)
}

// Total is the vector as one number for people: the writes that it covers.
func (v Vector) Total() (total uint64) {
	for _, sequence := range v {
		total += sequence
	}
	return total
}
