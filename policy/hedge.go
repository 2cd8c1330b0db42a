package policy

// canHedge reports whether a request gets a hedged attempt: the first attempt takes longer than the type's hedge
// delay, a second one is allowed, within its budget and cannot take effect twice, and a healthy server has capacity
// for it.
func (p *Policy) canHedge(request int) bool {
	r := &p.requests.all[request]
	t := &p.settings.TrafficTypes[r.trafficType]
	if t.HedgeDelay == 0 || !p.settings.HedgingAllowed || t.Idempotency == NonIdempotent {
		return false
	}
	if len(r.attempts) != 1 || p.maxAttempts(t) < 2 || p.now-r.attempts[0].sentAt < t.HedgeDelay {
		return false
	}
	if p.budgets.hedges[r.trafficType] < 1 || p.isSaturated() || p.isKeyExpired(r) {
		return false
	}
	return p.canSend(request) && !r.wasTriedAt(p.picked) && !p.isUnhealthy(p.picked, r)
}

// hedge sends a hedged attempt to the picked server.
func (p *Policy) hedge(request int) {
	trafficType := p.requests.all[request].trafficType
	p.budgets.hedges[trafficType]--
	p.budgets.retries[trafficType]++ // sendAttempt subtracts a retry
	p.sendAttempt(request)
}
