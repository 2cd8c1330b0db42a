package server

import (
	"sync"
	"time"

	"fernvane/internal/testbed/standin/link"
)

const (
	maxIdle    = 5 * time.Second        // idle connections are closed after this time
	minLatency = 500 * time.Microsecond // a shorter latency is not simulated: timers are less precise
	fillBytes  = 120                    // of a response body after its first line
)

// RequestInfo is what a server must know of a request beside its message.
type RequestInfo struct {
	Work time.Duration
	Key  int
}

// Watcher is notified of what a server sees. Its methods are called from many goroutines; times count from the common
// start. server is the server's number.
type Watcher interface {
	// FindRequest returns the request with an ID; ok is false if no client sent it.
	FindRequest(id uint64) (info RequestInfo, ok bool)
	// Attempt reports a request that was received completely, with the times of its first and last byte.
	Attempt(id uint64, server int, first, last time.Duration)
	// Ran reports that its execution began.
	Ran(id uint64, server int, at time.Duration)
	// AttemptEnded reports that the attempt ended: its response is about to be written, or its connection ended. neverRan
	// says that the response is a rejection before execution.
	AttemptEnded(id uint64, server int, at time.Duration, neverRan bool)
	// Overloaded reports that the server crashed because it was overloaded in slow start.
	Overloaded(server int, at time.Duration)
	// Idle reports that a connection was unused after request id, until it ended or the next request came.
	Idle(id uint64, server int, from, to time.Duration)
}

// Identity of a server, the same over its restarts.
type Identity struct {
	Number int // from 0, without gaps
	Name   string
	Site   int
	Cell   int
}

// Faults are shares of requests that a fault hits, chosen by request ID.
type Faults struct {
	CutBefore float64
	CutWithin float64
	CutAfter  float64
	Refuse    float64
	Err       float64
	Spoil     float64
}

// Server serves requests by its model. It has a listener for each site of callers, so that sites can be cut off. Its
// methods are safe for concurrent use.
type Server struct {
	Identity
	settings  Settings
	start     time.Time
	watcher   Watcher
	latency   func(from int) time.Duration // one way, to callers of a site
	listeners []*link.Listener

	mu             sync.Mutex
	model          *Model
	attempts       map[uint64]*attempt
	last           uint64
	timer          *time.Timer
	conns          int
	faults         Faults
	draining       bool
	pendingReports []func() // to the watcher, made after mu is released
}

// attempt is a request that was offered to the model.
type attempt struct {
	id    uint64 // of the request
	ended chan Step
}

// NewServer starts a server that listens at an address for callers of each site.
func NewServer(id Identity, f Settings, start time.Time, addresses []string, cross func(from int) time.Duration, w Watcher) (*Server, error) {
	b := &Server{Identity: id, settings: f, start: start, watcher: w, latency: cross, model: New(f), attempts: map[uint64]*attempt{}}
	b.timer = time.AfterFunc(time.Hour, b.due)
	for site, address := range addresses {
		l, err := link.Listen(address, func(c *link.Conn) { b.serveConn(c, site) })
		if err != nil {
			b.Close()
			return nil, err
		}
		b.listeners = append(b.listeners, l)
	}
	return b, nil
}

// Close ends the server and waits for its connections.
func (b *Server) Close() {
	b.Crash()
	b.timer.Stop()
	for _, l := range b.listeners {
		l.Close()
	}
}

// Address returns where callers of a site reach the server.
func (b *Server) Address(site int) string { return b.listeners[site].Address() }

// now returns the time since the common start.
func (b *Server) now() time.Duration { return time.Since(b.start) }

// do calls f under the lock, sets the timer for the model's next event and then reports what happened to the watcher.
func (b *Server) do(f func(now time.Duration)) {
	b.mu.Lock()
	now := b.now()
	f(now)
	if at, ok := b.model.Next(); ok {
		b.timer.Reset(max(at-now, 0))
	}
	reports := b.pendingReports
	b.pendingReports = nil
	b.mu.Unlock()
	for _, report := range reports {
		report()
	}
}

// due processes what is due in the model.
func (b *Server) due() { b.do(func(now time.Duration) { b.model.Advance(now, b.event) }) }

// event handles an event of the model, under the lock.
func (b *Server) event(e Event) {
	attempt := b.attempts[e.ID]
	if attempt == nil {
		return
	}
	if e.Step == Began {
		b.pendingReports = append(b.pendingReports, func() { b.watcher.Ran(attempt.id, b.Number, e.At) })
		return
	}
	delete(b.attempts, e.ID)
	attempt.ended <- e.Step
}

// Model calls f with the model under the lock.
func (b *Server) Model(f func(m *Model, now time.Duration, report func(Event))) {
	b.do(func(now time.Duration) { f(b.model, now, b.event) })
}

// Set changes the faults of requests from now on.
func (b *Server) Set(change func(*Faults)) { b.do(func(time.Duration) { change(&b.faults) }) }

// Drain has the server reject new requests, or accept them again.
func (b *Server) Drain(isDraining bool) { b.do(func(time.Duration) { b.draining = isDraining }) }

// Crash ends the process: connections are reset and new ones refused.
func (b *Server) Crash() {
	b.do(func(now time.Duration) { b.model.Crash(now, b.event) })
	for _, l := range b.listeners {
		l.Stop()
	}
}

// Vanish ends the process without closing its connections, as when the machine loses power.
func (b *Server) Vanish() {
	for _, l := range b.listeners {
		l.Silence()
	}
	b.do(func(now time.Duration) { b.model.Crash(now, b.event) })
}

// Start starts the process again, in slow start, and resets connections from before. ok is false if the model does not
// start.
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

// Hush cuts the server off from callers of a site.
func (b *Server) Hush(site int) { b.listeners[site].Silence() }

// Speak ends Hush.
func (b *Server) Speak(site int) { b.listeners[site].EndSilence() }

// Stop pauses the whole process, whose connections stay open and send nothing, or resumes it.
func (b *Server) Stop(isPaused bool) {
	b.Model(func(m *Model, now time.Duration, report func(Event)) {
		if isPaused {
			m.Pause(now, report)
		} else {
			m.Resume(now, report)
		}
	})
	for _, l := range b.listeners {
		if isPaused {
			l.Silence()
		} else {
			l.EndSilence()
		}
	}
}
