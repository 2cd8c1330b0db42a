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
	// maxPollPause is the longest pause between two failed polls of discovery, before a random spread of one half. It is
	// part of a time budget documented in package watch.
	maxPollPause = 750 * time.Millisecond
	// pollPauseDivisor relates the decision module's poll pause to Settings.RequestEndpointsWithin: the pause is at most
	// RequestEndpointsWithin / pollPauseDivisor, or the module's initial pause (250 ms) if that is longer. Both are before
	// the random spread.
	pollPauseDivisor = 4
)

// Dispatcher is the in-memory state of one node. It is safe for concurrent use. mu guards every field that changes after
// New, except activeRoutes.
type Dispatcher struct {
	mu            sync.Mutex
	engine        *engine.Engine[string] // the decision module, addressed by server ID
	settings      settings.Settings
	started       time.Time   // start of the clock of Now
	timer         *time.Timer // fires at the time that the decision module requests
	pollRequested chan struct{}
	closing       []io.Closer // connections that unlock closes

	requests  requestTable
	names     nameIndex
	view      *endpoints.View
	servers   serverTable
	cautious  cautiousMode
	quotas    quotaState
	budget    descriptorBudget
	retention IdleRetention
	observers []chan endpoints.Observation
	report    reportCollector
	counts    Counts

	routes       *route.Router
	activeRoutes atomic.Pointer[route.Table] // current route table, readable without the lock
}

// nameIndex maps names to the indices that the decision module uses.
type nameIndex struct {
	trafficTypes map[string]int
	tenants      map[string]int
	zones        map[string]int
	machineKinds map[string]int
}

// Option configures a Dispatcher in New.
type Option func(*Dispatcher)

// WithIdleRetention replaces the rule for keeping idle connections to servers. A nil rule leaves the default in effect.
func WithIdleRetention(retention IdleRetention) Option {
	return func(d *Dispatcher) {
		if retention != nil {
			d.retention = retention
		}
	}
}

// New creates the state of a node and starts the decision module that newDecider creates. The caller must call Stop when
// it no longer uses the Dispatcher.
func New(s settings.Settings, seed uint32, limits Limits, newDecider engine.DeciderFactory, options ...Option) *Dispatcher {
	if !s.MustRequestEndpoints {
		// Over sockets a node always polls for the endpoint list. An agent that is configured to push the list responds to a
		// poll immediately, so a failed poll is retried after the decision module's shortest pause, without backoff.
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
			machineKinds: indexByName(s.MachineKinds),
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
	d.timer = time.AfterFunc(time.Hour, d.onTimer) // the decision module resets it immediately
	d.engine = engine.New[string](d.now(), newDecider(s.Settings, seed), d.effects())
	return d
}

// Stop stops the decision module's timer.
func (d *Dispatcher) Stop() { d.timer.Stop() }

// Now returns the time since New, the clock of all times that the Dispatcher accepts and returns.
func (d *Dispatcher) Now() time.Duration { return d.now() }

func (d *Dispatcher) now() time.Duration { return time.Since(d.started) }

// unlock releases the lock and then closes the connections collected in closing, so that no call waits for a socket with
// the lock held.
func (d *Dispatcher) unlock() {
	closing := d.closing
	d.closing = nil
	d.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

// onTimer handles the timer's expiry. The timer calls it in a separate goroutine.
func (d *Dispatcher) onTimer() {
	d.mu.Lock()
	defer d.unlock()
	d.engine.TimerFired(d.now(), d.effects())
	d.closeExpiredIdle()
}

// indexByName maps each name to its position in names.
func indexByName(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}
