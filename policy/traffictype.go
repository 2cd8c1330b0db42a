package policy

import (
	"fernvane/internal/collections/columns"
	"fernvane/policy/internal/failures"
)

// updateTrafficTypes applies traffic types and limits of routes. A new or changed type starts with empty state,
// except that it copies the latencies of the type in LatencySources.
func (p *Policy) updateTrafficTypes(in *Input) {
	p.settings.TrafficTypes = in.TrafficTypes
	p.routes.update(in.RouteLimits)
	p.latency.hasResponses = false
	for trafficType, from := range in.LatencySources {
		p.latency.hasResponses = p.latency.hasResponses || from >= 0 && p.latency.responseCounts[from] > 0
		if from != trafficType {
			p.addType(trafficType, from)
		}
	}
}

// addType initializes the state of a traffic type, with the latencies of type from unless from is below 0.
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
