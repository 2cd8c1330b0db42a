package policy

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/decay"
)

const (
	attributionMargin    = 0.1                   // by which an attribute must fail more often than a server to clear it
	attributionPrior     = 3.0                   // successes assumed in a new record, so that one failure counts for little
	attributionMemory    = 10.0                  // attempts that count in a server's record
	attributesMemory     = 3 * attributionMemory // attempts that count in an attribute's record, and in all servers' together
	allAttemptsMemory    = 2 * attributionMemory // attempts that count in shares of all attempts of the node
	attributionDecayTime = 10 * time.Second      // in which a record fades to 1/e
	keyRecordCount       = 256                   // records of keys, which share them by checksum

	maxBreakingServers     = 1.5 // servers whose connections a traffic type broke lately; beyond, it may be its fault
	minAttributedShedRate  = 0.6 // failure rate from which requests with an attribute are shed
	fullAttributedShedRate = 0.9 // failure rate from which nearly all of them are

	// minRecordCount is the count below which a record is cleared, so that it costs no tick any more.
	minRecordCount = 1e-9
)

// attribution holds failure rates of servers and of the attributes of requests: type and whether the client repeats,
// tenant, key. A failure is attributed to the request if one of its attributes fails more often than the server.
// Without that, requests that fail wherever they go would have all servers ejected.
type attribution struct {
	servers decay.Table
	overall decay.FailureRate
	types   []decay.FailureRate // two for each traffic type: first tries and clients' retries
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

// decay fades the records of servers and keys. Those of types fade with the type, those of tenants with the tenant.
func (a *attribution) decay(kept float64) {
	a.servers.Decay(kept, minRecordCount)
	for i := range a.keys {
		a.keys[i].Decay(kept, minRecordCount)
	}
}

// attributeRates returns the failure rates of what a request has in common with others.
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
		if failed == 0 || rate.LastSource != source { // failures in a row at one server tell of the server
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
	server := p.attribution.servers.At(s).Rate(attributionPrior) + attributionMargin
	return failed > 0 && worst > max(server, p.attribution.overall.Rate(attributionPrior))
}

// recordBreak records that a connection broke and reports whether the traffic type breaks servers. The type of the
// highest priority weight is never taken for it.
func (p *Policy) recordBreak(trafficType, source int) bool {
	breaks := &p.attribution.breaks[trafficType]
	if breaks.LastSource != source {
		breaks.Failed++
		breaks.LastSource = source
	}
	isTopPriority := p.settings.TrafficTypes[trafficType].PriorityWeight >= p.admission.maxPriorityWeight
	return breaks.Failed >= maxBreakingServers && !isTopPriority
}

// attributedShedShare returns the share of requests like this one to shed, since they fail where others do not. It is
// 0 or less for requests that may succeed.
func (p *Policy) attributedShedShare(r *request) float64 {
	worst := 0.0
	for _, rate := range p.attributeRates(r) {
		worst = max(worst, rate.Rate(attributionPrior))
	}
	from := min(max(minAttributedShedRate, p.attribution.overall.Rate(attributionPrior)), fullAttributedShedRate-attributionMargin)
	return (worst - from) / (fullAttributedShedRate - from)
}
