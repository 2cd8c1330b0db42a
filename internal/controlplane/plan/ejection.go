package plan

import "time"

const (
	minFailures     = 4.0                    // min recent failures for an ejection
	minFailureShare = 0.7                    // min share of failures among recent attempts for an ejection
	minReporters    = 2                      // min forwarders that report only failures; fewer if fewer forwarders exist
	reporterTimeout = 2 * recentTimeConstant // validity of a forwarder's report of only failures
	initialEjection = 500 * time.Millisecond // doubles with each consecutive ejection, as in package policy
	maxEjection     = 4 * time.Second
	maxDoublings    = 3   // reaches maxEjection; limits the shift
	maxEjectedShare = 0.5 // max share of servers ejected; more ejections would overload the others
)

// failureStats counts the recent failures of a server.
type failureStats struct {
	attempts  float64                  // decays with recentTimeConstant
	failed    float64                  // including timeouts; decays with recentTimeConstant
	reporters map[string]time.Duration // time of the latest report by forwarders that report only failures
}

// add adds one forwarder's counts. A completed attempt removes the forwarder from the reporters.
func (f *failureStats) add(now time.Duration, forwarder string, completed, timedOut, failed int) {
	f.attempts += float64(completed) + float64(timedOut) + float64(failed)
	f.failed += float64(timedOut) + float64(failed)
	switch {
	case completed > 0:
		delete(f.reporters, forwarder)
	case timedOut+failed > 0:
		f.reporters[forwarder] = now
	}
}

func (f *failureStats) decay(factor float64) {
	f.attempts *= factor
	f.failed *= factor
}

// recentReporters returns the number of forwarders that reported only failures within reporterTimeout.
func (f *failureStats) recentReporters(now time.Duration) (n int) {
	for _, at := range f.reporters {
		if now-at < reporterTimeout {
			n++
		}
	}
	return n
}

// reset discards all failures and reporters. It is called at an ejection, so that only later failures lead to the next ejection.
func (f *failureStats) reset() {
	f.attempts, f.failed = 0, 0
	clear(f.reporters)
}

// ejectionState is the ejection state of a server.
type ejectionState struct {
	consecutive int           // ejections without a completed attempt in between
	until       time.Duration // end of the current or latest ejection
}

// updateEjections ejects failing servers. The duration doubles with each consecutive ejection, and at most maxEjectedShare of the
// servers are ejected simultaneously. It returns the remaining times of all ejections by server ID.
func (p *Planner) updateEjections(now time.Duration, servers []string) map[string]time.Duration {
	ejected := 0
	for _, id := range servers {
		if p.servers[id].ejection.until > now {
			ejected++
		}
	}
	remaining := map[string]time.Duration{}
	for _, id := range servers {
		s := p.servers[id]
		mayEject := float64(ejected+1) <= maxEjectedShare*float64(len(servers))
		if mayEject && s.ejection.until <= now && s.isFailing(now, len(p.forwarders)) {
			s.eject(now)
			ejected++
		}
		if s.ejection.until > now {
			remaining[id] = s.ejection.until - now
		}
	}
	return remaining
}

// isFailing reports whether the failures and the number of reporting forwarders reach the limits for an ejection.
func (s *server) isFailing(now time.Duration, forwarders int) bool {
	return s.failures.failed >= minFailures && s.failures.failed >= minFailureShare*s.failures.attempts &&
		s.failures.recentReporters(now) >= min(minReporters, forwarders)
}

func (s *server) eject(now time.Duration) {
	s.ejection.until = now + min(initialEjection<<min(s.ejection.consecutive, maxDoublings), maxEjection)
	s.ejection.consecutive++
	s.failures.reset()
}
