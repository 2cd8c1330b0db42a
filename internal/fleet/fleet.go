// Package fleet is what a node keeps in memory: the servers with their addresses and idle connections, the
// operations in hand, and the one lock under which the decision module is asked.
package fleet

import (
	"hash/crc32"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"fernvane/internal/http1"
	"fernvane/internal/node"
	"fernvane/internal/roster"
	"fernvane/internal/route"
	"fernvane/internal/settings"
	"fernvane/policy"
)

// Fleet is the memory of one node. All its methods may be called from anywhere; none waits on a socket.
type Fleet struct {
	mu      sync.Mutex
	door    *node.Node[string]
	set     settings.Settings
	routes  *route.Live
	routed  atomic.Pointer[route.Set] // that of routes, to be matched with outside the lock
	started time.Time
	wake    *time.Timer
	asked   chan struct{}

	ops      map[uint64]*Operation
	open     map[string]bool // the clients' ids of those that are not settled
	lastOp   uint64
	types    map[string]int
	tenants  map[string]int
	zones    map[string]int
	servers  map[string]*server
	closing  []io.Closer // to be closed when the lock is given back
	room     room
	counts   Counts
	digests  digests
	evidence chan roster.Evidence // nil: nobody asks for it
}

type server struct {
	address netip.AddrPort
	serving bool
	line    policy.Member // as discovery last told it
	site    string
	flavor  string
	cgi     bool       // speaks FastCGI
	idle    []idleConn // the latest used last
}

// New starts the module that a maker makes.
func New(s settings.Settings, seed uint32, limits Limits, module node.Maker) *Fleet {
	// On sockets nothing is pushed: also where the settings say so, the list comes only to a node that asks.
	s.OnRequest = true
	f := &Fleet{set: s, routes: route.NewLive(&s), started: time.Now(), asked: make(chan struct{}, 1), ops: map[uint64]*Operation{}, open: map[string]bool{},
		types: index(s.TypeNames), tenants: index(s.TenantNames), zones: index(s.Zones),
		servers: map[string]*server{}, room: newRoom(limits)}
	f.mu.Lock()
	defer f.unlock()
	f.wake = time.AfterFunc(time.Hour, f.woken)
	f.door = node.New[string](f.now(), module(s.Settings, seed), (*hands)(f))
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

// Listed takes a list of servers; a saved one is what this node last had before its start.
func (f *Fleet) Listed(l http1.List, saved bool) {
	scope := policy.Changes
	if saved {
		scope = policy.Saved
	} else if l.Complete {
		scope = policy.Whole
	}
	f.mu.Lock()
	defer f.unlock()
	now, clock := f.now(), time.Now().UnixMilli()
	lines := make([]node.Member[string], 0, len(l.Hosts))
	if scope != policy.Changes { // absent: gone
		for _, s := range f.servers {
			s.serving = false
		}
	}
	for _, h := range l.Hosts {
		if f.servers[h.ID] == nil && h.Phase == http1.Serving {
			lines = f.replaced(h.Address, lines)
		}
		line := policy.Member{Rank: crc32.ChecksumIEEE([]byte(h.ID)), Zone: f.zone(h.Zone), Cell: h.Cell,
			Condition: conditions[h.Phase], Scale: h.Size, HasStart: h.UpSinceMS > 0, Labels: f.routes.Labels(h.ID, h.Zone, h.Flavor)}
		if line.HasStart {
			line.Started = now + time.Duration(h.UpSinceMS-clock)*time.Millisecond
		}
		f.note(h, line)
		lines = append(lines, node.Member[string]{Server: h.ID, Line: line})
	}
	for _, s := range f.servers {
		if !s.serving {
			f.release(s)
		}
	}
	f.door.List(now, scope, lines, (*hands)(f))
}

// Routes is the set of routes that holds now, nil for none.
func (f *Fleet) Routes() *route.Set { return f.routed.Load() }

// Reroute has another set of routes hold from now on. What is in hand ends under the figures that it began with.
func (f *Fleet) Reroute(set *route.Set) {
	f.mu.Lock()
	defer f.unlock()
	now := f.now()
	u := f.routes.Swap(now, set)
	f.routed.Store(set)
	f.door.Retype(now, policy.Input{Types: u.Types, Like: u.Like, Rooms: u.Rooms}, (*hands)(f))
	var lines []node.Member[string]
	for id, s := range f.servers {
		if cgi := set.SpeaksFastCGI(id, s.site, s.flavor); cgi != s.cgi {
			f.release(s) // what stands idle speaks the other protocol
			s.cgi = cgi
		}
		if labels := f.routes.Labels(id, s.site, s.flavor); labels != s.line.Labels {
			s.line.Labels = labels
			lines = append(lines, node.Member[string]{Server: id, Line: s.line})
		}
	}
	if len(lines) > 0 {
		f.door.List(now, policy.Changes, lines, (*hands)(f))
	}
}

// replaced adds that a server has gone where another is at its address, though discovery tells so later: what is
// sent there would reach the other, for which it was not meant.
func (f *Fleet) replaced(at netip.AddrPort, lines []node.Member[string]) []node.Member[string] {
	for id, s := range f.servers {
		if s.serving && s.address == at {
			line := s.line
			s.serving, line.Condition = false, policy.Gone
			lines = append(lines, node.Member[string]{Server: id, Line: line})
		}
	}
	return lines
}

var conditions = [...]policy.Condition{http1.Serving: policy.Up, http1.Draining: policy.Draining,
	http1.Deleted: policy.Gone}

// note keeps where a server is reached; connections to another place are of no use any more. One that has gone and
// is not known is not worth keeping.
func (f *Fleet) note(h http1.Host, line policy.Member) {
	s := f.servers[h.ID]
	if s == nil {
		if h.Phase == http1.Deleted {
			return
		}
		s = &server{}
		f.servers[h.ID] = s
	}
	s.line, s.serving, s.site, s.flavor = line, h.Phase == http1.Serving, h.Zone, h.Flavor
	if cgi := f.routes.Set().SpeaksFastCGI(h.ID, h.Zone, h.Flavor); h.Address != s.address || cgi != s.cgi {
		f.release(s)
		s.cgi = cgi
	}
	if h.Address.IsValid() {
		s.address = h.Address
	}
}

// zone numbers the zones of the settings first, then any other by its appearance.
func (f *Fleet) zone(name string) int {
	z, ok := f.zones[name]
	if !ok {
		z = len(f.zones)
		f.zones[name] = z
	}
	return z
}
