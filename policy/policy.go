// Package policy decides, for one node, which server gets an operation, when it gets a further hop, and when
// it is denied or written off. Handle takes one Input at a time with the time since start and appends Effects
// to carry out (api.go); what it keeps is in state.go. It has no clock and asks to be woken. The table in
// lifecycle is the way of an operation to its final answer; routed is the design's ordinary path.
package policy

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"math/bits"
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/decay"
	"fernvane/policy/internal/failures"
	"fernvane/policy/internal/leastsquares"
	"fernvane/policy/internal/readiness"
	"fernvane/policy/internal/tenants"
)

const (
	// The design's open figures.
	forecastThreshold = 5 * time.Second // the paper's; capped at intervalShare of the fitted interval
	intervalShare     = 0.25            // of the fitted interval, so that a server is fed half the time
	forecastWindow    = 4               // onsets in a fit; more would outlast the troubles seen
	spikeFactor       = 4.0             // times smoothed latency; the tail of usual work stays below
	spikeRun          = 2               // hops in a run that counts as a pause
	turnsAhead        = 2.0             // that a server may take to meet a key again; turns stay even over all
	crowdFactor       = 1.0             // times the mean in flight; with few hops a node, the mean is the signal

	smoothing    = 0.1                    // weight of one sample in a server's latency and slowness: ten hops
	typeSmooth   = 0.02                   // weight of one sample in a type latency: fifty hops
	slowLeast    = 0.1                    // of the square, so that a fast server is not given all
	sweepPeriod  = 20 * time.Millisecond  // between looks at open operations; well under any target time
	restFirst    = 500 * time.Millisecond // first rest of a failing server; doubles each time
	restMost     = 4 * time.Second        // longest rest, so that a healed server is found within it
	restStrikes  = 2                      // failures in a row; one may be a heavy operation
	restServers  = 0.5                    // of the ready servers may rest: more would only load the others
	typeStrikes  = 3                      // the same of one type, each sent after the last; overload brings two
	restTypes    = 0.75                   // of the servers may rest for one type; the others still use them
	softRun      = 5                      // hops declined or broken in a row; fewer may be chance
	windowAim    = 0.1                    // of the target time left by unloaded latency; servers choke on more
	baseSpan     = 30 * time.Second       // in which a higher latency counts as unloaded; longer than jams
	baseSamples  = 20.0                   // answers before a type's latency is taken for known; chance evens out
	windowSpan   = 1 * time.Second        // over which finished hops are counted
	strainSmooth = 0.05                   // weight of one hop in the strain: twenty hops
	windowStart  = 4.0                    // hops a server over all nodes at the start; it grows with answers
	windowLeast  = 2.0                    // the same under strain: enough to see it pass
	waitShare    = 0.3                    // of the target time that an operation may wait here for its turn
	waitFits     = 1.5                    // times the type's latency that must be left after the wait
	blockedAim   = 0.8                    // share of time that the window may be full before less is admitted
	blockedSpan  = 500 * time.Millisecond // over which that is taken
	admitPace    = 2.0                    // per second, of the log of the admitted share; up and down alike
	admitLeast   = 0.02                   // of the offered work, so that it is seen when it has passed
	shedMost     = 0.95                   // of one type; some of each are let through
	rateSpan     = 3 * time.Second        // over which arrival and success rates are taken
	coldFloor    = 0.5                    // of the fall budget a server of one core would have; the least pace
	coldShare    = 0.6                    // of the fall budget; the rest is for chance and for nodes not told
	coldBurst    = 2.0                    // hops saved up for a cold server
	coldLasts    = 2 * time.Second        // for which one is, so that all nodes together save up little
	budgetSpan   = 3.0                    // seconds for which budgets of retries and copies are saved up
	askFirst     = 250 * time.Millisecond // wait before asking for the list again; doubles
	askMost      = 4 * time.Second        // longest wait, and at most a quarter of askWithin
	poolSlack    = 2.0                    // servers kept beyond those needed: one rests while another works
	poolJudged   = 1.0                    // answers a second a server; ten, which judge it, come in 10 s
	poolSpan     = 10 * time.Second       // in which servers once needed count as needed; longer than a burst
	homeStep     = 0.6180339887           // of the rotation between two nodes' starts; spreads any run of nodes
	silentDeath  = 1 * time.Second        // out of reach this long may mean a restart, so a cold server
	causeServer  = 0.1                    // by which a sort must fail more often than a server to clear it
	causeLeast   = 3.0                    // ends without failure in a new record, so that one tells little
	causeMemory  = 10.0                   // ends that count of a server's record; of sorts' three times as many
	causeFade    = 10 * time.Second       // after which a record counts for a third
	causeKeys    = 256                    // records of keys, shared by checksum
	breaksMost   = 1.5                    // servers that broke off hops of a type lately: another may follow
	doomDoor     = 0.6                    // failing more often, a sort is denied by chance as it comes
	doomAll      = 0.9                    // failing so often, all but a few of it
	scarceAim    = 0.1                    // share of hops without a connection above which idle servers are due
	refusedAim   = 0.2                    // share of hops turned away as full before less is admitted
	doubtMost    = 3                      // steps down for a dropped server, each halves its turns
	dropKept     = 60 * time.Second       // without an answer, then a dropped server has gone; lists heal sooner
	negligible   = 1e-9                   // ends: a record that fades below is none, and costs no tick more
	rateLeast    = 1e-24                  // a second, likewise: what is less changes no sum of loads by a bit
)

// lifecycle is read from the top: the first row whose state, signal and guard fit is taken.
func lifecycle() []row {
	return []row{
		{fresh, arrived, (*Policy).shedByChance, closed, (*Policy).deny},
		{fresh, arrived, (*Policy).routed, out, (*Policy).send},
		{fresh, arrived, (*Policy).canWait, waiting, (*Policy).hold},
		{fresh, arrived, always, closed, (*Policy).deny},

		{waiting, swept, (*Policy).routed, out, (*Policy).send},
		{waiting, swept, (*Policy).canWait, waiting, (*Policy).hold},
		{waiting, swept, always, closed, (*Policy).deny},
		{waiting, departed, always, closed, (*Policy).hold},

		{out, won, always, closed, (*Policy).hold},
		{out, lost, (*Policy).anotherOut, out, (*Policy).hold},
		{out, lost, (*Policy).repeatable, out, (*Policy).send},
		{out, lost, (*Policy).noConnection, waiting, (*Policy).hold},
		{out, lost, (*Policy).harmless, closed, (*Policy).deny},
		{out, lost, always, closed, (*Policy).writeOff},
		{out, swept, (*Policy).atLimitHarmless, closed, (*Policy).deny},
		{out, swept, (*Policy).atLimit, closed, (*Policy).writeOff},
		{out, swept, (*Policy).overdue, out, (*Policy).outlast},
		{out, swept, (*Policy).worthCopying, out, (*Policy).sendCopy},

		{out, departed, always, closed, (*Policy).hold},
	}
}

// New returns an instance that draws its chance from seed.
func New(s Settings, seed uint32) *Policy {
	p := &Policy{set: s, seed: seed, admit: 1, askWait: askFirst}
	for _, r := range lifecycle() {
		p.rows[r.in][r.on] = append(p.rows[r.in][r.on], r)
	}
	p.byKey = make([]decay.FailureRate, causeKeys)
	p.named, p.allowances = len(s.TenantQuotas), columns.Sum(s.TenantQuotas)
	p.retype(&Input{TrafficTypes: s.TrafficTypes, LearnFrom: slices.Repeat([]int{-1}, len(s.TrafficTypes)), RouteLimits: []int{0}})
	return p
}

