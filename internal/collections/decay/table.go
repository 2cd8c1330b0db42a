package decay

import (
	"slices"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
)

// Table holds failure rates by index. Decay visits only the nonzero ones. The zero value is empty.
type Table struct {
	rates  []FailureRate
	active indexset.Set
}

// Reset initializes an empty failure rate.
func (t *Table) Reset(i int) {
	columns.Put(i, FailureRate{}, &t.rates)
	t.active.Remove(i)
}

// At returns a failure rate, which the caller must not modify.
func (t *Table) At(i int) *FailureRate { return &t.rates[i] }

// Active returns the indices of the nonzero failure rates.
func (t *Table) Active() *indexset.Set { return &t.active }

// Observe counts the end of an attempt, as FailureRate.Observe does.
func (t *Table) Observe(i int, failed, memory float64) {
	t.rates[i].Observe(failed, memory)
	t.active.Add(i)
}

// Decay decays all failure rates, as FailureRate.Decay does.
func (t *Table) Decay(factor, minCount float64) {
	for i := range t.active.All() {
		t.rates[i].Decay(factor, minCount)
		if t.rates[i].Total == 0 {
			t.active.Remove(i)
		}
	}
}

// Clone returns a copy that shares no memory with the table.
func (t *Table) Clone() Table {
	return Table{rates: slices.Clone(t.rates), active: t.active.Clone()}
}
