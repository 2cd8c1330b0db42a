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
	pooled      = route.MaxPools
	provedLabel = 1 << 63
)

// ApplySuspectList has servers of a kept list be used as far as they are believed: only these, and for what must not run twice
// only those that are proved.
func (f *Dispatcher) ApplySuspectList(words []endpoints.Endpoint, proved map[string]bool) {
	f.mu.Lock()
	f.proved = proved
	if !f.wary {
		f.wary = true
		f.retype(f.routes.Table())
		f.relabel()
	}
	f.take(words, endpoints.SourceSnapshot, true)
	f.unlock()
}

// EndSuspicion ends that.
func (f *Dispatcher) EndSuspicion() {
	f.mu.Lock()
	defer f.unlock()
	if f.wary {
		f.wary, f.proved = false, nil
		f.retype(f.routes.Table())
		f.relabel()
	}
}

// wariness has what must not run twice ask for servers that are proved.
func (f *Dispatcher) wariness(types []policy.TrafficType) []policy.TrafficType {
	if !f.wary {
		return types
	}
	types = slices.Clone(types)
	for i := range types {
		if t := &types[i]; t.Idempotency == policy.NonIdempotent && t.PoolLabels == 0 {
			t.PoolLabels = provedLabel
		} else if t.Idempotency == policy.NonIdempotent {
			t.PoolLabels <<= pooled
		}
	}
	return types
}

// labels are those of a server, as the module has them.
func (f *Dispatcher) labels(id, zone, flavor string) uint64 {
	pools := f.routes.Labels(id, zone, flavor)
	if f.wary && f.proved[id] {
		return pools | pools<<pooled | provedLabel
	}
	return pools
}
