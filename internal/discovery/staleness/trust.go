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
	clockSlack  = 5 * time.Second // that clocks may differ; a list from further ahead says that one was set back
	failsLeast  = 2               // hops in a row that find nobody, before a server that has served is doubted
	doubtFirst  = 1 * time.Second // until one that was doubted is tried again; doubles
	doubtMost   = 30 * time.Second
	trialsFirst = 1 // that are always allowed
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
type grade struct {
	upTo  time.Duration
	part  float64 // of the servers that may be on trial at once ...
	least int     // ... and so many at least
	more  int     // trials for each that has shown that it serves
}

// grades from none to the greatest. A running node goes on with its list for some seconds when its source fails; after
// minutes a part of a fleet may have been replaced; after hours, most.
var grades = []grade{
	{upTo: 10 * time.Second, part: 1, least: 1, more: 1},
	{upTo: 2 * time.Minute, part: 0.5, least: 4, more: 2},
	{upTo: 20 * time.Minute, part: 0.25, least: 3, more: 2},
	{upTo: 6 * time.Hour, part: 0.1, least: 2, more: 1},
	{upTo: math.MaxInt64, part: 0.05, least: 1, more: 1},
}

// LevelCount is how many there are.
var LevelCount = len(grades)

// Level is how suspicious a list is, from 0: after a crash, one more than its age says; from ahead, the most.
func (k CachedList) Level() int {
	if k.Age < -clockSlack {
		return len(grades) - 1
	}
	g := slices.IndexFunc(grades, func(g grade) bool { return k.Age <= g.upTo })
	if !k.IsCleanShutdown {
		g++
	}
	return min(g, len(grades)-1)
}

// Status of a server.
type Status uint8

const (
	Untried   Status = iota // not tried yet
	OnTrial                 // may be sent to, but nothing that must not run twice
	Proven                  // has served since the start
	Suspected               // found to be away; tried again later
	Excluded                // told to drain or gone before the start, or another server answers there
	standings
)

type input uint8

const (
	offered    input = iota // its turn has come
	served                  // it has run something and answered
	turnedAway              // it answers, but takes nothing: it may drain
	away                    // nobody is there
	another                 // another server is there
	timeUp
	inputs
)

type move struct {
	next   Status
	charge int // to the number of trials: what is won or lost
}

var moves = [standings][inputs]move{
	Untried:   {offered: {OnTrial, 0}, served: {Untried, 0}, turnedAway: {Untried, 0}, away: {Untried, 0}, another: {Excluded, 0}, timeUp: {Untried, 0}},
	OnTrial:   {offered: {OnTrial, 0}, served: {Proven, 1}, turnedAway: {OnTrial, 0}, away: {Suspected, -1}, another: {Excluded, -1}, timeUp: {OnTrial, 0}},
	Proven:    {offered: {Proven, 0}, served: {Proven, 0}, turnedAway: {Proven, 0}, away: {Suspected, 0}, another: {Excluded, -1}, timeUp: {Proven, 0}},
	Suspected: {offered: {Suspected, 0}, served: {Suspected, 0}, turnedAway: {Suspected, 0}, away: {Suspected, 0}, another: {Excluded, 0}, timeUp: {Untried, 0}},
	Excluded:  {offered: {Excluded, 0}, served: {Excluded, 0}, turnedAway: {Excluded, 0}, away: {Excluded, 0}, another: {Excluded, 0}, timeUp: {Excluded, 0}},
}

type server struct {
	Server
	standing Status
	order    uint32 // of trials, by chance of the node's own
	since    time.Duration
	fails    int
	doubts   int
}

// Evaluator is one node's, for one kept list.
type Evaluator struct {
	grade   grade
	level   int
	servers map[string]*server
	order   []*server
	trials  int // that may go on at once
	changed bool
}

