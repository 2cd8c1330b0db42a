// Package staleness decides how far a list of servers that a node kept from before its start is to be believed, while no source
// tells of servers: how many are tried at once and in which order, which have shown that they serve, and when the list
// itself is over. Suspicion grows with the age of the list. It is free of I/O.
package staleness

import (
	"cmp"
	"hash/crc32"
	"math"
	"slices"
	"time"
)

const (
	maxClockSkew       = 5 * time.Second // that clocks may differ; a list from further ahead says that one was set back
	minConnectFailures = 2               // hops in a row that find nobody, before a server that has served is doubted
	initialSuspicion   = 1 * time.Second // until one that was doubted is tried again; doubles
	maxSuspicion       = 30 * time.Second
	minTrials          = 1 // that are always allowed
)

// CachedList is what a kept list says of itself.
type CachedList struct {
	Age             time.Duration // since a source confirmed it, by the clock; below 0: it comes from ahead
	IsCleanShutdown bool          // the node that kept it ended in good order
}

// Server is one of a kept list.
type Server struct {
	ID          string
	IsUp        bool // else it was told to drain or to be gone: it stays so until a source says otherwise
	HasExecuted bool // it has answered the node that kept the list
}

// grade of suspicion, by the age of the list.
type level struct {
	maxAge          time.Duration
	trialShare      float64 // of the servers that may be on trial at once ...
	minTrials       int     // ... and so many at least
	trialsPerProven int     // trials for each that has shown that it serves
}

// grades from none to the greatest. A running node goes on with its list for some seconds when its source fails; after
// minutes a part of a fleet may have been replaced; after hours, most.
var levels = []level{
	{maxAge: 10 * time.Second, trialShare: 1, minTrials: 1, trialsPerProven: 1},
	{maxAge: 2 * time.Minute, trialShare: 0.5, minTrials: 4, trialsPerProven: 2},
	{maxAge: 20 * time.Minute, trialShare: 0.25, minTrials: 3, trialsPerProven: 2},
	{maxAge: 6 * time.Hour, trialShare: 0.1, minTrials: 2, trialsPerProven: 1},
	{maxAge: math.MaxInt64, trialShare: 0.05, minTrials: 1, trialsPerProven: 1},
}

// LevelCount is how many there are.
var LevelCount = len(levels)

// Level is how suspicious a list is, from 0: after a crash, one more than its age says; from ahead, the most.
func (k CachedList) Level() int {
	if k.Age < -maxClockSkew {
		return len(levels) - 1
	}
	g := slices.IndexFunc(levels, func(g level) bool { return k.Age <= g.maxAge })
	if !k.IsCleanShutdown {
		g++
	}
	return min(g, len(levels)-1)
}

// Status of a server.
type Status uint8

const (
	Untried   Status = iota // not tried yet
	OnTrial                 // may be sent to, but nothing that must not run twice
	Proven                  // has served since the start
	Suspected               // found to be away; tried again later
	Excluded                // told to drain or gone before the start, or another server answers there
	statusCount
)

type input uint8

const (
	trialOffered    input = iota // its turn has come
	requestExecuted              // it has run something and answered
	requestRejected              // it answers, but takes nothing: it may drain
	connectFailed                // nobody is there
	wrongServer                  // another server is there
	timerExpired
	inputCount
)

type transition struct {
	next        Status
	trialChange int // to the number of trials: what is won or lost
}

var transitions = [statusCount][inputCount]transition{
	Untried:   {trialOffered: {OnTrial, 0}, requestExecuted: {Untried, 0}, requestRejected: {Untried, 0}, connectFailed: {Untried, 0}, wrongServer: {Excluded, 0}, timerExpired: {Untried, 0}},
	OnTrial:   {trialOffered: {OnTrial, 0}, requestExecuted: {Proven, 1}, requestRejected: {OnTrial, 0}, connectFailed: {Suspected, -1}, wrongServer: {Excluded, -1}, timerExpired: {OnTrial, 0}},
	Proven:    {trialOffered: {Proven, 0}, requestExecuted: {Proven, 0}, requestRejected: {Proven, 0}, connectFailed: {Suspected, 0}, wrongServer: {Excluded, -1}, timerExpired: {Proven, 0}},
	Suspected: {trialOffered: {Suspected, 0}, requestExecuted: {Suspected, 0}, requestRejected: {Suspected, 0}, connectFailed: {Suspected, 0}, wrongServer: {Excluded, 0}, timerExpired: {Untried, 0}},
	Excluded:  {trialOffered: {Excluded, 0}, requestExecuted: {Excluded, 0}, requestRejected: {Excluded, 0}, connectFailed: {Excluded, 0}, wrongServer: {Excluded, 0}, timerExpired: {Excluded, 0}},
}

type server struct {
	Server
	status              Status
	trialOrder          uint32 // of trials, by chance of the node's own
	statusSince         time.Duration
	consecutiveFailures int
	suspicionCount      int
}

