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
	maxPollPause     = 750 * time.Millisecond
	pollPauseDivisor = 4 // the module's pause is at most this part of the time that settings give for asking
)

// Dispatcher is the memory of one node. All its methods may be called from anywhere; none waits on a socket.
type Dispatcher struct {
	mu            sync.Mutex
	engine        *engine.Engine[string]
	settings      settings.Settings
	routes        *route.Router
	activeRoutes  atomic.Pointer[route.Table] // that of routes, to be matched with outside the lock
	started       time.Time
	timer         *time.Timer
	pollRequested chan struct{}

	requests        map[uint64]*Request
	openClientIDs   map[string]bool // the clients' ids of those that are not settled
	lastRequestID   uint64
	trafficTypes    map[string]int
	tenants         map[string]int
	hasOwnQuotas    bool    // their allowances are not those of the settings any more
	quotaSum        float64 // the sum of them
	planShares      planShares
	zones           map[string]int
	machineKinds    map[string]int // of machines
	servers         map[string]*server
	serversWithIdle map[*server]struct{} // those with idle connections, and perhaps others
	serverVisits    int                  // servers come to by what is not about one of them, for tests that count
	view            *endpoints.View      // what is known of them
	closing         []io.Closer          // to be closed when the lock is given back
	budget          descriptorBudget
	counts          Counts
	report          reportCollector
	observers       []chan endpoints.Observation // of those who ask for it
	isCautious      bool                         // what must not run twice goes to servers that are proved only
	proven          map[string]bool
	hoards          bool // idle connections to servers that leave are kept
}

// Hoard has idle connections to servers that leave be kept, for modules that are broken on purpose.
func (f *Dispatcher) Hoard() {
	f.mu.Lock()
	defer f.unlock()
	f.hoards = true
}

type server struct {
	announced policy.Endpoint // as the module was last told
	isFastCGI bool            // speaks FastCGI
	idle      []idleConn      // the latest used last
}

// New starts the module that a maker makes.
func New(s settings.Settings, seed uint32, limits Limits, module engine.DeciderFactory) *Dispatcher {
	// On sockets nothing is pushed: also where the settings say so, the list comes only to a node that asks.
	if !s.MustRequestEndpoints {
		s.MustRequestEndpoints, s.RequestEndpointsWithin = true, 0 // an agent that is silent is asked again soon: what it gets at its return is told at once
	}
	s.RequestEndpointsWithin = min(s.RequestEndpointsWithin, pollPauseDivisor*maxPollPause)
	f := &Dispatcher{settings: s, routes: route.NewRouter(&s), started: time.Now(), pollRequested: make(chan struct{}, 1), requests: map[uint64]*Request{}, openClientIDs: map[string]bool{},
		quotaSum:     columns.Sum(s.TenantQuotas),
		trafficTypes: indexByName(s.TypeNames), tenants: indexByName(s.TenantNames), zones: indexByName(s.Zones), machineKinds: indexByName(s.Kinds),
		servers: map[string]*server{}, serversWithIdle: map[*server]struct{}{}, view: endpoints.NewView(), budget: newDescriptorBudget(limits)}
	f.view.IgnoreRemovals = s.UnlistedUsable
	f.mu.Lock()
	defer f.unlock()
	f.timer = time.AfterFunc(time.Hour, f.onTimer)
	f.engine = engine.New[string](f.now(), module(s.Settings, seed), (*effectHandler)(f))
	return f
}

// Stop ends the module's timer.
func (f *Dispatcher) Stop() { f.timer.Stop() }

func indexByName(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}

func (f *Dispatcher) now() time.Duration { return time.Since(f.started) }

