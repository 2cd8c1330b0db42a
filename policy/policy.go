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
	maxThresholdShare = 0.25            // of the fitted interval, so that a server is fed half the time
	maxOnsets         = 4               // onsets in a fit; more would outlast the troubles seen
	spikeFactor       = 4.0             // times smoothed latency; the tail of usual work stays below
	minSpikesInPause  = 2               // hops in a run that counts as a pause
	maxTurnsAhead     = 2.0             // that a server may take to meet a key again; turns stay even over all
	crowdedFactor     = 1.0             // times the mean in flight; with few hops a node, the mean is the signal

	latencySmoothing        = 0.1                    // weight of one sample in a server's latency and slowness: ten hops
	typeLatencySmoothing    = 0.02                   // weight of one sample in a type latency: fifty hops
	minSquaredSlowness      = 0.1                    // of the square, so that a fast server is not given all
	tickInterval            = 20 * time.Millisecond  // between looks at open operations; well under any target time
	initialEjection         = 500 * time.Millisecond // first rest of a failing server; doubles each time
	maxEjection             = 4 * time.Second        // longest rest, so that a healed server is found within it
	minConsecutiveFailures  = 2                      // failures in a row; one may be a heavy operation
	maxEjectedShare         = 0.5                    // of the ready servers may rest: more would only load the others
	minTypeFailures         = 3                      // the same of one type, each sent after the last; overload brings two
	maxTypeEjectedShare     = 0.75                   // of the servers may rest for one type; the others still use them
	minSoftFailures         = 5                      // hops declined or broken in a row; fewer may be chance
	latencyHeadroomShare    = 0.1                    // of the target time left by unloaded latency; servers choke on more
	unloadedLatencyMemory   = 30 * time.Second       // in which a higher latency counts as unloaded; longer than jams
	minLatencySamples       = 20.0                   // answers before a type's latency is taken for known; chance evens out
	finishedMemory          = 1 * time.Second        // over which finished hops are counted
	latencyRatioSmoothing   = 0.05                   // weight of one hop in the strain: twenty hops
	initialLimitPerServer   = 4.0                    // hops a server over all nodes at the start; it grows with answers
	minLimitPerServer       = 2.0                    // the same under strain: enough to see it pass
	maxQueueShare           = 0.3                    // of the target time that an operation may wait here for its turn
	minLatenciesLeft        = 1.5                    // times the type's latency that must be left after the wait
	maxSaturatedShare       = 0.8                    // share of time that the window may be full before less is admitted
	saturationMemory        = 500 * time.Millisecond // over which that is taken
	admissionSpeed          = 2.0                    // per second, of the log of the admitted share; up and down alike
	minAdmittedShare        = 0.02                   // of the offered work, so that it is seen when it has passed
	defaultMaxShedShare     = 0.95                   // of one type; some of each are let through
	rateMemory              = 3 * time.Second        // over which arrival and success rates are taken
	minSlowStartShare       = 0.5                    // of the fall budget a server of one core would have; the least pace
	slowStartShare          = 0.6                    // of the fall budget; the rest is for chance and for nodes not told
	maxSlowStartTokens      = 2.0                    // hops saved up for a cold server
	slowStartTokenLifetime  = 2 * time.Second        // for which one is, so that all nodes together save up little
	budgetMemorySeconds     = 3.0                    // seconds for which budgets of retries and copies are saved up
	initialPollBackoff      = 250 * time.Millisecond // wait before asking for the list again; doubles
	maxPollBackoff          = 4 * time.Second        // longest wait, and at most a quarter of askWithin
	subsetSlack             = 2.0                    // servers kept beyond those needed: one rests while another works
	judgingAnswersPerSecond = 1.0                    // answers a second a server; ten, which judge it, come in 10 s
	subsetMemory            = 10 * time.Second       // in which servers once needed count as needed; longer than a burst
	goldenSection           = 0.6180339887           // of the rotation between two nodes' starts; spreads any run of nodes
	minRestartSilence       = 1 * time.Second        // out of reach this long may mean a restart, so a cold server
	attributionMargin       = 0.1                    // by which a sort must fail more often than a server to clear it
	attributionPrior        = 3.0                    // ends without failure in a new record, so that one tells little
	attributionMemory       = 10.0                   // ends that count of a server's record; of sorts' three times as many
	attributionDecayTime    = 10 * time.Second       // after which a record counts for a third
	keyRecordCount          = 256                    // records of keys, shared by checksum
	maxBreakingServers      = 1.5                    // servers that broke off hops of a type lately: another may follow
	minAttributedShedRate   = 0.6                    // failing more often, a sort is denied by chance as it comes
	fullAttributedShedRate  = 0.9                    // failing so often, all but a few of it
	maxConnectFailureShare  = 0.1                    // share of hops without a connection above which idle servers are due
	maxOverloadedShare      = 0.2                    // share of hops turned away as full before less is admitted
	maxSuspicion            = 3                      // steps down for a dropped server, each halves its turns
	unlistedRetention       = 60 * time.Second       // without an answer, then a dropped server has gone; lists heal sooner
	minRecordCount          = 1e-9                   // ends: a record that fades below is none, and costs no tick more
	minArrivalRate          = 1e-24                  // a second, likewise: what is less changes no sum of loads by a bit
)

// lifecycle is read from the top: the first row whose state, signal and guard fit is taken.
func lifecycle() []transition {
	return []transition{
		{stateNew, onArrival, (*Policy).isShed, stateDone, (*Policy).reject},
		{stateNew, onArrival, (*Policy).canSend, stateInFlight, (*Policy).sendAttempt},
		{stateNew, onArrival, (*Policy).canQueue, stateQueued, (*Policy).doNothing},
		{stateNew, onArrival, always, stateDone, (*Policy).reject},

		{stateQueued, onTick, (*Policy).canSend, stateInFlight, (*Policy).sendAttempt},
		{stateQueued, onTick, (*Policy).canQueue, stateQueued, (*Policy).doNothing},
		{stateQueued, onTick, always, stateDone, (*Policy).reject},
		{stateQueued, onClientLeft, always, stateDone, (*Policy).doNothing},

		{stateInFlight, onSuccess, always, stateDone, (*Policy).doNothing},
		{stateInFlight, onFailure, (*Policy).hasAttemptInFlight, stateInFlight, (*Policy).doNothing},
		{stateInFlight, onFailure, (*Policy).canRetry, stateInFlight, (*Policy).sendAttempt},
		{stateInFlight, onFailure, (*Policy).canWaitForConnection, stateQueued, (*Policy).doNothing},
		{stateInFlight, onFailure, (*Policy).isSafeToReject, stateDone, (*Policy).reject},
		{stateInFlight, onFailure, always, stateDone, (*Policy).fail},
		{stateInFlight, onTick, (*Policy).isLateAndSafeToReject, stateDone, (*Policy).reject},
		{stateInFlight, onTick, (*Policy).isClientDeadlineNear, stateDone, (*Policy).fail},
		{stateInFlight, onTick, (*Policy).isPastObjective, stateInFlight, (*Policy).uncountAttempts},
		{stateInFlight, onTick, (*Policy).canHedge, stateInFlight, (*Policy).hedge},

		{stateInFlight, onClientLeft, always, stateDone, (*Policy).doNothing},
	}
}

// New returns an instance that draws its chance from seed.
func New(s Settings, seed uint32) *Policy {
	p := &Policy{settings: s, seed: seed, admittedShare: 1, requestBackoff: initialPollBackoff}
	for _, r := range lifecycle() {
		p.transitions[r.from][r.on] = append(p.transitions[r.from][r.on], r)
	}
	p.keyFailures = make([]decay.FailureRate, keyRecordCount)
	p.knownTenants, p.totalQuota = len(s.TenantQuotas), columns.Sum(s.TenantQuotas)
	p.updateTrafficTypes(&Input{TrafficTypes: s.TrafficTypes, LearnFrom: slices.Repeat([]int{-1}, len(s.TrafficTypes)), RouteLimits: []int{0}})
	return p
}

