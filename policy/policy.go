package policy

import (
	"slices"
	"time"

	"fernvane/internal/collections/decay"
	"fernvane/policy/internal/readiness"
)

// minDivisor replaces smaller divisors, because a sum may be 0.
const minDivisor = 1e-9

// Policy is one instance of the decision logic. It is not safe for concurrent use: its owner serializes all calls.
type Policy struct {
	settings    Settings
	transitions [stateCount][signalCount][]transition
	random      randomSource
	now         time.Duration // of the current input
	lastTick    time.Duration
	effects     []Effect // of the current input
	picked      int      // server selected by a guard of the lifecycle, for the action of the same transition

	requests    requestTable
	dequeues    dequeueCounter
	readiness   readiness.Table // ready and listed servers
	servers     serverTable
	subset      subset
	picker      picker
	pauses      pauseForecast
	outliers    outliers
	suspicion   suspicion
	attribution attribution
	latency     latency
	load        serverLoad
	slowStart   slowStart
	drain       drain
	concurrency concurrencyLimit
	routes      routeLimits
	admission   admission
	quotaUsage  quotaUsage
	budgets     budgets
	plan        plan
	poll        poll
}

// New returns an instance whose random numbers are derived from seed.
func New(s Settings, seed uint32) *Policy {
	p := &Policy{settings: s, random: randomSource{seed: seed}, quotaUsage: newQuotaUsage(s.TenantQuotas)}
	for _, t := range lifecycle() {
		p.transitions[t.from][t.on] = append(p.transitions[t.from][t.on], t)
	}
	p.admission.admitted = 1
	p.poll.backoff = initialPollBackoff
	p.attribution.keys = make([]decay.FailureRate, keyRecordCount)
	noSources := slices.Repeat([]int{-1}, len(s.TrafficTypes))
	p.updateTrafficTypes(&Input{TrafficTypes: s.TrafficTypes, LatencySources: noSources, RouteLimits: []int{0}})
	return p
}

// Handle processes one input at the time now, which is monotonic, and returns effects with its own appended. The end
// of an attempt that is unknown or has already ended, and ClientLeft for an unknown or done request, have no effect.
func (p *Policy) Handle(now time.Duration, in *Input, effects []Effect) []Effect {
	p.now, p.effects = now, effects
	switch in.Kind {
	case RequestArrived:
		p.requestArrived(in)
	case AttemptEnded:
		p.attemptEnded(in)
	case ClientLeft:
		p.clientLeft(in)
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

func (p *Policy) emit(e Effect) { p.effects = append(p.effects, e) }

// ServerCount returns the number of servers in the instance's tables.
func (p *Policy) ServerCount() int { return p.readiness.Len() }

// AttemptCount returns the number of attempts of a request.
func (p *Policy) AttemptCount(request int) int {
	if request >= len(p.requests.all) {
		return 0
	}
	return len(p.requests.all[request].attempts)
}
