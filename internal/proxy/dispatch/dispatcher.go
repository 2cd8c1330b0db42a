package dispatch

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/config/settings"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/proxy/engine"
	"fernvane/internal/route"
)

const (
	// maxPollPause is the longest pause, before its random spread by half, between two failed calls to discovery. Package
	// watch has the sum of times that it is part of.
	maxPollPause = 750 * time.Millisecond
	// pollPauseDivisor relates the decision module's pause to Settings.RequestEndpointsWithin: at most one part in so many,
	// or the module's initial pause (250 ms) if that is longer. Both are before the random spread.
	pollPauseDivisor = 4
)

// Dispatcher is the state of one node. Its methods may be called from any goroutine. mu guards every field that changes
// after New, except activeRoutes.
type Dispatcher struct {
	mu            sync.Mutex
	engine        *engine.Engine[string] // the decision module, by server ID
	settings      settings.Settings
	started       time.Time   // the origin of Now
	timer         *time.Timer // set by the decision module
	pollRequested chan struct{}
	closing       []io.Closer // closed by unlock

	requests  requestTable
	names     nameIndex
	view      *endpoints.View
	servers   serverTable
	caution   cautiousMode
	quotas    quotaState
	budget    descriptorBudget
	retention IdleRetention
	observers []chan endpoints.Observation
	report    reportCollector
	counts    Counts

	routes       *route.Router
	activeRoutes atomic.Pointer[route.Table] // the table of routes, for reading without the lock
}

// nameIndex holds the indices that the decision module knows names by.
type nameIndex struct {
	trafficTypes map[string]int
	tenants      map[string]int
	zones        map[string]int
	machineKinds map[string]int
}

// Option changes how New builds a Dispatcher.
type Option func(*Dispatcher)

// WithIdleRetention replaces the rule by which idle connections to servers are kept. A nil rule changes nothing.
func WithIdleRetention(retention IdleRetention) Option {
	return func(d *Dispatcher) {
		if retention != nil {
			d.retention = retention
		}
	}
}

// New builds the state of a node and starts the decision module that newDecider makes. The caller calls Stop at the end.
func New(s settings.Settings, seed uint32, limits Limits, newDecider engine.DeciderFactory, options ...Option) *Dispatcher {
	if !s.MustRequestEndpoints {
		// Over sockets a node has to ask for the endpoint list in any case. An agent that would push it answers at once, so
		// a failed call is repeated after the decision module's shortest pause, which does not grow.
		s.MustRequestEndpoints, s.RequestEndpointsWithin = true, 0
	}
	s.RequestEndpointsWithin = min(s.RequestEndpointsWithin, pollPauseDivisor*maxPollPause)
	d := &Dispatcher{
		settings:      s,
		started:       time.Now(),
		pollRequested: make(chan struct{}, 1),
		requests:      newRequestTable(),
		names: nameIndex{
			trafficTypes: indexByName(s.TypeNames),
			tenants:      indexByName(s.TenantNames),
			zones:        indexByName(s.Zones),
			machineKinds: indexByName(s.Kinds),
		},
		view:      endpoints.NewView(),
		servers:   newServerTable(),
		quotas:    quotaState{sum: columns.Sum(s.TenantQuotas)},
		budget:    newDescriptorBudget(limits),
		retention: closeUnusable{},
		routes:    route.NewRouter(&s),
	}
	for _, option := range options {
		option(d)
	}
	d.view.IgnoreRemovals = s.UnlistedUsable
	d.mu.Lock()
	defer d.unlock()
	d.timer = time.AfterFunc(time.Hour, d.onTimer) // the decision module sets the real time at once
	d.engine = engine.New[string](d.now(), newDecider(s.Settings, seed), d.effects())
	return d
}

// Stop ends the decision module's timer.
func (d *Dispatcher) Stop() { d.timer.Stop() }

// Now returns the time since the Dispatcher was built, by which all its times are counted.
func (d *Dispatcher) Now() time.Duration { return d.now() }

func (d *Dispatcher) now() time.Duration { return time.Since(d.started) }

// unlock releases the lock and then closes the connections collected under it, so that no socket is waited for under the
// lock.
func (d *Dispatcher) unlock() {
	closing := d.closing
	d.closing = nil
	d.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

// onTimer is called by the timer, in a goroutine of its own.
func (d *Dispatcher) onTimer() {
	d.mu.Lock()
	defer d.unlock()
	d.engine.TimerFired(d.now(), d.effects())
	d.closeExpiredIdle()
}

// indexByName gives each name its position in the list.
func indexByName(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}
