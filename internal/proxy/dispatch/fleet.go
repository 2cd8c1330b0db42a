// Package dispatch is what a node keeps in memory: the servers with their addresses and idle connections, the
// operations in hand, and the one lock under which the decision module is asked.
package dispatch

import (
	"hash/crc32"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/config/settings"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/engine"
	"fernvane/internal/route"
	"fernvane/policy"
)

const (
	// askPauseMost is the longest pause, but for its spread by half, between two calls to discovery that failed. A change counts
	// as told 6 s after discovery could be reached, whatever had failed before: package watch has the sum.
	askPauseMost  = 750 * time.Millisecond
	askPauseShare = 4 // the module's pause is at most this part of the time that settings give for asking
)

// Fleet is the memory of one node. All its methods may be called from anywhere; none waits on a socket.
type Fleet struct {
	mu      sync.Mutex
	door    *engine.Node[string]
	set     settings.Settings
	routes  *route.Live
	routed  atomic.Pointer[route.Set] // that of routes, to be matched with outside the lock
	started time.Time
	wake    *time.Timer
	asked   chan struct{}

	ops        map[uint64]*Operation
	open       map[string]bool // the clients' ids of those that are not settled
	lastOp     uint64
	types      map[string]int
	tenants    map[string]int
	reallowed  bool    // their allowances are not those of the settings any more
	allowances float64 // the sum of them
	within     tenantShares
	zones      map[string]int
	kinds      map[string]int // of machines
	servers    map[string]*server
	idlers     map[*server]struct{} // those with idle connections, and perhaps others
	visits     int                  // servers come to by what is not about one of them, for tests that count
	book       *endpoints.Book      // what is known of them
	closing    []io.Closer          // to be closed when the lock is given back
	room       room
	counts     Counts
	digests    digests
	evidence   []chan endpoints.Evidence // of those who ask for it
	wary       bool                      // what must not run twice goes to servers that are proved only
	proved     map[string]bool
	hoards     bool // idle connections to servers that leave are kept
}

// Hoard has idle connections to servers that leave be kept, for modules that are broken on purpose.
func (f *Fleet) Hoard() {
	f.mu.Lock()
	defer f.unlock()
	f.hoards = true
}

type server struct {
	line policy.Member // as the module was last told
	cgi  bool          // speaks FastCGI
	idle []idleConn    // the latest used last
}

// New starts the module that a maker makes.
func New(s settings.Settings, seed uint32, limits Limits, module engine.Maker) *Fleet {
	// On sockets nothing is pushed: also where the settings say so, the list comes only to a node that asks.
	if !s.OnRequest {
		s.OnRequest, s.AskWithin = true, 0 // an agent that is silent is asked again soon: what it gets at its return is told at once
	}
	s.AskWithin = min(s.AskWithin, askPauseShare*askPauseMost)
	f := &Fleet{set: s, routes: route.NewLive(&s), started: time.Now(), asked: make(chan struct{}, 1), ops: map[uint64]*Operation{}, open: map[string]bool{},
		allowances: columns.Sum(s.AllowancePerS),
		types:      index(s.TypeNames), tenants: index(s.TenantNames), zones: index(s.Zones), kinds: index(s.Kinds),
		servers: map[string]*server{}, idlers: map[*server]struct{}{}, book: endpoints.NewBook(), room: newRoom(limits)}
	f.book.OnlyDraining = s.OnlyDraining
	f.mu.Lock()
	defer f.unlock()
	f.wake = time.AfterFunc(time.Hour, f.woken)
	f.door = engine.New[string](f.now(), module(s.Settings, seed), (*hands)(f))
	return f
}

// Stop ends the module's timer.
func (f *Fleet) Stop() { f.wake.Stop() }

func index(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}

func (f *Fleet) now() time.Duration { return time.Since(f.started) }

