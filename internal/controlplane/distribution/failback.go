package distribution

import "time"

// maxFailbackDoublings is how often the delay of a failback doubles at most.
const maxFailbackDoublings = 4

// failback is the return to a preferred upstream, one earlier in the order than the current one. The earlier ones are probed one
// by one, and a good upstream is left only for one that has just answered: a control process that was away gets its
// subscribers back, spread over time, and one that is down costs them nothing. Without it a rolling restart of control
// processes would leave all subscribers at the last ones.
type failback struct {
	probeAt       time.Duration // when the next probe is due
	isProbing     bool
	nextProbe     int // index of the upstream to be probed next
	answered      int // index of the upstream that has answered a probe
	hasAnswer     bool
	unstableCount int  // failbacks in a row that did not last, the one under way included
	isUnderWay    bool // the current connection or attempt is a failback
}

// scheduleProbe begins the wait for a probe, when an upstream has connected.
func (s *Subscriber) scheduleProbe(now time.Duration) {
	s.failback.hasAnswer = false
	s.failback.nextProbe = 0
	s.failback.probeAt = now + s.probeDelay()
}

// probeDelay is spread by half to both sides, so that subscribers that moved together don't return together.
func (s *Subscriber) probeDelay() time.Duration {
	delay := s.options.FailbackDelay << min(s.failback.unstableCount, maxFailbackDoublings)
	return delay/2 + time.Duration(s.draw()*float64(delay))
}

// startProbe returns the upstream to be probed now, if one is due.
func (s *Subscriber) startProbe(now time.Duration) (upstream int, isDue bool) {
	f := &s.failback
	if s.options.FailbackDelay <= 0 || f.isProbing || s.state != StateCurrent || s.upstream == 0 || now < f.probeAt {
		return 0, false
	}
	f.isProbing = true
	return f.nextProbe % s.upstream, true
}

// ProbeEnded says whether the upstream of a probe has answered.
func (s *Subscriber) ProbeEnded(now time.Duration, upstream int, hasAnswered bool) {
	f := &s.failback
	f.isProbing = false
	if hasAnswered && s.link.isConnected && upstream < s.upstream {
		f.hasAnswer, f.answered = true, upstream
		return
	}
	f.nextProbe = upstream + 1
	f.probeAt = now + s.probeDelay()
}

// startFailback ends the current connection in favor of a preferred upstream that has answered, and reports whether it did.
func (s *Subscriber) startFailback(now time.Duration) bool {
	f := &s.failback
	if !f.hasAnswer || !s.link.isConnected {
		return false
	}
	f.hasAnswer = false
	s.UpstreamLost(now)
	s.upstream = f.answered
	s.backoff = backoff{retryAt: now}
	f.isUnderWay = true
	f.unstableCount++
	return true
}

// endFailback takes in the end of the current connection or attempt: a failback that lasted makes up for those that did not.
func (s *Subscriber) endFailback(now time.Duration) {
	if s.link.isConnected && s.failback.isUnderWay && now-s.link.startedAt >= s.options.FailbackDelay {
		s.failback.unstableCount = 0
	}
	s.failback.isUnderWay = false
}
