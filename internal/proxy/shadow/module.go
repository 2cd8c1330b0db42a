package shadow

import (
	"time"

	"fernvane/policy"
)

const (
	// maxComparisonsPerSecond limits the time spent on evaluations. Each copies the decision module's state, which takes
	// about 50 µs with 100 servers and 100 requests.
	maxComparisonsPerSecond = 100
	// serversPerComparison is the number of servers that count as one comparison. With more servers, an evaluation uses a
	// proportionally larger part of maxComparisonsPerSecond.
	serversPerComparison = 1_000
)

// Module wraps the decision module and evaluates a Candidate beside it.
type Module struct {
	live               *policy.Policy
	candidate          *Candidate
	budget             float64               // comparisons available now
	budgetAt           time.Duration         // when budget was last updated
	candidateEffects   []policy.Effect       // effects under the candidate settings
	candidateDecisions map[int]policy.Effect // the decisions among them, by request
	isDisabled         bool                  // set by a panic under any candidate settings; never reset
}

// NewModule returns a Module that wraps live and evaluates candidate.
func NewModule(live *policy.Policy, candidate *Candidate) *Module {
	return &Module{live: live, candidate: candidate, budget: maxComparisonsPerSecond, candidateDecisions: map[int]policy.Effect{}}
}

// Handle returns the effects of the live decision module. The candidate settings are evaluated first, on a copy of the
// module's state, because handling the input changes that state.
func (m *Module) Handle(now time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect {
	isEvaluated := m.shouldCompare(now, in) && m.evaluateCandidate(now, in)
	from := len(effects)
	effects = m.live.Handle(now, in, effects)
	if isEvaluated {
		m.compare(effects[from:])
	}
	return effects
}

// shouldCompare reports whether an input is to be evaluated and, if so, deducts its cost from the budget. Inputs about
// requests and the timer are evaluated while the budget lasts. Changes of endpoints, traffic types, plans and quotas are
// not evaluated.
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

// evaluateCandidate evaluates the candidate settings and reports success. A panic under the candidate settings does not
// terminate the node; it disables the evaluation permanently, also for later settings of Candidate.SetSettings.
func (m *Module) evaluateCandidate(now time.Duration, in *policy.Input) (ok bool) {
	defer func() {
		if recover() != nil {
			m.isDisabled, ok = true, false
			m.candidate.failed.Add(1)
		}
	}()
	m.candidateEffects = m.live.WhatIf(&m.candidate.Settings().Settings, now, in, m.candidateEffects[:0])
	return true
}

// compare counts how the decisions under the candidate settings differ from the live decisions.
func (m *Module) compare(live []policy.Effect) {
	m.candidate.compared.Add(1)
	clear(m.candidateDecisions)
	for _, e := range m.candidateEffects {
		if isDecision(e.Kind) {
			m.candidateDecisions[e.Request] = e
		}
	}
	for i := range live {
		if isDecision(live[i].Kind) {
			m.compareDecision(&live[i])
		}
	}
	for request, candidate := range m.candidateDecisions { // requests without a live decision
		d, _ := difference(nil, &candidate, m.live.AttemptCount(request) > 0)
		m.candidate.counts[d].Add(1)
	}
}

// compareDecision compares one live decision with the candidate decision about the same request.
func (m *Module) compareDecision(live *policy.Effect) {
	var candidate *policy.Effect
	if e, ok := m.candidateDecisions[live.Request]; ok {
		candidate = &e
		delete(m.candidateDecisions, live.Request)
	}
	attempts := m.live.AttemptCount(live.Request)
	if live.Kind == policy.SendAttempt {
		attempts-- // the live attempt itself is not an earlier one
	}
	if d, ok := difference(live, candidate, attempts > 0); ok {
		m.candidate.counts[d].Add(1)
	}
}