// unlock gives the lock back and then closes what was to be closed, so that no socket is waited on under it.
func (f *Fleet) unlock() {
	closing := f.closing
	f.closing = nil
	f.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

func (f *Fleet) woken() {
	f.mu.Lock()
	defer f.unlock()
	f.door.Woken(f.now(), (*hands)(f))
	f.retire()
}

// Asked is sent to when the module wants the list of servers watched.
func (f *Fleet) Asked() <-chan struct{} { return f.asked }

// Unlisted tells that discovery has failed.
func (f *Fleet) Unlisted() {
	f.mu.Lock()
	defer f.unlock()
	f.door.List(f.now(), policy.Unavailable, nil, (*hands)(f))
}

// Listed takes a list of servers from a source.
func (f *Fleet) Listed(l http1.List, from endpoints.Source) {
	words := make([]endpoints.Word, 0, len(l.Hosts))
	for _, h := range l.Hosts {
		words = append(words, endpoints.Word{ID: h.ID, Address: h.Address, Zone: h.Zone, Flavor: h.Flavor, Cell: h.Cell, Size: h.Size,
			Up: h.UpSinceMS, Condition: lives[h.Phase]})
	}
	f.mu.Lock()
	defer f.unlock()
	f.take(words, from, l.Complete)
}

// take has the book and the module take in what a source says.
func (f *Fleet) take(words []endpoints.Word, from endpoints.Source, whole bool) {
	scope := policy.Changes
	if from == endpoints.Saved || from == endpoints.Disk {
		scope = policy.Saved
	} else if whole {
		scope = policy.Whole
	}
	now, clock := f.now(), time.Now().UnixMilli()
	u := f.book.Told(now, from, words, scope != policy.Changes)
	lines := make([]engine.Member[string], 0, len(u.Lines))
	for _, w := range u.Lines {
		line := policy.Member{Rank: crc32.ChecksumIEEE([]byte(w.ID)), Zone: number(f.zones, w.Zone), Kind: number(f.kinds, w.Flavor), Cell: w.Cell,
			Condition: conditions[w.Condition], Scale: w.Size, HasStart: w.Up > 0, Labels: f.labels(w.ID, w.Zone, w.Flavor)}
		line.Replaced = w.Lost
		if line.HasStart {
			line.Started = now + time.Duration(w.Up-clock)*time.Millisecond
		}
		f.note(w.Word, line)
		lines = append(lines, engine.Member[string]{Server: w.ID, Line: line})
	}
	for _, id := range u.Idle {
		f.release(f.servers[id])
	}
	f.door.List(now, scope, lines, (*hands)(f))
}

// Lines are all that is known of servers, by whom and when it was told last, and a count that changes with every list.
// Times are the fleet's.
func (f *Fleet) Lines() (all []endpoints.Line, from endpoints.Source, heard time.Duration, lists int) {
	f.mu.Lock()
	defer f.unlock()
	all, lists = f.book.Lines()
	from, heard = f.book.Heard()
	return all, from, heard, lists
}

// List is who told of servers last, and how long ago.
func (f *Fleet) List() (from endpoints.Source, age time.Duration) {
	f.mu.Lock()
	defer f.unlock()
	from, heard := f.book.Heard()
	return from, f.now() - heard
}

const (
	// lateMost is for how long a hop that was decided on before its server left may still be written to it, whatever the
	// settings allow, and lateShare the part of what they allow: the rest is for the way there.
	lateMost  = 300 * time.Millisecond
	lateShare = 0.6
)

func (f *Fleet) lateFor() time.Duration {
	if f.set.DrainGrace < 0 {
		return lateMost
	}
	return min(lateMost, time.Duration(lateShare*float64(f.set.DrainGrace)))
}

// Parted tells that a server left so long ago that nothing may be written to it any more, whenever it was decided: a
// connection or the journal may have kept the hop waiting.
func (f *Fleet) Parted(server string) bool {
	f.mu.Lock()
	defer f.unlock()
	return f.book.Parted(f.now(), server, f.lateFor())
}

// Routes is the set of routes that holds now, nil for none.
func (f *Fleet) Routes() *route.Set { return f.routed.Load() }

// Reroute has another set of routes hold from now on. What is in hand ends under the figures that it began with.
func (f *Fleet) Reroute(set *route.Set) {
	f.mu.Lock()
	defer f.unlock()
	f.retype(set)
}

func (f *Fleet) retype(set *route.Set) {
	now := f.now()
	u := f.routes.Swap(now, set)
	f.routed.Store(set)
	f.door.Retype(now, policy.Input{Types: f.wariness(u.Types), Like: u.Like, Rooms: u.Rooms}, (*hands)(f))
	if u.Chooses {
		f.relabel()
	}
}

// relabel has servers have the labels, and speak the protocol, that the routes and the suspicion of the list now ask for.
func (f *Fleet) relabel() {
	set := f.routes.Set()
	var lines []engine.Member[string]
	for id, s := range f.servers {
		f.visits++
		l, _ := f.book.Line(id)
		if cgi := set.SpeaksFastCGI(id, l.Zone, l.Flavor); cgi != s.cgi {
			f.release(s) // what stands idle speaks the other protocol
			s.cgi = cgi
		}
		if labels := f.labels(id, l.Zone, l.Flavor); labels != s.line.Labels {
			s.line.Labels = labels
			lines = append(lines, engine.Member[string]{Server: id, Line: s.line})
		}
	}
	if len(lines) > 0 {
		f.door.List(f.now(), policy.Changes, lines, (*hands)(f))
	}
}

var conditions = [...]policy.Condition{incarnation.Up: policy.Up, incarnation.Draining: policy.Draining, incarnation.Gone: policy.Gone}
var lives = [...]incarnation.Condition{http1.Serving: incarnation.Up, http1.Draining: incarnation.Draining, http1.Deleted: incarnation.Gone}

// note keeps what the module is told of a server that is worth keeping.
func (f *Fleet) note(w endpoints.Word, line policy.Member) {
	s := f.servers[w.ID]
	if s == nil {
		if w.Condition == incarnation.Gone {
			return
		}
		s = &server{}
		f.servers[w.ID] = s
	}
	s.line = line
	if cgi := f.routes.Set().SpeaksFastCGI(w.ID, w.Zone, w.Flavor); cgi != s.cgi {
		f.release(s)
		s.cgi = cgi
	}
}

// unnamedFrom is the first number of a zone or kind that the settings do not name; they may bind traffic types to numbers
// below that none of their names has.
const unnamedFrom = math.MaxInt32 + 1

// number is that of a zone or kind: those that the settings name have their places there, any other comes by its appearance.
func number(known map[string]int, name string) int {
	n, ok := known[name]
	if !ok {
		n = unnamedFrom + len(known)
		known[name] = n
	}
	return n
}
