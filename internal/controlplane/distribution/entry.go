package distribution

import (
	"bytes"
	"cmp"
	"fmt"
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
	kindLimit
)

var kindNames = [kindLimit]string{KindServer: "server", KindRoute: "route", KindTenant: "tenant", KindPool: "pool"}

// String returns the kind's name in commands and pages.
func (k Kind) String() string {
	if k == 0 || k >= kindLimit {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return kindNames[k]
}

// ParseKind reads a kind's name.
func ParseKind(text string) (Kind, error) {
	for k := KindServer; k < kindLimit; k++ {
		if kindNames[k] == text {
			return k, nil
		}
	}
	return 0, fmt.Errorf("%q is no kind of entry: server, route, tenant or pool", text)
}

// Key identifies an entry. An entry of service "" is for every node.
type Key struct {
	_ struct{} `cbor:",toarray"`

	Service string
	Kind    Kind
	Name    string
}

// String returns the key as service/kind/name.
func (k Key) String() string { return k.Service + "/" + k.Kind.String() + "/" + k.Name }

// CompareKeys orders keys by service, kind and name.
func CompareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Origin identifies one run of a control process, under which it writes. It does not belong to the disk: a process that starts
// from an old copy of its disk must not number other writes alike.
type Origin string

// NewOrigin names a run of a process. random is drawn when the process starts.
func NewOrigin(name string, random uint64) Origin {
	return Origin(fmt.Sprintf("%s/%016x", name, random))
}

// Name returns the process's name, without the run.
func (o Origin) Name() string {
	name, _, _ := strings.Cut(string(o), "/")
	return name
}

// clockShift is the number of bits of a clock that count within a millisecond.
const clockShift = 16

// ClockAt returns the first clock of a moment. A clock is a hybrid logical clock: Unix time in ms << 16 | counter.
func ClockAt(wall time.Time) uint64 { return uint64(max(wall.UnixMilli(), 0)) << clockShift }

// ClockTime returns the moment of a clock.
func ClockTime(clock uint64) time.Time { return time.UnixMilli(int64(clock >> clockShift)) }

// Entry is one version of a key's value. Its version is Clock and Origin: the greater one wins.
type Entry struct {
	_ struct{} `cbor:",toarray"`

	Key      Key
	Clock    uint64 // greater than any that the origin had seen; see ClockAt
	Origin   Origin
	Sequence uint64 // counts the origin's changes, from 1
	Deleted  bool
	Value    []byte
}

// Compare orders two entries of one key: the greater one wins. Entries that differ beyond the version, as after an origin was
// copied, need only an order that is the same everywhere.
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

// compareByKey orders entries by their keys.
func compareByKey(a, b Entry) int { return CompareKeys(a.Key, b.Key) }

// Change is what a writer asks for.
type Change struct {
	_ struct{} `cbor:",toarray"`

	Key     Key
	Value   []byte
	Deleted bool
}
