package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/decay"
	"fernvane/internal/collections/indexset"
)

const (
	maxSaturatedShare  = 0.8 // of the time, above which less is admitted
	maxOverloadedShare = 0.2 // of the attempts, above which less is admitted
	saturationMemory   = 500 * time.Millisecond
	admissionSpeed     = 2.0  // highest rise of the logarithm of the admitted share, a second
	minAdmittedShare   = 0.02 // enough to detect the end of an overload
	minHeadroom        = -2.0 // the admitted share falls at most twice as fast as it rises

	defaultMaxShedShare = 0.95 // of one traffic type, so that some requests of each type are served

	minLatencySeconds = 1e-6 // lower bound of a request's latency in its class weight

	rateMemory = 3 * time.Second // over which arrivals and responses are counted

	// minArrivalRate is the rate, a second, below which a rate is cleared, so that ticks no longer visit it. A
	// smaller rate is lost to rounding in any sum of loads.
	minArrivalRate = 1e-24
)

// classesPerType is the number of shed classes of a traffic type: requests within their tenant's quota, and above it.
const classesPerType = 2

// firstClass returns the class of a type's requests within quota; the class above quota follows it.
func firstClass(trafficType int) int { return classesPerType * trafficType }

// classesOf returns the classes of a traffic type, within quota and above it.
func classesOf(trafficType int) [classesPerType]int {
	return [classesPerType]int{firstClass(trafficType), firstClass(trafficType) + 1}
}

// typeOfClass returns the traffic type of a class.
func typeOfClass(class int) int { return class / classesPerType }

// admission sheds load at random while the node is saturated, starting with the classes of the lowest weight per
// time.
type admission struct {
	saturated         float64           // share of the recent time in which the node was saturated
	admitted          float64           // share of the offered load to admit
	maxAdmittedShare  float64           // upper bound of admitted, set by a plan; 0: no bound
	overloaded        decay.FailureRate // Overloaded outcomes, as a share of recent attempts
	maxPriorityWeight float64           // highest of all traffic types since the start; a reload never lowers it

	activeTypes  indexset.Set // traffic types with recent traffic; ticks visit no others
	classes      []int        // of the active types, in ascending order of weight
	arrivalRates []float64    // a second, by class
	rejectShare  []float64    // by class: share of its requests to shed
	shedEntries  []shedEntry  // of the last tick, in the order of classes, and one of infinite weight at the end
}

// shedEntry is the load that remained to be shed before a class was processed.
type shedEntry struct {
	class     int
	weight    float64
	remaining float64
}

func (a *admission) clone() admission {
	c := *a
	c.activeTypes = a.activeTypes.Clone()
	c.classes = slices.Clone(a.classes)
	columns.Clone(&c.arrivalRates, &c.rejectShare)
	c.shedEntries = slices.Clone(a.shedEntries)
	return c
}

// ratesOf returns the arrival rates of a traffic type's classes.
func (a *admission) ratesOf(trafficType int) []float64 {
	return a.arrivalRates[firstClass(trafficType) : firstClass(trafficType)+classesPerType]
}

// isShed reports whether a request is shed. The decision is random.
func (p *Policy) isShed(request int) bool {
	r := &p.requests.all[request]
	share := max(p.admission.rejectShare[r.class], min(p.attributedShedShare(r), defaultMaxShedShare))
	return share > 0 && p.randomFloat() < share
}

// classWeight returns the priority weight of a class per second of latency. Requests above a tenant's quota have a
// share of the weight of the others.
func (p *Policy) classWeight(class int) float64 {
	share := [classesPerType]float64{1, p.settings.OverQuotaWeightShare}[class%classesPerType]
	trafficType := typeOfClass(class)
	return share * p.settings.TrafficTypes[trafficType].PriorityWeight / max(p.latency.typical[trafficType].Seconds(), minLatencySeconds)
}

// classLoad returns the offered load of a class, in attempts in flight.
func (p *Policy) classLoad(class int) float64 {
	return p.admission.arrivalRates[class] * p.latency.typical[typeOfClass(class)].Seconds()
}

// adjustAdmission updates the admitted share of the offered load and distributes the load to be shed over the
// classes.
func (p *Policy) adjustAdmission(elapsed time.Duration) {
	a := &p.admission
	p.adjustAdmitted(elapsed)
	a.classes = slices.DeleteFunc(a.classes, func(class int) bool { return !a.activeTypes.Has(typeOfClass(class)) })
	slices.SortFunc(a.classes, func(c, d int) int { return cmp.Or(cmp.Compare(p.classWeight(c), p.classWeight(d)), c-d) })
	offered := 0.0
	for trafficType := range a.activeTypes.All() {
		for _, class := range classesOf(trafficType) {
			offered += p.classLoad(class)
		}
	}
	remaining := (1 - a.admitted) * offered
	a.shedEntries = a.shedEntries[:0]
	for _, class := range a.classes {
		a.shedEntries = append(a.shedEntries, shedEntry{class, p.classWeight(class), remaining})
		load := p.classLoad(class)
		a.rejectShare[class] = p.rejectShareFor(class, remaining, load)
		remaining = max(remaining-a.rejectShare[class]*load, 0)
	}
	a.shedEntries = append(a.shedEntries, shedEntry{len(a.arrivalRates), math.Inf(1), remaining})
}

// adjustAdmitted lowers the admitted share while the node is saturated, or its attempts are rejected as overloaded,
// for more than the largest allowed share, and raises it otherwise.
func (p *Policy) adjustAdmitted(elapsed time.Duration) {
	a := &p.admission
	retained := decayFactor(elapsed, saturationMemory)
	if a.saturated *= retained; p.isSaturated() {
		a.saturated += 1 - retained
	}
	headroom := max(1-max(a.saturated/maxSaturatedShare, a.overloaded.Rate(attributionPrior)/maxOverloadedShare), minHeadroom)
	admitted := max(a.admitted*math.Exp(admissionSpeed*headroom*elapsed.Seconds()), minAdmittedShare)
	a.admitted = min(admitted, cmp.Or(a.maxAdmittedShare, 1))
}

// rejectShareFor returns the share of a class to reject, given the load that remains to be shed.
func (p *Policy) rejectShareFor(class int, remaining, load float64) float64 {
	return min(remaining/max(load, minDivisor), cmp.Or(p.settings.TrafficTypes[typeOfClass(class)].MaxShedShare, defaultMaxShedShare))
}

// activateType includes a traffic type in ticks again. Its classes get the reject shares that the last tick would have
// computed for them.
func (p *Policy) activateType(trafficType int) {
	a := &p.admission
	if a.activeTypes.Has(trafficType) {
		return
	}
	a.activeTypes.Add(trafficType)
	for _, class := range classesOf(trafficType) {
		a.classes = append(a.classes, class)
		if class < len(a.rejectShare) && len(a.shedEntries) > 0 {
			i, _ := slices.BinarySearchFunc(a.shedEntries, class, func(e shedEntry, class int) int {
				return cmp.Or(cmp.Compare(e.weight, p.classWeight(class)), e.class-class)
			})
			a.rejectShare[class] = p.rejectShareFor(class, a.shedEntries[i].remaining, 0)
		}
	}
}
