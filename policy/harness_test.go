package policy

import (
	"testing"
	"time"

	"fernvane/internal/collections/indexset"
)

const ms = time.Millisecond

// harness drives one policy with a simulated clock.
type harness struct {
	*Policy
	t        *testing.T
	arrivals int
}

// newHarness returns a policy with four traffic types and the given number of servers. change modifies the settings
// before the policy is created.
func newHarness(t *testing.T, servers int, change func(*Settings)) *harness {
	t.Helper()
	s := Settings{NodeCount: 4, TimerGranularity: 5 * ms, MaxAttempts: 4, SlowStartDuration: 8 * time.Second, SlowStartInitialCapacity: 0.3,
		CrashLoadFactor: 3, RequestEndpointsWithin: 10 * time.Second, OverQuotaWeightShare: 0.1, TrafficTypes: []TrafficType{
			{Idempotency: Idempotent, LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second, PriorityWeight: 1},
			{Idempotency: IdempotentWithKey, KeyScope: KeyScopeZone, LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second,
				KeyRetention: time.Second, PriorityWeight: 5},
			{Idempotency: NonIdempotent, LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second, PriorityWeight: 10},
			{Idempotency: IdempotentWithKey, KeyScope: KeyScopeAll, LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second,
				KeyRetention: time.Second, PriorityWeight: 5}}}
	if change != nil {
		change(&s)
	}
	h := &harness{Policy: New(s, 7), t: t}
	h.at(0, Input{Kind: TimerFired})
	var list []Endpoint
	for i := range servers {
		list = append(list, Endpoint{Server: i, Rank: uint32(i), Zone: i % 2, Cell: i / 2, Weight: 1})
	}
	h.at(0, Input{Kind: EndpointsUpdated, Scope: Cached, Endpoints: list})
	return h
}

// fillSubset adds every server to the subset, in index order.
func (h *harness) fillSubset() *harness {
	for s := range h.readiness.Len() {
		if !h.subset.contains[s] {
			h.addToSubset(s)
			h.updateWeights()
		}
	}
	return h
}

// at passes an input to the policy.
func (h *harness) at(now time.Duration, in Input) []Effect { return h.Handle(now, &in, nil) }

// arriveAt starts a request and returns its index.
func (h *harness) arriveAt(now time.Duration, trafficType int, timeout time.Duration) (int, []Effect) {
	h.arrivals++
	return h.arrivals - 1, h.at(now, Input{Kind: RequestArrived, Request: h.arrivals - 1, TrafficType: trafficType, Timeout: timeout})
}

// end ends an attempt of a request.
func (h *harness) end(now time.Duration, id, number int, outcome Outcome) []Effect {
	return h.at(now, Input{Kind: AttemptEnded, Request: id, Attempt: number, Server: 0, Outcome: outcome, IsSettled: outcome == Success})
}

// effectKinds returns the kinds of effects other than SetTimer and Subscribe.
func effectKinds(effects []Effect) []EffectKind {
	var kinds []EffectKind
	for _, e := range effects {
		if e.Kind != SetTimer && e.Kind != Subscribe {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}

// request returns a request by its index.
func (h *harness) request(id int) *request { return &h.Policy.requests.all[id] }

// listServers sends a list of servers; change modifies each entry.
func (h *harness) listServers(now time.Duration, scope UpdateScope, servers int, change func(*Endpoint)) []Effect {
	var list []Endpoint
	for i := range servers {
		endpoint := Endpoint{Server: i, Rank: uint32(i), Zone: i % 2, MachineKind: i / 2 % 2, Cell: i / 2, Weight: 1}
		change(&endpoint)
		list = append(list, endpoint)
	}
	return h.at(now, Input{Kind: EndpointsUpdated, Scope: scope, Endpoints: list})
}

// serversSentTo returns the servers that effects send attempts to.
func serversSentTo(effects []Effect) (servers []int) {
	for _, e := range effects {
		if e.Kind == SendAttempt {
			servers = append(servers, e.Server)
		}
	}
	return servers
}

// countSent returns the number of attempts that effects send.
func countSent(effects []Effect) (n int) {
	for _, e := range effects {
		if e.Kind == SendAttempt {
			n++
		}
	}
	return n
}

// largeSettings returns the settings of a node with many traffic types and tenants.
func largeSettings(types, tenants int) Settings {
	s := Settings{NodeCount: 5800, TimerGranularity: 5 * ms, MaxAttempts: 4, SlowStartDuration: 8 * time.Second, SlowStartInitialCapacity: 0.3, CrashLoadFactor: 3,
		RequestEndpointsWithin: 10 * time.Second, OverQuotaWeightShare: 0.1}
	for k := range types {
		s.TrafficTypes = append(s.TrafficTypes, TrafficType{Idempotency: Idempotency(k % 3), LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second,
			PriorityWeight: float64(1 + k%9), RetryRatio: 0.1, MinRetriesPerSecond: 1})
	}
	for range tenants {
		s.TenantQuotas = append(s.TenantQuotas, 10)
	}
	return s
}

// largeList returns a list of servers that started an hour ago, with ranks distributed like checksums.
func largeList(servers int) []Endpoint {
	list := make([]Endpoint, servers)
	for i := range list {
		list[i] = Endpoint{Server: i, Rank: uint32(i) * 2654435761, Zone: i % 18, Cell: i / 40, Weight: 1,
			StartedAt: -time.Hour, HasStartTime: true}
	}
	return list
}

// newLargePolicy returns a policy with many traffic types, tenants and servers.
func newLargePolicy(types, tenants, servers int) *Policy {
	p := New(largeSettings(types, tenants), 7)
	p.Handle(0, &Input{Kind: TimerFired}, nil)
	if servers > 0 {
		p.Handle(0, &Input{Kind: EndpointsUpdated, Scope: Full, Endpoints: largeList(servers)}, nil)
	}
	return p
}

// visits returns the number of set elements and rotation nodes that the policy has visited since its creation.
func visits(p *Policy) int {
	sum := p.subset.rotation.Steps() + p.quotaUsage.tenants.Visits()
	for _, s := range []*indexset.Set{&p.slowStart.servers, p.readiness.ReadyUnlisted(), &p.plan.assigned, p.outliers.ejections.Active(), p.attribution.servers.Active(), &p.admission.activeTypes} {
		sum += s.Visits()
	}
	return sum
}

// newRouteHarness returns a harness whose settings allow hedging; change modifies one traffic type as a route does.
func newRouteHarness(t *testing.T, servers, trafficType int, change func(*TrafficType)) *harness {
	h := newHarness(t, servers, func(s *Settings) {
		s.HedgingAllowed, s.NodeCount = true, 1
		change(&s.TrafficTypes[trafficType])
	}).fillSubset()
	h.subset.peakInFlight = 99 // prevents the subset from shrinking
	return h
}
