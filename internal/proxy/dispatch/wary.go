package dispatch

import (
	"slices"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/route"
	"fernvane/policy"
)

// Labels of the module, while a kept list is not to be believed in whole: the lower ones are pools, the upper ones the
// same pools of servers that are proved, and the last is any server that is.
const (
	provenPoolShift = route.MaxPools
	provenLabel     = 1 << 63
)

// ApplySuspectList has servers of a kept list be used as far as they are believed: only these, and for what must not run twice
// only those that are proved.
func (f *Dispatcher) ApplySuspectList(words []endpoints.Endpoint, proved map[string]bool) {
	f.mu.Lock()
	f.proven = proved
	if !f.isCautious {
		f.isCautious = true
		f.applyRoutes(f.routes.Table())
		f.refreshLabels()
	}
	f.applyEndpoints(words, endpoints.SourceSnapshot, true)
	f.unlock()
}

// EndSuspicion ends that.
func (f *Dispatcher) EndSuspicion() {
	f.mu.Lock()
	defer f.unlock()
	if f.isCautious {
		f.isCautious, f.proven = false, nil
		f.applyRoutes(f.routes.Table())
		f.refreshLabels()
	}
}

// wariness has what must not run twice ask for servers that are proved.
func (f *Dispatcher) cautiousTypes(types []policy.TrafficType) []policy.TrafficType {
	if !f.isCautious {
		return types
	}
	types = slices.Clone(types)
	for i := range types {
		if t := &types[i]; t.Idempotency == policy.NonIdempotent && t.PoolLabels == 0 {
			t.PoolLabels = provenLabel
		} else if t.Idempotency == policy.NonIdempotent {
			t.PoolLabels <<= provenPoolShift
		}
	}
	return types
}

// labels are those of a server, as the module has them.
func (f *Dispatcher) serverLabels(id, zone, flavor string) uint64 {
	pools := f.routes.Labels(id, zone, flavor)
	if f.isCautious && f.proven[id] {
		return pools | pools<<provenPoolShift | provenLabel
	}
	return pools
}
