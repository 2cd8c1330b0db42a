package distribution

import (
	"bytes"
	"cmp"
	"fmt"
	"strings"
	"time"
)

// Kind is the type of object that an entry configures.
type Kind uint8

// The kinds. Their numbers are sent on the wire and stored on disk.
const (
	KindServer Kind = 1 + iota
	KindRoute
	KindTenant
	KindPool
	kindLimit
)

var kindNames = [kindLimit]string{KindServer: "server", KindRoute: "route", KindTenant: "tenant", KindPool: "pool"}

// String returns the kind's name, as used in commands.
func (k Kind) String() string {
	if k == 0 || k >= kindLimit {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return kindNames[k]
}

// ParseKind returns the kind with a name.
func ParseKind(text string) (Kind, error) {
	for k := KindServer; k < kindLimit; k++ {
		if kindNames[k] == text {
			return k, nil
		}
	}
	return 0, fmt.Errorf("unknown kind %q: want server, route, tenant or pool", text)
}

// Key identifies an entry. Entries of service "" apply to every node.
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

// Origin identifies one run of a control process as the author of writes. It is not derived from the disk: a process that
// starts from an old copy of its disk must not assign the same sequence numbers to different writes.
type Origin string

// NewOrigin returns the origin of one run of a process. random must be drawn anew at each start of the process.
func NewOrigin(name string, random uint64) Origin {
	return Origin(fmt.Sprintf("%s/%016x", name, random))
}

// Name returns the process's name, without the run.
func (o Origin) Name() string {
	name, _, _ := strings.Cut(string(o), "/")
	return name
}

// clockShift is the number of bits of the counter within a millisecond.
const clockShift = 16

// ClockAt returns the smallest clock value of a wall-clock time. A clock is a hybrid logical clock: Unix time in ms << 16 | counter.
func ClockAt(wall time.Time) uint64 { return uint64(max(wall.UnixMilli(), 0)) << clockShift }

// ClockTime returns the wall-clock time of a clock value, in milliseconds.
func ClockTime(clock uint64) time.Time { return time.UnixMilli(int64(clock >> clockShift)) }

// Entry is one version of a key's value. Versions are ordered by Clock, then Origin: the greatest one wins.
type Entry struct {
	_ struct{} `cbor:",toarray"`

	Key      Key
	Clock    uint64 // greater than any clock that the origin had received or assigned before; see ClockAt
	Origin   Origin
	Sequence uint64 // number of the change among those of its origin, from 1
	Deleted  bool
	Value    []byte
}

// Compare orders two entries of one key: the greater one wins. Entries with equal versions but different contents, as after
// two processes used the same origin, are ordered by their contents, so that all stores select the same winner.
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

func compareByKey(a, b Entry) int { return CompareKeys(a.Key, b.Key) }

// Change is a requested write: a new value of a key, or its deletion.
type Change struct {
	_ struct{} `cbor:",toarray"`

	Key     Key
	Value   []byte
	Deleted bool
}
