// Package tenants holds arrival rates and failure rates by tenant. It stores only tenants with recent traffic,
// whatever the number of tenants. It makes no decisions. The policy owns the table, which has no lock.
package tenants

import (
	"slices"

	"fernvane/internal/collections/decay"
)

// Unknown represents all tenants without a quota. They share one failure rate.
const Unknown = -1

// Table holds the tenants with recent traffic. The zero value is an empty table.
type Table struct {
	slots     []int32 // by tenant: index into active plus one; 0: not active
	active    []entry
	totalRate float64 // of all arrivals
	unknown   decay.FailureRate
	visits    int
}

type entry struct {
	tenant      int
	arrivalRate float64 // a second
	failureRate decay.FailureRate
}

// Len returns the number of tenants in the table.
func (t *Table) Len() int { return len(t.active) }

// Visits returns the number of entries that Decay has visited since the start, for tests of its cost.
func (t *Table) Visits() int { return t.visits }

// TotalRate returns the arrivals a second of all tenants.
func (t *Table) TotalRate() float64 { return t.totalRate }

// ArrivalRate returns the arrivals a second of a tenant.
func (t *Table) ArrivalRate(tenant int) float64 {
	if tenant >= len(t.slots) || t.slots[tenant] == 0 {
		return 0
	}
	return t.active[t.slots[tenant]-1].arrivalRate
}

// RecordArrival adds to a tenant's arrival rate and returns it.
func (t *Table) RecordArrival(tenant int, rate float64) float64 {
	e := t.getOrCreate(tenant)
	e.arrivalRate += rate
	t.totalRate += rate
	return e.arrivalRate
}

// FailureRate returns a modifiable pointer to the failure rate of a tenant's attempts. The pointer is valid until the
// next call.
func (t *Table) FailureRate(tenant int) *decay.FailureRate {
	if tenant == Unknown {
		return &t.unknown
	}
	return &t.getOrCreate(tenant).failureRate
}

// getOrCreate returns the entry of a tenant. The pointer is valid until the next call.
func (t *Table) getOrCreate(tenant int) *entry {
	if missing := tenant + 1 - len(t.slots); missing > 0 {
		t.slots = append(t.slots, make([]int32, missing)...)
	}
	if t.slots[tenant] == 0 {
		t.active = append(t.active, entry{tenant: tenant})
		t.slots[tenant] = int32(len(t.active))
	}
	return &t.active[t.slots[tenant]-1]
}

// Decay multiplies the arrival rates and the failure rates by their factors, clears values below the minimums,
// and removes tenants whose rates are all 0.
func (t *Table) Decay(arrivalFactor, minArrivalRate, failureFactor, minFailureCount float64) {
	t.unknown.Decay(failureFactor, minFailureCount)
	t.totalRate = 0
	for i := len(t.active) - 1; i >= 0; i-- {
		t.visits++
		e := &t.active[i]
		e.arrivalRate = decay.ZeroBelow(e.arrivalRate*arrivalFactor, minArrivalRate)
		e.failureRate.Decay(failureFactor, minFailureCount)
		t.totalRate += e.arrivalRate
		if e.arrivalRate == 0 && e.failureRate.Total == 0 {
			t.remove(i)
		}
	}
}

// remove removes the active entry at an index; the last entry takes its place.
func (t *Table) remove(i int) {
	last := len(t.active) - 1
	t.slots[t.active[i].tenant] = 0
	if i < last {
		t.active[i] = t.active[last]
		t.slots[t.active[i].tenant] = int32(i + 1)
	}
	t.active = t.active[:last]
}

// Clone returns a copy that shares no memory with the table.
func (t *Table) Clone() Table {
	c := *t
	c.slots = slices.Clone(t.slots)
	c.active = slices.Clone(t.active)
	return c
}
