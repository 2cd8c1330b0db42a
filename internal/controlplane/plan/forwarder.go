package plan

import (
	"math"
	"time"
)

const (
	forwarderTimeout  = 10 * time.Second // time without a report after which a forwarder is removed
	rateTimeConstant  = 3 * time.Second
	minReportInterval = 50 * time.Millisecond
	minForwarderRate  = 1e-3 // attempts per second; a lower rate is set to 0
)

// forwarder is the state of one forwarder.
type forwarder struct {
	lastReport   time.Duration
	reportSentAt time.Duration // forwarder's clock
	settings     ForwarderSettings
	rate         float64            // attempts per second, exponential average
	inFlight     float64            // attempts in flight, exponential average
	shares       map[string]float64 // shares in effect by server ID
}

// beginReport stores a report's settings and shares. It discards shares outside 0 to 1, those of servers with long IDs, and those beyond
// maxEntriesPerTable.
func (f *forwarder) beginReport(now time.Duration, r *Report) {
	f.lastReport = now
	f.reportSentAt = r.SentAt
	f.settings = r.Settings
	f.shares = make(map[string]float64, len(r.CurrentShares))
	for _, s := range r.CurrentShares {
		if s.Share > 0 && s.Share <= 1 && len(s.ID) <= maxTextBytes && len(f.shares) < maxEntriesPerTable {
			f.shares[s.ID] = s.Share
		}
	}
}

// updateRates updates the averages of the attempt rate and of the attempts in flight from a report.
func (f *forwarder) updateRates(r *Report, attempts int) {
	interval := min(max(r.Interval, minReportInterval), rateTimeConstant)
	retained := decayFactor(interval, rateTimeConstant)
	f.rate = retained*f.rate + (1-retained)*float64(attempts)/interval.Seconds()
	if f.rate < minForwarderRate {
		f.rate = 0
	}
	f.inFlight = retained*f.inFlight + (1-retained)*float64(max(r.InFlight, 0))
}

// expireForwarders removes forwarders without a report within forwarderTimeout.
func (p *Planner) expireForwarders(now time.Duration) {
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

// combinedSettings are the strictest values of all forwarders' settings.
type combinedSettings struct {
	slowStartDuration time.Duration
	initialCapacity   float64
	crashLoadFactor   float64 // +Inf if no forwarder reports one
	forwarders        int     // number of forwarders, including configured ones that do not report
}

// combineSettings returns the strictest value of each setting over the forwarders.
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
