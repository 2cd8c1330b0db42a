// Package incarnation represents the state of servers as join-semilattice entries: the state of a server never regresses,
// even if updates are received late, repeatedly or out of order.
//
// An Entry describes one server. The entries of one server are ordered by incarnation (start time, and generation within
// that start), within one incarnation by condition (Up before Draining before Gone), and then by the revision of their
// source. The greatest entry is in effect. Join is therefore commutative, associative and idempotent, and all processes
// that have received the same entries have the same state, regardless of the order in which planners, control processes
// and nodes forward them.
//
// A Table contains one entry per server. Each planner, control process and node has its own Table and guards it with its
// own lock. The package performs no I/O.
package incarnation

import "cmp"

// Condition is the condition of a server. Within one incarnation it only increases. Its numeric values are stored and sent.
type Condition uint8

// The conditions of a server.
const (
	Up       Condition = iota // accepts new requests
	Draining                  // completes its requests and receives no new ones
	Gone                      // has terminated
)

// UnknownCell is the cell of a server whose entry names none. Entries stored or sent by earlier versions have 0 instead.
const UnknownCell = -1

// Entry is the state of one server. It is stored and sent as a CBOR array, so the order of its fields must not change.
// Entries are compared by the fields from StartedUnixMS to Revision, then by the remaining fields.
type Entry struct {
	_ struct{} `cbor:",toarray"`

	ID            string
	StartedUnixMS int64     // 0 if unknown
	Generation    uint32    // how often the server was reinstated since its start, for example after a canceled drain
	Condition     Condition // condition of the incarnation, which StartedUnixMS and Generation identify
	Revision      uint64    // revision of the source that announced the entry
	Address       string    // host:port
	Zone          string
	MachineKind   string
	Cell          int // failure domain inside the zone, or UnknownCell
	Weight        float64
}

// Compare compares two entries of one server. Its result has the meaning of that of cmp.Compare.
func Compare(a, b Entry) int {
	return cmp.Or(
		cmp.Compare(a.StartedUnixMS, b.StartedUnixMS),
		cmp.Compare(a.Generation, b.Generation),
		cmp.Compare(a.Condition, b.Condition),
		cmp.Compare(a.Revision, b.Revision),
		cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.MachineKind, b.MachineKind),
		cmp.Compare(a.Cell, b.Cell),
		cmp.Compare(a.Weight, b.Weight),
	)
}

// Join returns the greater of two entries of one server.
func Join(a, b Entry) Entry {
	if Compare(a, b) < 0 {
		return b
	}
	return a
}
