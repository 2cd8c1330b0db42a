package distribution

import (
	"cmp"
	"hash/crc32"
	"strconv"
	"time"
)

const (
	startWithin   = 2 * time.Second        // that a start waits to be current, unless settings say otherwise
	answerWithin  = 1 * time.Second        // for an upstream to answer, before the next one is tried
	silentAfter   = 25 * time.Second       // without a word an upstream is left; digests come every 10 s
	isolatedAfter = 10 * time.Second       // without an upstream
	backOffFirst  = 250 * time.Millisecond // after each upstream was tried once; doubles
	backOffMost   = 10 * time.Second       // spread down to half of it
	backOffGrowth = 6                      // doublings at most
	lookEvery     = 1 * time.Second        // Passed is to be called at least so often
	spreadOf      = float64(1<<32) - 1     // greatest of crc32
	behindAfter   = 2 * time.Second        // that something was received and not completed
	keepFor       = 30 * time.Second       // a connection that lasted so long begins the back-off anew
)

// State of a subscriber.
type State uint8

// The states.
const (
	StateStarting   State = iota // no upstream has answered yet; it does not serve yet
	StateCatchingUp              // one has, and sends what lacks; it does not serve yet
	StateCurrent                 // it has all that its upstream has
	StateBehind                  // it serves from what it holds while it reconnects or catches up
	StateIsolated                // it serves from what it holds, and no upstream has answered for a while
	statesEnd
)

// String is the state's name.
func (s State) String() string {
	return [...]string{"starting", "catching up", "current", "behind", "isolated"}[s]
}

type input uint8

const (
	connected  input = iota // an upstream has answered
	complete                // all that it has was received
	lost                    // the connection, or the attempt
	startEnds               // the time a start may wait is over
	longAlone               // no upstream for a while
	fellBehind              // something arrived that is not complete, for a while
	inputsEnd
)

// transitions is the whole of what a subscriber decides about its state. Whoever serves never stops: only Starting and
// CatchingUp do not, and nothing leads back to them from the others.
var transitions = [statesEnd][inputsEnd]State{
	StateStarting:   {connected: StateCatchingUp, complete: StateCurrent, lost: StateStarting, startEnds: StateIsolated, longAlone: StateIsolated, fellBehind: StateStarting},
	StateCatchingUp: {connected: StateCatchingUp, complete: StateCurrent, lost: StateStarting, startEnds: StateBehind, longAlone: StateCatchingUp, fellBehind: StateCatchingUp},
	StateCurrent:    {connected: StateBehind, complete: StateCurrent, lost: StateBehind, startEnds: StateCurrent, longAlone: StateBehind, fellBehind: StateBehind},
	StateBehind:     {connected: StateBehind, complete: StateCurrent, lost: StateBehind, startEnds: StateBehind, longAlone: StateIsolated, fellBehind: StateBehind},
	StateIsolated:   {connected: StateBehind, complete: StateCurrent, lost: StateIsolated, startEnds: StateIsolated, longAlone: StateIsolated, fellBehind: StateIsolated},
}

// SubscriberOptions is what a subscriber goes by; zero ones are the defaults.
type SubscriberOptions struct {
	UpstreamCount int // how many there are, in the order in which they are tried
	StartTimeout  time.Duration
	JitterSeed    string // of the spread of back-offs: the subscriber's name
	MaxBackoff    time.Duration
	FailbackDelay time.Duration // until a preferred upstream, one earlier in the order, is probed; 0: never
}

// Action is what the caller is to do about connections.
type Action struct {
	ShouldDial       bool // connect to Upstream now; its end is told by Connected or Lost
	ShouldDisconnect bool // the connection or the attempt in hand is to be ended first; that is not told again
	Upstream         int  // index of the one to connect to
	IsFailback       bool // it is preferred to the one that is dropped, which was good
	ShouldProbe      bool // see whether Preferred answers, beside the connection in hand; the end is told by Probed
	ProbeUpstream    int  // index of the one to probe
}

// Subscriber decides which upstream is followed, and when to serve.
type Subscriber struct {
	following SubscriberOptions
	state     State
	started   time.Duration
	upstream  int  // followed, tried, or to be tried next
	dialing   bool // an attempt is in hand
	connected bool
	heard     time.Duration // of the upstream last
	opened    time.Duration // when the first was received that is not completed
	open      bool          // there is such
	begun     time.Duration // of the attempt or connection
	alone     time.Duration // since when without a connection
	current   time.Duration // when it was last current
	was       bool          // it has been
	failures  int           // attempts since a connection that lasted
	retryAt   time.Duration
	counter   int
	preferred preferred
}