// Handle decides on one input and appends the effects to out.
func (p *Policy) Handle(now time.Duration, in *Input, effects []Effect) []Effect {
	p.now, p.effects = now, effects
	switch in.Kind {
	case RequestArrived:
		p.arrive(in)
	case AttemptEnded:
		p.hopEnded(in)
	case ClientLeft:
		if in.Request < len(p.ops) {
			p.step(in.Request, departed)
		}
	case EndpointsUpdated:
		p.follow(in)
	case TimerFired:
		p.sweep()
	case TrafficTypesChanged:
		p.retype(in)
	case PlanChanged:
		p.planned(in)
	case QuotasChanged:
		p.setAllowances(in.Quotas)
	}
	return p.effects
}

// setAllowances takes over allowances and their sum. The settings that the module was given stay as they are.
func (p *Policy) setAllowances(changed []Quota) {
	if !p.reallowed {
		p.set.TenantQuotas, p.reallowed = slices.Clone(p.set.TenantQuotas), true
	}
	for _, a := range changed {
		columns.Extend(a.Tenant+1, &p.set.TenantQuotas)
		p.allowances += a.PerSecond - p.set.TenantQuotas[a.Tenant]
		p.set.TenantQuotas[a.Tenant] = a.PerSecond
	}
	p.named = len(p.set.TenantQuotas)
}

// planned takes over a plan. A server that left the part or is to be avoided is let go while no hop is out.
func (p *Policy) planned(in *Input) {
	p.set.NodeCount, p.within, p.admitMost = in.NodeCount, in.WithinQuotaShares, in.MaxAdmittedShare
	was := map[int]float64{}
	for s := range p.shared.All() {
		was[s], p.part[s], p.pace[s] = p.part[s], 0, 0
		p.shared.Remove(s)
	}
	for _, s := range in.Assignments {
		p.part[s.Server], p.pace[s.Server] = s.Preference, s.SlowStartRate
		p.shared.Add(s.Server)
		if s.EjectFor > 0 { // then one hop on trial, as after a rest of its own
			until := max(p.failures.EjectedUntil(s.Server, failures.AllTypes), p.now+s.EjectFor)
			p.failures.SetEjectedUntil(s.Server, failures.AllTypes, until)
			p.strikes[s.Server] = max(p.strikes[s.Server], 1)
		}
	}
	for i := len(p.pool) - 1; i >= 0 && len(p.pool) > 1; i-- {
		if s := p.pool[i]; (p.part[s] < 0 || p.part[s] == 0 && was[s] > 0) && p.inFlight[s] == 0 {
			p.drop(i)
		}
	}
}

// retype takes over traffic types; a new one starts with what was learned of the one that it is like.
func (p *Policy) retype(in *Input) {
	p.set.TrafficTypes, p.roomMost, p.answers = in.TrafficTypes, in.RouteLimits, false
	p.rooms = append(p.rooms, make([]int, max(len(in.RouteLimits)-len(p.rooms), 0))...)
	for k, from := range in.LearnFrom {
		p.answers = p.answers || from >= 0 && p.samples[from] > 0
		if from == k {
			continue
		}
		usual, base, samples := in.TrafficTypes[k].LatencyObjective/4, in.TrafficTypes[k].LatencyObjective/4, 0.0
		if from >= 0 {
			usual, base, samples = p.usual[from], p.base[from], p.samples[from]
		}
		columns.Put(k, usual, &p.usual)
		columns.Put(k, base, &p.base)
		columns.Put(k, samples, &p.samples)
		p.activate(k)
		columns.Put(k, 0, &p.retries, &p.copies)
		columns.Put(k, decay.FailureRate{}, &p.breaks)
		p.dearest = max(p.dearest, in.TrafficTypes[k].PriorityWeight)
		for b := 2 * k; b < 2*k+2; b++ {
			columns.Put(b, 0, &p.denyShare, &p.rates)
			columns.Put(b, decay.FailureRate{}, &p.byType)
		}
		for s := range p.failures.Active().All() {
			p.failures.DeleteFunc(s, func(e failures.Entry) bool { return e.TrafficType == k })
		}
	}
}

// step takes the first fitting row of the table.
func (p *Policy) step(op int, on signal) {
	for _, r := range p.rows[p.ops[op].state][on] {
		if r.when(p, op) {
			p.enter(op, r.next)
			r.do(p, op)
			return
		}
	}
}

// enter keeps the list of open operations in step with their states.
func (p *Policy) enter(op int, next state) {
	o := &p.ops[op]
	if was := o.state; was == fresh && next != closed {
		p.open.Add(op)
	} else if was != fresh && next == closed {
		p.open.Remove(op)
	}
	if next == out && o.state != out {
		p.rooms[o.room]++
	} else if next != out && o.state == out {
		p.rooms[o.room]--
	}
	o.state = next
}

// chance draws a number in [0, 1).
func (p *Policy) chance() float64 {
	p.draws++
	return hashed(p.seed, p.draws-1)
}

func hashed(low, high uint32) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(high)<<32|uint64(low))
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

func (p *Policy) emit(e Effect) { p.effects = append(p.effects, e) }

func (p *Policy) arrive(in *Input) {
	columns.Extend(in.Request+1, &p.ops)
	if in.TrafficType >= len(p.set.TrafficTypes) {
		p.emit(Effect{Kind: Reject, Request: in.Request}) // an unknown type: nothing may be assumed, nothing has run
		return
	}
	t := &p.set.TrafficTypes[in.TrafficType]
	o := &p.ops[in.Request]
	*o = operation{kind: in.TrafficType, key: in.Key, tenant: in.Tenant, again: in.IsClientRetry,
		room: in.RouteLimit, bucket: 2 * in.TrafficType, hops: o.hops[:0], group: -1,
		came: p.now, limit: p.now + in.Timeout, target: p.now + min(t.LatencyObjective-2*p.set.TimerGranularity, in.Timeout)}
	p.activate(in.TrafficType)
	if in.Tenant >= p.named {
		o.tenant = tenants.Unknown
	} else {
		within := p.fair(in.Tenant) / p.tenants.RecordArrival(in.Tenant, 1/rateSpan.Seconds())
		if in.Tenant < len(p.within) {
			within = p.within[in.Tenant]
		}
		if within > 0 && within < 1 && p.chance() > within {
			o.bucket++
		}
	}
	p.rates[o.bucket] += 1 / rateSpan.Seconds()
	p.grant(in.TrafficType, 1, 0)
	p.step(in.Request, arrived)
}

// fair is a tenant's share at this node, per second. It goes with the others' traffic where that is above
// their shares, for nodes do not get traffic alike, and has slack for the chance of a few arrivals.
func (p *Policy) fair(tenant int) float64 {
	nodes, own := float64(p.set.NodeCount), p.set.TenantQuotas[tenant]
	shares, others := (p.allowances-own)/nodes, p.tenants.TotalRate()-p.tenants.ArrivalRate(tenant)
	fair := own / nodes * max(1, others/max(shares, 1e-9))
	return fair + math.Sqrt(fair/rateSpan.Seconds())
}

