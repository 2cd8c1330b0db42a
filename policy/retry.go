package policy

import (
	"cmp"
	"slices"
	"time"

	"fernvane/internal/collections/columns"
)

// budgetMemorySeconds is the time over which budgets of retries and hedged attempts accumulate.
const budgetMemorySeconds = 3.0

// budgets holds the remaining retries and hedged attempts of each traffic type.
type budgets struct {
	retries []float64
	hedges  []float64
}

func (b *budgets) addType(trafficType int) { columns.Put(trafficType, 0, &b.retries, &b.hedges) }

func (b *budgets) clone() budgets {
	return budgets{retries: slices.Clone(b.retries), hedges: slices.Clone(b.hedges)}
}

// refillBudgets adds to the budgets of a type for requests and seconds. A budget is at most the amount that accumulates
// within budgetMemorySeconds, or 1 if that is less.
func (p *Policy) refillBudgets(trafficType int, requests, seconds float64) {
	t, b := &p.settings.TrafficTypes[trafficType], &p.budgets
	rates := p.admission.ratesOf(trafficType)
	rate := rates[0] + rates[1]
	maxRetries := budgetMemorySeconds * (t.RetryRatio*rate + t.MinRetriesPerSecond)
	earned := b.retries[trafficType] + t.RetryRatio*requests + t.MinRetriesPerSecond*seconds
	b.retries[trafficType] = min(earned, max(maxRetries, 1))
	b.hedges[trafficType] = min(b.hedges[trafficType]+t.HedgeRatio*requests, max(budgetMemorySeconds*t.HedgeRatio*rate, 1))
}

// maxAttempts returns the number of attempts that a request of a type may have.
func (p *Policy) maxAttempts(t *TrafficType) int {
	return min(cmp.Or(t.MaxAttempts, p.settings.MaxAttempts), p.settings.MaxAttempts)
}

// isKeyExpired reports whether servers may have discarded the idempotency key of a request.
func (p *Policy) isKeyExpired(r *request) bool {
	t := &p.settings.TrafficTypes[r.trafficType]
	return t.Idempotency == IdempotentWithKey && p.now >= r.firstRunAt+t.KeyRetention-p.settings.TimerGranularity
}

// canRetry reports whether a request may have another attempt after one failed: the retry is allowed and within its
// budget, may bring the response in time, cannot take effect twice, and a server is available for it.
func (p *Policy) canRetry(request int) bool {
	r := &p.requests.all[request]
	t := &p.settings.TrafficTypes[r.trafficType]
	isTooLate := p.now+p.latency.typical[r.trafficType]/2 > r.objectiveAt
	if r.isFailureAttributed || len(r.attempts) >= p.maxAttempts(t) || isTooLate {
		return false
	}
	if t.RetryOn != 0 && !t.RetryOn.Contains(r.lastOutcome) {
		return false
	}
	if t.RetryRatio > 0 && p.budgets.retries[r.trafficType] < 1 {
		return false
	}
	if r.mayHaveRun && (t.Idempotency == NonIdempotent || p.isKeyExpired(r)) {
		return false
	}
	return p.hasRetryCapacity(r, t) && p.canSend(request)
}

// hasRetryCapacity reports whether servers have capacity for a retry. It is always true for the first retry of a request
// with the highest priority weight. Other requests that may have run are not retried while the node is saturated. After
// an Overloaded outcome the decision is random, with the share of overloaded attempts as the probability of no retry.
func (p *Policy) hasRetryCapacity(r *request, t *TrafficType) bool {
	if len(r.attempts) == 1 && t.PriorityWeight >= p.admission.maxPriorityWeight {
		return true
	}
	if r.mayHaveRun && p.isSaturated() {
		return false
	}
	return r.lastOutcome != Overloaded || p.randomFloat() >= p.admission.overloaded.Rate(attributionPrior)
}

// sendAttempt sends a request to the picked server.
func (p *Policy) sendAttempt(request int) {
	r, s := &p.requests.all[request], p.picked
	if len(r.attempts) > 0 {
		p.budgets.retries[r.trafficType]--
	}
	r.attempts = append(r.attempts, attempt{server: s, sentAt: p.now})
	if r.firstRunServer < 0 {
		r.firstRunServer, r.firstRunAt = s, p.now
	}
	r.mayHaveRun = true
	if p.load.inFlight[s] == 0 {
		p.load.lastResponseAt[s] = p.now
	}
	if p.outliers.ejections.Get(s, r.trafficType).Consecutive > 0 {
		p.outliers.ejections.SetEjectedUntil(s, r.trafficType, r.objectiveAt) // one trial attempt at a time
	}
	p.load.inFlight[s]++
	p.concurrency.inFlight++
	if p.attributedShedShare(r) > 0 {
		p.uncountAttempts(request) // requests that are likely to fail leave the whole limit to the others
	}
	if p.slowStart.servers.Has(s) {
		p.slowStart.tokens[s]--
	}
	p.emit(Effect{Kind: SendAttempt, Request: request, Server: s, Duration: p.attemptTimeout(r)})
}

// attemptTimeout returns how long an attempt may take: until the latency objective, or until the client gives up if a
// late response has a weight, and at most as long as its route allows.
func (p *Policy) attemptTimeout(r *request) time.Duration {
	t := &p.settings.TrafficTypes[r.trafficType]
	timeout := max(r.objectiveAt-p.now, time.Millisecond)
	if t.LateWeightShare > 0 {
		timeout = r.clientDeadline - p.now
	}
	return min(timeout, cmp.Or(t.AttemptTimeout, timeout))
}