// New judges a kept list. The order of trials differs by node, so that a tier which starts together on one list does not
// fall on the same servers first.
func New(k CachedList, node string, all []Server) *Evaluator {
	t := &Evaluator{level: k.Level(), servers: map[string]*server{}, changed: true}
	t.grade = grades[t.level]
	up := 0
	for _, s := range all {
		one := &server{Server: s, order: crc32.ChecksumIEEE([]byte(node + "/" + s.ID))}
		if !s.IsUp {
			one.standing = Excluded
		} else {
			up++
		}
		t.servers[s.ID] = one
		t.order = append(t.order, one)
	}
	slices.SortFunc(t.order, func(a, b *server) int {
		return cmp.Or(cmp.Compare(served01(b), served01(a)), cmp.Compare(a.order, b.order), cmp.Compare(a.ID, b.ID))
	})
	t.trials = max(t.grade.least, int(math.Ceil(t.grade.part*float64(up))))
	t.offer(0)
	return t
}

func served01(s *server) int {
	if s.HasExecuted {
		return 1
	}
	return 0
}

// Level is the list's.
func (t *Evaluator) Level() int { return t.level }

// RequestExecuted tells that a server has run something and answered.
func (t *Evaluator) RequestExecuted(now time.Duration, id string) { t.step(now, id, served) }

// RequestRejected tells that one answers and takes nothing: that it is there is no proof that it does not drain.
func (t *Evaluator) RequestRejected(now time.Duration, id string) { t.step(now, id, turnedAway) }

// ConnectFailed tells that a hop found nobody there.
func (t *Evaluator) ConnectFailed(now time.Duration, id string) {
	s := t.servers[id]
	if s == nil {
		return
	}
	if s.fails++; s.standing == Proven && s.fails < failsLeast {
		return
	}
	t.step(now, id, away)
}

// WrongServer tells that another server answers at its address.
func (t *Evaluator) WrongServer(now time.Duration, id string) { t.step(now, id, another) }

// Tick looks at what time changes.
func (t *Evaluator) Tick(now time.Duration) {
	for _, s := range t.order {
		if s.standing == Suspected && now-s.since >= min(doubtFirst<<min(s.doubts-1, 10), doubtMost) {
			t.move(now, s, timeUp)
		}
	}
	t.offer(now)
}

func (t *Evaluator) step(now time.Duration, id string, in input) {
	s := t.servers[id]
	if s == nil {
		return
	}
	if in == served {
		s.fails = 0
	}
	t.move(now, s, in)
	t.offer(now)
}

func (t *Evaluator) move(now time.Duration, s *server, in input) {
	m := moves[s.standing][in]
	switch {
	case m.charge > 0:
		t.trials += t.grade.more
	case m.charge < 0:
		t.trials = max(t.trials-1, trialsFirst)
	}
	if m.next != s.standing {
		if m.next == Suspected {
			s.doubts++
			s.fails = 0
		}
		s.standing, s.since, t.changed = m.next, now, true
	}
}

// offer gives turns while there are trials left. One that was doubted comes behind those that were not tried.
func (t *Evaluator) offer(now time.Duration) {
	on := 0
	for _, s := range t.order {
		if s.standing == OnTrial {
			on++
		}
	}
	for _, again := range []bool{false, true} {
		for _, s := range t.order {
			if on < t.trials && s.standing == Untried && (s.doubts > 0) == again {
				t.move(now, s, offered)
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
		if s.standing == OnTrial || s.standing == Proven {
			all = append(all, UsableServer{s.ID, s.standing == Proven})
		}
	}
	slices.SortFunc(all, func(a, b UsableServer) int { return cmp.Compare(a.ID, b.ID) })
	changed, t.changed = t.changed, false
	return all, changed
}

// CountByStatus tells how many stand how, for those who look.
func (t *Evaluator) CountByStatus() (by [standings]int) {
	for _, s := range t.order {
		by[s.standing]++
	}
	return by
}

// Status of a server.
func (t *Evaluator) Status(id string) Status {
	if s := t.servers[id]; s != nil {
		return s.standing
	}
	return Excluded
}