// Handle decides on one input and appends the effects to out.
func (p *Policy) Handle(now time.Duration, in *Input, effects []Effect) []Effect {
	p.now, p.effects = now, effects
	switch in.Kind {
	case RequestArrived:
		p.requestArrived(in)
	case AttemptEnded:
		p.attemptEnded(in)
	case ClientLeft:
		if in.Request < len(p.requests) {
			p.advance(in.Request, onClientLeft)
		}
	case EndpointsUpdated:
		p.endpointsUpdated(in)
	case TimerFired:
		p.tick()
	case TrafficTypesChanged:
		p.updateTrafficTypes(in)
	case PlanChanged:
		p.updatePlan(in)
	case QuotasChanged:
		p.updateQuotas(in.Quotas)
	}
	return p.effects
}

// setAllowances takes over allowances and their sum. The settings that the module was given stay as they are.
func (p *Policy) updateQuotas(changed []Quota) {
	if !p.quotasChanged {
		p.settings.TenantQuotas, p.quotasChanged = slices.Clone(p.settings.TenantQuotas), true
	}
	for _, a := range changed {
		columns.Extend(a.Tenant+1, &p.settings.TenantQuotas)
		p.totalQuota += a.PerSecond - p.settings.TenantQuotas[a.Tenant]
		p.settings.TenantQuotas[a.Tenant] = a.PerSecond
	}
	p.knownTenants = len(p.settings.TenantQuotas)
}

// planned takes over a plan. A server that left the part or is to be avoided is let go while no hop is out.
func (p *Policy) updatePlan(in *Input) {
	p.settings.NodeCount, p.withinQuotaShares, p.maxAdmittedShare = in.NodeCount, in.WithinQuotaShares, in.MaxAdmittedShare
	was := map[int]float64{}
	for s := range p.assigned.All() {
		was[s], p.preference[s], p.plannedRate[s] = p.preference[s], 0, 0
		p.assigned.Remove(s)
	}
	for _, s := range in.Assignments {
		p.preference[s.Server], p.plannedRate[s.Server] = s.Preference, s.SlowStartRate
		p.assigned.Add(s.Server)
		if s.EjectFor > 0 { // then one hop on trial, as after a rest of its own
			until := max(p.ejections.EjectedUntil(s.Server, failures.AllTypes), p.now+s.EjectFor)
			p.ejections.SetEjectedUntil(s.Server, failures.AllTypes, until)
			p.consecutiveFailures[s.Server] = max(p.consecutiveFailures[s.Server], 1)
		}
	}
	for i := len(p.subset) - 1; i >= 0 && len(p.subset) > 1; i-- {
		if s := p.subset[i]; (p.preference[s] < 0 || p.preference[s] == 0 && was[s] > 0) && p.inFlight[s] == 0 {
			p.removeFromSubset(i)
		}
	}
}

// retype takes over traffic types; a new one starts with what was learned of the one that it is like.
func (p *Policy) updateTrafficTypes(in *Input) {
	p.settings.TrafficTypes, p.routeLimits, p.hasAnswers = in.TrafficTypes, in.RouteLimits, false
	p.routeInFlight = append(p.routeInFlight, make([]int, max(len(in.RouteLimits)-len(p.routeInFlight), 0))...)
	for k, from := range in.LearnFrom {
		p.hasAnswers = p.hasAnswers || from >= 0 && p.answerCount[from] > 0
		if from == k {
			continue
		}
		usual, base, samples := in.TrafficTypes[k].LatencyObjective/4, in.TrafficTypes[k].LatencyObjective/4, 0.0
		if from >= 0 {
			usual, base, samples = p.typicalLatency[from], p.unloadedLatency[from], p.answerCount[from]
		}
		columns.Put(k, usual, &p.typicalLatency)
		columns.Put(k, base, &p.unloadedLatency)
		columns.Put(k, samples, &p.answerCount)
		p.activateType(k)
		columns.Put(k, 0, &p.retryBudget, &p.hedgeBudget)
		columns.Put(k, decay.FailureRate{}, &p.breakingServers)
		p.maxPriorityWeight = max(p.maxPriorityWeight, in.TrafficTypes[k].PriorityWeight)
		for b := 2 * k; b < 2*k+2; b++ {
			columns.Put(b, 0, &p.rejectShare, &p.arrivalRates)
			columns.Put(b, decay.FailureRate{}, &p.typeFailures)
		}
		for s := range p.ejections.Active().All() {
			p.ejections.DeleteFunc(s, func(e failures.Entry) bool { return e.TrafficType == k })
		}
	}
}

// step takes the first fitting row of the table.
func (p *Policy) advance(op int, on signal) {
	for _, r := range p.transitions[p.requests[op].state][on] {
		if r.guard(p, op) {
			p.enterState(op, r.to)
			r.action(p, op)
			return
		}
	}
}

// enter keeps the list of open operations in step with their states.
func (p *Policy) enterState(op int, next state) {
	o := &p.requests[op]
	if was := o.state; was == stateNew && next != stateDone {
		p.openRequests.Add(op)
	} else if was != stateNew && next == stateDone {
		p.openRequests.Remove(op)
	}
	if next == stateInFlight && o.state != stateInFlight {
		p.routeInFlight[o.routeLimit]++
	} else if next != stateInFlight && o.state == stateInFlight {
		p.routeInFlight[o.routeLimit]--
	}
	o.state = next
}

// chance draws a number in [0, 1).
func (p *Policy) chance() float64 {
	p.draws++
	return hashToUnit(p.seed, p.draws-1)
}

func hashToUnit(low, high uint32) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(high)<<32|uint64(low))
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

func (p *Policy) emit(e Effect) { p.effects = append(p.effects, e) }

func (p *Policy) requestArrived(in *Input) {
	columns.Extend(in.Request+1, &p.requests)
	if in.TrafficType >= len(p.settings.TrafficTypes) {
		p.emit(Effect{Kind: Reject, Request: in.Request}) // an unknown type: nothing may be assumed, nothing has run
		return
	}
	t := &p.settings.TrafficTypes[in.TrafficType]
	o := &p.requests[in.Request]
	*o = request{trafficType: in.TrafficType, key: in.Key, tenant: in.Tenant, isClientRetry: in.IsClientRetry,
		routeLimit: in.RouteLimit, class: 2 * in.TrafficType, attempts: o.attempts[:0], keyServer: -1,
		arrivedAt: p.now, clientDeadline: p.now + in.Timeout, objectiveAt: p.now + min(t.LatencyObjective-2*p.settings.TimerGranularity, in.Timeout)}
	p.activateType(in.TrafficType)
	if in.Tenant >= p.knownTenants {
		o.tenant = tenants.Unknown
	} else {
		within := p.fairShare(in.Tenant) / p.tenants.RecordArrival(in.Tenant, 1/rateMemory.Seconds())
		if in.Tenant < len(p.withinQuotaShares) {
			within = p.withinQuotaShares[in.Tenant]
		}
		if within > 0 && within < 1 && p.chance() > within {
			o.class++
		}
	}
	p.arrivalRates[o.class] += 1 / rateMemory.Seconds()
	p.refillBudgets(in.TrafficType, 1, 0)
	p.advance(in.Request, onArrival)
}

// fair is a tenant's share at this node, per second. It goes with the others' traffic where that is above
// their shares, for nodes do not get traffic alike, and has slack for the chance of a few arrivals.
func (p *Policy) fairShare(tenant int) float64 {
	nodes, own := float64(p.settings.NodeCount), p.settings.TenantQuotas[tenant]
	shares, others := (p.totalQuota-own)/nodes, p.tenants.TotalRate()-p.tenants.ArrivalRate(tenant)
	fair := own / nodes * max(1, others/max(shares, 1e-9))
	return fair + math.Sqrt(fair/rateMemory.Seconds())
}

// grant adds to the budgets of a type, by its first hops and by time, up to what comes in the span.
func (p *Policy) refillBudgets(kind int, first, passed float64) {
	t, rate := &p.settings.TrafficTypes[kind], p.arrivalRates[2*kind]+p.arrivalRates[2*kind+1]
	most := budgetMemorySeconds * (t.RetryRatio*rate + t.MinRetriesPerSecond)
	p.retryBudget[kind] = min(p.retryBudget[kind]+t.RetryRatio*first+t.MinRetriesPerSecond*passed, max(most, 1))
	p.hedgeBudget[kind] = min(p.hedgeBudget[kind]+t.HedgeRatio*first, max(budgetMemorySeconds*t.HedgeRatio*rate, 1))
}