// grant adds to the budgets of a type, by its first hops and by time, up to what comes in the span.
func (p *Policy) grant(kind int, first, passed float64) {
	t, rate := &p.set.TrafficTypes[kind], p.rates[2*kind]+p.rates[2*kind+1]
	most := budgetSpan * (t.RetryRatio*rate + t.MinRetriesPerSecond)
	p.retries[kind] = min(p.retries[kind]+t.RetryRatio*first+t.MinRetriesPerSecond*passed, max(most, 1))
	p.copies[kind] = min(p.copies[kind]+t.HedgeRatio*first, max(budgetSpan*t.HedgeRatio*rate, 1))
}

// allowed is how long hops of a type may take, in seconds: its unloaded latency and a share of what is
// left of the target time.
func (p *Policy) allowed(kind int) float64 {
	base := min(p.base[kind], p.set.TrafficTypes[kind].LatencyObjective)
	return base.Seconds() + windowAim*(p.set.TrafficTypes[kind].LatencyObjective-base).Seconds()
}

// full: by the rate at which hops finish, those in flight will take longer than they may. This guards
// against a queue that builds up at the servers faster than late answers tell of it.
func (p *Policy) full() bool {
	return p.flying >= max(p.window(), windowLeast*float64(p.readyCount)/float64(p.set.NodeCount), 1)
}

// hasRoom: fewer operations of the route have a hop out than it allows.
func (p *Policy) hasRoom(o *operation) bool {
	return p.roomMost[o.room] == 0 || p.rooms[o.room] < p.roomMost[o.room]
}

func (p *Policy) window() float64 {
	return max(p.finished+math.Sqrt(p.finished), p.grown) / max(p.strain, 1)
}

// judge grows the window by each answer that came while it was used up, for the rate of finished hops
// tells nothing yet after a start or a rise, and shrinks it while answers take longer than they may.
func (p *Policy) judge(spent, allowed float64) {
	p.strain += strainSmooth * (spent/allowed - p.strain)
	if p.strain > 1 {
		p.grown = min(p.grown, p.window())
	} else if w := p.window(); p.flying+1 >= w {
		p.grown = w + 1
	}
}

// Guards of the table.

func always(*Policy, int) bool { return true }

func (p *Policy) shedByChance(op int) bool {
	share := max(p.denyShare[p.ops[op].bucket], min(p.doom(&p.ops[op]), shedMost))
	return share > 0 && p.chance() < share
}

// doom is how surely an operation fails by its sort, where others do not.
func (p *Policy) doom(o *operation) float64 {
	most := 0.0
	for _, c := range p.sorts(o) {
		most = max(most, c.Rate(causeLeast))
	}
	least := min(max(doomDoor, p.overall.Rate(causeLeast)), doomAll-causeServer)
	return (most - least) / (doomAll - least)
}

// canWait: for room in the window, a list, or a cold server's next turn, while it may still do.
func (p *Policy) canWait(op int) bool {
	o, t := &p.ops[op], &p.set.TrafficTypes[p.ops[op].kind]
	fits := p.now+time.Duration(waitFits*float64(p.usual[o.kind])) < o.target
	return fits && p.now-o.came <= cmp.Or(t.MaxQueueTime, time.Duration(waitShare*float64(t.LatencyObjective)))
}

// noConnection: the hop got none, so nothing ran; the operation waits for a server that has one to spare.
func (p *Policy) noConnection(op int) bool {
	o := &p.ops[op]
	return o.ended == Unreachable && !o.mayRun && len(o.hops) < p.mostHops(&p.set.TrafficTypes[o.kind]) && p.canWait(op)
}

// harmless: a denial tells the client that trying again does no harm.
func (p *Policy) harmless(op int) bool {
	o, t := &p.ops[op], &p.set.TrafficTypes[p.ops[op].kind]
	return !o.mayRun || t.Idempotency == Idempotent || t.Idempotency == IdempotentWithKey && t.KeyScope == KeyScopeAll
}

func (p *Policy) atLimit(op int) bool {
	return p.now+max(p.set.TimerGranularity, 5*time.Millisecond) >= p.ops[op].limit
}

// overdue: the hop runs on for a late answer, and leaves the window. This guards against silent servers or
// links, which would fill the window for seconds and have all else denied.
func (p *Policy) overdue(op int) bool {
	return p.now >= p.ops[op].target && p.set.TrafficTypes[p.ops[op].kind].LateWeightShare > 0
}

func (p *Policy) atLimitHarmless(op int) bool { return p.atLimit(op) && p.harmless(op) }

// repeatable: another hop is allowed, can make the target time, and has somewhere to go.
func (p *Policy) repeatable(op int) bool {
	o, t := &p.ops[op], &p.set.TrafficTypes[p.ops[op].kind]
	if o.doomed || len(o.hops) >= p.mostHops(t) || p.now+p.usual[o.kind]/2 > o.target ||
		t.RetryOn != 0 && !t.RetryOn.Contains(o.ended) || t.RetryRatio > 0 && p.retries[o.kind] < 1 {
		return false
	}
	expired := t.Idempotency == IdempotentWithKey && p.now >= o.firstRun+t.KeyRetention-p.set.TimerGranularity
	if o.mayRun && (t.Idempotency == NonIdempotent || expired) {
		return false
	}
	if first := len(o.hops) == 1 && t.PriorityWeight >= p.dearest; !first && (o.mayRun && p.full() ||
		o.ended == Overloaded && p.chance() < p.turned.Rate(causeLeast)) { // no load without room
		return false
	}
	return p.routed(op)
}

func (p *Policy) mostHops(t *TrafficType) int {
	return min(cmp.Or(t.MaxAttempts, p.set.MaxAttempts), p.set.MaxAttempts)
}

// anotherOut: a second copy may still bring the answer.
func (p *Policy) anotherOut(op int) bool {
	return slices.ContainsFunc(p.ops[op].hops, func(h hop) bool { return !h.ended })
}

// worthCopying: the first hop takes longer than its type may, a copy is within the budget and the rules, and
// there is room for it at a server that seems well.
func (p *Policy) worthCopying(op int) bool {
	o, t := &p.ops[op], &p.set.TrafficTypes[p.ops[op].kind]
	if t.HedgeDelay == 0 || !p.set.HedgingAllowed || t.Idempotency == NonIdempotent || len(o.hops) != 1 || p.mostHops(t) < 2 ||
		p.now-o.hops[0].sent < t.HedgeDelay || p.copies[o.kind] < 1 || p.full() {
		return false
	}
	expired := t.Idempotency == IdempotentWithKey && p.now >= o.firstRun+t.KeyRetention-p.set.TimerGranularity
	return !expired && p.routed(op) && !tried(o, p.pick) && !p.unwell(p.pick, o)
}

// Effects of the table.

func (p *Policy) hold(int) {}

// deny tells the client when to come back: while it can still be served, for one that has this node only does
// not try elsewhere, and after the longest wait it would come too late; spread, not all at once.
func (p *Policy) deny(op int) {
	o, back := &p.ops[op], time.Duration(float64(p.set.MaxRetryAfter)*(0.9+0.1*p.chance()))
	if left := o.target - p.now - 2*p.usual[o.kind]; left > 0 && back > 0 {
		back = min(back, time.Duration(float64(left)*(0.3+0.7*p.chance())))
	}
	p.emit(Effect{Kind: Reject, Request: op, Duration: back})
}

