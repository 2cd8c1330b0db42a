package dispatch

import (
	"slices"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/route"
	"fernvane/policy"
)

// The decision module selects servers by a set of labels. The lowest provenPoolShift labels are pools of routes. In
// cautious mode the next ones are the same pools with proven servers only, and provenLabel is any proven server.
const (
	provenPoolShift = route.MaxPools
	provenLabel     = 1 << 63
)

// cautiousMode restricts requests while the endpoint list is a cached one that no source has confirmed since the start:
// non-idempotent requests go to proven servers only.
type cautiousMode struct {
	isActive bool
	proven   map[string]bool // by server ID; a proven server has executed a request since the start
}

// ApplyCachedList replaces the endpoint list by the part of a cached list that may be used now, and enters cautious mode.
// It is called again whenever that part or the set of proven servers changes.
func (d *Dispatcher) ApplyCachedList(usable []endpoints.Endpoint, proven map[string]bool) {
	d.mu.Lock()
	defer d.unlock()
	d.caution.proven = proven
	if !d.caution.isActive {
		d.caution.isActive = true
		d.applyRoutes(d.routes.Table())
		d.refreshLabels()
	}
	d.applyEndpoints(usable, endpoints.SourceSnapshot, true)
}

// LeaveCautiousMode leaves cautious mode. It is called when a source has announced the endpoint list.
func (d *Dispatcher) LeaveCautiousMode() {
	d.mu.Lock()
	defer d.unlock()
	if d.caution.isActive {
		d.caution = cautiousMode{}
		d.applyRoutes(d.routes.Table())
		d.refreshLabels()
	}
}

// cautiousTypes returns the traffic types as the decision module gets them: in cautious mode the non-idempotent ones ask
// for proven servers.
func (d *Dispatcher) cautiousTypes(types []policy.TrafficType) []policy.TrafficType {
	if !d.caution.isActive {
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

// serverLabels returns a server's labels as the decision module gets them.
func (d *Dispatcher) serverLabels(id, zone, machineKind string) uint64 {
	pools := d.routes.Labels(id, zone, machineKind)
	if d.caution.isActive && d.caution.proven[id] {
		return pools | pools<<provenPoolShift | provenLabel
	}
	return pools
}
