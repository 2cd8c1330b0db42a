package scale

import (
	"hash/crc32"
	"sync"
	"time"

	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// recordKind is the kind of a record.
type recordKind int

const (
	markerApplied   recordKind = iota // a changed server was applied
	completeApplied                   // the node knows all servers of its services, from a source other than its cache
	completeLost                      // the node knows fewer servers again
	routesApplied                     // routes of the operator's file were applied
	nodeStarted
)

// record is an event at a node. Its time is when the node's policy has processed the input, because each later decision of the
// policy takes the input into account.
type record struct {
	Kind     recordKind
	Node     int
	Marker   int   // of markerApplied
	Draining bool  // of markerApplied
	At       int64 // Unix ns
}

// recorder collects the records of the nodes of one process and counts the inputs of their policies.
type recorder struct {
	layout  *Layout
	markers map[uint32]int // number of a marker by its server's rank, the CRC-32 of the server's ID

	mu      sync.Mutex // locked while a dispatcher's lock is held; no other lock is taken under it
	records []record
	counts  deliveryCounts
}

// deliveryCounts counts the inputs of policies.
type deliveryCounts struct {
	Lists        int `json:"lists"`
	Elements     int `json:"elements"` // endpoints in them
	Plans        int `json:"plans"`    // changes of plans
	RouteUpdates int `json:"reroutes"` // changes of traffic types, as by a reload of the operator's file
}

func newRecorder(l *Layout) *recorder {
	r := &recorder{layout: l, markers: map[uint32]int{}}
	for i := range l.markers() {
		r.markers[crc32.ChecksumIEEE([]byte(serverID(l.Size.Services, i)))] = i
	}
	return r
}

// take returns the records since the last call and the counts since the start.
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

// observedPolicy wraps the node's policy and records inputs after the policy has processed them.
type observedPolicy struct {
	engine.Decider
	recorder        *recorder
	node            int
	expectedServers int          // number of servers of the node's services
	known           map[int]bool // servers that the policy received and that were not removed, by the policy's index
	isComplete      bool
}

func (r *recorder) observe(number int, factory engine.DeciderFactory) engine.DeciderFactory {
	return func(s policy.Settings, seed uint32) engine.Decider {
		return &observedPolicy{Decider: factory(s, seed), recorder: r, node: number, expectedServers: r.layout.serversOf(number), known: map[int]bool{}}
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
		r.counts.RouteUpdates++
		r.records = append(r.records, record{Kind: routesApplied, Node: o.node, At: at})
	case policy.EndpointsUpdated:
		o.endpointsUpdated(in, at)
	}
	return effects
}

func (o *observedPolicy) endpointsUpdated(in *policy.Input, at int64) {
	r := o.recorder
	if in.Scope == policy.Full {
		clear(o.known) // a full list removes all servers that it does not contain
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
	if isComplete := len(o.known) >= o.expectedServers; isComplete != o.isComplete {
		o.isComplete = isComplete
		kind := completeApplied
		if !isComplete {
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