func (p *Policy) outlast(op int) {
	for i := range p.ops[op].hops {
		if h := &p.ops[op].hops[i]; !h.ended && !h.late {
			h.late = true
			p.flying--
		}
	}
}

func (p *Policy) sendCopy(op int) {
	p.copies[p.ops[op].kind]--
	p.retries[p.ops[op].kind]++ // it is no retry
	p.send(op)
}

func (p *Policy) writeOff(op int) { p.emit(Effect{Kind: Fail, Request: op}) }

// send puts a hop out to the server that route picked.
func (p *Policy) send(op int) {
	o, s := &p.ops[op], p.pick
	if len(o.hops) > 0 {
		p.retries[o.kind]--
	}
	t, allow := &p.set.TrafficTypes[o.kind], max(o.target-p.now, time.Millisecond)
	if t.LateWeightShare > 0 { // else what is given up at the target time would have earned a share
		allow = o.limit - p.now
	}
	allow = min(allow, cmp.Or(t.AttemptTimeout, allow))
	o.hops = append(o.hops, hop{server: s, sent: p.now})
	if o.group < 0 {
		o.group, o.firstRun = s, p.now
	}
	o.mayRun = true
	if p.inFlight[s] == 0 {
		p.answered[s] = p.now
	}
	if p.failures.Get(s, o.kind).Consecutive > 0 {
		p.failures.SetEjectedUntil(s, o.kind, o.target) // on trial, alone
	}
	p.inFlight[s]++
	if p.flying++; p.doom(o) > 0 { // takes none of the window from those that can be handled
		p.outlast(op)
	}
	if p.cold.Has(s) {
		p.coldPace[s]--
	}
	p.emit(Effect{Kind: SendAttempt, Request: op, Server: s, Duration: allow})
}

// hopEnded books a hop's end under its server and lets the table answer for the operation.
func (p *Policy) hopEnded(in *Input) {
	if in.Request >= len(p.ops) || in.Attempt >= len(p.ops[in.Request].hops) || p.ops[in.Request].hops[in.Attempt].ended {
		return
	}
	o := &p.ops[in.Request]
	h := &o.hops[in.Attempt]
	h.ended, o.ended = true, in.Outcome
	p.inFlight[h.server]--
	if !h.late {
		p.flying--
	}
	p.closeIdle(h.server)
	ran := in.Outcome != Overloaded && in.Outcome != Unreachable && in.Outcome != NotStarted
	p.learn(h.server, o, h.sent, in.Outcome)
	if !ran {
		// as if it had never been sent: the group is that of the first hop that may have run
		o.mayRun, o.group = false, -1
		for i, other := range o.hops {
			if i != in.Attempt && other.server >= 0 && o.group < 0 {
				o.mayRun, o.group, o.firstRun = true, other.server, other.sent
			}
		}
		h.server = -1
	}
	switch {
	case o.state == closed:
	case in.Outcome == Success:
		p.step(in.Request, won)
	case in.ClientAnswered:
		p.step(in.Request, departed)
	default:
		p.step(in.Request, lost)
	}
	p.dispatch()
}

// learn keeps the figures about a server from the end of one hop.
func (p *Policy) learn(s int, o *operation, sent time.Duration, how Outcome) {
	spent, usual := p.now-sent, p.usual[o.kind]
	p.turned.Observe(0, 2*causeMemory)
	p.unconnected.Observe(0, 2*causeMemory)
	if how == TimedOut { // the server may still work on it, and looks idle if that is not counted
		p.abandoned[s], p.abandonedSent[s] = p.abandoned[s]+1, max(p.abandonedSent[s], sent)
	}
	if how == Success || how == Failure || how == TimedOut || how == ConnectionBroken {
		short := how == TimedOut && o.target-sent < 2*p.base[o.kind] // tells of the client only
		if o.doomed = !short && p.blamed(s, o, how); o.doomed || short {
			return
		}
	}
	switch how {
	case Success:
		p.spike(s, sent, float64(spent) > spikeFactor*float64(p.smoothed.At(s)))
		p.smoothed.Set(s, p.smoothed.At(s)+time.Duration(smoothing*float64(spent-p.smoothed.At(s))))
		p.samples[o.kind]++
		p.answers = true
		p.usual[o.kind] += time.Duration(max(typeSmooth, 1/p.samples[o.kind]) * float64(spent-usual))
		if p.base[o.kind] > p.usual[o.kind] || p.samples[o.kind] < baseSamples {
			p.base[o.kind] = p.usual[o.kind]
		}
		p.successes += 1 / rateSpan.Seconds()
		p.finished += p.allowed(o.kind) / windowSpan.Seconds()
		p.alive(s)
		p.refused[s] = 0
		p.failures.RecordSuccess(s, o.kind)
		if sent >= p.abandonedSent[s] {
			p.abandoned[s] = 0 // servers work in turn: what was sent before this hop is done
		}
	case TimedOut:
		p.spike(s, sent, true)
		p.strike(s, restStrikes)
		p.fault(s, o.kind, sent)
	case Failure:
		p.answered[s] = p.now
		p.strike(s, restStrikes)
		p.fault(s, o.kind, sent)
	case ClientError, ConnectionBroken: // neither nonsense from clients nor single connections must take servers out
		if p.soft[s]++; p.soft[s] >= softRun {
			p.strike(s, 1)
		}
	case Overloaded: // servers may refuse one type and serve the others: the rest is for that type only
		p.answered[s] = p.now
		p.failures.SetEjectedUntil(s, o.kind, p.now+restFirst)
		p.turned.Failed++
		p.slowness[s] += smoothing * (spikeFactor - p.slowness[s])
		if p.refused[s]++; p.refused[s] >= restStrikes && p.now >= p.failures.EjectedUntil(s, failures.AllTypes) {
			p.rest(s, failures.AllTypes, p.refused[s]-restStrikes, restServers)
		}
	case Unreachable:
		enough := 1
		if spent < p.set.ConnectTimeout/2 { // refused at once: costs nothing, and may be the one connection
			enough = restStrikes
			p.unconnected.Failed++
			if i := slices.Index(p.pool, s); i >= 0 && float64(len(p.pool)) > p.need+poolSlack {
				p.drop(i) // it may have none to spare for this node, and others do without it
			}
		}
		p.strike(s, enough)
		p.lost[s] = p.lost[s] || p.strikes[s] >= enough
	}
	if how == Success || how == TimedOut {
		p.judge(spent.Seconds(), p.allowed(o.kind))
		p.slowness[s] += smoothing * (float64(spent)/float64(max(usual, 1)) - p.slowness[s])
	}
}

// sorts are the records of what an operation shares with others: type and repeat, tenant, key.
func (p *Policy) sorts(o *operation) []*decay.FailureRate {
	kind := 2 * o.kind
	if o.again {
		kind++
	}
	all := [...]*decay.FailureRate{&p.byType[kind], p.tenants.FailureRate(o.tenant), &p.byKey[o.key%causeKeys]}
	if o.key == 0 {
		return all[:2]
	}
	return all[:]
}

