package decay

import (
	"slices"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
)

// Table holds records by number, and fades those only that something is left of. The zero value is an empty table.
type Table struct {
	records []FailureRate
	active  indexset.Set
}

// Reset starts an empty record.
func (t *Table) Reset(i int) {
	columns.Put(i, FailureRate{}, &t.records)
	t.active.Remove(i)
}

// At is a record.
func (t *Table) At(i int) *FailureRate { return &t.records[i] }

// Active is the set of records that fade.
func (t *Table) Active() *indexset.Set { return &t.active }

// Observe counts one end in a record.
func (t *Table) Observe(i int, failed, memory float64) {
	t.records[i].Observe(failed, memory)
	t.active.Add(i)
}

// Decay fades all records.
func (t *Table) Decay(kept, least float64) {
	for i := range t.active.All() {
		t.records[i].Decay(kept, least)
		if t.records[i].Total == 0 {
			t.active.Remove(i)
		}
	}
}

// Clone shares no memory with the table.
func (t *Table) Clone() Table {
	return Table{records: slices.Clone(t.records), active: t.active.Clone()}
}
