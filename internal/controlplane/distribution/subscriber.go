package distribution

import (
	"cmp"
	"time"
)

const (
	defaultStartTimeout = 2 * time.Second
	defaultMaxBackoff   = 10 * time.Second
	connectTimeout      = 1 * time.Second  // for an upstream to respond, before the next one is attempted
	silenceTimeout      = 25 * time.Second // without a message, after which an upstream is disconnected; digests arrive every 10 s
	isolationTimeout    = 10 * time.Second // without an upstream, after which the state is StateIsolated; StartTimeout applies at the start
	incompleteTimeout   = 2 * time.Second  // from an incomplete message to a complete one, after which the subscriber is not current
	tickInterval        = 1 * time.Second  // longest interval between calls of Tick
)

// SubscriberOptions configure a Subscriber. A field that is zero takes its default.
type SubscriberOptions struct {
	UpstreamCount int           // upstreams are attempted in order of their index, the preferred one first
	StartTimeout  time.Duration // wait for a complete batch at the start, before the process serves from its stored configuration
	JitterSeed    string        // seed of the backoff jitter: the subscriber's name
	MaxBackoff    time.Duration
	FailbackDelay time.Duration // until a preferred upstream is probed; 0 disables failback
}

// Action lists the changes of connections that the caller performs.
type Action struct {
	ShouldDial       bool // connect to Upstream, then call UpstreamConnected or UpstreamLost
	ShouldDisconnect bool // first close the current connection or attempt, without a call of UpstreamLost
	Upstream         int  // index of the upstream to connect to
	IsFailback       bool // the closed connection worked: a preferred upstream has responded to a probe
	ShouldProbe      bool // probe ProbeUpstream without closing the current connection, then call ProbeEnded
	ProbeUpstream    int  // index of the upstream to probe
}

// Subscriber selects the upstream to follow, and determines when the process may serve.
type Subscriber struct {
	options   SubscriberOptions
	state     State
	startedAt time.Duration
	upstream  int // index of the upstream that is connected, being attempted, or attempted next
	link      linkState
	freshness freshness
	backoff   backoff
	failback  failback
	drawCount int // number of calls of draw
}

// linkState is the state of the current connection or attempt.
type linkState struct {
	isDialing         bool
	isConnected       bool
	startedAt         time.Duration // of the attempt, or of the connection
	lastMessage       time.Duration
	disconnectedSince time.Duration
}

// freshness records when the received configuration was last complete.
type freshness struct {
	isIncomplete    bool // an incomplete message was received, and no complete one has followed yet
	incompleteSince time.Duration
	wasCurrent      bool // the subscriber was current at least once since its start
	lastCurrent     time.Duration
}

// NewSubscriber returns a subscriber that starts at now.
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

// State returns the subscriber's connection and freshness state.
func (s *Subscriber) State() State { return s.state }

// CanServe reports whether the process may serve from its stored configuration.
func (s *Subscriber) CanServe() bool { return s.state != StateStarting && s.state != StateCatchingUp }

// Upstream returns the index of the current upstream, and whether it is connected.
func (s *Subscriber) Upstream() (index int, isConnected bool) { return s.upstream, s.link.isConnected }

// Staleness returns the time since the subscriber was last current. isKnown is false if it has not been current since its start.
func (s *Subscriber) Staleness(now time.Duration) (age time.Duration, isKnown bool) {
	if s.state == StateCurrent {
		return 0, true
	}
	return now - s.freshness.lastCurrent, s.freshness.wasCurrent
}

// UpstreamConnected records that the handshake with the current upstream has completed.
func (s *Subscriber) UpstreamConnected(now time.Duration) {
	s.link.isDialing, s.link.isConnected = false, true
	s.link.lastMessage, s.link.startedAt = now, now
	s.scheduleProbe(now)
	s.apply(connected)
}

// MessageReceived records a batch or digests of the upstream. isComplete reports whether the subscriber has now received all
// entries that the upstream has.
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

// UpstreamLost records that the current connection or attempt has ended, including by a rejection.
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
	s.upstream = (s.upstream + 1) % s.options.UpstreamCount // the upstream that was just lost is attempted last
	s.scheduleRetry(now)
	s.apply(lost)
}

// Tick applies timeouts. It returns the action to perform, and the latest time of the next call of Tick.
func (s *Subscriber) Tick(now time.Duration) (action Action, next time.Duration) {
	if now-s.startedAt >= s.options.StartTimeout {
		s.apply(startTimedOut)
	}
	switch {
	case s.isUnresponsive(now):
		action.ShouldDisconnect = true
		s.UpstreamLost(now)
	case s.startFailback(now):
		action.ShouldDisconnect, action.IsFailback = true, true
	}
	if s.freshness.isIncomplete && now-s.freshness.incompleteSince >= incompleteTimeout {
		s.apply(incompleteTimedOut)
	}
	if !s.link.isConnected && now-s.link.disconnectedSince >= isolationTimeout {
		s.apply(isolationTimedOut)
	}
	if !s.link.isConnected && !s.link.isDialing && now >= s.backoff.retryAt {
		action.ShouldDial, action.Upstream = true, s.upstream
		s.link.isDialing, s.link.startedAt = true, now
	}
	action.ProbeUpstream, action.ShouldProbe = s.startProbe(now)
	return action, s.nextTick(now)
}

// isUnresponsive reports whether the current upstream has exceeded connectTimeout or silenceTimeout.
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