// blamed books an end and tells if a failure is the operation's own: its sorts fail more often than this
// server does. This guards against operations that do harm anywhere, which would have all servers rest.
func (p *Policy) blamed(s int, o *operation, how Outcome) bool {
	failed, worst := 1.0, 0.0
	if how == Success {
		failed = 0
	}
	for _, c := range p.sorts(o) {
		if failed == 0 || c.LastSource != s+1 { // of a row at one server one counts: it tells of the server
			c.Observe(failed, 3*causeMemory)
		}
		if failed > 0 {
			c.LastSource = s + 1
		}
		worst = max(worst, c.Rate(causeLeast))
	}
	if b := &p.breaks[o.kind]; how == ConnectionBroken {
		if b.LastSource != s+1 {
			b.Failed, b.LastSource = b.Failed+1, s+1
		}
		if b.Failed >= breaksMost && p.set.TrafficTypes[o.kind].PriorityWeight < p.dearest {
			return true
		}
	}
	p.records.Observe(s, failed, causeMemory)
	p.overall.Observe(failed, 3*causeMemory)
	return failed > 0 && worst > max(p.records.At(s).Rate(causeLeast)+causeServer, p.overall.Rate(causeLeast))
}

// dispatch gives freed room to the operations that wait here, the dearest first.
func (p *Policy) dispatch() {
	stuck := uint64(0) // placements of which no server can be found now
	for p.dispatches++; !p.full(); {
		best := -1
		for _, op := range p.open.Items() {
			if o := &p.ops[op]; o.state == waiting && o.dispatched != p.dispatches && p.hasRoom(o) &&
				p.set.TrafficTypes[o.kind].PlacementBit&stuck == 0 &&
				(best < 0 || p.worth(o.bucket) > p.worth(p.ops[best].bucket)) {
				best = op
			}
		}
		if best < 0 {
			return
		}
		p.ops[best].dispatched = p.dispatches
		p.step(best, swept)
		if o, t := &p.ops[best], &p.set.TrafficTypes[p.ops[best].kind]; o.state == waiting && t.PoolLabels == 0 {
			if stuck |= t.PlacementBit; t.PlacementBit == 0 {
				return // nor would the others find a server
			}
		}
	}
}

// alive ends a server's rest. One that answers after it was out of reach may have restarted before the
// list tells: it is held for cold, so that it is not pushed over.
func (p *Policy) alive(s int) {
	if p.lost[s] && p.now-p.answered[s] > silentDeath {
		p.markCold(s, p.now)
	}
	p.answered[s], p.strikes[s], p.soft[s], p.lost[s] = p.now, 0, 0, false
	p.failures.ClearEjection(s)
	p.doubt[s], p.droppedAt[s] = max(p.doubt[s]-1, 0), p.now
}

// strike counts a failure and sends the server to rest after enough in a row.
func (p *Policy) strike(s, enough int) {
	p.strikes[s]++
	if !p.members.Listed(s) {
		p.doubt[s] = min(p.doubt[s]+1, doubtMost)
	}
	if p.strikes[s] >= enough && p.now >= p.failures.EjectedUntil(s, failures.AllTypes) {
		p.rest(s, failures.AllTypes, p.strikes[s]-enough, restServers)
	}
}

// fault counts the failures of one type; answers to others take a server's strikes back. One hop at a time
// then tries it, and after a row it rests for that type. Of a queue that fails whole one counts.
func (p *Policy) fault(s, kind int, sent time.Duration) {
	if sent < p.failures.Get(s, kind).LastAt {
		return
	}
	t := p.failures.GetOrCreate(s, kind)
	t.LastAt = p.now
	if t.Consecutive++; t.Consecutive >= typeStrikes {
		p.rest(s, kind, t.Consecutive-typeStrikes, restTypes)
	}
}

// rest sets the end of a rest that doubles, unless too many ready servers, or of those open, would rest.
func (p *Policy) rest(s, kind, doubled int, share float64) {
	n, bound, among := 1.0, p.members.Placements(s), [2 * MaxPlacements]int{}
	if kind != failures.AllTypes {
		bound = p.set.TrafficTypes[kind].PlacementBit
	}
	for other := range p.failures.Active().All() {
		if p.members.Ready(other) && p.members.Listed(other) && p.now < p.failures.EjectedUntil(other, kind) {
			n++
			readiness.AddToBits(&among, bound&p.members.Placements(other), 1)
		}
		p.forgetFailures(other)
	}
	few := n <= share*float64(p.readyCount) || kind != failures.AllTypes && bound != 0
	for i, rest := range among {
		few = few && (bound>>i&1 == 0 || float64(rest+1) <= share*float64(p.members.ReadyWithPlacements(1<<i)))
	}
	if few || !p.members.Listed(s) { // for those dropped the list bears it out
		wait := min(restFirst<<min(doubled, 3), restMost)
		p.failures.SetEjectedUntil(s, kind, p.now+time.Duration(float64(wait)*(0.75+0.5*p.chance())))
	}
}

// forgetFailures drops those that bear on nothing now: when the last came matters to hops then out only.
func (p *Policy) forgetFailures(s int) {
	if p.inFlight[s] == 0 {
		p.failures.DeleteFunc(s, func(e failures.Entry) bool { return e.Consecutive == 0 && p.now >= e.EjectedUntil })
	}
	if p.failures.EntryCount(s) == 0 && p.now >= p.failures.EjectedUntil(s, failures.AllTypes) {
		p.failures.Deactivate(s)
	}
}

// spike counts runs of spikes and time-outs; a run is one pause, and its line is fitted anew.
func (p *Policy) spike(s int, sent time.Duration, is bool) {
	if !is {
		p.streak[s] = 0
		return
	}
	if p.streak[s] == 0 {
		p.runStart[s] = max(sent, p.answered[s])
	}
	p.streak[s]++
	merged := p.pauses[s] > 0 && p.runStart[s]-p.lastSpike[s] < p.smoothed.At(s)
	if p.streak[s] == spikeRun && !merged {
		n := min(p.pauses[s], forecastWindow)
		if n == forecastWindow {
			copy(p.onsets[s][:], p.onsets[s][1:])
			n--
		}
		p.onsets[s][n] = p.runStart[s].Seconds()
		p.pauses[s]++
		p.fit(s)
	}
	if p.streak[s] >= spikeRun {
		p.lastSpike[s] = p.now
	}
}

// fit draws the least-squares line of pause count over onset time and reads where it meets the next
// count. A line that does not rise forecasts nothing.
func (p *Policy) fit(s int) {
	p.forecast[s] = 0
	n := min(p.pauses[s], forecastWindow)
	line := leastsquares.Fit(p.onsets[s][:n])
	if line.Run <= 0 || line.Rise <= 0 {
		return
	}
	at, interval := line.XAt(float64(n)), line.Run/line.Rise
	if at > 0 && at < math.MaxInt32 && interval < math.MaxInt32 {
		p.forecast[s] = time.Duration(at * float64(time.Second))
		p.interval[s] = time.Duration(interval * float64(time.Second))
	}
}

// nearPause: the forecast pause lies within the threshold of now, or is overdue by less.
func (p *Policy) nearPause(s int) bool {
	threshold := min(forecastThreshold, time.Duration(intervalShare*float64(p.interval[s])))
	ahead := p.forecast[s] - p.now
	return p.forecast[s] != 0 && ahead <= threshold && ahead > -threshold
}

// crowded: more in flight than the mean for a server of this scale.
func (p *Policy) crowded(s int) bool {
	return float64(p.inFlight[s])+p.abandoned[s] > crowdFactor*p.flying*p.weight[s]/max(p.weights, 1e-9)
}

