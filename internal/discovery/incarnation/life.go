// Package incarnation keeps what is known of servers in a form that cannot go back: the life of a server is ordered by its
// incarnation and, within one, up < draining < gone. Joining is the greater of two, so it commutes, repeats without harm,
// and comes out alike in whatever order planners, discovery and forwarders tell it. It is free of I/O.
package incarnation

import (
	"cmp"
	"slices"
	"time"
)

// Condition of a server within one incarnation; it only grows.
type Condition uint8

const (
	Up       Condition = iota // serves
	Draining                  // finishes what it has, and gets nothing new
	Gone                      // has ended
)

const (
	tombstoneRetention = 10 * time.Minute // how long a server that has gone is remembered; a planner away for longer is new
	maxEntries         = 8192             // of a table; more are not taken in, whatever a peer says
)

// Entry is what is known of one server. The order of entries is that of their fields from Up to Revision, and then any.
type Entry struct {
	_ struct{} `cbor:",toarray"`

	ID            string
	StartedUnixMS int64     // when it started, Unix time in ms; 0: not told, long ago
	Generation    uint32    // how often it was seen to come back within that start, as when a drain is called off
	Condition     Condition // within the incarnation, which is Up and Turn
	Revision      uint64    // of discovery, when it told this
	Address       string
	Zone          string
	MachineKind   string
	Cell          int
	Weight        float64
}

// Compare orders two entries of one server: the greater one holds.
func Compare(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.StartedUnixMS, b.StartedUnixMS), cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Condition, b.Condition),
		cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Address, b.Address), cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.MachineKind, b.MachineKind), cmp.Compare(a.Cell, b.Cell), cmp.Compare(a.Weight, b.Weight))
}

// Join is the greater of two entries of one server.
func Join(a, b Entry) Entry {
	if Compare(a, b) < 0 {
		return b
	}
	return a
}

// Table is what one planner or forwarder knows of all servers.
type Table struct {
	entries   map[string]Entry
	goneSince map[string]time.Duration // since when
}

// NewTable knows nothing.
func NewTable() *Table {
	return &Table{entries: map[string]Entry{}, goneSince: map[string]time.Duration{}}
}

// Get finds an entry.
func (t *Table) Get(id string) (Entry, bool) {
	e, ok := t.entries[id]
	return e, ok
}

// Len counts the entries, those gone included.
func (t *Table) Len() int { return len(t.entries) }

// Join takes in what another holds and returns what has changed by it, in the order given.
func (t *Table) Join(now time.Duration, entries []Entry) (changed []Entry) {
	for _, e := range entries {
		was, known := t.entries[e.ID]
		if !known && len(t.entries) >= maxEntries || known && Compare(was, e) >= 0 {
			continue
		}
		if t.entries[e.ID] = e; e.Condition == Gone {
			if _, ok := t.goneSince[e.ID]; !ok {
				t.goneSince[e.ID] = now
			}
		} else {
			delete(t.goneSince, e.ID)
		}
		changed = append(changed, e)
	}
	return changed
}

// ApplyDiscovery takes in what discovery says, at a revision of its own. Within one start a server goes back only by discovery's
// word at a later revision than that at which it was told to drain or to be gone: that is a new turn. An older word,
// as of a replica that lags, changes nothing. Of a whole list, a server that it does not name is gone, if the list is
// not older than what is known of that server.
func (t *Table) ApplyDiscovery(now time.Duration, list []Entry, whole bool) (changed []Entry) {
	revision := uint64(0)
	named := make(map[string]bool, len(list))
	var heard []Entry
	for _, e := range list {
		named[e.ID], revision = true, max(revision, e.Revision)
		if was, ok := t.entries[e.ID]; ok && e.StartedUnixMS <= was.StartedUnixMS {
			e.StartedUnixMS, e.Generation = was.StartedUnixMS, was.Generation // one that tells no start, or an older one, tells of this incarnation
			if e.Condition < was.Condition {
				if e.Revision <= was.Revision {
					continue
				}
				e.Generation++
			}
		}
		heard = append(heard, e)
	}
	if whole {
		for _, id := range t.sortedIDs() {
			if e := t.entries[id]; !named[id] && e.Condition != Gone && e.Revision <= revision {
				e.Condition, e.Revision = Gone, revision
				heard = append(heard, e)
			}
		}
	}
	return t.Join(now, heard)
}

// NewerThan are the entries, most at most, in which this table is ahead of what another was seen to hold.
func (t *Table) NewerThan(other map[string]Entry, most int) (above []Entry) {
	for _, id := range t.sortedIDs() {
		e := t.entries[id]
		if o, ok := other[id]; ok && Compare(e, o) <= 0 || !ok && e.Condition == Gone {
			continue
		}
		if above = append(above, e); len(above) == most {
			break
		}
	}
	return above
}

// All are the entries in the order of their ids.
func (t *Table) All() []Entry {
	all := make([]Entry, 0, len(t.entries))
	for _, id := range t.sortedIDs() {
		all = append(all, t.entries[id])
	}
	return all
}

// ExpireTombstones lets go of servers that have been gone for long.
func (t *Table) ExpireTombstones(now time.Duration) {
	for id, since := range t.goneSince {
		if now-since > tombstoneRetention {
			delete(t.goneSince, id)
			delete(t.entries, id)
		}
	}
}

func (t *Table) sortedIDs() []string {
	ids := make([]string, 0, len(t.entries))
	for id := range t.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
