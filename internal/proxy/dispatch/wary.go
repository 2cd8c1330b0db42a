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
	pooled      = route.PoolsBeside
	provedLabel = 1 << 63
)

// Suspected has servers of a kept list be used as far as they are believed: only these, and for what must not run twice
// only those that are proved.
func (f *Fleet) Suspected(words []endpoints.Word, proved map[string]bool) {
	f.mu.Lock()
	f.proved = proved
	if !f.wary {
		f.wary = true
		f.retype(f.routes.Set())
		f.relabel()
	}
	f.take(words, endpoints.Disk, true)
	f.unlock()
}

// Believed ends that.
func (f *Fleet) Believed() {
	f.mu.Lock()
	defer f.unlock()
	if f.wary {
		f.wary, f.proved = false, nil
		f.retype(f.routes.Set())
		f.relabel()
	}
}

// wariness has what must not run twice ask for servers that are proved.
func (f *Fleet) wariness(types []policy.TrafficType) []policy.TrafficType {
	if !f.wary {
		return types
	}
	types = slices.Clone(types)
	for i := range types {
		if t := &types[i]; t.Repeat == policy.Binding && t.Pool == 0 {
			t.Pool = provedLabel
		} else if t.Repeat == policy.Binding {
			t.Pool <<= pooled
		}
	}
	return types
}

// labels are those of a server, as the module has them.
func (f *Fleet) labels(id, zone, flavor string) uint64 {
	pools := f.routes.Labels(id, zone, flavor)
	if f.wary && f.proved[id] {
		return pools | pools<<pooled | provedLabel
	}
	return pools
}