// NewSubscriber begins at a moment.
func NewSubscriber(now time.Duration, f SubscriberOptions) *Subscriber {
	f.StartTimeout = cmp.Or(f.StartTimeout, startWithin)
	f.MaxBackoff = cmp.Or(f.MaxBackoff, backOffMost)
	f.UpstreamCount = max(f.UpstreamCount, 1)
	return &Subscriber{following: f, started: now, alone: now, retryAt: now}
}

// State is the subscriber's.
func (s *Subscriber) State() State { return s.state }

// CanServe tells whether it may serve from what it holds.
func (s *Subscriber) CanServe() bool { return s.state != StateStarting && s.state != StateCatchingUp }

// Upstream is the index of the one followed or tried, and whether it is connected.
func (s *Subscriber) Upstream() (index int, connected bool) { return s.upstream, s.connected }

// Staleness is how long ago it was current last; known is false where it never was since its start.
func (s *Subscriber) Staleness(now time.Duration) (age time.Duration, known bool) {
	if s.state == StateCurrent {
		return 0, true
	}
	return now - s.current, s.was
}

// UpstreamConnected tells that the upstream in hand has answered.
func (s *Subscriber) UpstreamConnected(now time.Duration) {
	s.dialing, s.connected = false, true
	s.heard, s.begun = now, now
	s.settled(now)
	s.step(connected)
}

// MessageReceived tells that the upstream has sent something; complete that all it has was received.
func (s *Subscriber) MessageReceived(now time.Duration, all bool) {
	if !s.connected {
		return
	}
	s.heard = now
	if !all {
		if !s.open {
			s.open, s.opened = true, now
		}
		return
	}
	s.open = false
	s.current, s.was = now, true
	s.step(complete)
}

// UpstreamLost tells that the connection or the attempt in hand has ended, by a refusal too.
func (s *Subscriber) UpstreamLost(now time.Duration) {
	if !s.connected && !s.dialing {
		return
	}
	if s.connected {
		s.alone = now
		if now-s.begun >= keepFor {
			s.failures = 0
		}
	}
	s.left(now)
	s.dialing, s.connected, s.open = false, false, false
	s.upstream = (s.upstream + 1) % s.following.UpstreamCount // not back to the one that was just lost
	s.failures++
	s.retryAt = now
	if rounds := s.failures / s.following.UpstreamCount; s.failures%s.following.UpstreamCount == 0 {
		s.retryAt = now + s.backOff(rounds)
	}
	s.step(lost)
}

// backOff after so many rounds of all upstreams, spread by chance over its upper half.
func (s *Subscriber) backOff(rounds int) time.Duration {
	most := min(backOffFirst<<min(rounds, backOffGrowth), s.following.MaxBackoff)
	return most/2 + time.Duration(s.chance()*float64(most/2))
}

// chance draws a number from 0 to 1.
func (s *Subscriber) chance() float64 {
	s.counter++
	return float64(crc32.ChecksumIEEE([]byte(s.following.JitterSeed+" "+strconv.Itoa(s.counter)))) / spreadOf
}

// Tick looks at what time changes and says what is to be done, and when to look again at the latest.
func (s *Subscriber) Tick(now time.Duration) (do Action, again time.Duration) {
	if now-s.started >= s.following.StartTimeout {
		s.step(startEnds)
	}
	switch {
	case s.dialing && now-s.begun >= answerWithin, s.connected && now-s.heard >= silentAfter:
		do.ShouldDisconnect = true
		s.UpstreamLost(now)
	case s.leave(now):
		do.ShouldDisconnect, do.IsFailback = true, true
	}
	if s.open && now-s.opened >= behindAfter {
		s.step(fellBehind)
	}
	if !s.connected && now-s.alone >= isolatedAfter {
		s.step(longAlone)
	}
	if !s.connected && !s.dialing && now >= s.retryAt {
		do.ShouldDial, do.Upstream = true, s.upstream
		s.dialing, s.begun = true, now
	}
	do.ProbeUpstream, do.ShouldProbe = s.probe(now)
	return do, s.next(now)
}

func (s *Subscriber) next(now time.Duration) time.Duration {
	again := now + lookEvery
	if !s.CanServe() {
		again = min(again, s.started+s.following.StartTimeout)
	}
	switch {
	case s.dialing:
		again = min(again, s.begun+answerWithin)
	case !s.connected:
		again = min(again, s.retryAt)
	}
	return max(again, now)
}

func (s *Subscriber) step(in input) {
	s.state = transitions[s.state][in]
}
