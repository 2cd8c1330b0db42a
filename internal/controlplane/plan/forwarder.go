package plan

import (
	"math"
	"time"
)

const (
	forwarderTimeout  = 10 * time.Second // without a report, after which a forwarder no longer counts
	rateTimeConstant  = 3 * time.Second
	minReportInterval = 50 * time.Millisecond
	minForwarderRate  = 1e-3 // attempts per second; less is none
)

// forwarder is what is known of one forwarder.
type forwarder struct {
	lastReport   time.Duration
	reportSentAt time.Duration // by the forwarder's clock
	settings     ForwarderSettings
	rate         float64            // attempts per second, averaged
	inFlight     float64            // attempts, averaged
	shares       map[string]float64 // in effect, by server
}

// beginReport takes over what a report says of the forwarder itself.
func (f *forwarder) beginReport(now time.Duration, r *Report) {
	f.lastReport = now
	f.reportSentAt = r.SentAt
	f.settings = r.Settings
	f.shares = make(map[string]float64, len(r.CurrentShares))
	for _, s := range r.CurrentShares {
		if s.Share > 0 && s.Share <= 1 {
			f.shares[s.ID] = s.Share
		}
	}
}

// updateRates averages the attempts that ended in a report's interval, and those in flight at its end.
func (f *forwarder) updateRates(r *Report, attempts int) {
	interval := min(max(r.Interval, minReportInterval), rateTimeConstant)
	keep := decay(interval, rateTimeConstant)
	f.rate = keep*f.rate + (1-keep)*float64(attempts)/interval.Seconds()
	if f.rate < minForwarderRate {
		f.rate = 0
	}
	f.inFlight = keep*f.inFlight + (1-keep)*float64(max(r.InFlight, 0))
}

// removeSilentForwarders drops forwarders that have not reported for forwarderTimeout.
func (p *Planner) removeSilentForwarders(now time.Duration) {
	for name, f := range p.forwarders {
		if now-f.lastReport <= forwarderTimeout {
			continue
		}
		delete(p.forwarders, name)
		for _, s := range p.servers {
			delete(s.failures.reporters, name)
		}
	}
}

// combinedSettings are the most careful of all forwarders' settings.
type combinedSettings struct {
	slowStartDuration time.Duration
	initialCapacity   float64
	crashLoadFactor   float64 // +Inf if no forwarder names one
	forwarders        int     // that exist, reporting or not
}

// combineSettings combines the settings of forwarders.
func (p *Planner) combineSettings(forwarders []string) combinedSettings {
	c := combinedSettings{initialCapacity: 1, crashLoadFactor: math.Inf(1), forwarders: len(forwarders)}
	for _, name := range forwarders {
		s := p.forwarders[name].settings
		c.slowStartDuration = max(c.slowStartDuration, s.SlowStartDuration)
		c.initialCapacity = min(c.initialCapacity, s.InitialCapacity)
		c.forwarders = max(c.forwarders, min(s.Nodes, maxForwarders))
		if s.CrashLoadFactor > 0 {
			c.crashLoadFactor = min(c.crashLoadFactor, s.CrashLoadFactor)
		}
	}
	return c
}
