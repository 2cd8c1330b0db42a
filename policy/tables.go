package policy

import (
	"math/bits"
	"slices"
	"time"
)

// The tables below are what the decisions read and write. Each is sparse or counted as it changes, so that no change and
// no tick walks all servers.

// allTypes stands for the types in a rest that holds for all of them.
const allTypes = -1

// trouble is what a server has had of one type of operation.
type trouble struct {
	kind    int
	faults  int           // failures in a row
	faulted time.Duration // the last of them
	shy     time.Duration // nothing of the type is sent there until then
}

// setReady keeps the count of ready servers, and which of them are not listed, in step.
func (p *Policy) setReady(s int, ready bool) {
	if ready != p.ready[s] {
		p.readyNow += sign(ready)
		p.countLabels(s, sign(ready))
	}
	p.ready[s] = ready
	p.dropped.Put(s, ready && !p.listed[s])
}

func (p *Policy) setListed(s int, listed bool) {
	if listed != p.listed[s] {
		p.listedNow += sign(listed)
	}
	p.listed[s] = listed
	p.dropped.Put(s, p.ready[s] && !listed)
}

// setLabels keeps the counts of ready servers by label in step.
func (p *Policy) setLabels(s int, labels uint64) {
	if p.labels[s] == labels {
		return
	}
	if p.ready[s] {
		p.countLabels(s, -1)
	}
	if p.labels[s] = labels; p.ready[s] {
		p.countLabels(s, 1)
	}
}

func (p *Policy) countLabels(s, by int) {
	for l := p.labels[s]; l != 0; l &= l - 1 {
		p.labelled[bits.TrailingZeros64(l)] += by
	}
}

// allTaken tells that every ready server with one of some labels is taken in, so that a walk of the rotation for
// another finds none.
func (p *Policy) allTaken(labels uint64) bool {
	others := 0
	for l := labels; l != 0; l &= l - 1 {
		others += p.labelled[bits.TrailingZeros64(l)]
	}
	for _, s := range p.pool {
		others -= bits.OnesCount64(p.labels[s] & labels)
	}
	return others == 0
}

func sign(up bool) int {
	if up {
		return 1
	}
	return -1
}

// wasListed tells whether a server was listed before the list that is being taken in.
func (p *Policy) wasListed(s int) bool {
	if s >= len(p.listed) {
		return false
	}
	if p.heard[s] != p.lists {
		p.heard[s], p.before[s] = p.lists, p.listed[s]
	}
	return p.before[s]
}

// smooth sets the smoothed latency of a server and keeps the sum over all.
func (p *Policy) smooth(s int, latency time.Duration) {
	p.smoothedSum += latency - p.smoothed[s]
	p.smoothed[s] = latency
}

// trouble is what a server has had of a type, or nothing.
func (p *Policy) trouble(s, kind int) trouble {
	for _, t := range p.troubles[s] {
		if t.kind == kind {
			return t
		}
	}
	return trouble{kind: kind}
}

// troubleOf is the same to be written to; it holds until the next call.
func (p *Policy) troubleOf(s, kind int) *trouble {
	i := slices.IndexFunc(p.troubles[s], func(t trouble) bool { return t.kind == kind })
	if i < 0 {
		i = len(p.troubles[s])
		p.troubles[s] = append(p.troubles[s], trouble{kind: kind})
		p.troubled.Add(s)
	}
	return &p.troubles[s][i]
}

// endTrouble has a type be served again by a server that has just done so.
func (p *Policy) endTrouble(s, kind int) {
	for i := range p.troubles[s] {
		if t := &p.troubles[s][i]; t.kind == kind {
			t.faults, t.shy = 0, 0
		}
	}
}

// until is when a server's rest ends, for one type or for all.
func (p *Policy) until(s, kind int) time.Duration {
	if kind == allTypes {
		return p.restUntil[s]
	}
	return p.trouble(s, kind).shy
}

// untilOf is the same to be written to.
func (p *Policy) untilOf(s, kind int) *time.Duration {
	if kind == allTypes {
		p.troubled.Add(s)
		return &p.restUntil[s]
	}
	return &p.troubleOf(s, kind).shy
}

// forgetTrouble has nothing of a type be known of a server, since the type is another now.
func (p *Policy) forgetTrouble(s, kind int) {
	p.troubles[s] = slices.DeleteFunc(p.troubles[s], func(t trouble) bool { return t.kind == kind })
}

