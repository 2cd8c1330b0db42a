package distribution

import (
	"cmp"
	"time"
)

const (
	defaultStartTimeout = 2 * time.Second
	defaultMaxBackoff   = 10 * time.Second
	connectTimeout      = 1 * time.Second  // for an upstream to answer, before the next one is tried
	silenceTimeout      = 25 * time.Second // without a message, after which an upstream is left; digests come every 10 s
	isolationTimeout    = 10 * time.Second // without an upstream
	incompleteTimeout   = 2 * time.Second  // between a message and the complete batch that follows it
	tickInterval        = 1 * time.Second  // Tick is called at least so often
)

// SubscriberOptions are a subscriber's. A field that is zero takes its default.
type SubscriberOptions struct {
	UpstreamCount int           // in the order in which they are tried, the preferred one first
	StartTimeout  time.Duration // that a start waits for everything before it serves by what it holds
	JitterSeed    string        // of backoffs: the subscriber's name
	MaxBackoff    time.Duration
	FailbackDelay time.Duration // until a preferred upstream is probed; 0: never
}

// Action is what the caller does about connections.
type Action struct {
	ShouldDial       bool // connect to Upstream; the caller then calls UpstreamConnected or UpstreamLost
	ShouldDisconnect bool // first end the current connection or attempt, without a call of UpstreamLost
	Upstream         int  // index of the one to connect to
	IsFailback       bool // the connection that ends was good: a preferred upstream has answered a probe
	ShouldProbe      bool // see whether ProbeUpstream answers, beside the current connection; the caller then calls ProbeEnded
	ProbeUpstream    int  // index of the one to probe
}

// Subscriber decides which upstream is followed, and when the process may serve.
type Subscriber struct {
	options   SubscriberOptions
	state     State
	startedAt time.Duration
	upstream  int // followed, tried, or to be tried next
	link      linkState
	freshness freshness
	backoff   backoff
	failback  failback
	drawCount int // of random draws
}

// linkState is the current connection or attempt.
type linkState struct {
	isDialing         bool
	isConnected       bool
	startedAt         time.Duration // of the attempt, or of the connection
	lastMessage       time.Duration
	disconnectedSince time.Duration
}

// freshness is how far what was received is complete.
type freshness struct {
	isIncomplete    bool // something was received that no complete batch has followed
	incompleteSince time.Duration
	wasCurrent      bool // ever since the start
	lastCurrent     time.Duration
}

// NewSubscriber returns a subscriber that starts at a moment.
func NewSubscriber(now time.Duration, options SubscriberOptions) *Subscriber {
	options.StartTimeout = cmp.Or(options.StartTimeout, defaultStartTimeout)
	options.MaxBackoff = cmp.Or(options.MaxBackoff, defaultMaxBackoff)
	options.UpstreamCount = max(options.UpstreamCount, 1)
	return &Subscriber{
		options:   options,
		startedAt: now,
		link:      linkState{disconnectedSince: now},
		backoff:   backoff{retryAt: now},
	}
}

// State returns the subscriber's state.
func (s *Subscriber) State() State { return s.state }

// CanServe reports whether the process may serve by what it holds.
func (s *Subscriber) CanServe() bool { return s.state != StateStarting && s.state != StateCatchingUp }

// Upstream returns the index of the upstream followed or tried, and whether it is connected.
func (s *Subscriber) Upstream() (index int, isConnected bool) { return s.upstream, s.link.isConnected }

// Staleness returns how long ago the subscriber was current. isKnown is false if it never was since its start.
func (s *Subscriber) Staleness(now time.Duration) (age time.Duration, isKnown bool) {
	if s.state == StateCurrent {
		return 0, true
	}
	return now - s.freshness.lastCurrent, s.freshness.wasCurrent
}

// UpstreamConnected says that the current upstream has answered.
func (s *Subscriber) UpstreamConnected(now time.Duration) {
	s.link.isDialing, s.link.isConnected = false, true
	s.link.lastMessage, s.link.startedAt = now, now
	s.scheduleProbe(now)
	s.apply(connected)
}

// MessageReceived says that the upstream has sent something, and whether everything that it has was received with it.
func (s *Subscriber) MessageReceived(now time.Duration, isComplete bool) {
	if !s.link.isConnected {
		return
	}
	s.link.lastMessage = now
	if !isComplete {
		if !s.freshness.isIncomplete {
			s.freshness.isIncomplete, s.freshness.incompleteSince = true, now
		}
		return
	}
	s.freshness.isIncomplete = false
	s.freshness.lastCurrent, s.freshness.wasCurrent = now, true
	s.apply(completed)
}

// UpstreamLost says that the current connection or attempt has ended, also by a rejection.
func (s *Subscriber) UpstreamLost(now time.Duration) {
	if !s.link.isConnected && !s.link.isDialing {
		return
	}
	if s.link.isConnected {
		s.link.disconnectedSince = now
		if now-s.link.startedAt >= stableConnection {
			s.backoff.failures = 0
		}
	}
	s.endFailback(now)
	s.link.isDialing, s.link.isConnected = false, false
	s.freshness.isIncomplete = false
	s.upstream = (s.upstream + 1) % s.options.UpstreamCount // not back to the one that was just lost
	s.scheduleRetry(now)
	s.apply(lost)
}

// Tick applies what the passing of time changes. It returns what the caller does, and when it calls Tick again at the latest.
func (s *Subscriber) Tick(now time.Duration) (do Action, next time.Duration) {
	if now-s.startedAt >= s.options.StartTimeout {
		s.apply(startTimedOut)
	}
	switch {
	case s.isUnresponsive(now):
		do.ShouldDisconnect = true
		s.UpstreamLost(now)
	case s.startFailback(now):
		do.ShouldDisconnect, do.IsFailback = true, true
	}
	if s.freshness.isIncomplete && now-s.freshness.incompleteSince >= incompleteTimeout {
		s.apply(incompleteTimedOut)
	}
	if !s.link.isConnected && now-s.link.disconnectedSince >= isolationTimeout {
		s.apply(isolationTimedOut)
	}
	if !s.link.isConnected && !s.link.isDialing && now >= s.backoff.retryAt {
		do.ShouldDial, do.Upstream = true, s.upstream
		s.link.isDialing, s.link.startedAt = true, now
	}
	do.ProbeUpstream, do.ShouldProbe = s.startProbe(now)
	return do, s.nextTick(now)
}

// isUnresponsive reports whether the current upstream has been silent for too long.
func (s *Subscriber) isUnresponsive(now time.Duration) bool {
	return s.link.isDialing && now-s.link.startedAt >= connectTimeout || s.link.isConnected && now-s.link.lastMessage >= silenceTimeout
}

func (s *Subscriber) nextTick(now time.Duration) time.Duration {
	next := now + tickInterval
	if !s.CanServe() {
		next = min(next, s.startedAt+s.options.StartTimeout)
	}
	switch {
	case s.link.isDialing:
		next = min(next, s.link.startedAt+connectTimeout)
	case !s.link.isConnected:
		next = min(next, s.backoff.retryAt)
	}
	return max(next, now)
}