// unwell: resting, be it for this type, or on trial with a hop out; binding operations go to none on trial.
func (p *Policy) unwell(s int, o *operation) bool {
	trial := p.strikes[s] > 0 && (p.inFlight[s] > 0 || p.set.TrafficTypes[o.kind].Idempotency == NonIdempotent)
	return trial || p.now < max(p.failures.EjectedUntil(s, failures.AllTypes), p.failures.Get(s, o.kind).EjectedUntil)
}

// excluded: the rules or the cold budget forbid this server for this operation.
func (p *Policy) excluded(s int, o *operation) bool {
	t := &p.set.TrafficTypes[o.kind]
	if !p.members.Ready(s) || t.PlacementBit&^p.members.Placements(s) != 0 || p.cold.Has(s) && p.coldPace[s] < 1 {
		return true
	}
	kept := o.mayRun && t.Idempotency == IdempotentWithKey // to its group
	return t.PoolLabels != 0 && t.PoolLabels&p.members.Labels(s) == 0 || kept && (t.KeyScope == KeyScopeZone &&
		p.zone[s] != p.zone[o.group] || t.KeyScope == KeyScopeCell && p.cell[s] != p.cell[o.group])
}

// routed walks the servers taken in, idle ones first; when all are busy or skipped the next of the rotation
// joins, a plan's part first. When none is left, skipping goes in steps: all skips of design and health, none
// but health, only those excluded. Where few connections are to be had, an idle server is waited for.
func (p *Policy) routed(op int) bool {
	o := &p.ops[op]
	if o.state != out && (p.full() || !p.hasRoom(o)) {
		return false
	}
	if scarce := p.unconnected.Rate(causeMemory); scarce > scarceAim {
		return p.walk(o, 3) || len(p.pool) < p.readyCount && p.chance() > math.Sqrt(scarce) && p.join(o)
	}
	if len(p.pool) < p.readyCount && (p.walk(o, 3) || p.join(o)) {
		return true
	}
	for care := 2; care >= 0; care-- {
		if p.walk(o, care) {
			return true
		}
	}
	return false
}

// walk goes round the servers taken in. Each that is not skipped earns its share of a turn, the most due is
// next, in the order of the round: equal shares are plain round robin. Where servers remember keys, the one
// that every node ranks first for the key goes before others whose turn is near: nodes agree without a word.
func (p *Policy) walk(o *operation, care int) bool {
	n, best, most, earned := len(p.pool), -1, 0.0, 0.0
	for i := range n {
		s := p.pool[(p.turn+i)%n]
		switch {
		case p.excluded(s, o):
		case care > 0 && (tried(o, s) || p.unwell(s, o)):
		case care > 1 && (p.nearPause(s) || p.crowded(s) || p.part[s] < 0):
		case care > 2 && p.inFlight[s] > 0:
		default:
			share := math.Sqrt(p.weight[s])
			earned += share
			p.due[s] += share
			first := p.due[s]
			if p.set.ServersCacheKeys && o.key != 0 && first >= -turnsAhead*share {
				first = math.MaxInt16 + hashed(o.key*uint32(p.rank[s]|1), 0)
			}
			if best < 0 || first > most+1e-9 { // what differs by less is rounding
				best, most = i, first
			}
		}
	}
	if best >= 0 {
		p.pick = p.pool[(p.turn+best)%n]
		p.turn, p.due[p.pick] = (p.turn+best+1)%n, p.due[p.pick]-earned
	}
	return best >= 0
}

// join takes in the next server of the rotation that the operation may use. The first place is drawn
// from this node's own part of the rotation, so that nodes that know few come out even over all.
func (p *Policy) join(o *operation) bool {
	n := p.rotation.Len()
	if !p.started {
		part := (float64(p.set.NodeIndex)*homeStep + p.chance()/float64(p.set.NodeCount))
		p.next, p.started = int((part-math.Floor(part))*float64(n)), true
	}
	free := func(s int) bool {
		return !p.member[s] && !p.excluded(s, o) && !tried(o, s) && !p.unwell(s, o) && !p.nearPause(s)
	}
	best := 0.0
	for s := range p.shared.All() {
		if p.part[s] > 0 && free(s) {
			if drawn := p.part[s] * p.chance(); drawn > best {
				best, p.pick = drawn, s
			}
		}
	}
	home := p.chance() > p.strain
	if t := &p.set.TrafficTypes[o.kind]; best == 0 && t.PoolLabels|t.PlacementBit != 0 && p.allTaken(t) {
		return false
	}
	for _, anywhere := range []bool{!home, true} {
		i := 0
		for s := range p.rotation.From(p.next) {
			if i++; best > 0 {
				break
			}
			if p.part[s] >= 0 && free(s) && (anywhere || p.zone[s] == p.set.Zone) {
				p.next, p.pick, best = (p.next+i)%n, s, 1
			}
		}
	}
	if best > 0 {
		p.admitServer(p.pick)
		p.weigh()
	}
	return best > 0
}

// allTaken: every ready server of a type's pool or placement is taken in, so a walk for another finds none.
func (p *Policy) allTaken(t *TrafficType) bool {
	pooled, open := p.members.ReadyWithLabels(t.PoolLabels), p.members.ReadyWithPlacements(t.PlacementBit)
	for _, s := range p.pool {
		pooled -= bits.OnesCount64(p.members.Labels(s) & t.PoolLabels)
		open -= bits.OnesCount64(p.members.Placements(s) & t.PlacementBit)
	}
	return t.PoolLabels != 0 && pooled == 0 || t.PlacementBit != 0 && open == 0
}

func (p *Policy) admitServer(s int) {
	p.pool, p.member[s] = append(p.pool, s), true
	p.slowness[s], p.abandoned[s], p.due[s] = 1, 0, 0
}

// letGo drops the slowest server when more are taken in than were needed lately and than can be judged:
// where answers tell of each, turns stay even over all of them.
func (p *Policy) letGo(passed time.Duration) {
	p.need = max(p.need*math.Exp(-passed.Seconds()/poolSpan.Seconds()), p.flying)
	if float64(len(p.pool)) <= max(p.need+poolSlack, p.successes/poolJudged) {
		return
	}
	worst := slices.MaxFunc(p.pool, func(a, b int) int { return cmp.Compare(p.slowness[a], p.slowness[b]) })
	p.drop(slices.Index(p.pool, worst))
}

func (p *Policy) drop(i int) {
	s := p.pool[i]
	p.pool, p.member[s] = slices.Delete(p.pool, i, i+1), false
	p.emit(Effect{Kind: CloseIdle, Server: s})
	if i < p.turn {
		p.turn--
	}
}

func tried(o *operation, s int) bool {
	return slices.ContainsFunc(o.hops, func(h hop) bool { return h.server == s })
}