// allowed is how long hops of a type may take, in seconds: its unloaded latency and a share of what is
// left of the target time.
func (p *Policy) allowedSeconds(kind int) float64 {
	base := min(p.unloadedLatency[kind], p.settings.TrafficTypes[kind].LatencyObjective)
	return base.Seconds() + latencyHeadroomShare*(p.settings.TrafficTypes[kind].LatencyObjective-base).Seconds()
}

// full: by the rate at which hops finish, those in flight will take longer than they may. This guards
// against a queue that builds up at the servers faster than late answers tell of it.
func (p *Policy) isSaturated() bool {
	return p.inFlightCount >= max(p.concurrencyLimit(), minLimitPerServer*float64(p.readyCount)/float64(p.settings.NodeCount), 1)
}

// hasRoom: fewer operations of the route have a hop out than it allows.
func (p *Policy) hasRouteCapacity(o *request) bool {
	return p.routeLimits[o.routeLimit] == 0 || p.routeInFlight[o.routeLimit] < p.routeLimits[o.routeLimit]
}

func (p *Policy) concurrencyLimit() float64 {
	return max(p.finishedLoad+math.Sqrt(p.finishedLoad), p.grownLimit) / max(p.latencyRatio, 1)
}

// judge grows the window by each answer that came while it was used up, for the rate of finished hops
// tells nothing yet after a start or a rise, and shrinks it while answers take longer than they may.
func (p *Policy) adjustLimit(spent, allowed float64) {
	p.latencyRatio += latencyRatioSmoothing * (spent/allowed - p.latencyRatio)
	if p.latencyRatio > 1 {
		p.grownLimit = min(p.grownLimit, p.concurrencyLimit())
	} else if w := p.concurrencyLimit(); p.inFlightCount+1 >= w {
		p.grownLimit = w + 1
	}
}

// Guards of the table.

func always(*Policy, int) bool { return true }

func (p *Policy) isShed(op int) bool {
	share := max(p.rejectShare[p.requests[op].class], min(p.attributedShedShare(&p.requests[op]), defaultMaxShedShare))
	return share > 0 && p.chance() < share
}

// doom is how surely an operation fails by its sort, where others do not.
func (p *Policy) attributedShedShare(o *request) float64 {
	most := 0.0
	for _, c := range p.attributeRates(o) {
		most = max(most, c.Rate(attributionPrior))
	}
	least := min(max(minAttributedShedRate, p.allFailures.Rate(attributionPrior)), fullAttributedShedRate-attributionMargin)
	return (most - least) / (fullAttributedShedRate - least)
}

// canWait: for room in the window, a list, or a cold server's next turn, while it may still do.
func (p *Policy) canQueue(op int) bool {
	o, t := &p.requests[op], &p.settings.TrafficTypes[p.requests[op].trafficType]
	fits := p.now+time.Duration(minLatenciesLeft*float64(p.typicalLatency[o.trafficType])) < o.objectiveAt
	return fits && p.now-o.arrivedAt <= cmp.Or(t.MaxQueueTime, time.Duration(maxQueueShare*float64(t.LatencyObjective)))
}

// noConnection: the hop got none, so nothing ran; the operation waits for a server that has one to spare.
func (p *Policy) canWaitForConnection(op int) bool {
	o := &p.requests[op]
	return o.lastOutcome == Unreachable && !o.mayHaveRun && len(o.attempts) < p.maxAttempts(&p.settings.TrafficTypes[o.trafficType]) && p.canQueue(op)
}

// harmless: a denial tells the client that trying again does no harm.
func (p *Policy) isSafeToReject(op int) bool {
	o, t := &p.requests[op], &p.settings.TrafficTypes[p.requests[op].trafficType]
	return !o.mayHaveRun || t.Idempotency == Idempotent || t.Idempotency == IdempotentWithKey && t.KeyScope == KeyScopeAll
}

func (p *Policy) isClientDeadlineNear(op int) bool {
	return p.now+max(p.settings.TimerGranularity, 5*time.Millisecond) >= p.requests[op].clientDeadline
}

// overdue: the hop runs on for a late answer, and leaves the window. This guards against silent servers or
// links, which would fill the window for seconds and have all else denied.
func (p *Policy) isPastObjective(op int) bool {
	return p.now >= p.requests[op].objectiveAt && p.settings.TrafficTypes[p.requests[op].trafficType].LateWeightShare > 0
}

func (p *Policy) isLateAndSafeToReject(op int) bool {
	return p.isClientDeadlineNear(op) && p.isSafeToReject(op)
}

// repeatable: another hop is allowed, can make the target time, and has somewhere to go.
func (p *Policy) canRetry(op int) bool {
	o, t := &p.requests[op], &p.settings.TrafficTypes[p.requests[op].trafficType]
	if o.failedByItself || len(o.attempts) >= p.maxAttempts(t) || p.now+p.typicalLatency[o.trafficType]/2 > o.objectiveAt ||
		t.RetryOn != 0 && !t.RetryOn.Contains(o.lastOutcome) || t.RetryRatio > 0 && p.retryBudget[o.trafficType] < 1 {
		return false
	}
	expired := t.Idempotency == IdempotentWithKey && p.now >= o.firstRunAt+t.KeyRetention-p.settings.TimerGranularity
	if o.mayHaveRun && (t.Idempotency == NonIdempotent || expired) {
		return false
	}
	if first := len(o.attempts) == 1 && t.PriorityWeight >= p.maxPriorityWeight; !first && (o.mayHaveRun && p.isSaturated() ||
		o.lastOutcome == Overloaded && p.chance() < p.overloaded.Rate(attributionPrior)) { // no load without room
		return false
	}
	return p.canSend(op)
}

func (p *Policy) maxAttempts(t *TrafficType) int {
	return min(cmp.Or(t.MaxAttempts, p.settings.MaxAttempts), p.settings.MaxAttempts)
}

// anotherOut: a second copy may still bring the answer.
func (p *Policy) hasAttemptInFlight(op int) bool {
	return slices.ContainsFunc(p.requests[op].attempts, func(h attempt) bool { return !h.ended })
}

// worthCopying: the first hop takes longer than its type may, a copy is within the budget and the rules, and
// there is room for it at a server that seems well.
func (p *Policy) canHedge(op int) bool {
	o, t := &p.requests[op], &p.settings.TrafficTypes[p.requests[op].trafficType]
	if t.HedgeDelay == 0 || !p.settings.HedgingAllowed || t.Idempotency == NonIdempotent || len(o.attempts) != 1 || p.maxAttempts(t) < 2 ||
		p.now-o.attempts[0].sentAt < t.HedgeDelay || p.hedgeBudget[o.trafficType] < 1 || p.isSaturated() {
		return false
	}
	expired := t.Idempotency == IdempotentWithKey && p.now >= o.firstRunAt+t.KeyRetention-p.settings.TimerGranularity
	return !expired && p.canSend(op) && !wasTried(o, p.picked) && !p.isUnhealthy(p.picked, o)
}

// Effects of the table.

func (p *Policy) doNothing(int) {}

// deny tells the client when to come back: while it can still be served, for one that has this node only does
// not try elsewhere, and after the longest wait it would come too late; spread, not all at once.
func (p *Policy) reject(op int) {
	o, back := &p.requests[op], time.Duration(float64(p.settings.MaxRetryAfter)*(0.9+0.1*p.chance()))
	if left := o.objectiveAt - p.now - 2*p.typicalLatency[o.trafficType]; left > 0 && back > 0 {
		back = min(back, time.Duration(float64(left)*(0.3+0.7*p.chance())))
	}
	p.emit(Effect{Kind: Reject, Request: op, Duration: back})
}