// dropTroubles lets go of troubles that bear on nothing any more: the last failure matters to attempts that were out
// at its time only.
func (p *Policy) dropTroubles(s int) {
	if p.inFlight[s] == 0 {
		p.troubles[s] = slices.DeleteFunc(p.troubles[s], func(t trouble) bool { return t.faults == 0 && p.now >= t.shy })
	}
	if len(p.troubles[s]) == 0 && p.now >= p.restUntil[s] {
		p.troubles[s] = nil // a copy's must not share what is left of it
		p.troubled.Remove(s)
	}
}

// faded is a figure that has faded, or none where it is less than the least that counts.
func faded(x, least float64) float64 {
	if x < least {
		return 0
	}
	return x
}

func sum(figures []float64) (all float64) {
	for _, f := range figures {
		all += f
	}
	return all
}

// setAllowances takes over allowances, and their sum, without writing to the settings that the module was given.
func (p *Policy) setAllowances(changed []Allowance) {
	if !p.reallowed {
		p.set.AllowancePerS, p.reallowed = slices.Clone(p.set.AllowancePerS), true
	}
	for _, a := range changed {
		if missing := a.Tenant + 1 - len(p.set.AllowancePerS); missing > 0 {
			p.set.AllowancePerS = append(p.set.AllowancePerS, make([]float64, missing)...)
		}
		p.allowances += a.PerS - p.set.AllowancePerS[a.Tenant]
		p.set.AllowancePerS[a.Tenant] = a.PerS
	}
	p.tenants.named = len(p.set.AllowancePerS)
}

// unknownTenant stands for all tenants that the settings do not name.
const unknownTenant = -1

// tenantFigures are what is known of a tenant with traffic lately.
type tenantFigures struct {
	tenant int
	rate   float64 // arrivals a second
	ends   record
}

// tenantTable keeps figures of those tenants only that had traffic lately.
type tenantTable struct {
	named   int     // tenants from here on are unknown
	place   []int32 // in active, and one, by tenant; 0: not there
	active  []tenantFigures
	total   float64 // of the rates
	unknown record
	visits  int // figures come to by ticks so far, for tests that count
}

// rate is a tenant's arrivals a second.
func (t *tenantTable) rate(tenant int) float64 {
	if tenant >= len(t.place) || t.place[tenant] == 0 {
		return 0
	}
	return t.active[t.place[tenant]-1].rate
}

// of finds the figures of a tenant, which hold until the next call.
func (t *tenantTable) of(tenant int) *tenantFigures {
	if missing := tenant + 1 - len(t.place); missing > 0 {
		t.place = append(t.place, make([]int32, missing)...)
	}
	if t.place[tenant] == 0 {
		t.active = append(t.active, tenantFigures{tenant: tenant})
		t.place[tenant] = int32(len(t.active))
	}
	return &t.active[t.place[tenant]-1]
}

// arrive counts an arrival and returns the rate.
func (t *tenantTable) arrive(tenant int) float64 {
	f := t.of(tenant)
	f.rate += 1 / rateSpan.Seconds()
	t.total += 1 / rateSpan.Seconds()
	return f.rate
}

func (t *tenantTable) record(tenant int) *record {
	if tenant == unknownTenant {
		return &t.unknown
	}
	return &t.of(tenant).ends
}

// fade lets time pass, and lets go of those of whom nothing is left.
func (t *tenantTable) fade(rates, records float64) {
	t.unknown.fade(records)
	t.total = 0
	for i := len(t.active) - 1; i >= 0; i-- {
		t.visits++
		f := &t.active[i]
		f.rate = faded(f.rate*rates, rateLeast)
		f.ends.fade(records)
		t.total += f.rate
		if f.rate == 0 && f.ends.all == 0 {
			t.remove(i)
		}
	}
}

func (t *tenantTable) remove(i int) {
	last := len(t.active) - 1
	t.place[t.active[i].tenant] = 0
	if i < last {
		t.active[i] = t.active[last]
		t.place[t.active[i].tenant] = int32(i + 1)
	}
	t.active = t.active[:last]
}

func (t *tenantTable) clone() tenantTable {
	c := *t
	dup(&c.place)
	dup(&c.active)
	return c
}