// follow takes a server list. Where it must be asked for, a failure is answered by asking again after a
// growing, spread-out wait, for the list service has little capacity.
func (p *Policy) follow(in *Input) {
	if in.Scope == Unavailable {
		p.asked = false
		p.askAt = p.now + time.Duration(float64(p.askWait)*(0.5+p.chance()))
		p.askWait = min(2*p.askWait, askMost, max(p.set.RequestEndpointsWithin/4, askFirst))
		return
	}
	if in.Scope != Cached {
		p.askWait = askFirst
	}
	known := p.members.Len() > 0
	p.members.BeginUpdate()
	if in.Scope != Incremental { // absent from a full list: gone
		p.members.UnlistAll()
	}
	for _, m := range in.Endpoints {
		s := m.Server
		isNew, wasListed := m.IndexReused || s == p.members.Len(), p.members.WasListed(s)
		if isNew {
			p.enrol(s)
		}
		if !p.rotation.Has(s) {
			p.rotate(s, int(m.Rank))
		}
		p.zone[s], p.machine[s], p.cell[s], p.scale[s] = m.Zone, m.MachineKind, m.Cell, cmp.Or(max(m.Weight, 0), 1)
		p.place(s)
		p.members.SetLabels(s, m.Labels)
		p.setReady(s, m.Condition == Up || m.Condition == Removed && p.members.Ready(s) && !m.AddressReassigned)
		if m.Condition == Up && !wasListed && known && !p.member[s] &&
			p.chance()*float64(p.readyCount+1) < float64(len(p.pool)) {
			p.admitServer(s) // as often as it has any other: not left out, and not taken in by all at once
			p.readyCount = p.members.ReadyCount()
		}
		p.members.SetListed(s, m.Condition != Removed)
		switch {
		case m.HasStartTime && p.now-m.StartedAt < p.set.SlowStartDuration:
			if !p.cold.Has(s) || m.StartedAt > p.coldSince[s] {
				p.markCold(s, m.StartedAt)
			}
		case !m.HasStartTime && known && !wasListed && in.Scope != Cached && p.members.Ready(s) &&
			(isNew || !p.set.UnlistedUsable):
			p.markCold(s, p.now) // no start time told, but it was not there before
		}
	}
	for s := range p.members.ReadyUnlisted().All() {
		p.unlist(s, p.members.WasListed(s))
	}
	p.listedMost = max(p.listedMost, p.members.ListedCount())
	p.pool = slices.DeleteFunc(p.pool, func(s int) bool {
		p.member[s] = p.members.Ready(s)
		return !p.members.Ready(s)
	})
	p.turn = min(p.turn, max(len(p.pool)-1, 0))
	p.weigh()
	if len(p.samples) > 0 && !p.answers {
		p.grown = windowStart * float64(p.readyCount) / float64(p.set.NodeCount)
	}
	p.dispatch()
}

// place works out which placements a server meets, when the list tells of it and not at each send.
func (p *Policy) place(s int) {
	met, zone, kind := uint64(0), p.zone[s], p.machine[s]
	for i, to := range p.set.Placements {
		free := to.Zones == nil || slices.Contains(to.Zones, zone)
		if free && (to.MachineKinds == nil || slices.Contains(to.MachineKinds, kind)) {
			met |= 1 << i
		}
	}
	p.members.SetPlacements(s, met)
}

// setReady has a server get new work, or none from now on.
func (p *Policy) setReady(s int, ready bool) {
	was := p.members.SetReady(s, ready)
	if p.leaving.Put(s, p.leaving.Has(s) && !ready); was && !ready {
		p.closeIdle(s)
	}
}

// closeIdle has idle connections to a server that gets nothing new closed, once more after half the time: a
// connect that was under way has ended by then. It costs nothing where all are closed.
func (p *Policy) closeIdle(s int) {
	if p.set.CloseOnDrain && !p.members.Ready(s) {
		p.emit(Effect{Kind: CloseIdle, Server: s})
		p.leaving.Add(s)
		p.usedAt[s] = p.now
	}
}

// unlist answers that the list dropped a server. Where only draining binds, its turns go down by a step, then
// by what its hops find, against lists that are wrong, old or cut short; the dead cost a few connects.
func (p *Policy) unlist(s int, now bool) {
	if p.setReady(s, p.set.UnlistedUsable); !p.members.Ready(s) {
		return
	}
	if now {
		p.doubt[s], p.droppedAt[s] = min(p.doubt[s]+1, doubtMost), p.now
	}
	p.emit(Effect{Kind: Retain, Server: s})
}

// giveUpDropped lets go of servers that the list dropped and that have not answered for long, the longest
// silent also when more are kept than are listed at most, so that what is kept stays bounded.
func (p *Policy) giveUpDropped() {
	kept, oldest := p.members.ReadyUnlisted().Len(), -1
	for s := range p.members.ReadyUnlisted().All() {
		if oldest < 0 || p.droppedAt[s] < p.droppedAt[oldest] {
			oldest = s
		}
	}
	if kept > 0 && (kept > p.listedMost || p.now-p.droppedAt[oldest] > dropKept) && p.inFlight[oldest] == 0 {
		p.setReady(oldest, false)
		if i := slices.Index(p.pool, oldest); i >= 0 {
			p.drop(i)
		}
		p.emit(Effect{Kind: Forget, Server: oldest})
	}
}

// markCold takes a server for cold since a moment.
func (p *Policy) markCold(s int, since time.Duration) {
	p.cold.Add(s)
	p.coldSince[s], p.coldPace[s] = since, 0
	p.strikes[s], p.lost[s], p.soft[s] = 0, false, 0
	p.failures.Reset(s)
}

// rotate puts a server into the rotation by its rank, which is the same at every node.
func (p *Policy) rotate(s, r int) {
	p.rank[s] = r
	if p.rotation.Insert(s, r) < p.next {
		p.next++
	}
}

// enrol sets all figures of a server, also under the index of another; smoothed latency is the others' mean.
func (p *Policy) enrol(s int) {
	mean := p.smoothed.Sum() / time.Duration(max(p.smoothed.Len(), 1))
	if p.smoothed.Len() == 0 {
		for _, latency := range p.usual {
			mean += latency / time.Duration(len(p.usual))
		}
	}
	if p.rotation.Has(s) && p.rotation.Delete(s) < p.next {
		p.next--
	}
	p.cold.Remove(s)
	p.leaving.Remove(s)
	p.shared.Remove(s)
	p.members.Add(s)
	p.failures.Add(s)
	columns.Put(s, false, &p.member, &p.lost)
	p.records.Reset(s)
	columns.Put(s, 0, &p.rank, &p.zone, &p.machine, &p.cell, &p.inFlight, &p.streak, &p.strikes, &p.pauses,
		&p.soft, &p.doubt, &p.refused)
	columns.Put(s, 0.0, &p.due, &p.coldPace, &p.abandoned, &p.part, &p.pace)
	columns.Put(s, 1.0, &p.scale, &p.weight, &p.slowness)
	columns.Put(s, 0, &p.coldSince, &p.abandonedSent, &p.runStart, &p.lastSpike, &p.forecast,
		&p.interval, &p.droppedAt, &p.usedAt)
	p.smoothed.Set(s, mean)
	columns.Put(s, p.now, &p.answered)
	columns.Put(s, [forecastWindow]float64{}, &p.onsets)
}

// capacity is the share of its full capacity that a server surely has: it warms evenly at the slowest.
func (p *Policy) capacity(s int) float64 {
	age := float64(p.now-p.coldSince[s]) / float64(max(p.set.SlowStartDuration, 1))
	if age >= 1 {
		p.cold.Remove(s)
	}
	if !p.cold.Has(s) {
		return 1
	}
	return p.set.SlowStartInitialCapacity + (1-p.set.SlowStartInitialCapacity)*max(age, 0)
}

