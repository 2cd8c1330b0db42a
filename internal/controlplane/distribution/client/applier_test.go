package client

import (
	"maps"
	"sync"

	"fernvane/internal/controlplane/distribution"
)

// recordingApplier records the applied entries and calls. It rejects values that begin with "bad".
type recordingApplier struct {
	mu      sync.Mutex
	applied map[distribution.Key]string
	calls   map[string]int
	history []string // values of servers in the order of their application
}

func newRecordingApplier() *recordingApplier {
	return &recordingApplier{applied: map[distribution.Key]string{}, calls: map[string]int{}}
}

func isBad(e distribution.Entry) bool { return len(e.Value) >= 3 && string(e.Value[:3]) == "bad" }

func (a *recordingApplier) ApplyServers(changed []distribution.Entry, isComplete bool) (rejected []distribution.Rejection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls["servers"]++
	if isComplete {
		a.calls["complete"]++
		for k := range a.applied {
			if k.Kind == distribution.KindServer {
				delete(a.applied, k)
			}
		}
	}
	for _, e := range changed {
		switch {
		case isBad(e):
			rejected = append(rejected, distribution.Rejection{Key: e.Key, Reason: "a bad value"})
		case e.Deleted:
			delete(a.applied, e.Key)
		default:
			a.applied[e.Key] = string(e.Value)
			a.history = append(a.history, string(e.Value))
		}
	}
	return rejected
}

func (a *recordingApplier) ApplyRoutes(all []distribution.Entry) []distribution.Rejection {
	return a.replace("routes", all, distribution.KindRoute, distribution.KindPool)
}

func (a *recordingApplier) ApplyTenants(all []distribution.Entry) []distribution.Rejection {
	return a.replace("tenants", all, distribution.KindTenant)
}

func (a *recordingApplier) replace(call string, all []distribution.Entry, kinds ...distribution.Kind) (rejected []distribution.Rejection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls[call]++
	next := map[distribution.Key]string{}
	for _, e := range all {
		next[e.Key] = string(e.Value)
		if isBad(e) {
			rejected = append(rejected, distribution.Rejection{Key: e.Key, Reason: "a bad value"})
			next[e.Key] = a.applied[e.Key]
		}
	}
	for _, kind := range kinds {
		for k := range a.applied {
			if k.Kind == kind {
				delete(a.applied, k)
			}
		}
	}
	for k, v := range next {
		a.applied[k] = v
	}
	return rejected
}

func (a *recordingApplier) value(k distribution.Key) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.applied[k]
}

func (a *recordingApplier) all() map[distribution.Key]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.applied)
}

func (a *recordingApplier) size() int { return len(a.all()) }

func (a *recordingApplier) count(call string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls[call]
}