func (p *Policy) uncountAttempts(op int) {
	for i := range p.requests[op].attempts {
		if h := &p.requests[op].attempts[i]; !h.ended && !h.uncounted {
			h.uncounted = true
			p.inFlightCount--
		}
	}
}

func (p *Policy) hedge(op int) {
	p.hedgeBudget[p.requests[op].trafficType]--
	p.retryBudget[p.requests[op].trafficType]++ // it is no retry
	p.sendAttempt(op)
}

func (p *Policy) fail(op int) { p.emit(Effect{Kind: Fail, Request: op}) }

// send puts a hop out to the server that route picked.
func (p *Policy) sendAttempt(op int) {
	o, s := &p.requests[op], p.picked
	if len(o.attempts) > 0 {
		p.retryBudget[o.trafficType]--
	}
	t, allow := &p.settings.TrafficTypes[o.trafficType], max(o.objectiveAt-p.now, time.Millisecond)
	if t.LateWeightShare > 0 { // else what is given up at the target time would have earned a share
		allow = o.clientDeadline - p.now
	}
	allow = min(allow, cmp.Or(t.AttemptTimeout, allow))
	o.attempts = append(o.attempts, attempt{server: s, sentAt: p.now})
	if o.keyServer < 0 {
		o.keyServer, o.firstRunAt = s, p.now
	}
	o.mayHaveRun = true
	if p.inFlight[s] == 0 {
		p.lastAnswerAt[s] = p.now
	}
	if p.ejections.Get(s, o.trafficType).Consecutive > 0 {
		p.ejections.SetEjectedUntil(s, o.trafficType, o.objectiveAt) // on trial, alone
	}
	p.inFlight[s]++
	if p.inFlightCount++; p.attributedShedShare(o) > 0 { // takes none of the window from those that can be handled
		p.uncountAttempts(op)
	}
	if p.slowStarting.Has(s) {
		p.slowStartTokens[s]--
	}
	p.emit(Effect{Kind: SendAttempt, Request: op, Server: s, Duration: allow})
}

// hopEnded books a hop's end under its server and lets the table answer for the operation.
func (p *Policy) attemptEnded(in *Input) {
	if in.Request >= len(p.requests) || in.Attempt >= len(p.requests[in.Request].attempts) || p.requests[in.Request].attempts[in.Attempt].ended {
		return
	}
	o := &p.requests[in.Request]
	h := &o.attempts[in.Attempt]
	h.ended, o.lastOutcome = true, in.Outcome
	p.inFlight[h.server]--
	if !h.uncounted {
		p.inFlightCount--
	}
	p.closeIdleConnections(h.server)
	ran := in.Outcome != Overloaded && in.Outcome != Unreachable && in.Outcome != NotStarted
	p.recordOutcome(h.server, o, h.sentAt, in.Outcome)
	if !ran {
		// as if it had never been sent: the group is that of the first hop that may have run
		o.mayHaveRun, o.keyServer = false, -1
		for i, other := range o.attempts {
			if i != in.Attempt && other.server >= 0 && o.keyServer < 0 {
				o.mayHaveRun, o.keyServer, o.firstRunAt = true, other.server, other.sentAt
			}
		}
		h.server = -1
	}
	switch {
	case o.state == stateDone:
	case in.Outcome == Success:
		p.advance(in.Request, onSuccess)
	case in.ClientAnswered:
		p.advance(in.Request, onClientLeft)
	default:
		p.advance(in.Request, onFailure)
	}
	p.dequeue()
}

// learn keeps the figures about a server from the end of one hop.
func (p *Policy) recordOutcome(s int, o *request, sent time.Duration, how Outcome) {
	spent, usual := p.now-sent, p.typicalLatency[o.trafficType]
	p.overloaded.Observe(0, 2*attributionMemory)
	p.connectFailures.Observe(0, 2*attributionMemory)
	if how == TimedOut { // the server may still work on it, and looks idle if that is not counted
		p.abandoned[s], p.abandonedSentAt[s] = p.abandoned[s]+1, max(p.abandonedSentAt[s], sent)
	}
	if how == Success || how == Failure || how == TimedOut || how == ConnectionBroken {
		short := how == TimedOut && o.objectiveAt-sent < 2*p.unloadedLatency[o.trafficType] // tells of the client only
		if o.failedByItself = !short && p.isAttributedToRequest(s, o, how); o.failedByItself || short {
			return
		}
	}
	switch how {
	case Success:
		p.recordPauseSample(s, sent, float64(spent) > spikeFactor*float64(p.smoothedLatency.At(s)))
		p.smoothedLatency.Set(s, p.smoothedLatency.At(s)+time.Duration(latencySmoothing*float64(spent-p.smoothedLatency.At(s))))
		p.answerCount[o.trafficType]++
		p.hasAnswers = true
		p.typicalLatency[o.trafficType] += time.Duration(max(typeLatencySmoothing, 1/p.answerCount[o.trafficType]) * float64(spent-usual))
		if p.unloadedLatency[o.trafficType] > p.typicalLatency[o.trafficType] || p.answerCount[o.trafficType] < minLatencySamples {
			p.unloadedLatency[o.trafficType] = p.typicalLatency[o.trafficType]
		}
		p.successRate += 1 / rateMemory.Seconds()
		p.finishedLoad += p.allowedSeconds(o.trafficType) / finishedMemory.Seconds()
		p.recordAnswer(s)
		p.overloadsInRow[s] = 0
		p.ejections.RecordSuccess(s, o.trafficType)
		if sent >= p.abandonedSentAt[s] {
			p.abandoned[s] = 0 // servers work in turn: what was sent before this hop is done
		}
	case TimedOut:
		p.recordPauseSample(s, sent, true)
		p.recordFailure(s, minConsecutiveFailures)
		p.recordTypeFailure(s, o.trafficType, sent)
	case Failure:
		p.lastAnswerAt[s] = p.now
		p.recordFailure(s, minConsecutiveFailures)
		p.recordTypeFailure(s, o.trafficType, sent)
	case ClientError, ConnectionBroken: // neither nonsense from clients nor single connections must take servers out
		if p.softFailures[s]++; p.softFailures[s] >= minSoftFailures {
			p.recordFailure(s, 1)
		}
	case Overloaded: // servers may refuse one type and serve the others: the rest is for that type only
		p.lastAnswerAt[s] = p.now
		p.ejections.SetEjectedUntil(s, o.trafficType, p.now+initialEjection)
		p.overloaded.Failed++
		p.slowness[s] += latencySmoothing * (spikeFactor - p.slowness[s])
		if p.overloadsInRow[s]++; p.overloadsInRow[s] >= minConsecutiveFailures && p.now >= p.ejections.EjectedUntil(s, failures.AllTypes) {
			p.eject(s, failures.AllTypes, p.overloadsInRow[s]-minConsecutiveFailures, maxEjectedShare)
		}
	case Unreachable:
		enough := 1
		if spent < p.settings.ConnectTimeout/2 { // refused at once: costs nothing, and may be the one connection
			enough = minConsecutiveFailures
			p.connectFailures.Failed++
			if i := slices.Index(p.subset, s); i >= 0 && float64(len(p.subset)) > p.needed+subsetSlack {
				p.removeFromSubset(i) // it may have none to spare for this node, and others do without it
			}
		}
		p.recordFailure(s, enough)
		p.unreachable[s] = p.unreachable[s] || p.consecutiveFailures[s] >= enough
	}
	if how == Success || how == TimedOut {
		p.adjustLimit(spent.Seconds(), p.allowedSeconds(o.trafficType))
		p.slowness[s] += latencySmoothing * (float64(spent)/float64(max(usual, 1)) - p.slowness[s])
	}
}

// sorts are the records of what an operation shares with others: type and repeat, tenant, key.
func (p *Policy) attributeRates(o *request) []*decay.FailureRate {
	kind := 2 * o.trafficType
	if o.isClientRetry {
		kind++
	}
	all := [...]*decay.FailureRate{&p.typeFailures[kind], p.tenants.FailureRate(o.tenant), &p.keyFailures[o.key%keyRecordCount]}
	if o.key == 0 {
		return all[:2]
	}
	return all[:]
}

