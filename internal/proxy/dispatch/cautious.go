package dispatch

import (
	"slices"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/route"
	"fernvane/policy"
)

// The decision module selects servers by a set of label bits. The lowest provenPoolShift bits are the pools of the route
// table. In cautious mode, the next provenPoolShift bits are the same pools restricted to proven servers, and provenLabel
// marks every proven server.
const (
	provenPoolShift = route.MaxPools
	provenLabel     = 1 << 63
)

// cautiousMode restricts requests while the endpoint list comes from the cache and no source has confirmed it since the
// start of the node: non-idempotent requests are sent only to proven servers.
type cautiousMode struct {
	isActive bool
	proven   map[string]bool // by server ID; true if the server has executed a request since the start
}

// ApplyCachedList replaces the endpoint list with the usable part of a cached list and enters cautious mode. It is called
// again whenever the usable part or the set of proven servers changes.
func (d *Dispatcher) ApplyCachedList(usable []endpoints.Endpoint, proven map[string]bool) {
	d.mu.Lock()
	defer d.unlock()
	d.cautious.proven = proven
	if !d.cautious.isActive {
		d.cautious.isActive = true
		d.applyRoutes(d.routes.Table())
		d.refreshLabels()
	}
	d.applyEndpoints(usable, endpoints.SourceSnapshot, true)
}

// LeaveCautiousMode lifts the restrictions of cautious mode. It is called when a source has announced the endpoint list.
func (d *Dispatcher) LeaveCautiousMode() {
	d.mu.Lock()
	defer d.unlock()
	if d.cautious.isActive {
		d.cautious = cautiousMode{}
		d.applyRoutes(d.routes.Table())
		d.refreshLabels()
	}
}

// cautiousTypes returns the traffic types to pass to the decision module. In cautious mode, non-idempotent types select
// only proven servers.
func (d *Dispatcher) cautiousTypes(types []policy.TrafficType) []policy.TrafficType {
	if !d.cautious.isActive {
		return types
	}
	types = slices.Clone(types)
	for i := range types {
		t := &types[i]
		switch {
		case t.Idempotency != policy.NonIdempotent:
		case t.PoolLabels == 0:
			t.PoolLabels = provenLabel
		default:
			t.PoolLabels <<= provenPoolShift
		}
	}
	return types
}

// serverLabels returns the labels of a server to pass to the decision module.
func (d *Dispatcher) serverLabels(id, zone, machineKind string) uint64 {
	pools := d.routes.Labels(id, zone, machineKind)
	if d.cautious.isActive && d.cautious.proven[id] {
		return pools | pools<<provenPoolShift | provenLabel
	}
	return pools
}
