// Package failures holds consecutive failures and ejections of servers, by server and traffic type. Both are stored
// sparsely: memory and walks cost only the servers and types with recent failures. The policy owns the table and
// decides when to eject.
package failures

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
)

// AllTypes stands for all traffic types in EjectedUntil and SetEjectedUntil.
const AllTypes = -1

// Entry holds the failures of a server with one traffic type.
type Entry struct {
	TrafficType  int
	Consecutive  int           // consecutive failures
	LastAt       time.Duration // time of the last of them
	EjectedUntil time.Duration // for this traffic type
}

// Table holds the entries of all servers. The zero value is an empty table.
type Table struct {
	entries [][]Entry       // by server, unordered
	until   []time.Duration // by server: ejected for all types
	active  indexset.Set    // servers with an entry or an ejection
}

// Add initializes a server without entries. The index may have belonged to another server.
func (t *Table) Add(server int) {
	t.active.Remove(server)
	columns.Put(server, nil, &t.entries)
	columns.Put(server, 0, &t.until)
}

// Active returns the servers that may have an entry or an ejection.
func (t *Table) Active() *indexset.Set { return &t.active }

// EntryCount returns the number of entries of a server.
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

// GetOrCreate returns a modifiable pointer to a server's entry for a traffic type. The pointer is valid until the
// next call.
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

// Reset ends a server's ejection for AllTypes and clears its consecutive failures. Ejections for single types stay in
// effect.
func (t *Table) Reset(server int) {
	t.ClearEjection(server)
	for i := range t.entries[server] {
		t.entries[server][i].Consecutive = 0
	}
}

// RecordSuccess clears a server's consecutive failures and its ejection for one traffic type.
func (t *Table) RecordSuccess(server, trafficType int) {
	for i := range t.entries[server] {
		if e := &t.entries[server][i]; e.TrafficType == trafficType {
			e.Consecutive, e.EjectedUntil = 0, 0
		}
	}
}

// DeleteFunc deletes the entries of a server for which shouldDelete returns true.
func (t *Table) DeleteFunc(server int, shouldDelete func(Entry) bool) {
	t.entries[server] = slices.DeleteFunc(t.entries[server], shouldDelete)
}

// Deactivate removes a server without entries from Active.
func (t *Table) Deactivate(server int) {
	t.entries[server] = nil // Clone copies the entries of active servers only
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
