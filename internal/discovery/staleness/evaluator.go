package staleness

import (
	"cmp"
	"hash/crc32"
	"math"
	"slices"
	"time"
)

const (
	// minConnectFailures is the number of connection failures after which a proven server is suspected. Only an executed
	// request resets the count; other responses do not. A server on trial is suspected after the first failure.
	minConnectFailures = 2
	// initialSuspicion is the duration of the first suspicion of a server. It doubles with each further suspicion, up to
	// maxSuspicion.
	initialSuspicion = 1 * time.Second
	maxSuspicion     = 30 * time.Second
	// maxDoublings prevents an overflow of the doubling; maxSuspicion is reached earlier.
	maxDoublings = 10
	// minTrials is the lower limit of the maximum number of concurrent trials after failures. level.minInitialTrials applies to
	// the start.
	minTrials = 1
)

// Server is a server of a cached list.
type Server struct {
	ID          string
	IsUp        bool // if false, the server was draining or gone and stays excluded until a source announces it as up
	HasExecuted bool // the server executed a request of the node that wrote the list
}

// server is the state of one server in an Evaluator.
type server struct {
	Server
	status              Status
	statusSince         time.Duration
	trialOrder          uint32 // pseudorandom, depends on the node name
	consecutiveFailures int    // connection failures since the last executed request or suspicion
	suspicionCount      int
}

// Evaluator tracks the servers of one cached list. Methods that report events of a server ignore unknown IDs.
type Evaluator struct {
	level      level
	levelIndex int
	servers    map[string]*server
	order      []*server // order in which servers are put on trial
	maxTrials  int       // maximum number of concurrent trials
	hasChanged bool      // whether a status changed since the last call of Usable
}

// New returns an Evaluator for a list with the given servers and starts the first trials at time 0. The order of trials
// depends on the node's name, so that nodes that start simultaneously with the same list do not try the same servers first.
func New(list CachedList, node string, all []Server) *Evaluator {
	e := &Evaluator{levelIndex: list.Level(), servers: map[string]*server{}, hasChanged: true}
	e.level = levels[e.levelIndex]
	upCount := 0
	for _, s := range all {
		srv := &server{Server: s, trialOrder: crc32.ChecksumIEEE([]byte(node + "/" + s.ID))}
		if s.IsUp {
			upCount++
		} else {
			srv.status = Excluded
		}
		e.servers[s.ID] = srv
		e.order = append(e.order, srv)
	}
	slices.SortFunc(e.order, func(a, b *server) int {
		return cmp.Or(
			cmp.Compare(b.executedRank(), a.executedRank()),
			cmp.Compare(a.trialOrder, b.trialOrder),
			cmp.Compare(a.ID, b.ID),
		)
	})
	e.maxTrials = max(e.level.minInitialTrials, int(math.Ceil(e.level.trialShare*float64(upCount))))
	e.startTrials(0)
	return e
}

// executedRank returns the sort rank of a server. Servers that have executed a request are put on trial first.
func (s *server) executedRank() int {
	if s.HasExecuted {
		return 1
	}
	return 0
}

// Level returns the staleness level of the list.
func (e *Evaluator) Level() int { return e.levelIndex }

// RequestExecuted reports that a server has responded to a request with a success or a client error.
func (e *Evaluator) RequestExecuted(now time.Duration, id string) { e.step(now, id, requestExecuted) }

// ResponseWithoutProof reports that a server has responded with a server error or a rejection, whether or not it executed
// the request. Such a response does not prove that the server serves requests: it may be draining.
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

// WrongServer reports that another server responds at the address of a server.
func (e *Evaluator) WrongServer(now time.Duration, id string) { e.step(now, id, wrongServer) }

// suspicionTimeout returns the duration of the current suspicion.
func (s *server) suspicionTimeout() time.Duration {
	return min(initialSuspicion<<min(s.suspicionCount-1, maxDoublings), maxSuspicion)
}

// Tick ends expired suspicions and starts trials. It is called every few tens of milliseconds.
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
	case increaseTrials:
		e.maxTrials += e.level.trialsPerProven
	case decreaseTrials:
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

// startTrials puts untried servers on trial until maxTrials is reached, beginning with those that were never suspected.
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
				e.apply(now, s, trialStarted)
				onTrial++
			}
		}
	}
}

// UsableServer is a server that may currently receive requests.
type UsableServer struct {
	ID       string
	IsProven bool // if false, the server receives idempotent requests only
}

// Usable returns the usable servers sorted by ID, and whether a status has changed since the last call.
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

// Status returns the status of a server, or Excluded if the server is unknown.
func (e *Evaluator) Status(id string) Status {
	if s := e.servers[id]; s != nil {
		return s.status
	}
	return Excluded
}