func (p *Policy) weigh() {
	p.weights, p.scales, p.readyCount = 0, 0, p.members.ReadyCount()
	for _, s := range p.pool {
		able := p.scale[s] * p.capacity(s)
		p.weight[s] = able / max(p.slowness[s]*p.slowness[s], slowLeast) / float64(int(1)<<(2*p.doubt[s]))
		p.scales += able
		p.weights += p.weight[s]
	}
}

// sweep looks at all that time changes: rates, cold budgets, shedding, open operations, the list.
func (p *Policy) sweep() {
	period := max(sweepPeriod, p.set.TimerGranularity)
	p.emit(Effect{Kind: SetTimer, Duration: period})
	passed := p.now - p.lastSweep
	p.lastSweep = p.now
	fade := math.Exp(-passed.Seconds() / rateSpan.Seconds())
	p.successes *= fade
	kept := math.Exp(-passed.Seconds() / causeFade.Seconds())
	p.tenants.Decay(fade, rateLeast, kept, negligible)
	p.turned.Decay(fade, negligible)
	p.unconnected.Decay(fade, negligible)
	p.records.Decay(kept, negligible)
	for i := range p.byKey {
		p.byKey[i].Decay(kept, negligible)
	}
	relax := 1 - math.Exp(-passed.Seconds()/baseSpan.Seconds())
	for kind := range p.busy.All() {
		if !p.age(kind, passed, fade, kept, relax) {
			p.busy.Remove(kind)
		}
	}
	p.finished *= math.Exp(-passed.Seconds() / windowSpan.Seconds())
	p.weigh()
	p.paceCold(passed)
	for _, s := range p.pool {
		p.abandoned[s] *= math.Exp(-float64(passed) / (spikeFactor * float64(max(p.smoothed.At(s), 1))))
	}
	for s := range p.leaving.All() {
		if p.now-p.usedAt[s] >= p.set.DrainCloseTimeout/2 {
			p.leaving.Remove(s)
			p.emit(Effect{Kind: CloseIdle, Server: s})
		}
	}
	p.letGo(passed)
	p.giveUpDropped()
	p.adjustShed(passed)
	p.dispatch()
	for i := p.open.Len() - 1; i >= 0; i-- {
		if i < p.open.Len() {
			p.step(p.open.Items()[i], swept)
		}
	}
	if p.set.MustRequestEndpoints && !p.asked && p.now >= p.askAt {
		p.asked = true
		p.emit(Effect{Kind: Subscribe})
	}
}

// age lets time pass for a type, and tells whether more of it would change anything.
func (p *Policy) age(kind int, passed time.Duration, fade, kept, relax float64) bool {
	rates, records, breaks := p.rates[2*kind:2*kind+2], p.byType[2*kind:2*kind+2], &p.breaks[kind]
	for i := range rates {
		rates[i] = decay.ZeroBelow(rates[i]*fade, rateLeast)
		records[i].Decay(kept, negligible)
	}
	breaks.Decay(kept, negligible)
	step := time.Duration(relax * float64(p.usual[kind]-p.base[kind]))
	p.base[kind] += step
	retries, copies := p.retries[kind], p.copies[kind]
	p.grant(kind, 0, passed.Seconds())
	still := step == 0 && p.retries[kind] == retries && p.copies[kind] == copies && passed > 0
	return !still || rates[0]+rates[1]+records[0].Total+records[1].Total+breaks.Failed > 0
}

// paceCold refills the cold budgets. The fall is counted over all nodes, so each node gives a cold
// server what a warm one of its scale handles for this node, cut to the capacity it surely has.
func (p *Policy) paceCold(passed time.Duration) {
	if p.cold.Len() == 0 {
		return
	}
	floor := coldFloor * p.set.CrashLoadFactor / max(slices.Max(p.usual), 1).Seconds() / float64(p.set.NodeCount)
	for s := range p.cold.All() {
		part := p.scale[s] / max(p.scales, 1e-9)
		if p.set.WeightsFollowLoad { // which list a server that holds nothing yet for several that hold much
			part = min(part, 1/max(float64(len(p.pool)), 1))
		}
		own := coldShare * p.set.CrashLoadFactor * p.successes * part
		pace := cmp.Or(p.pace[s], max(own, floor)) * p.capacity(s)
		if p.chance() < pace*passed.Seconds() {
			p.coldPace[s] = min(p.coldPace[s]+1, coldBurst)
		}
		if p.chance() < passed.Seconds()/coldLasts.Seconds() {
			p.coldPace[s] = max(p.coldPace[s]-1, 0)
		}
	}
}

// adjustShed moves the share of offered work that is denied, and spreads it: the types that earn least
// for the time they take are denied first, operations beyond their tenant's share at its lower revenue.
func (p *Policy) adjustShed(passed time.Duration) {
	kept := math.Exp(-passed.Seconds() / blockedSpan.Seconds())
	if p.blocked *= kept; p.full() {
		p.blocked += 1 - kept
	}
	off := max(1-max(p.blocked/blockedAim, p.turned.Rate(causeLeast)/refusedAim), -2)
	p.admit = min(max(p.admit*math.Exp(admitPace*off*passed.Seconds()), admitLeast), cmp.Or(p.admitMost, 1))
	p.order = slices.DeleteFunc(p.order, func(b int) bool { return !p.busy.Has(b / 2) })
	slices.SortFunc(p.order, func(a, b int) int { return cmp.Or(cmp.Compare(p.worth(a), p.worth(b)), a-b) })
	total := 0.0
	for kind := range p.busy.All() {
		for b := 2 * kind; b < 2*kind+2; b++ {
			total += p.rates[b] * p.usual[kind].Seconds()
		}
	}
	cut := (1 - p.admit) * total
	p.shed = p.shed[:0]
	for _, b := range p.order {
		p.shed = append(p.shed, shed{b, p.worth(b), cut})
		load := p.rates[b] * p.usual[b/2].Seconds()
		p.denyShare[b] = p.denied(b, cut, load)
		cut = max(cut-p.denyShare[b]*load, 0)
	}
	p.shed = append(p.shed, shed{len(p.rates), math.Inf(1), cut})
}

func (p *Policy) denied(b int, cut, load float64) float64 {
	return min(cut/max(load, 1e-9), cmp.Or(p.set.TrafficTypes[b/2].MaxShedShare, shedMost))
}

// activate has a type that had no traffic for long age again. Its buckets get the shares that they would
// have had.
func (p *Policy) activate(kind int) {
	if p.busy.Has(kind) {
		return
	}
	p.busy.Add(kind)
	for b := 2 * kind; b < 2*kind+2; b++ {
		p.order = append(p.order, b)
		if b < len(p.denyShare) && len(p.shed) > 0 {
			i, _ := slices.BinarySearchFunc(p.shed, b, func(other shed, b int) int {
				return cmp.Or(cmp.Compare(other.worth, p.worth(b)), other.bucket-b)
			})
			p.denyShare[b] = p.denied(b, p.shed[i].cut, 0)
		}
	}
}

func (p *Policy) worth(bucket int) float64 {
	share := [2]float64{1, p.set.OverQuotaWeightShare}[bucket%2]
	return share * p.set.TrafficTypes[bucket/2].PriorityWeight / max(p.usual[bucket/2].Seconds(), 1e-6)
}