// blamed books an end and tells if a failure is the operation's own: its sorts fail more often than this
// server does. This guards against operations that do harm anywhere, which would have all servers rest.
func (p *Policy) isAttributedToRequest(s int, o *request, how Outcome) bool {
	failed, worst := 1.0, 0.0
	if how == Success {
		failed = 0
	}
	for _, c := range p.attributeRates(o) {
		if failed == 0 || c.LastSource != s+1 { // of a row at one server one counts: it tells of the server
			c.Observe(failed, 3*attributionMemory)
		}
		if failed > 0 {
			c.LastSource = s + 1
		}
		worst = max(worst, c.Rate(attributionPrior))
	}
	if b := &p.breakingServers[o.trafficType]; how == ConnectionBroken {
		if b.LastSource != s+1 {
			b.Failed, b.LastSource = b.Failed+1, s+1
		}
		if b.Failed >= maxBreakingServers && p.settings.TrafficTypes[o.trafficType].PriorityWeight < p.maxPriorityWeight {
			return true
		}
	}
	p.serverFailures.Observe(s, failed, attributionMemory)
	p.allFailures.Observe(failed, 3*attributionMemory)
	return failed > 0 && worst > max(p.serverFailures.At(s).Rate(attributionPrior)+attributionMargin, p.allFailures.Rate(attributionPrior))
}

// dispatch gives freed room to the operations that wait here, the dearest first.
func (p *Policy) dequeue() {
	stuck := uint64(0) // placements of which no server can be found now
	for p.dequeues++; !p.isSaturated(); {
		best := -1
		for _, op := range p.openRequests.Items() {
			if o := &p.requests[op]; o.state == stateQueued && o.lastDequeue != p.dequeues && p.hasRouteCapacity(o) &&
				p.settings.TrafficTypes[o.trafficType].PlacementBit&stuck == 0 &&
				(best < 0 || p.classWeight(o.class) > p.classWeight(p.requests[best].class)) {
				best = op
			}
		}
		if best < 0 {
			return
		}
		p.requests[best].lastDequeue = p.dequeues
		p.advance(best, onTick)
		if o, t := &p.requests[best], &p.settings.TrafficTypes[p.requests[best].trafficType]; o.state == stateQueued && t.PoolLabels == 0 {
			if stuck |= t.PlacementBit; t.PlacementBit == 0 {
				return // nor would the others find a server
			}
		}
	}
}

// alive ends a server's rest. One that answers after it was out of reach may have restarted before the
// list tells: it is held for cold, so that it is not pushed over.
func (p *Policy) recordAnswer(s int) {
	if p.unreachable[s] && p.now-p.lastAnswerAt[s] > minRestartSilence {
		p.startSlowStart(s, p.now)
	}
	p.lastAnswerAt[s], p.consecutiveFailures[s], p.softFailures[s], p.unreachable[s] = p.now, 0, 0, false
	p.ejections.ClearEjection(s)
	p.suspicion[s], p.lastSignAt[s] = max(p.suspicion[s]-1, 0), p.now
}

// strike counts a failure and sends the server to rest after enough in a row.
func (p *Policy) recordFailure(s, enough int) {
	p.consecutiveFailures[s]++
	if !p.readiness.Listed(s) {
		p.suspicion[s] = min(p.suspicion[s]+1, maxSuspicion)
	}
	if p.consecutiveFailures[s] >= enough && p.now >= p.ejections.EjectedUntil(s, failures.AllTypes) {
		p.eject(s, failures.AllTypes, p.consecutiveFailures[s]-enough, maxEjectedShare)
	}
}

// fault counts the failures of one type; answers to others take a server's strikes back. One hop at a time
// then tries it, and after a row it rests for that type. Of a queue that fails whole one counts.
func (p *Policy) recordTypeFailure(s, kind int, sent time.Duration) {
	if sent < p.ejections.Get(s, kind).LastAt {
		return
	}
	t := p.ejections.GetOrCreate(s, kind)
	t.LastAt = p.now
	if t.Consecutive++; t.Consecutive >= minTypeFailures {
		p.eject(s, kind, t.Consecutive-minTypeFailures, maxTypeEjectedShare)
	}
}

// rest sets the end of a rest that doubles, unless too many ready servers, or of those open, would rest.
func (p *Policy) eject(s, kind, doubled int, share float64) {
	n, bound, among := 1.0, p.readiness.Placements(s), [2 * MaxPlacements]int{}
	if kind != failures.AllTypes {
		bound = p.settings.TrafficTypes[kind].PlacementBit
	}
	for other := range p.ejections.Active().All() {
		if p.readiness.Ready(other) && p.readiness.Listed(other) && p.now < p.ejections.EjectedUntil(other, kind) {
			n++
			readiness.AddToBits(&among, bound&p.readiness.Placements(other), 1)
		}
		p.pruneEjections(other)
	}
	few := n <= share*float64(p.readyCount) || kind != failures.AllTypes && bound != 0
	for i, rest := range among {
		few = few && (bound>>i&1 == 0 || float64(rest+1) <= share*float64(p.readiness.ReadyWithPlacements(1<<i)))
	}
	if few || !p.readiness.Listed(s) { // for those dropped the list bears it out
		wait := min(initialEjection<<min(doubled, 3), maxEjection)
		p.ejections.SetEjectedUntil(s, kind, p.now+time.Duration(float64(wait)*(0.75+0.5*p.chance())))
	}
}

// forgetFailures drops those that bear on nothing now: when the last came matters to hops then out only.
func (p *Policy) pruneEjections(s int) {
	if p.inFlight[s] == 0 {
		p.ejections.DeleteFunc(s, func(e failures.Entry) bool { return e.Consecutive == 0 && p.now >= e.EjectedUntil })
	}
	if p.ejections.EntryCount(s) == 0 && p.now >= p.ejections.EjectedUntil(s, failures.AllTypes) {
		p.ejections.Deactivate(s)
	}
}

// spike counts runs of spikes and time-outs; a run is one pause, and its line is fitted anew.
func (p *Policy) recordPauseSample(s int, sent time.Duration, is bool) {
	if !is {
		p.spikesInRow[s] = 0
		return
	}
	if p.spikesInRow[s] == 0 {
		p.runStart[s] = max(sent, p.lastAnswerAt[s])
	}
	p.spikesInRow[s]++
	merged := p.pauseCount[s] > 0 && p.runStart[s]-p.lastSpike[s] < p.smoothedLatency.At(s)
	if p.spikesInRow[s] == minSpikesInPause && !merged {
		n := min(p.pauseCount[s], maxOnsets)
		if n == maxOnsets {
			copy(p.onsets[s][:], p.onsets[s][1:])
			n--
		}
		p.onsets[s][n] = p.runStart[s].Seconds()
		p.pauseCount[s]++
		p.fitForecast(s)
	}
	if p.spikesInRow[s] >= minSpikesInPause {
		p.lastSpike[s] = p.now
	}
}

// fit draws the least-squares line of pause count over onset time and reads where it meets the next
// count. A line that does not rise forecasts nothing.
func (p *Policy) fitForecast(s int) {
	p.nextPause[s] = 0
	n := min(p.pauseCount[s], maxOnsets)
	line := leastsquares.Fit(p.onsets[s][:n])
	if line.Run <= 0 || line.Rise <= 0 {
		return
	}
	at, interval := line.XAt(float64(n)), line.Run/line.Rise
	if at > 0 && at < math.MaxInt32 && interval < math.MaxInt32 {
		p.nextPause[s] = time.Duration(at * float64(time.Second))
		p.pauseInterval[s] = time.Duration(interval * float64(time.Second))
	}
}

// nearPause: the forecast pause lies within the threshold of now, or is overdue by less.
func (p *Policy) isPauseNear(s int) bool {
	threshold := min(forecastThreshold, time.Duration(maxThresholdShare*float64(p.pauseInterval[s])))
	ahead := p.nextPause[s] - p.now
	return p.nextPause[s] != 0 && ahead <= threshold && ahead > -threshold
}

