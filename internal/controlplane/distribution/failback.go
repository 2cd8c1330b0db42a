package distribution

import "time"

const maxFailbackDoublings = 4

// failback is the state of the failback to a preferred upstream, one that precedes the current one in the order. The preceding
// upstreams are probed in turn, and a working connection is closed only after another upstream has responded to a probe. A
// control process that has restarted therefore regains its subscribers, spread over time, and an unavailable one does not
// disturb them. Without failback, subscribers would stay at the upstream to which they failed over: after a rolling restart,
// the control process that restarted last would have no subscribers.
type failback struct {
	probeAt       time.Duration // time at which the next probe is due
	isProbing     bool
	nextProbe     int // index of the next upstream to probe
	candidate     int // index of the upstream that responded to a probe
	hasCandidate  bool
	unstableCount int  // consecutive failbacks that did not last, including the current one
	isUnderWay    bool // the current connection or attempt is a failback
}

// scheduleProbe schedules the first probe after an upstream has connected.
func (s *Subscriber) scheduleProbe(now time.Duration) {
	s.failback.hasCandidate = false
	s.failback.nextProbe = 0
	s.failback.probeAt = now + s.probeDelay()
}

// probeDelay returns the delay of the next probe with a jitter of 50 % in both directions, so that subscribers that failed over
// simultaneously don't fail back simultaneously. It doubles with each consecutive failback that did not last, up to
// maxFailbackDoublings times.
func (s *Subscriber) probeDelay() time.Duration {
	delay := s.options.FailbackDelay << min(s.failback.unstableCount, maxFailbackDoublings)
	return delay/2 + time.Duration(s.draw()*float64(delay))
}

// startProbe returns the upstream to probe now, if a probe is due.
func (s *Subscriber) startProbe(now time.Duration) (upstream int, isDue bool) {
	f := &s.failback
	if s.options.FailbackDelay <= 0 || f.isProbing || s.state != StateCurrent || s.upstream == 0 || now < f.probeAt {
		return 0, false
	}
	f.isProbing = true
	return f.nextProbe % s.upstream, true
}

// ProbeEnded records whether the upstream responded to a probe.
func (s *Subscriber) ProbeEnded(now time.Duration, upstream int, hasResponded bool) {
	f := &s.failback
	f.isProbing = false
	if hasResponded && s.link.isConnected && upstream < s.upstream {
		f.hasCandidate, f.candidate = true, upstream
		return
	}
	f.nextProbe = upstream + 1
	f.probeAt = now + s.probeDelay()
}

// startFailback ends the current connection if a preferred upstream has responded to a probe, and reports whether it did.
func (s *Subscriber) startFailback(now time.Duration) bool {
	f := &s.failback
	if !f.hasCandidate || !s.link.isConnected {
		return false
	}
	f.hasCandidate = false
	s.UpstreamLost(now)
	s.upstream = f.candidate
	s.backoff = backoff{retryAt: now}
	f.isUnderWay = true
	f.unstableCount++
	return true
}

// endFailback processes the end of the current connection or attempt. A failback that lasted resets the count of unstable ones.
func (s *Subscriber) endFailback(now time.Duration) {
	if s.link.isConnected && s.failback.isUnderWay && now-s.link.startedAt >= s.options.FailbackDelay {
		s.failback.unstableCount = 0
	}
	s.failback.isUnderWay = false
}
