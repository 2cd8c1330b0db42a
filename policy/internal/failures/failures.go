// Package failures keeps what servers have failed at, by server and type of request: failures in a row, the last of
// them, and a moment up to which the server is left alone. It is sparse in both.
package failures

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
)

// AllTypes stands for every type where a moment holds for all of them.
const AllTypes = -1

// Entry is what a server has had of one type.
type Entry struct {
	TrafficType  int
	Consecutive  int           // failures in a row
	LastAt       time.Duration // when the last of them came
	EjectedUntil time.Duration // the server is left alone with the type until then
}

// Table holds the entries of all servers. The zero value is an empty table.
type Table struct {
	entries [][]Entry       // by server, in no order
	until   []time.Duration // by server, for all types
	active  indexset.Set    // servers of which there may be something
}

// Add starts a server without entries, also under the number of an earlier one.
func (t *Table) Add(server int) {
	t.active.Remove(server)
	columns.Put(server, nil, &t.entries)
	columns.Put(server, 0, &t.until)
}

// Active is the set of servers with entries or a moment that may lie ahead, for walks.
func (t *Table) Active() *indexset.Set { return &t.active }

// EntryCount is how many entries a server has.
func (t *Table) EntryCount(server int) int { return len(t.entries[server]) }

// Get is a copy of a server's entry for a type, or an empty one.
func (t *Table) Get(server, kind int) Entry {
	for _, e := range t.entries[server] {
		if e.TrafficType == kind {
			return e
		}
	}
	return Entry{TrafficType: kind}
}

// GetOrCreate is a server's entry for a type, made if there is none, to be written to; it holds until the next call.
func (t *Table) GetOrCreate(server, kind int) *Entry {
	i := slices.IndexFunc(t.entries[server], func(e Entry) bool { return e.TrafficType == kind })
	if i < 0 {
		i = len(t.entries[server])
		t.entries[server] = append(t.entries[server], Entry{TrafficType: kind})
		t.active.Add(server)
	}
	return &t.entries[server][i]
}

// EjectedUntil is the moment up to which a server is left alone, with one type or AllTypes.
func (t *Table) EjectedUntil(server, kind int) time.Duration {
	if kind == AllTypes {
		return t.until[server]
	}
	return t.Get(server, kind).EjectedUntil
}

// SetEjectedUntil sets that moment.
func (t *Table) SetEjectedUntil(server, kind int, until time.Duration) {
	if kind == AllTypes {
		t.active.Add(server)
		t.until[server] = until
		return
	}
	t.GetOrCreate(server, kind).EjectedUntil = until
}

// ClearEjection has the moment for all types be past.
func (t *Table) ClearEjection(server int) { t.until[server] = 0 }

// Reset does the same and sets the failures in a row of every type to none. Moments of single types stay.
func (t *Table) Reset(server int) {
	t.ClearEjection(server)
	for i := range t.entries[server] {
		t.entries[server][i].Consecutive = 0
	}
}

// RecordSuccess clears the failures in a row and the moment of one type.
func (t *Table) RecordSuccess(server, kind int) {
	for i := range t.entries[server] {
		if e := &t.entries[server][i]; e.TrafficType == kind {
			e.Consecutive, e.EjectedUntil = 0, 0
		}
	}
}

// DeleteFunc drops those of a server's entries that are to be dropped.
func (t *Table) DeleteFunc(server int, drop func(Entry) bool) {
	t.entries[server] = slices.DeleteFunc(t.entries[server], drop)
}

// Deactivate takes a server without entries out of the walks.
func (t *Table) Deactivate(server int) {
	t.entries[server] = nil // a clone's must not share what is left of it
	t.active.Remove(server)
}

// Clone shares no memory with the table.
func (t *Table) Clone() Table {
	c := Table{entries: slices.Clone(t.entries), until: slices.Clone(t.until), active: t.active.Clone()}
	for server := range c.active.All() {
		c.entries[server] = slices.Clone(c.entries[server])
	}
	return c
}
