package policy

import (
	"math"
	"time"

	"fernvane/internal/collections/decay"
)

// tickInterval is the time between ticks. It must be well below any latency objective.
const tickInterval = 20 * time.Millisecond

// tick performs the periodic work: it decays statistics, refills slow start, adjusts admission, and advances every
// open request.
func (p *Policy) tick() {
	p.emit(Effect{Kind: SetTimer, Duration: max(tickInterval, p.settings.TimerGranularity)})
	elapsed := p.now - p.lastTick
	p.lastTick = p.now
	p.decay(elapsed)
	p.updateWeights()
	p.refillSlowStart(elapsed)
	p.decayAbandoned(elapsed)
	p.repeatCloseIdle()
	p.shrinkSubset(elapsed)
	p.removeSilentServer()
	p.adjustAdmission(elapsed)
	p.dequeue()
	p.advanceOpen()
	p.requestEndpoints()
}

// advanceOpen advances each open request by a tick. It walks backward, because the last request takes the position of
// one that is done.
func (p *Policy) advanceOpen() {
	for i := p.requests.open.Len() - 1; i >= 0; i-- {
		if i < p.requests.open.Len() {
			p.advance(p.requests.open.Items()[i], onTick)
		}
	}
}

// decayFactors holds the decay factors of one tick, computed once for all traffic types.
type decayFactors struct {
	rates    float64
	records  float64
	unloaded float64 // of the distance between unloaded and typical latency
}

// decay decays rates and records.
func (p *Policy) decay(elapsed time.Duration) {
	factors := decayFactors{
		rates:    decayFactor(elapsed, rateMemory),
		records:  decayFactor(elapsed, attributionDecayTime),
		unloaded: decayFactor(elapsed, unloadedLatencyMemory),
	}
	p.concurrency.successRate *= factors.rates
	p.quotaUsage.tenants.Decay(factors.rates, minArrivalRate, factors.records, minRecordCount)
	p.admission.overloaded.Decay(factors.rates, minRecordCount)
	p.subset.refusedConnects.Decay(factors.rates, minRecordCount)
	p.attribution.decay(factors.records)
	for trafficType := range p.admission.activeTypes.All() {
		if !p.decayType(trafficType, elapsed, factors) {
			p.admission.activeTypes.Remove(trafficType)
		}
	}
	p.concurrency.sustainedLoad *= decayFactor(elapsed, sustainedLoadMemory)
}

// decayType decays the statistics of a traffic type and reports whether further ticks would still change any of them.
func (p *Policy) decayType(trafficType int, elapsed time.Duration, factors decayFactors) bool {
	rates, records, breaks := p.admission.ratesOf(trafficType), p.attribution.ofType(trafficType), &p.attribution.breaks[trafficType]
	for i := range rates {
		rates[i] = decay.ZeroBelow(rates[i]*factors.rates, minArrivalRate)
		records[i].Decay(factors.records, minRecordCount)
	}
	breaks.Decay(factors.records, minRecordCount)
	step := p.latency.ageUnloaded(trafficType, 1-factors.unloaded)
	retries, hedges := p.budgets.retries[trafficType], p.budgets.hedges[trafficType]
	p.refillBudgets(trafficType, 0, elapsed.Seconds())
	areBudgetsFull := p.budgets.retries[trafficType] == retries && p.budgets.hedges[trafficType] == hedges
	isSettled := step == 0 && areBudgetsFull && elapsed > 0
	return !isSettled || rates[0]+rates[1]+records[0].Total+records[1].Total+breaks.Failed > 0
}

// decayFactor returns the share of a value that remains after the elapsed time, given the time constant memory in
// which the value decays to 1/e.
func decayFactor(elapsed, memory time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / memory.Seconds())
}
