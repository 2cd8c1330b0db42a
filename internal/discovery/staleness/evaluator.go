package staleness

import (
	"cmp"
	"hash/crc32"
	"math"
	"slices"
	"time"
)

const (
	// minConnectFailures without an executed request between them make a proven server suspected; other responses do not
	// interrupt the count. One is enough for a server on trial.
	minConnectFailures = 2
	// initialSuspicion is for how long a server is suspected the first time. It doubles each time, up to maxSuspicion.
	initialSuspicion = 1 * time.Second
	maxSuspicion     = 30 * time.Second
	// maxDoublings keeps the doubling from an overflow; maxSuspicion is reached before.
	maxDoublings = 10
	// minTrials are allowed at once whatever fails. level.minInitialTrials is about the start.
	minTrials = 1
)

// Server is one of a cached list.
type Server struct {
	ID          string
	IsUp        bool // else it was draining or gone, and stays excluded until a source says otherwise
	HasExecuted bool // it has executed a request for the node that wrote the list
}

// server is what an Evaluator knows of one server.
type server struct {
	Server
	status              Status
	statusSince         time.Duration
	trialOrder          uint32 // differs by node
	consecutiveFailures int    // to connect, since it last executed a request or became suspected
	suspicionCount      int
}

// Evaluator follows the servers of one cached list. Its methods that report what happened to a server ignore unknown IDs.
type Evaluator struct {
	level      level
	levelIndex int
	servers    map[string]*server
	order      []*server // in the order of trials
	maxTrials  int       // at once
	hasChanged bool      // since the last call of Usable
}

// New returns the Evaluator of a list with these servers, at the time 0, and starts the first trials. The order of trials
// depends on the node's name, so that nodes which start together on one list do not try the same servers first.
func New(list CachedList, node string, all []Server) *Evaluator {
	e := &Evaluator{levelIndex: list.Level(), servers: map[string]*server{}, hasChanged: true}
	e.level = levels[e.levelIndex]
	up := 0
	for _, s := range all {
		one := &server{Server: s, trialOrder: crc32.ChecksumIEEE([]byte(node + "/" + s.ID))}
		if s.IsUp {
			up++
		} else {
			one.status = Excluded
		}
		e.servers[s.ID] = one
		e.order = append(e.order, one)
	}
	slices.SortFunc(e.order, func(a, b *server) int {
		return cmp.Or(
			cmp.Compare(b.executedRank(), a.executedRank()),
			cmp.Compare(a.trialOrder, b.trialOrder),
			cmp.Compare(a.ID, b.ID),
		)
	})
	e.maxTrials = max(e.level.minInitialTrials, int(math.Ceil(e.level.trialShare*float64(up))))
	e.startTrials(0)
	return e
}

// executedRank puts servers that have executed a request before those that have not.
func (s *server) executedRank() int {
	if s.HasExecuted {
		return 1
	}
	return 0
}

// Level returns the list's staleness level.
func (e *Evaluator) Level() int { return e.levelIndex }

// RequestExecuted reports that a server has answered a request with success, or found the request itself faulty.
func (e *Evaluator) RequestExecuted(now time.Duration, id string) { e.step(now, id, requestExecuted) }

// ResponseWithoutProof reports that a server has responded with an error of its own or a refusal, whether or not it executed
// the request. That does not prove that it serves: it may be draining.
func (e *Evaluator) ResponseWithoutProof(now time.Duration, id string) {
	e.step(now, id, responseWithoutProof)
}

// ConnectFailed reports that an attempt could not connect to a server.
func (e *Evaluator) ConnectFailed(now time.Duration, id string) {
	s := e.servers[id]
	if s == nil {
		return
	}
	s.consecutiveFailures++
	if s.status == Proven && s.consecutiveFailures < minConnectFailures {
		return
	}
	e.step(now, id, connectFailed)
}

// WrongServer reports that another server responds at a server's address.
func (e *Evaluator) WrongServer(now time.Duration, id string) { e.step(now, id, wrongServer) }

// suspicionTimeout is for how long a suspected server stays so.
func (s *server) suspicionTimeout() time.Duration {
	return min(initialSuspicion<<min(s.suspicionCount-1, maxDoublings), maxSuspicion)
}

// Tick applies what the time alone changes. It is called every few tens of milliseconds.
func (e *Evaluator) Tick(now time.Duration) {
	for _, s := range e.order {
		if s.status == Suspected && now-s.statusSince >= s.suspicionTimeout() {
			e.apply(now, s, timerExpired)
		}
	}
	e.startTrials(now)
}

func (e *Evaluator) step(now time.Duration, id string, in input) {
	s := e.servers[id]
	if s == nil {
		return
	}
	if in == requestExecuted {
		s.consecutiveFailures = 0
	}
	e.apply(now, s, in)
	e.startTrials(now)
}

func (e *Evaluator) apply(now time.Duration, s *server, in input) {
	t := transitions[s.status][in]
	switch t.trialChange {
	case moreTrials:
		e.maxTrials += e.level.trialsPerProven
	case fewerTrials:
		e.maxTrials = max(e.maxTrials-1, minTrials)
	}
	if t.next == s.status {
		return
	}
	if t.next == Suspected {
		s.suspicionCount++
		s.consecutiveFailures = 0
	}
	s.status, s.statusSince, e.hasChanged = t.next, now, true
}

// startTrials puts servers on trial while more are allowed: first those that were never suspected.
func (e *Evaluator) startTrials(now time.Duration) {
	onTrial := 0
	for _, s := range e.order {
		if s.status == OnTrial {
			onTrial++
		}
	}
	for _, wasSuspected := range []bool{false, true} {
		for _, s := range e.order {
			if onTrial < e.maxTrials && s.status == Untried && (s.suspicionCount > 0) == wasSuspected {
				e.apply(now, s, trialOffered)
				onTrial++
			}
		}
	}
}

// UsableServer is a server that may be used now.
type UsableServer struct {
	ID       string
	IsProven bool // else it gets idempotent requests only
}

// Usable returns the servers that may be used, in the order of their IDs, and whether that has changed since the last call.
func (e *Evaluator) Usable() (all []UsableServer, hasChanged bool) {
	for _, s := range e.order {
		if s.status == OnTrial || s.status == Proven {
			all = append(all, UsableServer{s.ID, s.status == Proven})
		}
	}
	slices.SortFunc(all, func(a, b UsableServer) int { return cmp.Compare(a.ID, b.ID) })
	hasChanged, e.hasChanged = e.hasChanged, false
	return all, hasChanged
}

// Status returns a server's status; Excluded if it is not known.
func (e *Evaluator) Status(id string) Status {
	if s := e.servers[id]; s != nil {
		return s.status
	}
	return Excluded
}