// crowded: more in flight than the mean for a server of this scale.
func (p *Policy) isCrowded(s int) bool {
	return float64(p.inFlight[s])+p.abandoned[s] > crowdedFactor*p.inFlightCount*p.turnWeight[s]/max(p.totalTurnWeight, 1e-9)
}

// unwell: resting, be it for this type, or on trial with a hop out; binding operations go to none on trial.
func (p *Policy) isUnhealthy(s int, o *request) bool {
	trial := p.consecutiveFailures[s] > 0 && (p.inFlight[s] > 0 || p.settings.TrafficTypes[o.trafficType].Idempotency == NonIdempotent)
	return trial || p.now < max(p.ejections.EjectedUntil(s, failures.AllTypes), p.ejections.Get(s, o.trafficType).EjectedUntil)
}

// excluded: the rules or the cold budget forbid this server for this operation.
func (p *Policy) isExcluded(s int, o *request) bool {
	t := &p.settings.TrafficTypes[o.trafficType]
	if !p.readiness.Ready(s) || t.PlacementBit&^p.readiness.Placements(s) != 0 || p.slowStarting.Has(s) && p.slowStartTokens[s] < 1 {
		return true
	}
	kept := o.mayHaveRun && t.Idempotency == IdempotentWithKey // to its group
	return t.PoolLabels != 0 && t.PoolLabels&p.readiness.Labels(s) == 0 || kept && (t.KeyScope == KeyScopeZone &&
		p.zone[s] != p.zone[o.keyServer] || t.KeyScope == KeyScopeCell && p.cell[s] != p.cell[o.keyServer])
}

// routed walks the servers taken in, idle ones first; when all are busy or skipped the next of the rotation
// joins, a plan's part first. When none is left, skipping goes in steps: all skips of design and health, none
// but health, only those excluded. Where few connections are to be had, an idle server is waited for.
func (p *Policy) canSend(op int) bool {
	o := &p.requests[op]
	if o.state != stateInFlight && (p.isSaturated() || !p.hasRouteCapacity(o)) {
		return false
	}
	if scarce := p.connectFailures.Rate(attributionMemory); scarce > maxConnectFailureShare {
		return p.pickFromSubset(o, 3) || len(p.subset) < p.readyCount && p.chance() > math.Sqrt(scarce) && p.growSubset(o)
	}
	if len(p.subset) < p.readyCount && (p.pickFromSubset(o, 3) || p.growSubset(o)) {
		return true
	}
	for care := 2; care >= 0; care-- {
		if p.pickFromSubset(o, care) {
			return true
		}
	}
	return false
}

// walk goes round the servers taken in. Each that is not skipped earns its share of a turn, the most due is
// next, in the order of the round: equal shares are plain round robin. Where servers remember keys, the one
// that every node ranks first for the key goes before others whose turn is near: nodes agree without a word.
func (p *Policy) pickFromSubset(o *request, care int) bool {
	n, best, most, earned := len(p.subset), -1, 0.0, 0.0
	for i := range n {
		s := p.subset[(p.position+i)%n]
		switch {
		case p.isExcluded(s, o):
		case care > 0 && (wasTried(o, s) || p.isUnhealthy(s, o)):
		case care > 1 && (p.isPauseNear(s) || p.isCrowded(s) || p.preference[s] < 0):
		case care > 2 && p.inFlight[s] > 0:
		default:
			share := math.Sqrt(p.turnWeight[s])
			earned += share
			p.credit[s] += share
			first := p.credit[s]
			if p.settings.ServersCacheKeys && o.key != 0 && first >= -maxTurnsAhead*share {
				first = math.MaxInt16 + hashToUnit(o.key*uint32(p.rank[s]|1), 0)
			}
			if best < 0 || first > most+1e-9 { // what differs by less is rounding
				best, most = i, first
			}
		}
	}
	if best >= 0 {
		p.picked = p.subset[(p.position+best)%n]
		p.position, p.credit[p.picked] = (p.position+best+1)%n, p.credit[p.picked]-earned
	}
	return best >= 0
}

// join takes in the next server of the rotation that the operation may use. The first place is drawn
// from this node's own part of the rotation, so that nodes that know few come out even over all.
func (p *Policy) growSubset(o *request) bool {
	n := p.rotation.Len()
	if !p.hasStartPosition {
		part := (float64(p.settings.NodeIndex)*goldenSection + p.chance()/float64(p.settings.NodeCount))
		p.nextToJoin, p.hasStartPosition = int((part-math.Floor(part))*float64(n)), true
	}
	free := func(s int) bool {
		return !p.inSubset[s] && !p.isExcluded(s, o) && !wasTried(o, s) && !p.isUnhealthy(s, o) && !p.isPauseNear(s)
	}
	best := 0.0
	for s := range p.assigned.All() {
		if p.preference[s] > 0 && free(s) {
			if drawn := p.preference[s] * p.chance(); drawn > best {
				best, p.picked = drawn, s
			}
		}
	}
	home := p.chance() > p.latencyRatio
	if t := &p.settings.TrafficTypes[o.trafficType]; best == 0 && t.PoolLabels|t.PlacementBit != 0 && p.isAllInSubset(t) {
		return false
	}
	for _, anywhere := range []bool{!home, true} {
		i := 0
		for s := range p.rotation.From(p.nextToJoin) {
			if i++; best > 0 {
				break
			}
			if p.preference[s] >= 0 && free(s) && (anywhere || p.zone[s] == p.settings.Zone) {
				p.nextToJoin, p.picked, best = (p.nextToJoin+i)%n, s, 1
			}
		}
	}
	if best > 0 {
		p.addToSubset(p.picked)
		p.updateWeights()
	}
	return best > 0
}

// allTaken: every ready server of a type's pool or placement is taken in, so a walk for another finds none.
func (p *Policy) isAllInSubset(t *TrafficType) bool {
	pooled, open := p.readiness.ReadyWithLabels(t.PoolLabels), p.readiness.ReadyWithPlacements(t.PlacementBit)
	for _, s := range p.subset {
		pooled -= bits.OnesCount64(p.readiness.Labels(s) & t.PoolLabels)
		open -= bits.OnesCount64(p.readiness.Placements(s) & t.PlacementBit)
	}
	return t.PoolLabels != 0 && pooled == 0 || t.PlacementBit != 0 && open == 0
}

func (p *Policy) addToSubset(s int) {
	p.subset, p.inSubset[s] = append(p.subset, s), true
	p.slowness[s], p.abandoned[s], p.credit[s] = 1, 0, 0
}

// letGo drops the slowest server when more are taken in than were needed lately and than can be judged:
// where answers tell of each, turns stay even over all of them.
func (p *Policy) shrinkSubset(passed time.Duration) {
	p.needed = max(p.needed*math.Exp(-passed.Seconds()/subsetMemory.Seconds()), p.inFlightCount)
	if float64(len(p.subset)) <= max(p.needed+subsetSlack, p.successRate/judgingAnswersPerSecond) {
		return
	}
	worst := slices.MaxFunc(p.subset, func(a, b int) int { return cmp.Compare(p.slowness[a], p.slowness[b]) })
	p.removeFromSubset(slices.Index(p.subset, worst))
}

func (p *Policy) removeFromSubset(i int) {
	s := p.subset[i]
	p.subset, p.inSubset[s] = slices.Delete(p.subset, i, i+1), false
	p.emit(Effect{Kind: CloseIdle, Server: s})
	if i < p.position {
		p.position--
	}
}

func wasTried(o *request, s int) bool {
	return slices.ContainsFunc(o.attempts, func(h attempt) bool { return h.server == s })
}

