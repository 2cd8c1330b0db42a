package policy

import (
	"slices"
	"time"

	"fernvane/internal/collections/decay"
	"fernvane/policy/internal/readiness"
)

// minDivisor keeps divisions by sums that may be 0 finite.
const minDivisor = 1e-9

// Policy is one instance of the decisions. It is not safe for concurrent use: its owner calls one method at a time.
type Policy struct {
	settings    Settings
	transitions [stateCount][signalCount][]transition
	random      randomSource
	now         time.Duration // of the input in hand
	lastTick    time.Duration
	effects     []Effect // of the input in hand
	picked      int      // server that a guard of the lifecycle found for the action that follows

	requests    requestTable
	dequeues    dequeueCounter
	readiness   readiness.Table // which servers are ready, and which are listed
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

// New returns an instance that draws its random numbers from seed.
func New(s Settings, seed uint32) *Policy {
	p := &Policy{settings: s, random: randomSource{seed: seed}, quotaUsage: newQuotaUsage(s.TenantQuotas)}
	for _, t := range lifecycle() {
		p.transitions[t.from][t.on] = append(p.transitions[t.from][t.on], t)
	}
	p.admission.admitted = 1
	p.poll.backoff = initialPollBackoff
	p.attribution.keys = make([]decay.FailureRate, keyRecordCount)
	unlike := slices.Repeat([]int{-1}, len(s.TrafficTypes))
	p.updateTrafficTypes(&Input{TrafficTypes: s.TrafficTypes, LearnFrom: unlike, RouteLimits: []int{0}})
	return p
}

// Handle decides on one input at the time now, which never goes back, and returns effects with its own appended.
// An input that names a request or attempt that is unknown or has ended has no effect.
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

// ServerCount returns how many servers the instance keeps figures of.
func (p *Policy) ServerCount() int { return p.readiness.Len() }

// AttemptCount returns how many attempts a request has had.
func (p *Policy) AttemptCount(request int) int {
	if request >= len(p.requests.all) {
		return 0
	}
	return len(p.requests.all[request].attempts)
}
