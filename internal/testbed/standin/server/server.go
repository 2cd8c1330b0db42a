package server

import (
	"sync"
	"time"

	"fernvane/internal/testbed/standin/link"
)

const (
	maxIdle     = 5 * time.Second        // before an idle connection is closed
	minLatency  = 500 * time.Microsecond // shorter latencies are not simulated: timers are not precise enough
	fillerBytes = 120                    // length of a response body after its first line
)

// RequestInfo is the part of a request that the message does not carry.
type RequestInfo struct {
	Work time.Duration // on a core of speed 1
	Key  int           // whose work is less while the server has it cached; 0: none
}

// Watcher is notified of requests at servers. Its methods are called from many goroutines; times count from the common start;
// server is the server's number.
type Watcher interface {
	// FindRequest returns the request with an ID; ok is false if no client sent it.
	FindRequest(id uint64) (info RequestInfo, ok bool)
	// Attempt reports a request that was received completely, with the times of its first and last byte.
	Attempt(id uint64, server int, first, last time.Duration)
	// Ran reports that the execution of a request began.
	Ran(id uint64, server int, at time.Duration)
	// AttemptEnded reports that an attempt ended: its response is about to be written, or its connection ended. neverRan
	// means that the response is a rejection before execution.
	AttemptEnded(id uint64, server int, at time.Duration, neverRan bool)
	// Overloaded reports that the server crashed because it was overloaded in slow start.
	Overloaded(server int, at time.Duration)
	// Idle reports that a connection was unused after request id, until it ended or the next request came.
	Idle(id uint64, server int, from, to time.Duration)
}

// Identity identifies a server. It stays the same over restarts.
type Identity struct {
	Number int // from 0, without gaps
	Name   string
	Site   int
	Cell   int
}

// Faults are the shares of requests that faults hit. The request ID decides which ones. Second copies are those of sendCopy.
type Faults struct {
	CutBefore      float64 // connection reset before execution
	CutWithin      float64 // connection closed in the middle of the response
	CutAfter       float64 // connection closed after the response
	Reject         float64 // status 503 before execution
	ErrorResponse  float64 // status 500 after execution
	GarbleResponse float64 // malformed response
	CopyResponse   float64 // a second copy of the response, CopyDelay after the first
	CopyRejection  float64 // a second copy of a rejection, likewise
	CopyDelay      time.Duration
}

// Server responds to requests by its Model. It has a listener for each site of callers, so that sites can be cut off. Its
// methods are safe for concurrent use.
type Server struct {
	Identity
	settings  Settings
	start     time.Time
	watcher   Watcher
	latency   func(from int) time.Duration // one-way latency to callers of a site
	listeners []*link.Listener

	mu             sync.Mutex
	model          *Model
	attempts       map[uint64]*attempt // by ID at the model
	lastAttempt    uint64              // ID of the last attempt at the model
	timer          *time.Timer
	conns          int
	faults         Faults
	draining       bool
	pendingReports []func() // to the watcher, made after mu is released
}

// attempt is a request that was admitted by the model.
type attempt struct {
	id    uint64 // of the request
	ended chan Step
}

// NewServer starts a server that listens at an address for callers of each site.
func NewServer(id Identity, settings Settings, start time.Time, addresses []string, cross func(from int) time.Duration, w Watcher) (*Server, error) {
	s := &Server{Identity: id, settings: settings, start: start, watcher: w, latency: cross, model: New(settings), attempts: map[uint64]*attempt{}}
	s.timer = time.AfterFunc(time.Hour, s.advance)
	for site, address := range addresses {
		l, err := link.Listen(address, func(c *link.Conn) { s.serveConn(c, site) })
		if err != nil {
			s.Close()
			return nil, err
		}
		s.listeners = append(s.listeners, l)
	}
	return s, nil
}

// Close ends the server and waits for its connections.
func (s *Server) Close() {
	s.Crash()
	s.timer.Stop()
	for _, l := range s.listeners {
		l.Close()
	}
}

// Address returns where callers of a site reach the server.
func (s *Server) Address(site int) string { return s.listeners[site].Address() }

// now returns the time since the common start.
func (s *Server) now() time.Duration { return time.Since(s.start) }

// withLock calls f under the lock, sets the timer for the model's next event and, after it has released the lock, sends the pending
// reports to the watcher.
func (s *Server) withLock(f func(now time.Duration)) {
	s.mu.Lock()
	now := s.now()
	f(now)
	if at, ok := s.model.Next(); ok {
		s.timer.Reset(max(at-now, 0))
	}
	reports := s.pendingReports
	s.pendingReports = nil
	s.mu.Unlock()
	for _, report := range reports {
		report()
	}
}

// advance advances the model to the present time.
func (s *Server) advance() {
	s.withLock(func(now time.Duration) { s.model.Advance(now, s.handleEvent) })
}

// handleEvent handles an event of the model. The caller holds the lock.
func (s *Server) handleEvent(e Event) {
	attempt := s.attempts[e.ID]
	if attempt == nil {
		return
	}
	if e.Step == Began {
		s.pendingReports = append(s.pendingReports, func() { s.watcher.Ran(attempt.id, s.Number, e.At) })
		return
	}
	delete(s.attempts, e.ID)
	attempt.ended <- e.Step
}

// WithModel calls f with the model under the lock. f passes report to methods of the model.
func (s *Server) WithModel(f func(m *Model, now time.Duration, report func(Event))) {
	s.withLock(func(now time.Duration) { f(s.model, now, s.handleEvent) })
}

// ChangeFaults changes the faults of later requests.
func (s *Server) ChangeFaults(change func(*Faults)) {
	s.withLock(func(time.Duration) { change(&s.faults) })
}

// SetDraining makes the server reject new requests, or accept them again.
func (s *Server) SetDraining(isDraining bool) {
	s.withLock(func(time.Duration) { s.draining = isDraining })
}

// Crash ends the process: connections are reset and new ones refused.
func (s *Server) Crash() {
	s.withLock(func(now time.Duration) { s.model.Crash(now, s.handleEvent) })
	for _, l := range s.listeners {
		l.Stop()
	}
}

// LosePower ends the process without closing its connections, as when the machine loses power.
func (s *Server) LosePower() {
	for _, l := range s.listeners {
		l.Silence()
	}
	s.withLock(func(now time.Duration) { s.model.Crash(now, s.handleEvent) })
}

// Start starts the process again, in slow start, and resets connections from before. ok is false if the process runs or was
// overloaded.
func (s *Server) Start() (ok bool, err error) {
	for _, l := range s.listeners {
		l.Stop()
	}
	s.withLock(func(now time.Duration) { ok = s.model.Start(now) })
	if !ok {
		return false, nil
	}
	for _, l := range s.listeners {
		if err = l.Reopen(); err != nil {
			return false, err
		}
	}
	return true, nil
}

// CutOff cuts the server off from the callers of a site: their connections stay open and carry nothing, and new ones do not open.
func (s *Server) CutOff(site int) { s.listeners[site].Silence() }

// EndCutOff ends the cut that CutOff began.
func (s *Server) EndCutOff(site int) { s.listeners[site].EndSilence() }

// SetPaused pauses the whole process, whose connections stay open and send nothing, or resumes it.
func (s *Server) SetPaused(isPaused bool) {
	s.WithModel(func(m *Model, now time.Duration, report func(Event)) {
		if isPaused {
			m.Pause(now, report)
		} else {
			m.Resume(now, report)
		}
	})
	for _, l := range s.listeners {
		if isPaused {
			l.Silence()
		} else {
			l.EndSilence()
		}
	}
}
