package plan

import "time"

const (
	typeLatencyTimeConstant = 5 * time.Second
	baselineTimeConstant    = 30 * time.Second // in which a lasting higher latency becomes the baseline, as in package policy
	latencyHeadroom         = 0.15             // of the time between baseline and target, likewise
	minTargetTime           = time.Millisecond
	initialLatencyDivisor   = 4    // of the target time, until completions show the latency; as in package policy
	minLatencySeconds       = 1e-6 // guards divisions
)

// trafficType is the latency of one type of requests over all servers and forwarders.
type trafficType struct {
	targetTime      time.Duration
	usualSeconds    float64 // latency in seconds
	baselineSeconds float64 // latency in seconds without load
	count           float64 // completions, decaying
	total           float64 // of their latencies in seconds, decaying
}

// trafficType returns the state of a reported type. A type beyond maxEntriesPerTable is not kept.
func (p *Planner) trafficType(reported *TypeReport) *trafficType {
	t := p.types[reported.Name]
	if t == nil {
		initial := max(reported.TargetTime, minTargetTime).Seconds() / initialLatencyDivisor
		t = &trafficType{usualSeconds: initial, baselineSeconds: initial}
		if len(p.types) < maxEntriesPerTable {
			p.types[reported.Name] = t
		}
	}
	t.targetTime = max(reported.TargetTime, minTargetTime)
	return t
}

// advance updates the usual latency and the baseline, and decays the sums.
func (t *trafficType) advance(passed time.Duration) {
	if t.count > 1 {
		t.usualSeconds = t.total / t.count
	}
	keep := decay(passed, typeLatencyTimeConstant)
	t.count, t.total = t.count*keep, t.total*keep
	if t.baselineSeconds > t.usualSeconds {
		t.baselineSeconds = t.usualSeconds
	}
	t.baselineSeconds += (1 - decay(passed, baselineTimeConstant)) * (t.usualSeconds - t.baselineSeconds)
}

// objective is the latency in seconds above which attempts count as overload.
func (t *trafficType) objective() float64 {
	baseline := min(t.baselineSeconds, t.targetTime.Seconds())
	return baseline + latencyHeadroom*(t.targetTime.Seconds()-baseline) + minLatencySeconds
}

// Bounds of what a timed out attempt counts as, in multiples of the usual latency.
const (
	minTimeoutRelativeLatency = 4.0
	maxTimeoutRelativeLatency = 20.0
)

// timeoutRelativeLatency is what a timed out attempt counts as: its target time over the usual latency of its type. Reports do not
// name the type, so the largest holds.
func (p *Planner) timeoutRelativeLatency() float64 {
	relative := minTimeoutRelativeLatency
	for _, t := range p.types {
		relative = max(relative, t.targetTime.Seconds()/max(t.usualSeconds, minLatencySeconds))
	}
	return min(relative, maxTimeoutRelativeLatency)
}
