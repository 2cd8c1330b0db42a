package distribution

import "time"

// returnGrowth is how often the wait for a return doubles at most.
const returnGrowth = 4

// preferred decides when a subscriber goes back from the upstream that it took in need to one that it prefers. It probes those before
// its own in the order one by one, and leaves a good upstream only for one that has just answered: a control process that was away
// for a while gets its subscribers back, spread over time, and one that is dead costs them nothing. Without it, each restart
// of a control process would leave its subscribers at others for good, and a rolling restart would leave all at the last ones.
type preferred struct {
	probeAt time.Duration // when the next probe is due
	probing bool
	next    int // index to be probed next
	found   int // index of an upstream that has answered a probe
	answers bool
	returns int  // in a row, of which none has lasted
	back    bool // the connection or attempt in hand is a return
}

// settled begins the wait for a probe, as an upstream has been connected.
func (s *Subscriber) settled(now time.Duration) {
	s.preferred.answers, s.preferred.next = false, 0
	s.preferred.probeAt = now + s.returnWait()
}

// left takes in that the connection or the attempt in hand has ended: a return that lasted makes up for those that did not.
func (s *Subscriber) left(now time.Duration) {
	if s.connected && s.preferred.back && now-s.begun >= s.following.FailbackDelay {
		s.preferred.returns = 0
	}
	s.preferred.back = false
}

// returnWait is spread by half to both sides, so that subscribers that moved together do not return together.
func (s *Subscriber) returnWait() time.Duration {
	wait := s.following.FailbackDelay << min(s.preferred.returns, returnGrowth)
	return wait/2 + time.Duration(s.chance()*float64(wait))
}

// probe says whether a preferred upstream is to be probed now, and which.
func (s *Subscriber) probe(now time.Duration) (upstream int, due bool) {
	p := &s.preferred
	if s.following.FailbackDelay <= 0 || p.probing || s.state != StateCurrent || s.upstream == 0 || now < p.probeAt {
		return 0, false
	}
	p.probing = true
	return p.next % s.upstream, true
}

// ProbeEnded tells how a probe has ended: whether that upstream has answered.
func (s *Subscriber) ProbeEnded(now time.Duration, upstream int, answered bool) {
	p := &s.preferred
	p.probing = false
	if answered && s.connected && upstream < s.upstream {
		p.answers, p.found = true, upstream
		return
	}
	p.next = upstream + 1
	p.probeAt = now + s.returnWait()
}

// leave has the connection in hand ended in favour of a preferred upstream that has answered, where one has.
func (s *Subscriber) leave(now time.Duration) (left bool) {
	p := &s.preferred
	if !p.answers || !s.connected {
		return false
	}
	p.answers = false
	s.UpstreamLost(now)
	s.upstream, s.failures, s.retryAt = p.found, 0, now
	p.back = true
	p.returns++
	return true
}
