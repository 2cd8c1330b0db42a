package policy

import (
	"fernvane/internal/collections/columns"
	"fernvane/policy/internal/failures"
)

// updateTrafficTypes takes over traffic types and limits of routes. A type that is new or other than before starts
// anew, with the latencies of the one that it learns from.
func (p *Policy) updateTrafficTypes(in *Input) {
	p.settings.TrafficTypes = in.TrafficTypes
	p.routes.update(in.RouteLimits)
	p.latency.hasAnswers = false
	for trafficType, from := range in.LearnFrom {
		p.latency.hasAnswers = p.latency.hasAnswers || from >= 0 && p.latency.answers[from] > 0
		if from != trafficType {
			p.addType(trafficType, from)
		}
	}
}

// addType starts all figures of a traffic type, with latencies of another one if from is not below 0.
func (p *Policy) addType(trafficType, from int) {
	t := &p.settings.TrafficTypes[trafficType]
	p.latency.addType(trafficType, from, t.LatencyObjective)
	p.activateType(trafficType)
	p.budgets.addType(trafficType)
	p.attribution.addType(trafficType)
	p.admission.maxPriorityWeight = max(p.admission.maxPriorityWeight, t.PriorityWeight)
	for _, class := range classesOf(trafficType) {
		columns.Put(class, 0, &p.admission.rejectShare, &p.admission.arrivalRates)
	}
	for s := range p.outliers.ejections.Active().All() {
		p.outliers.ejections.DeleteFunc(s, func(e failures.Entry) bool { return e.TrafficType == trafficType })
	}
}
