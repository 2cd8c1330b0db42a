// Package failures holds failures in a row and ejections of servers, by server and traffic type. It is sparse in both:
// memory and walks cost what has failed lately. Its owner is the policy, which decides when to eject.
package failures

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
)

// AllTypes stands for all traffic types in EjectedUntil and SetEjectedUntil.
const AllTypes = -1

// Entry is what a server has failed at with one traffic type.
type Entry struct {
	TrafficType  int
	Consecutive  int           // failures in a row
	LastAt       time.Duration // when the last of them came
	EjectedUntil time.Duration // for this traffic type
}

// Table holds the entries of all servers. The zero value is an empty table.
type Table struct {
	entries [][]Entry       // by server, in no order
	until   []time.Duration // by server: ejected for all types
	active  indexset.Set    // servers with an entry or an ejection
}

// Add starts a server without entries. Its index may have been another's.
func (t *Table) Add(server int) {
	t.active.Remove(server)
	columns.Put(server, nil, &t.entries)
	columns.Put(server, 0, &t.until)
}

// Active returns the servers that may have an entry or an ejection.
func (t *Table) Active() *indexset.Set { return &t.active }

// EntryCount returns how many entries a server has.
func (t *Table) EntryCount(server int) int { return len(t.entries[server]) }

// Get returns a copy of a server's entry for a traffic type, or an empty one.
func (t *Table) Get(server, trafficType int) Entry {
	for _, e := range t.entries[server] {
		if e.TrafficType == trafficType {
			return e
		}
	}
	return Entry{TrafficType: trafficType}
}

// GetOrCreate returns a server's entry for a traffic type, to be written to. It is valid until the next call.
func (t *Table) GetOrCreate(server, trafficType int) *Entry {
	i := slices.IndexFunc(t.entries[server], func(e Entry) bool { return e.TrafficType == trafficType })
	if i < 0 {
		i = len(t.entries[server])
		t.entries[server] = append(t.entries[server], Entry{TrafficType: trafficType})
		t.active.Add(server)
	}
	return &t.entries[server][i]
}

// EjectedUntil returns the end of a server's ejection for one traffic type, or for AllTypes.
func (t *Table) EjectedUntil(server, trafficType int) time.Duration {
	if trafficType == AllTypes {
		return t.until[server]
	}
	return t.Get(server, trafficType).EjectedUntil
}

// SetEjectedUntil sets the end of a server's ejection for one traffic type, or for AllTypes.
func (t *Table) SetEjectedUntil(server, trafficType int, until time.Duration) {
	if trafficType == AllTypes {
		t.active.Add(server)
		t.until[server] = until
		return
	}
	t.GetOrCreate(server, trafficType).EjectedUntil = until
}

// ClearEjection ends a server's ejection for AllTypes.
func (t *Table) ClearEjection(server int) { t.until[server] = 0 }

// Reset ends a server's ejection for AllTypes and clears its failures in a row. Ejections for single types stay.
func (t *Table) Reset(server int) {
	t.ClearEjection(server)
	for i := range t.entries[server] {
		t.entries[server][i].Consecutive = 0
	}
}

// RecordSuccess clears a server's failures in a row and its ejection for one traffic type.
func (t *Table) RecordSuccess(server, trafficType int) {
	for i := range t.entries[server] {
		if e := &t.entries[server][i]; e.TrafficType == trafficType {
			e.Consecutive, e.EjectedUntil = 0, 0
		}
	}
}

// DeleteFunc deletes those entries of a server for which drop returns true.
func (t *Table) DeleteFunc(server int, drop func(Entry) bool) {
	t.entries[server] = slices.DeleteFunc(t.entries[server], drop)
}

// Deactivate takes a server without entries out of Active.
func (t *Table) Deactivate(server int) {
	t.entries[server] = nil // Clone copies those of active servers only
	t.active.Remove(server)
}

// Clone returns a copy that shares no memory with the table.
func (t *Table) Clone() Table {
	c := Table{entries: slices.Clone(t.entries), until: slices.Clone(t.until), active: t.active.Clone()}
	for server := range c.active.All() {
		c.entries[server] = slices.Clone(c.entries[server])
	}
	return c
}
