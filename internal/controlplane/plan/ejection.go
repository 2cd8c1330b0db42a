package plan

import "time"

const (
	minFailures     = 4.0                    // recent failures before an ejection is considered
	minFailureShare = 0.7                    // of the recent attempts, likewise
	minReporters    = 2                      // forwarders that must report failures alone, where there are so many
	reporterTimeout = 2 * recentTimeConstant // for which a forwarder's report of failures alone counts
	initialEjection = 500 * time.Millisecond // doubles with each consecutive ejection, as in package policy
	maxEjection     = 4 * time.Second
	maxDoublings    = 3   // with which maxEjection is reached; keeps the shift small
	maxEjectedShare = 0.5 // of the servers: to eject more would overload the others
)

// failureStats are the recent failures of a server.
type failureStats struct {
	attempts  float64                  // decaying
	failed    float64                  // of them, timeouts included, decaying
	reporters map[string]time.Duration // forwarders that saw failures alone, and when
}

// add takes in one forwarder's counts.
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

// recentReporters counts the forwarders that saw failures alone lately.
func (f *failureStats) recentReporters(now time.Duration) (n int) {
	for _, at := range f.reporters {
		if now-at < reporterTimeout {
			n++
		}
	}
	return n
}

// reset forgets the failures that led to an ejection.
func (f *failureStats) reset() {
	f.attempts, f.failed = 0, 0
	clear(f.reporters)
}

// ejectionState is a server's ejection.
type ejectionState struct {
	consecutive int // ejections without a completed attempt in between
	until       time.Duration
}

// updateEjections ejects servers that several forwarders find failing, for longer each time, but never more than
// maxEjectedShare of them. It returns the remaining times of all ejections by server.
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

// isFailing reports whether enough attempts failed, as seen by enough forwarders.
func (s *server) isFailing(now time.Duration, forwarders int) bool {
	return s.failures.failed >= minFailures && s.failures.failed >= minFailureShare*s.failures.attempts &&
		s.failures.recentReporters(now) >= min(minReporters, forwarders)
}

func (s *server) eject(now time.Duration) {
	s.ejection.until = now + min(initialEjection<<min(s.ejection.consecutive, maxDoublings), maxEjection)
	s.ejection.consecutive++
	s.failures.reset()
}
