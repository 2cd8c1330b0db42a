// Package tenants holds arrival rates and failure rates by tenant, of those tenants only that had traffic lately,
// however many there are. It decides nothing. Its owner is the policy; it has no lock.
package tenants

import (
	"slices"

	"fernvane/internal/collections/decay"
)

// Unknown stands for all tenants without a quota. They share one failure rate.
const Unknown = -1

// Table holds the tenants with traffic. The zero value is an empty table.
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

// Len returns how many tenants the table holds.
func (t *Table) Len() int { return len(t.active) }

// Visits returns how many entries Decay has visited so far: its cost, for tests that count.
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

// FailureRate returns the failure rate of a tenant's attempts, to be written to. It is valid until the next call.
func (t *Table) FailureRate(tenant int) *decay.FailureRate {
	if tenant == Unknown {
		return &t.unknown
	}
	return &t.getOrCreate(tenant).failureRate
}

// getOrCreate returns the entry of a tenant. It is valid until the next call.
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

// Decay keeps a share of the arrival rates and of the failure rates, clears what falls below the least, and drops
// tenants of whom nothing is left.
func (t *Table) Decay(arrivalsKept, minArrivalRate, failuresKept, minFailureCount float64) {
	t.unknown.Decay(failuresKept, minFailureCount)
	t.totalRate = 0
	for i := len(t.active) - 1; i >= 0; i-- {
		t.visits++
		e := &t.active[i]
		e.arrivalRate = decay.ZeroBelow(e.arrivalRate*arrivalsKept, minArrivalRate)
		e.failureRate.Decay(failuresKept, minFailureCount)
		t.totalRate += e.arrivalRate
		if e.arrivalRate == 0 && e.failureRate.Total == 0 {
			t.remove(i)
		}
	}
}

// remove takes out the active entry at an index; the last one takes its place.
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
