package policy

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/decay"
)

const (
	attributionMargin    = 0.1                   // excess of an attribute's failure rate over the server's that attributes a failure to the request
	attributionPrior     = 3.0                   // successes assumed in a new record, so that a single failure has little effect
	attributionMemory    = 10.0                  // attempts that count in a server's record
	attributesMemory     = 3 * attributionMemory // attempts that count in an attribute's record, and in all servers' together
	allAttemptsMemory    = 2 * attributionMemory // attempts that count in shares of all attempts of the node
	attributionDecayTime = 10 * time.Second      // time in which a record decays to 1/e
	keyRecordCount       = 256                   // records of keys; keys with equal checksum modulo this number share one

	maxBreakingServers     = 1.5 // servers whose connections a traffic type recently broke (a decaying count), from which the type is the cause
	minAttributedShedRate  = 0.6 // failure rate of an attribute from which requests with it are shed
	fullAttributedShedRate = 0.9 // failure rate from which nearly all of them are shed

	// minRecordCount is the count below which a record is cleared, so that ticks no longer visit it.
	minRecordCount = 1e-9
)

// attribution holds failure rates of servers and of attributes of requests: traffic type with client retry or not,
// tenant, and key. A failure is attributed to the request if one of its attributes fails more often than the server.
// Without attribution, requests that fail at every server would cause all servers to be ejected.
type attribution struct {
	servers decay.Table
	overall decay.FailureRate
	types   []decay.FailureRate // two for each traffic type: first requests and clients' retries
	keys    []decay.FailureRate // by checksum
	breaks  []decay.FailureRate // by traffic type: servers that broke a connection
}

func (a *attribution) addType(trafficType int) {
	columns.Put(trafficType, decay.FailureRate{}, &a.breaks)
	columns.Put(2*trafficType, decay.FailureRate{}, &a.types)
	columns.Put(2*trafficType+1, decay.FailureRate{}, &a.types)
}

// ofType returns the two records of a traffic type.
func (a *attribution) ofType(trafficType int) []decay.FailureRate {
	return a.types[2*trafficType : 2*trafficType+2]
}

func (a *attribution) clone() attribution {
	c := *a
	c.servers = a.servers.Clone()
	c.types = slices.Clone(a.types)
	c.keys = slices.Clone(a.keys)
	c.breaks = slices.Clone(a.breaks)
	return c
}

// decay decays the records of servers and keys. The records of types decay with the type, those of tenants with the
// tenant.
func (a *attribution) decay(factor float64) {
	a.servers.Decay(factor, minRecordCount)
	for i := range a.keys {
		a.keys[i].Decay(factor, minRecordCount)
	}
}

// attributeRates returns the failure rates of the attributes of a request.
func (p *Policy) attributeRates(r *request) []*decay.FailureRate {
	retried := 0
	if r.isClientRetry {
		retried = 1
	}
	rates := [...]*decay.FailureRate{
		&p.attribution.ofType(r.trafficType)[retried],
		p.quotaUsage.tenants.FailureRate(r.tenant),
		&p.attribution.keys[r.key%keyRecordCount],
	}
	if r.key == 0 {
		return rates[:2]
	}
	return rates[:]
}

// recordAndAttribute records the end of an attempt and reports whether it is a failure of the request itself: one of
// its attributes fails more often than the server, or its traffic type breaks connections of several servers.
func (p *Policy) recordAndAttribute(s int, r *request, outcome Outcome) bool {
	failed, worst := 1.0, 0.0
	if outcome == Success {
		failed = 0
	}
	source := s + 1
	for _, rate := range p.attributeRates(r) {
		if failed == 0 || rate.LastSource != source { // consecutive failures at one server indicate a fault of the server
			rate.Observe(failed, attributesMemory)
		}
		if failed > 0 {
			rate.LastSource = source
		}
		worst = max(worst, rate.Rate(attributionPrior))
	}
	if outcome == ConnectionBroken && p.recordBreak(r.trafficType, source) {
		return true
	}
	p.attribution.servers.Observe(s, failed, attributionMemory)
	p.attribution.overall.Observe(failed, attributesMemory)
	serverRate := p.attribution.servers.At(s).Rate(attributionPrior) + attributionMargin
	return failed > 0 && worst > max(serverRate, p.attribution.overall.Rate(attributionPrior))
}

// recordBreak records a broken connection and reports whether the traffic type is the cause. The type of the highest
// priority weight never counts as the cause.
func (p *Policy) recordBreak(trafficType, source int) bool {
	breaks := &p.attribution.breaks[trafficType]
	if breaks.LastSource != source {
		breaks.Failed++
		breaks.LastSource = source
	}
	isTopPriority := p.settings.TrafficTypes[trafficType].PriorityWeight >= p.admission.maxPriorityWeight
	return breaks.Failed >= maxBreakingServers && !isTopPriority
}

// attributedShedShare returns the share of requests like this one to shed because they fail where others succeed. It
// is 0 or less for requests that may succeed.
func (p *Policy) attributedShedShare(r *request) float64 {
	worst := 0.0
	for _, rate := range p.attributeRates(r) {
		worst = max(worst, rate.Rate(attributionPrior))
	}
	from := min(max(minAttributedShedRate, p.attribution.overall.Rate(attributionPrior)), fullAttributedShedRate-attributionMargin)
	return (worst - from) / (fullAttributedShedRate - from)
}
