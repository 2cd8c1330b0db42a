package policy

import (
	"math"
	"time"

	"fernvane/internal/collections/decay"
)

// tickInterval is the time between ticks; well under any latency objective.
const tickInterval = 20 * time.Millisecond

// tick does what time alone brings: it lets figures fade, refills slow start, adjusts admission, and looks at every
// open request.
func (p *Policy) tick() {
	p.emit(Effect{Kind: SetTimer, Duration: max(tickInterval, p.settings.TimerGranularity)})
	elapsed := p.now - p.lastTick
	p.lastTick = p.now
	p.decay(elapsed)
	p.updateWeights()
	p.refillSlowStart(elapsed)
	p.decayAbandoned(elapsed)
	p.closeAgain()
	p.shrinkSubset(elapsed)
	p.forgetSilent()
	p.adjustAdmission(elapsed)
	p.dequeue()
	p.advanceOpen()
	p.requestEndpoints()
}

// advanceOpen gives each open request its tick, the last one first: one that is done gives its place to the last.
func (p *Policy) advanceOpen() {
	for i := p.requests.open.Len() - 1; i >= 0; i-- {
		if i < p.requests.open.Len() {
			p.advance(p.requests.open.Items()[i], onTick)
		}
	}
}

// keptShares are the shares that a tick keeps, worked out once for all traffic types.
type keptShares struct {
	rates    float64
	records  float64
	unloaded float64 // of the distance between unloaded and typical latency
}

// decay lets rates and records fade.
func (p *Policy) decay(elapsed time.Duration) {
	kept := keptShares{
		rates:    decayFactor(elapsed, rateMemory),
		records:  decayFactor(elapsed, attributionDecayTime),
		unloaded: decayFactor(elapsed, unloadedLatencyMemory),
	}
	p.concurrency.successRate *= kept.rates
	p.quotaUsage.tenants.Decay(kept.rates, minArrivalRate, kept.records, minRecordCount)
	p.admission.overloaded.Decay(kept.rates, minRecordCount)
	p.subset.refusedConnects.Decay(kept.rates, minRecordCount)
	p.attribution.decay(kept.records)
	for trafficType := range p.admission.activeTypes.All() {
		if !p.decayType(trafficType, elapsed, kept) {
			p.admission.activeTypes.Remove(trafficType)
		}
	}
	p.concurrency.sustainedLoad *= decayFactor(elapsed, sustainedLoadMemory)
}

// decayType lets the figures of a traffic type fade and reports whether more time would still change any of them.
func (p *Policy) decayType(trafficType int, elapsed time.Duration, kept keptShares) bool {
	rates, records, breaks := p.admission.ratesOf(trafficType), p.attribution.ofType(trafficType), &p.attribution.breaks[trafficType]
	for i := range rates {
		rates[i] = decay.ZeroBelow(rates[i]*kept.rates, minArrivalRate)
		records[i].Decay(kept.records, minRecordCount)
	}
	breaks.Decay(kept.records, minRecordCount)
	step := p.latency.ageUnloaded(trafficType, 1-kept.unloaded)
	retries, hedges := p.budgets.retries[trafficType], p.budgets.hedges[trafficType]
	p.refillBudgets(trafficType, 0, elapsed.Seconds())
	areBudgetsFull := p.budgets.retries[trafficType] == retries && p.budgets.hedges[trafficType] == hedges
	isSettled := step == 0 && areBudgetsFull && elapsed > 0
	return !isSettled || rates[0]+rates[1]+records[0].Total+records[1].Total+breaks.Failed > 0
}

// decayFactor returns the share of a figure that is left after a time, when its memory is the time to fade to 1/e.
func decayFactor(elapsed, memory time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / memory.Seconds())
}