// Evaluator is one node's, for one kept list.
type Evaluator struct {
	level      level
	levelIndex int
	servers    map[string]*server
	order      []*server
	maxTrials  int // that may go on at once
	changed    bool
}

// New judges a kept list. The order of trials differs by node, so that a tier which starts together on one list does not
// fall on the same servers first.
func New(k CachedList, node string, all []Server) *Evaluator {
	t := &Evaluator{levelIndex: k.Level(), servers: map[string]*server{}, changed: true}
	t.level = levels[t.levelIndex]
	up := 0
	for _, s := range all {
		one := &server{Server: s, trialOrder: crc32.ChecksumIEEE([]byte(node + "/" + s.ID))}
		if !s.IsUp {
			one.status = Excluded
		} else {
			up++
		}
		t.servers[s.ID] = one
		t.order = append(t.order, one)
	}
	slices.SortFunc(t.order, func(a, b *server) int {
		return cmp.Or(cmp.Compare(executedRank(b), executedRank(a)), cmp.Compare(a.trialOrder, b.trialOrder), cmp.Compare(a.ID, b.ID))
	})
	t.maxTrials = max(t.level.minTrials, int(math.Ceil(t.level.trialShare*float64(up))))
	t.startTrials(0)
	return t
}

func executedRank(s *server) int {
	if s.HasExecuted {
		return 1
	}
	return 0
}

// Level is the list's.
func (t *Evaluator) Level() int { return t.levelIndex }

// RequestExecuted tells that a server has run something and answered.
func (t *Evaluator) RequestExecuted(now time.Duration, id string) { t.step(now, id, requestExecuted) }

// RequestRejected tells that one answers and takes nothing: that it is there is no proof that it does not drain.
func (t *Evaluator) RequestRejected(now time.Duration, id string) { t.step(now, id, requestRejected) }

// ConnectFailed tells that a hop found nobody there.
func (t *Evaluator) ConnectFailed(now time.Duration, id string) {
	s := t.servers[id]
	if s == nil {
		return
	}
	if s.consecutiveFailures++; s.status == Proven && s.consecutiveFailures < minConnectFailures {
		return
	}
	t.step(now, id, connectFailed)
}

// WrongServer tells that another server answers at its address.
func (t *Evaluator) WrongServer(now time.Duration, id string) { t.step(now, id, wrongServer) }

// Tick looks at what time changes.
func (t *Evaluator) Tick(now time.Duration) {
	for _, s := range t.order {
		if s.status == Suspected && now-s.statusSince >= min(initialSuspicion<<min(s.suspicionCount-1, 10), maxSuspicion) {
			t.apply(now, s, timerExpired)
		}
	}
	t.startTrials(now)
}

func (t *Evaluator) step(now time.Duration, id string, in input) {
	s := t.servers[id]
	if s == nil {
		return
	}
	if in == requestExecuted {
		s.consecutiveFailures = 0
	}
	t.apply(now, s, in)
	t.startTrials(now)
}

func (t *Evaluator) apply(now time.Duration, s *server, in input) {
	m := transitions[s.status][in]
	switch {
	case m.trialChange > 0:
		t.maxTrials += t.level.trialsPerProven
	case m.trialChange < 0:
		t.maxTrials = max(t.maxTrials-1, minTrials)
	}
	if m.next != s.status {
		if m.next == Suspected {
			s.suspicionCount++
			s.consecutiveFailures = 0
		}
		s.status, s.statusSince, t.changed = m.next, now, true
	}
}

// offer gives turns while there are trials left. One that was doubted comes behind those that were not tried.
func (t *Evaluator) startTrials(now time.Duration) {
	on := 0
	for _, s := range t.order {
		if s.status == OnTrial {
			on++
		}
	}
	for _, again := range []bool{false, true} {
		for _, s := range t.order {
			if on < t.maxTrials && s.status == Untried && (s.suspicionCount > 0) == again {
				t.apply(now, s, trialOffered)
				on++
			}
		}
	}
}

// UsableServer is a server that may be used now.
type UsableServer struct {
	ID       string
	IsProven bool // also for what must not run twice
}

// Usable is what may be used, by id, and whether that has changed since it was asked for last.
func (t *Evaluator) Usable() (all []UsableServer, changed bool) {
	for _, s := range t.order {
		if s.status == OnTrial || s.status == Proven {
			all = append(all, UsableServer{s.ID, s.status == Proven})
		}
	}
	slices.SortFunc(all, func(a, b UsableServer) int { return cmp.Compare(a.ID, b.ID) })
	changed, t.changed = t.changed, false
	return all, changed
}

// CountByStatus tells how many stand how, for those who look.
func (t *Evaluator) CountByStatus() (by [statusCount]int) {
	for _, s := range t.order {
		by[s.status]++
	}
	return by
}

// Status of a server.
func (t *Evaluator) Status(id string) Status {
	if s := t.servers[id]; s != nil {
		return s.status
	}
	return Excluded
}
