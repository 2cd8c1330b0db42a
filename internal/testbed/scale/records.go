package scale

import (
	"hash/crc32"
	"sync"
	"time"

	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// recordKind says what a node's module has taken in.
type recordKind int

const (
	markerApplied   recordKind = iota // a changed server
	completeApplied                   // as many servers as there are of its services, a source having told
	completeLost                      // fewer again
	routesApplied                     // routes of the operator's file
	nodeStarted
)

// record is one such moment. What counts is when the module holds it: nothing decides otherwise after that.
type record struct {
	Kind     recordKind
	Node     int
	Marker   int  // of markerTaken
	Draining bool // likewise
	At       int64
}

// recorder gathers the records of the nodes of one process, and counts what their modules were handed.
type recorder struct {
	layout  *Layout
	markers map[uint32]int // by rank

	mu      sync.Mutex // taken under a fleet's lock; nothing is done under it but this
	records []record
	counts  deliveryCounts
}

// handed counts what modules were handed of lists.
type deliveryCounts struct {
	Lists    int `json:"lists"`
	Elements int `json:"elements"` // lines of them
	Plans    int `json:"plans"`
	Reroutes int `json:"reroutes"`
}

func newRecorder(l *Layout) *recorder {
	r := &recorder{layout: l, markers: map[uint32]int{}}
	for i := range l.markers() {
		r.markers[crc32.ChecksumIEEE([]byte(serverID(l.Size.Services, i)))] = i
	}
	return r
}

// take returns what has gathered since the last call, and the counts so far.
func (r *recorder) take() ([]record, deliveryCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := r.records
	r.records = nil
	return records, r.counts
}

func (r *recorder) started(node int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, record{Kind: nodeStarted, Node: node, At: time.Now().UnixNano()})
}

// observed is the shipped module, and notes what it has taken in once it has.
type observedPolicy struct {
	engine.Decider
	recorder        *recorder
	node            int
	expectedServers int          // that it is to know
	known           map[int]bool // those that have not gone, by their dense indices
	isComplete      bool
}

func (r *recorder) observe(number int, maker engine.DeciderFactory) engine.DeciderFactory {
	return func(s policy.Settings, seed uint32) engine.Decider {
		return &observedPolicy{Decider: maker(s, seed), recorder: r, node: number, expectedServers: r.layout.serversOf(number), known: map[int]bool{}}
	}
}

func (o *observedPolicy) Handle(now time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect {
	effects = o.Decider.Handle(now, in, effects)
	if in.Kind != policy.EndpointsUpdated && in.Kind != policy.TrafficTypesChanged && in.Kind != policy.PlanChanged {
		return effects
	}
	r, at := o.recorder, time.Now().UnixNano()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch in.Kind {
	case policy.PlanChanged:
		r.counts.Plans++
	case policy.TrafficTypesChanged:
		r.counts.Reroutes++
		r.records = append(r.records, record{Kind: routesApplied, Node: o.node, At: at})
	case policy.EndpointsUpdated:
		o.endpointsUpdated(in, at)
	}
	return effects
}

func (o *observedPolicy) endpointsUpdated(in *policy.Input, at int64) {
	r := o.recorder
	if in.Scope == policy.Full {
		clear(o.known) // whom it does not name has gone
	}
	for _, m := range in.Endpoints {
		if m.Condition == policy.Removed {
			delete(o.known, m.Server)
		} else {
			o.known[m.Server] = true
		}
	}
	if in.Scope == policy.Cached || in.Scope == policy.Unavailable {
		return
	}
	r.counts.Lists++
	r.counts.Elements += len(in.Endpoints)
	if whole := len(o.known) >= o.expectedServers; whole != o.isComplete {
		o.isComplete = whole
		kind := completeApplied
		if !whole {
			kind = completeLost
		}
		r.records = append(r.records, record{Kind: kind, Node: o.node, At: at})
	}
	for _, m := range in.Endpoints {
		if marker, ok := r.markers[m.Rank]; ok {
			r.records = append(r.records, record{Kind: markerApplied, Node: o.node, Marker: marker, Draining: m.Condition == policy.Draining, At: at})
		}
	}
}