// follow takes a server list. Where it must be asked for, a failure is answered by asking again after a
// growing, spread-out wait, for the list service has little capacity.
func (p *Policy) endpointsUpdated(in *Input) {
	if in.Scope == Unavailable {
		p.requested = false
		p.nextRequestAt = p.now + time.Duration(float64(p.requestBackoff)*(0.5+p.chance()))
		p.requestBackoff = min(2*p.requestBackoff, maxPollBackoff, max(p.settings.RequestEndpointsWithin/4, initialPollBackoff))
		return
	}
	if in.Scope != Cached {
		p.requestBackoff = initialPollBackoff
	}
	known := p.readiness.Len() > 0
	p.readiness.BeginUpdate()
	if in.Scope != Incremental { // absent from a full list: gone
		p.readiness.UnlistAll()
	}
	for _, m := range in.Endpoints {
		s := m.Server
		isNew, wasListed := m.IndexReused || s == p.readiness.Len(), p.readiness.WasListed(s)
		if isNew {
			p.addServer(s)
		}
		if !p.rotation.Has(s) {
			p.insertIntoRotation(s, int(m.Rank))
		}
		p.zone[s], p.machineKind[s], p.cell[s], p.listedWeight[s] = m.Zone, m.MachineKind, m.Cell, cmp.Or(max(m.Weight, 0), 1)
		p.matchPlacements(s)
		p.readiness.SetLabels(s, m.Labels)
		p.setReady(s, m.Condition == Up || m.Condition == Removed && p.readiness.Ready(s) && !m.AddressReassigned)
		if m.Condition == Up && !wasListed && known && !p.inSubset[s] &&
			p.chance()*float64(p.readyCount+1) < float64(len(p.subset)) {
			p.addToSubset(s) // as often as it has any other: not left out, and not taken in by all at once
			p.readyCount = p.readiness.ReadyCount()
		}
		p.readiness.SetListed(s, m.Condition != Removed)
		switch {
		case m.HasStartTime && p.now-m.StartedAt < p.settings.SlowStartDuration:
			if !p.slowStarting.Has(s) || m.StartedAt > p.slowStartSince[s] {
				p.startSlowStart(s, m.StartedAt)
			}
		case !m.HasStartTime && known && !wasListed && in.Scope != Cached && p.readiness.Ready(s) &&
			(isNew || !p.settings.UnlistedUsable):
			p.startSlowStart(s, p.now) // no start time told, but it was not there before
		}
	}
	for s := range p.readiness.ReadyUnlisted().All() {
		p.unlistServer(s, p.readiness.WasListed(s))
	}
	p.maxListed = max(p.maxListed, p.readiness.ListedCount())
	p.subset = slices.DeleteFunc(p.subset, func(s int) bool {
		p.inSubset[s] = p.readiness.Ready(s)
		return !p.readiness.Ready(s)
	})
	p.position = min(p.position, max(len(p.subset)-1, 0))
	p.updateWeights()
	if len(p.answerCount) > 0 && !p.hasAnswers {
		p.grownLimit = initialLimitPerServer * float64(p.readyCount) / float64(p.settings.NodeCount)
	}
	p.dequeue()
}

// place works out which placements a server meets, when the list tells of it and not at each send.
func (p *Policy) matchPlacements(s int) {
	met, zone, kind := uint64(0), p.zone[s], p.machineKind[s]
	for i, to := range p.settings.Placements {
		free := to.Zones == nil || slices.Contains(to.Zones, zone)
		if free && (to.MachineKinds == nil || slices.Contains(to.MachineKinds, kind)) {
			met |= 1 << i
		}
	}
	p.readiness.SetPlacements(s, met)
}

// setReady has a server get new work, or none from now on.
func (p *Policy) setReady(s int, ready bool) {
	was := p.readiness.SetReady(s, ready)
	if p.closing.Put(s, p.closing.Has(s) && !ready); was && !ready {
		p.closeIdleConnections(s)
	}
}

// closeIdle has idle connections to a server that gets nothing new closed, once more after half the time: a
// connect that was under way has ended by then. It costs nothing where all are closed.
func (p *Policy) closeIdleConnections(s int) {
	if p.settings.CloseOnDrain && !p.readiness.Ready(s) {
		p.emit(Effect{Kind: CloseIdle, Server: s})
		p.closing.Add(s)
		p.lastActivity[s] = p.now
	}
}

// unlist answers that the list dropped a server. Where only draining binds, its turns go down by a step, then
// by what its hops find, against lists that are wrong, old or cut short; the dead cost a few connects.
func (p *Policy) unlistServer(s int, now bool) {
	if p.setReady(s, p.settings.UnlistedUsable); !p.readiness.Ready(s) {
		return
	}
	if now {
		p.suspicion[s], p.lastSignAt[s] = min(p.suspicion[s]+1, maxSuspicion), p.now
	}
	p.emit(Effect{Kind: Retain, Server: s})
}

// giveUpDropped lets go of servers that the list dropped and that have not answered for long, the longest
// silent also when more are kept than are listed at most, so that what is kept stays bounded.
func (p *Policy) forgetSilent() {
	kept, oldest := p.readiness.ReadyUnlisted().Len(), -1
	for s := range p.readiness.ReadyUnlisted().All() {
		if oldest < 0 || p.lastSignAt[s] < p.lastSignAt[oldest] {
			oldest = s
		}
	}
	if kept > 0 && (kept > p.maxListed || p.now-p.lastSignAt[oldest] > unlistedRetention) && p.inFlight[oldest] == 0 {
		p.setReady(oldest, false)
		if i := slices.Index(p.subset, oldest); i >= 0 {
			p.removeFromSubset(i)
		}
		p.emit(Effect{Kind: Forget, Server: oldest})
	}
}

// markCold takes a server for cold since a moment.
func (p *Policy) startSlowStart(s int, since time.Duration) {
	p.slowStarting.Add(s)
	p.slowStartSince[s], p.slowStartTokens[s] = since, 0
	p.consecutiveFailures[s], p.unreachable[s], p.softFailures[s] = 0, false, 0
	p.ejections.Reset(s)
}

// rotate puts a server into the rotation by its rank, which is the same at every node.
func (p *Policy) insertIntoRotation(s, r int) {
	p.rank[s] = r
	if p.rotation.Insert(s, r) < p.nextToJoin {
		p.nextToJoin++
	}
}

// enrol sets all figures of a server, also under the index of another; smoothed latency is the others' mean.
func (p *Policy) addServer(s int) {
	mean := p.smoothedLatency.Sum() / time.Duration(max(p.smoothedLatency.Len(), 1))
	if p.smoothedLatency.Len() == 0 {
		for _, latency := range p.typicalLatency {
			mean += latency / time.Duration(len(p.typicalLatency))
		}
	}
	if p.rotation.Has(s) && p.rotation.Delete(s) < p.nextToJoin {
		p.nextToJoin--
	}
	p.slowStarting.Remove(s)
	p.closing.Remove(s)
	p.assigned.Remove(s)
	p.readiness.Add(s)
	p.ejections.Add(s)
	columns.Put(s, false, &p.inSubset, &p.unreachable)
	p.serverFailures.Reset(s)
	columns.Put(s, 0, &p.rank, &p.zone, &p.machineKind, &p.cell, &p.inFlight, &p.spikesInRow, &p.consecutiveFailures, &p.pauseCount,
		&p.softFailures, &p.suspicion, &p.overloadsInRow)
	columns.Put(s, 0.0, &p.credit, &p.slowStartTokens, &p.abandoned, &p.preference, &p.plannedRate)
	columns.Put(s, 1.0, &p.listedWeight, &p.turnWeight, &p.slowness)
	columns.Put(s, 0, &p.slowStartSince, &p.abandonedSentAt, &p.runStart, &p.lastSpike, &p.nextPause,
		&p.pauseInterval, &p.lastSignAt, &p.lastActivity)
	p.smoothedLatency.Set(s, mean)
	columns.Put(s, p.now, &p.lastAnswerAt)
	columns.Put(s, [maxOnsets]float64{}, &p.onsets)
}

// capacity is the share of its full capacity that a server surely has: it warms evenly at the slowest.
func (p *Policy) capacityShare(s int) float64 {
	age := float64(p.now-p.slowStartSince[s]) / float64(max(p.settings.SlowStartDuration, 1))
	if age >= 1 {
		p.slowStarting.Remove(s)
	}
	if !p.slowStarting.Has(s) {
		return 1
	}
	return p.settings.SlowStartInitialCapacity + (1-p.settings.SlowStartInitialCapacity)*max(age, 0)
}

