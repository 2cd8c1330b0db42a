package server

import (
	"sync"
	"time"

	"fernvane/internal/testbed/standin/link"
)

const (
	maxIdle   = 5 * time.Second        // a connection that stands idle for so long is closed
	worthWait = 500 * time.Microsecond // a shorter way through the network is left out: a timer is later than that
	fillBytes = 120                    // of an answer beside its first line
)

// Asked is what a server must know of a request beside what the wire says.
type Asked struct {
	Work time.Duration
	Key  int
}

// Watcher is told what a server sees. Its methods are called from many goroutines; times count since the common start.
type Watcher interface {
	// Asked finds what a request was meant to be; ok is false where no client has sent it.
	Asked(id uint64) (a Asked, ok bool)
	// Attempt reports that a request has come whole, and when its first byte came.
	Attempt(id uint64, box int, first, last time.Duration)
	// Ran reports that its work has begun.
	Ran(id uint64, box int, at time.Duration)
	// Over reports that the attempt is out no more: its answer is about to be written, or its connection has ended. unbegun:
	// by a response that it never ran.
	Over(id uint64, box int, at time.Duration, unbegun bool)
	Fell(box int, at time.Duration)
	// Idle reports that a connection on which a request was the last stood unused, until it ended or the next one came.
	Idle(id uint64, box int, from, to time.Duration)
}

// Identity of a server, the same over its restarts.
type Identity struct {
	Number int // dense, over all servers
	Name   string
	Site   int
	Cell   int
}

// Faults are shares of requests that meet one, drawn by the request's id.
type Faults struct {
	CutBefore float64
	CutWithin float64
	CutAfter  float64
	Refuse    float64
	Err       float64
	Spoil     float64
}

// Server serves its model on a listener for each site of its callers, so that a site can be cut off from another.
type Server struct {
	Identity
	f         Figures
	start     time.Time
	watch     Watcher
	cross     func(from int) time.Duration // one way to callers of a site
	listeners []*link.Listener

	mu       sync.Mutex
	model    *Model
	attempts map[uint64]*attempt
	last     uint64
	timer    *time.Timer
	conns    int
	faults   Faults
	draining bool
	tells    []func() // to the watcher, once the lock is given back
}

type attempt struct {
	id    uint64 // of the request
	ended chan Step
}

// NewServer makes a server that listens at one address for callers of each site.
func NewServer(id Identity, f Figures, start time.Time, addresses []string, cross func(from int) time.Duration, w Watcher) (*Server, error) {
	b := &Server{Identity: id, f: f, start: start, watch: w, cross: cross, model: New(f), attempts: map[uint64]*attempt{}}
	b.timer = time.AfterFunc(time.Hour, b.due)
	for site, address := range addresses {
		l, err := link.Listen(address, func(c *link.Conn) { b.lead(c, site) })
		if err != nil {
			b.Close()
			return nil, err
		}
		b.listeners = append(b.listeners, l)
	}
	return b, nil
}

// Close ends the server for good.
func (b *Server) Close() {
	b.Crash()
	b.timer.Stop()
	for _, l := range b.listeners {
		l.Close()
	}
}

// Address is where callers of a site reach the server.
func (b *Server) Address(site int) string { return b.listeners[site].Address() }

func (b *Server) now() time.Duration { return time.Since(b.start) }

// do changes the model under the lock, sets the timer for what comes next, and tells what happened afterwards.
func (b *Server) do(f func(now time.Duration)) {
	b.mu.Lock()
	now := b.now()
	f(now)
	if at, ok := b.model.Next(); ok {
		b.timer.Reset(max(at-now, 0))
	}
	tells := b.tells
	b.tells = nil
	b.mu.Unlock()
	for _, tell := range tells {
		tell()
	}
}

func (b *Server) due() { b.do(func(now time.Duration) { b.model.Advance(now, b.event) }) }

func (b *Server) event(e Event) {
	h := b.attempts[e.ID]
	if h == nil {
		return
	}
	if e.Step == Began {
		b.tells = append(b.tells, func() { b.watch.Ran(h.id, b.Number, e.At) })
		return
	}
	delete(b.attempts, e.ID)
	h.ended <- e.Step
}

// Model gives a look at the model, or changes it.
func (b *Server) Model(f func(m *Model, now time.Duration, tell func(Event))) {
	b.do(func(now time.Duration) { f(b.model, now, b.event) })
}

// Set has requests meet faults from now on.
func (b *Server) Set(change func(*Faults)) { b.do(func(time.Duration) { change(&b.faults) }) }

// Drain has the server turn away what is new.
func (b *Server) Drain(is bool) { b.do(func(time.Duration) { b.draining = is }) }

// Crash ends the process: connections are reset, and new ones refused.
func (b *Server) Crash() {
	b.do(func(now time.Duration) { b.model.Crash(now, b.event) })
	for _, l := range b.listeners {
		l.Stop()
	}
}

// Vanish ends it without a word, as when its machine loses power.
func (b *Server) Vanish() {
	for _, l := range b.listeners {
		l.Silence()
	}
	b.do(func(now time.Duration) { b.model.Crash(now, b.event) })
}

// Start brings it back, cold; what hung on it is reset.
func (b *Server) Start() (ok bool, err error) {
	for _, l := range b.listeners {
		l.Stop()
	}
	b.do(func(now time.Duration) { ok = b.model.Start(now) })
	if !ok {
		return false, nil
	}
	for _, l := range b.listeners {
		if err = l.Reopen(); err != nil {
			return false, err
		}
	}
	return true, nil
}

// Hush cuts the server off from callers of a site, Speak ends that.
func (b *Server) Hush(site int) { b.listeners[site].Silence() }

// Speak ends a silence.
func (b *Server) Speak(site int) { b.listeners[site].EndSilence() }

// Stop has the process stand still as a whole: its connections take what comes and bring nothing.
func (b *Server) Stop(still bool) {
	b.Model(func(m *Model, now time.Duration, tell func(Event)) {
		if still {
			m.Pause(now, tell)
		} else {
			m.Resume(now, tell)
		}
	})
	for _, l := range b.listeners {
		if still {
			l.Silence()
		} else {
			l.EndSilence()
		}
	}
}