// unlock gives the lock back and then closes what was to be closed, so that no socket is waited on under it.
func (f *Dispatcher) unlock() {
	closing := f.closing
	f.closing = nil
	f.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

func (f *Dispatcher) onTimer() {
	f.mu.Lock()
	defer f.unlock()
	f.engine.TimerFired(f.now(), (*effectHandler)(f))
	f.closeExpiredIdle()
}

// PollRequested is sent to when the module wants the list of servers watched.
func (f *Dispatcher) PollRequested() <-chan struct{} { return f.pollRequested }

// DiscoveryFailed tells that discovery has failed.
func (f *Dispatcher) DiscoveryFailed() {
	f.mu.Lock()
	defer f.unlock()
	f.engine.EndpointsUpdated(f.now(), policy.Unavailable, nil, (*effectHandler)(f))
}

// ApplyList takes a list of servers from a source.
func (f *Dispatcher) ApplyList(l http1.EndpointList, from endpoints.Source) {
	words := make([]endpoints.Endpoint, 0, len(l.Hosts))
	for _, h := range l.Hosts {
		words = append(words, endpoints.Endpoint{ID: h.ID, Address: h.Address, Zone: h.Zone, MachineKind: h.Flavor, Cell: h.Cell, Weight: h.Size,
			StartedUnixMS: h.UpSinceMS, Condition: incarnationConditions[h.Phase]})
	}
	f.mu.Lock()
	defer f.unlock()
	f.applyEndpoints(words, from, l.Complete)
}

// take has the book and the module take in what a source says.
func (f *Dispatcher) applyEndpoints(words []endpoints.Endpoint, from endpoints.Source, whole bool) {
	scope := policy.Incremental
	if from == endpoints.SourceConfig || from == endpoints.SourceSnapshot {
		scope = policy.Cached
	} else if whole {
		scope = policy.Full
	}
	now, clock := f.now(), time.Now().UnixMilli()
	u := f.view.Apply(now, from, words, scope != policy.Incremental)
	lines := make([]engine.Endpoint[string], 0, len(u.Changed))
	for _, w := range u.Changed {
		line := policy.Endpoint{Rank: crc32.ChecksumIEEE([]byte(w.ID)), Zone: indexOrAdd(f.zones, w.Zone), MachineKind: indexOrAdd(f.machineKinds, w.MachineKind), Cell: w.Cell,
			Condition: policyConditions[w.Condition], Weight: w.Weight, HasStartTime: w.StartedUnixMS > 0, Labels: f.serverLabels(w.ID, w.Zone, w.MachineKind)}
		line.AddressReassigned = w.IsReplaced
		if line.HasStartTime {
			line.StartedAt = now + time.Duration(w.StartedUnixMS-clock)*time.Millisecond
		}
		f.recordServer(w.Endpoint, line)
		lines = append(lines, engine.Endpoint[string]{Server: w.ID, Info: line})
	}
	for _, id := range u.CloseIdle {
		f.closeIdleConns(f.servers[id])
	}
	f.engine.EndpointsUpdated(now, scope, lines, (*effectHandler)(f))
}

// Endpoints are all that is known of servers, by whom and when it was told last, and a count that changes with every list.
// Times are the fleet's.
func (f *Dispatcher) Endpoints() (all []endpoints.Record, from endpoints.Source, heard time.Duration, lists int) {
	f.mu.Lock()
	defer f.unlock()
	all, lists = f.view.All()
	from, heard = f.view.LastAnnouncement()
	return all, from, heard, lists
}

// LastAnnouncement is who told of servers last, and how long ago.
func (f *Dispatcher) LastAnnouncement() (from endpoints.Source, age time.Duration) {
	f.mu.Lock()
	defer f.unlock()
	from, heard := f.view.LastAnnouncement()
	return from, f.now() - heard
}

const (
	// lateMost is for how long a hop that was decided on before its server left may still be written to it, whatever the
	// settings allow, and lateShare the part of what they allow: the rest is for the way there.
	maxLateWrite   = 300 * time.Millisecond
	lateWriteShare = 0.6
)

func (f *Dispatcher) maxWriteDelay() time.Duration {
	if f.settings.DrainGrace < 0 {
		return maxLateWrite
	}
	return min(maxLateWrite, time.Duration(lateWriteShare*float64(f.settings.DrainGrace)))
}

// IsPastDrainGrace tells that a server left so long ago that nothing may be written to it any more, whenever it was decided: a
// connection or the journal may have kept the hop waiting.
func (f *Dispatcher) IsPastDrainGrace(server string) bool {
	f.mu.Lock()
	defer f.unlock()
	return f.view.HasLeft(f.now(), server, f.maxWriteDelay())
}

// Routes is the set of routes that holds now, nil for none.
func (f *Dispatcher) Routes() *route.Table { return f.activeRoutes.Load() }

// SetRoutes has another set of routes hold from now on. What is in hand ends under the figures that it began with.
func (f *Dispatcher) SetRoutes(set *route.Table) {
	f.mu.Lock()
	defer f.unlock()
	f.applyRoutes(set)
}

func (f *Dispatcher) applyRoutes(set *route.Table) {
	now := f.now()
	u := f.routes.Replace(now, set)
	f.activeRoutes.Store(set)
	f.engine.TrafficTypesChanged(now, policy.Input{TrafficTypes: f.cautiousTypes(u.Types), LearnFrom: u.InheritFrom, RouteLimits: u.MaxInFlight}, (*effectHandler)(f))
	if u.SelectionChanged {
		f.refreshLabels()
	}
}

// relabel has servers have the labels, and speak the protocol, that the routes and the suspicion of the list now ask for.
func (f *Dispatcher) refreshLabels() {
	set := f.routes.Table()
	var lines []engine.Endpoint[string]
	for id, s := range f.servers {
		f.serverVisits++
		l, _ := f.view.Get(id)
		if cgi := set.SpeaksFastCGI(id, l.Zone, l.MachineKind); cgi != s.isFastCGI {
			f.closeIdleConns(s) // what stands idle speaks the other protocol
			s.isFastCGI = cgi
		}
		if labels := f.serverLabels(id, l.Zone, l.MachineKind); labels != s.announced.Labels {
			s.announced.Labels = labels
			lines = append(lines, engine.Endpoint[string]{Server: id, Info: s.announced})
		}
	}
	if len(lines) > 0 {
		f.engine.EndpointsUpdated(f.now(), policy.Incremental, lines, (*effectHandler)(f))
	}
}

var policyConditions = [...]policy.Condition{incarnation.Up: policy.Up, incarnation.Draining: policy.Draining, incarnation.Gone: policy.Removed}
var incarnationConditions = [...]incarnation.Condition{http1.Serving: incarnation.Up, http1.Draining: incarnation.Draining, http1.Deleted: incarnation.Gone}

// note keeps what the module is told of a server that is worth keeping.
func (f *Dispatcher) recordServer(w endpoints.Endpoint, line policy.Endpoint) {
	s := f.servers[w.ID]
	if s == nil {
		if w.Condition == incarnation.Gone {
			return
		}
		s = &server{}
		f.servers[w.ID] = s
	}
	s.announced = line
	if cgi := f.routes.Table().SpeaksFastCGI(w.ID, w.Zone, w.MachineKind); cgi != s.isFastCGI {
		f.closeIdleConns(s)
		s.isFastCGI = cgi
	}
}

// unnamedFrom is the first number of a zone or kind that the settings do not name; they may bind traffic types to numbers
// below that none of their names has.
const firstUnnamedIndex = math.MaxInt32 + 1

// number is that of a zone or kind: those that the settings name have their places there, any other comes by its appearance.
func indexOrAdd(known map[string]int, name string) int {
	n, ok := known[name]
	if !ok {
		n = firstUnnamedIndex + len(known)
		known[name] = n
	}
	return n
}
