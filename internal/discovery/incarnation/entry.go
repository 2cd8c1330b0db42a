// Package incarnation holds what is known of servers in a form that never goes back, however late or often it is heard.
//
// An Entry describes one server. Entries of one server are ordered: by its incarnation (its start, and its generation
// within that start), within one incarnation by condition, Up before Draining before Gone, and then by the revision of
// their source. The greater entry holds. Join is therefore commutative, associative and idempotent, and everybody who has
// heard the same entries holds the same, in whatever order planners, control processes and nodes pass them on.
//
// A Table holds one entry per server. Each planner, control process and node has its own, and guards it with a lock of its
// own. The package is free of I/O.
package incarnation

import "cmp"

// Condition of a server; within one incarnation it only grows. Its numbers are stored and sent.
type Condition uint8

// The conditions of a server.
const (
	Up       Condition = iota // serves
	Draining                  // finishes its requests and gets no new ones
	Gone                      // has stopped
)

// Entry is what is known of one server. It is stored and sent as a CBOR array, so the order of its fields stays as it is.
// Entries are compared by their fields from StartedUnixMS to Revision, then by the others.
type Entry struct {
	_ struct{} `cbor:",toarray"`

	ID            string
	StartedUnixMS int64     // 0 if it is not known
	Generation    uint32    // how often the server was reinstated since its start, as when a drain is canceled
	Condition     Condition // within the incarnation, which is StartedUnixMS and Generation
	Revision      uint64    // of the source that announced this
	Address       string    // host:port
	Zone          string
	MachineKind   string
	Cell          int // the failure domain inside the zone
	Weight        float64
}

// Compare orders two entries of one server, as cmp.Compare does.
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