func (p *Policy) updateWeights() {
	p.totalTurnWeight, p.totalCapacity, p.readyCount = 0, 0, p.readiness.ReadyCount()
	for _, s := range p.subset {
		able := p.listedWeight[s] * p.capacityShare(s)
		p.turnWeight[s] = able / max(p.slowness[s]*p.slowness[s], minSquaredSlowness) / float64(int(1)<<(2*p.suspicion[s]))
		p.totalCapacity += able
		p.totalTurnWeight += p.turnWeight[s]
	}
}

// sweep looks at all that time changes: rates, cold budgets, shedding, open operations, the list.
func (p *Policy) tick() {
	period := max(tickInterval, p.settings.TimerGranularity)
	p.emit(Effect{Kind: SetTimer, Duration: period})
	passed := p.now - p.lastTick
	p.lastTick = p.now
	fade := math.Exp(-passed.Seconds() / rateMemory.Seconds())
	p.successRate *= fade
	kept := math.Exp(-passed.Seconds() / attributionDecayTime.Seconds())
	p.tenants.Decay(fade, minArrivalRate, kept, minRecordCount)
	p.overloaded.Decay(fade, minRecordCount)
	p.connectFailures.Decay(fade, minRecordCount)
	p.serverFailures.Decay(kept, minRecordCount)
	for i := range p.keyFailures {
		p.keyFailures[i].Decay(kept, minRecordCount)
	}
	relax := 1 - math.Exp(-passed.Seconds()/unloadedLatencyMemory.Seconds())
	for kind := range p.activeTypes.All() {
		if !p.decayType(kind, passed, fade, kept, relax) {
			p.activeTypes.Remove(kind)
		}
	}
	p.finishedLoad *= math.Exp(-passed.Seconds() / finishedMemory.Seconds())
	p.updateWeights()
	p.refillSlowStart(passed)
	for _, s := range p.subset {
		p.abandoned[s] *= math.Exp(-float64(passed) / (spikeFactor * float64(max(p.smoothedLatency.At(s), 1))))
	}
	for s := range p.closing.All() {
		if p.now-p.lastActivity[s] >= p.settings.DrainCloseTimeout/2 {
			p.closing.Remove(s)
			p.emit(Effect{Kind: CloseIdle, Server: s})
		}
	}
	p.shrinkSubset(passed)
	p.forgetSilent()
	p.adjustAdmission(passed)
	p.dequeue()
	for i := p.openRequests.Len() - 1; i >= 0; i-- {
		if i < p.openRequests.Len() {
			p.advance(p.openRequests.Items()[i], onTick)
		}
	}
	if p.settings.MustRequestEndpoints && !p.requested && p.now >= p.nextRequestAt {
		p.requested = true
		p.emit(Effect{Kind: Subscribe})
	}
}

// age lets time pass for a type, and tells whether more of it would change anything.
func (p *Policy) decayType(kind int, passed time.Duration, fade, kept, relax float64) bool {
	rates, records, breaks := p.arrivalRates[2*kind:2*kind+2], p.typeFailures[2*kind:2*kind+2], &p.breakingServers[kind]
	for i := range rates {
		rates[i] = decay.ZeroBelow(rates[i]*fade, minArrivalRate)
		records[i].Decay(kept, minRecordCount)
	}
	breaks.Decay(kept, minRecordCount)
	step := time.Duration(relax * float64(p.typicalLatency[kind]-p.unloadedLatency[kind]))
	p.unloadedLatency[kind] += step
	retries, copies := p.retryBudget[kind], p.hedgeBudget[kind]
	p.refillBudgets(kind, 0, passed.Seconds())
	still := step == 0 && p.retryBudget[kind] == retries && p.hedgeBudget[kind] == copies && passed > 0
	return !still || rates[0]+rates[1]+records[0].Total+records[1].Total+breaks.Failed > 0
}

// paceCold refills the cold budgets. The fall is counted over all nodes, so each node gives a cold
// server what a warm one of its scale handles for this node, cut to the capacity it surely has.
func (p *Policy) refillSlowStart(passed time.Duration) {
	if p.slowStarting.Len() == 0 {
		return
	}
	floor := minSlowStartShare * p.settings.CrashLoadFactor / max(slices.Max(p.typicalLatency), 1).Seconds() / float64(p.settings.NodeCount)
	for s := range p.slowStarting.All() {
		part := p.listedWeight[s] / max(p.totalCapacity, 1e-9)
		if p.settings.WeightsFollowLoad { // which list a server that holds nothing yet for several that hold much
			part = min(part, 1/max(float64(len(p.subset)), 1))
		}
		own := slowStartShare * p.settings.CrashLoadFactor * p.successRate * part
		pace := cmp.Or(p.plannedRate[s], max(own, floor)) * p.capacityShare(s)
		if p.chance() < pace*passed.Seconds() {
			p.slowStartTokens[s] = min(p.slowStartTokens[s]+1, maxSlowStartTokens)
		}
		if p.chance() < passed.Seconds()/slowStartTokenLifetime.Seconds() {
			p.slowStartTokens[s] = max(p.slowStartTokens[s]-1, 0)
		}
	}
}

// adjustShed moves the share of offered work that is denied, and spreads it: the types that earn least
// for the time they take are denied first, operations beyond their tenant's share at its lower revenue.
func (p *Policy) adjustAdmission(passed time.Duration) {
	kept := math.Exp(-passed.Seconds() / saturationMemory.Seconds())
	if p.saturatedShare *= kept; p.isSaturated() {
		p.saturatedShare += 1 - kept
	}
	off := max(1-max(p.saturatedShare/maxSaturatedShare, p.overloaded.Rate(attributionPrior)/maxOverloadedShare), -2)
	p.admittedShare = min(max(p.admittedShare*math.Exp(admissionSpeed*off*passed.Seconds()), minAdmittedShare), cmp.Or(p.maxAdmittedShare, 1))
	p.classes = slices.DeleteFunc(p.classes, func(b int) bool { return !p.activeTypes.Has(b / 2) })
	slices.SortFunc(p.classes, func(a, b int) int { return cmp.Or(cmp.Compare(p.classWeight(a), p.classWeight(b)), a-b) })
	total := 0.0
	for kind := range p.activeTypes.All() {
		for b := 2 * kind; b < 2*kind+2; b++ {
			total += p.arrivalRates[b] * p.typicalLatency[kind].Seconds()
		}
	}
	cut := (1 - p.admittedShare) * total
	p.shedEntries = p.shedEntries[:0]
	for _, b := range p.classes {
		p.shedEntries = append(p.shedEntries, shedEntry{b, p.classWeight(b), cut})
		load := p.arrivalRates[b] * p.typicalLatency[b/2].Seconds()
		p.rejectShare[b] = p.rejectShareFor(b, cut, load)
		cut = max(cut-p.rejectShare[b]*load, 0)
	}
	p.shedEntries = append(p.shedEntries, shedEntry{len(p.arrivalRates), math.Inf(1), cut})
}

func (p *Policy) rejectShareFor(b int, cut, load float64) float64 {
	return min(cut/max(load, 1e-9), cmp.Or(p.settings.TrafficTypes[b/2].MaxShedShare, defaultMaxShedShare))
}

// activate has a type that had no traffic for long age again. Its buckets get the shares that they would
// have had.
func (p *Policy) activateType(kind int) {
	if p.activeTypes.Has(kind) {
		return
	}
	p.activeTypes.Add(kind)
	for b := 2 * kind; b < 2*kind+2; b++ {
		p.classes = append(p.classes, b)
		if b < len(p.rejectShare) && len(p.shedEntries) > 0 {
			i, _ := slices.BinarySearchFunc(p.shedEntries, b, func(other shedEntry, b int) int {
				return cmp.Or(cmp.Compare(other.weight, p.classWeight(b)), other.class-b)
			})
			p.rejectShare[b] = p.rejectShareFor(b, p.shedEntries[i].remaining, 0)
		}
	}
}

func (p *Policy) classWeight(bucket int) float64 {
	share := [2]float64{1, p.settings.OverQuotaWeightShare}[bucket%2]
	return share * p.settings.TrafficTypes[bucket/2].PriorityWeight / max(p.typicalLatency[bucket/2].Seconds(), 1e-6)
}
