package shadow

import (
	"time"

	"fernvane/policy"
)

const (
	// maxComparisonsPerSecond limits the time that evaluations take. Each copies the decision module's state, which takes
	// some 50 µs with a hundred servers and as many requests.
	maxComparisonsPerSecond = 100
	// serversPerComparison is how many servers are copied at the cost of one comparison; with more servers an evaluation
	// costs proportionally more of the limit.
	serversPerComparison = 1_000
)

// Module is the decision module with the evaluation of a Candidate beside it.
type Module struct {
	live       *policy.Policy
	candidate  *Candidate
	budget     float64 // comparisons that may be made now
	budgetAt   time.Duration
	effects    []policy.Effect       // of the candidate settings
	byRequest  map[int]policy.Effect // those that are decisions
	isDisabled bool                  // after a panic under any candidate settings; never reset
}

// NewModule returns a Module that decides as live does.
func NewModule(live *policy.Policy, candidate *Candidate) *Module {
	return &Module{live: live, candidate: candidate, budget: maxComparisonsPerSecond, byRequest: map[int]policy.Effect{}}
}

// Handle returns what the decision module decides. The candidate settings are evaluated before, on a copy of the module's
// state, since handling the input changes it.
func (m *Module) Handle(now time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect {
	isEvaluated := m.shouldCompare(now, in) && m.evaluateCandidate(now, in)
	from := len(effects)
	effects = m.live.Handle(now, in, effects)
	if isEvaluated {
		m.compare(effects[from:])
	}
	return effects
}

// shouldCompare reports whether an input is compared, and takes it from the limit of comparisons: one about requests or the
// timer, within the limit. Changes of endpoints, traffic types, plans and quotas are not compared.
func (m *Module) shouldCompare(now time.Duration, in *policy.Input) bool {
	cost := max(float64(m.live.ServerCount())/serversPerComparison, 1)
	m.budget = min(m.budget+maxComparisonsPerSecond*(now-m.budgetAt).Seconds(), max(maxComparisonsPerSecond, cost))
	m.budgetAt = now
	switch in.Kind {
	case policy.EndpointsUpdated, policy.TrafficTypesChanged, policy.PlanChanged, policy.QuotasChanged:
		return false
	}
	if m.isDisabled || m.budget < cost {
		return false
	}
	m.budget -= cost
	return true
}

// evaluateCandidate reports whether the candidate settings could be evaluated. A panic under them disables the evaluation
// for good, also for settings that Candidate.SetSettings brings later, and does not end the node.
func (m *Module) evaluateCandidate(now time.Duration, in *policy.Input) (ok bool) {
	defer func() {
		if recover() != nil {
			m.isDisabled, ok = true, false
			m.candidate.failed.Add(1)
		}
	}()
	m.effects = m.live.WhatIf(&m.candidate.Settings().Settings, now, in, m.effects[:0])
	return true
}

// compare counts how the decisions under the candidate settings differ from those that were made.
func (m *Module) compare(live []policy.Effect) {
	m.candidate.compared.Add(1)
	clear(m.byRequest)
	for _, e := range m.effects {
		if isDecision(e.Kind) {
			m.byRequest[e.Request] = e
		}
	}
	for i := range live {
		if isDecision(live[i].Kind) {
			m.compareOne(&live[i])
		}
	}
	for request, other := range m.byRequest { // decisions about requests of which none was made
		d, _ := difference(nil, &other, m.live.AttemptCount(request) > 0)
		m.candidate.counts[d].Add(1)
	}
}

func (m *Module) compareOne(live *policy.Effect) {
	var other *policy.Effect
	if e, ok := m.byRequest[live.Request]; ok {
		other = &e
		delete(m.byRequest, live.Request)
	}
	attempts := m.live.AttemptCount(live.Request)
	if live.Kind == policy.SendAttempt {
		attempts-- // this one
	}
	if d, ok := difference(live, other, attempts > 0); ok {
		m.candidate.counts[d].Add(1)
	}
}
