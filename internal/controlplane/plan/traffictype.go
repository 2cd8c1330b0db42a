package plan

import "time"

const (
	typeLatencyTimeConstant = 5 * time.Second
	baselineTimeConstant    = 30 * time.Second // time in which a lasting increase in latency raises the baseline, as in package policy
	latencyHeadroom         = 0.15             // fraction of the range from baseline to target time, as in package policy
	minTargetTime           = time.Millisecond
	initialLatencyDivisor   = 4    // ratio of the target time to the initial latency estimate, as in package policy
	minLatencySeconds       = 1e-6 // prevents division by zero
)

// trafficType tracks the latency of one traffic type over all servers and forwarders.
type trafficType struct {
	targetTime      time.Duration
	usualSeconds    float64 // average latency in seconds
	baselineSeconds float64 // estimated latency in seconds without load
	count           float64 // completions, decays with typeLatencyTimeConstant
	total           float64 // sum of latencies in seconds, decays with typeLatencyTimeConstant
}

// trafficType returns the state of a reported type. It creates the state of a new type, and stores at most maxEntriesPerTable types.
func (p *Planner) trafficType(reported *TypeReport) *trafficType {
	t := p.types[reported.Name]
	if t == nil {
		initial := max(reported.TargetTime, minTargetTime).Seconds() / initialLatencyDivisor
		t = &trafficType{usualSeconds: initial, baselineSeconds: initial}
		if len(p.types) < maxEntriesPerTable && len(reported.Name) <= maxTextBytes {
			p.types[reported.Name] = t
		}
	}
	t.targetTime = max(reported.TargetTime, minTargetTime)
	return t
}

// advance updates the usual latency and the baseline, and decays the sums.
func (t *trafficType) advance(elapsed time.Duration) {
	if t.count > 1 {
		t.usualSeconds = t.total / t.count
	}
	retained := decayFactor(elapsed, typeLatencyTimeConstant)
	t.count, t.total = t.count*retained, t.total*retained
	if t.baselineSeconds > t.usualSeconds {
		t.baselineSeconds = t.usualSeconds
	}
	t.baselineSeconds += (1 - decayFactor(elapsed, baselineTimeConstant)) * (t.usualSeconds - t.baselineSeconds)
}

// objective returns the latency objective in seconds. Higher latencies indicate overload.
func (t *trafficType) objective() float64 {
	baseline := min(t.baselineSeconds, t.targetTime.Seconds())
	return baseline + latencyHeadroom*(t.targetTime.Seconds()-baseline) + minLatencySeconds
}

// Limits of the relative latency that a timed-out attempt counts as.
const (
	minTimeoutRelativeLatency = 4.0
	maxTimeoutRelativeLatency = 20.0
)

// timeoutRelativeLatency returns the relative latency that a timed-out attempt counts as: the ratio of target time to usual latency.
// Reports do not contain the type of timed-out attempts, so the largest ratio of all types is used.
func (p *Planner) timeoutRelativeLatency() float64 {
	relative := minTimeoutRelativeLatency
	for _, t := range p.types {
		relative = max(relative, t.targetTime.Seconds()/max(t.usualSeconds, minLatencySeconds))
	}
	return min(relative, maxTimeoutRelativeLatency)
}
