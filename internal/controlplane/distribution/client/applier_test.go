package client

import (
	"maps"
	"sync"

	"fernvane/internal/controlplane/distribution"
)

// recordingApplier records what is applied. Values that begin with "bad" cannot be used.
type recordingApplier struct {
	mu      sync.Mutex
	applied map[distribution.Key]string
	calls   map[string]int
	history []string // of values of servers, as they came in force
}

func newRecordingApplier() *recordingApplier {
	return &recordingApplier{applied: map[distribution.Key]string{}, calls: map[string]int{}}
}

func bad(e distribution.Entry) bool { return len(e.Value) >= 3 && string(e.Value[:3]) == "bad" }

func (l *recordingApplier) ApplyServers(changed []distribution.Entry, whole bool) (rejected []distribution.Rejection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls["servers"]++
	if whole {
		l.calls["whole"]++
		for k := range l.applied {
			if k.Kind == distribution.KindServer {
				delete(l.applied, k)
			}
		}
	}
	for _, e := range changed {
		switch {
		case bad(e):
			rejected = append(rejected, distribution.Rejection{Key: e.Key, Reason: "a bad value"})
		case e.Deleted:
			delete(l.applied, e.Key)
		default:
			l.applied[e.Key] = string(e.Value)
			l.history = append(l.history, string(e.Value))
		}
	}
	return rejected
}

func (l *recordingApplier) ApplyRoutes(all []distribution.Entry) []distribution.Rejection {
	return l.replace("routes", all, distribution.KindRoute, distribution.KindPool)
}

func (l *recordingApplier) ApplyTenants(all []distribution.Entry) []distribution.Rejection {
	return l.replace("tenants", all, distribution.KindTenant)
}

func (l *recordingApplier) replace(call string, all []distribution.Entry, kinds ...distribution.Kind) (rejected []distribution.Rejection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[call]++
	next := map[distribution.Key]string{}
	for _, e := range all {
		next[e.Key] = string(e.Value)
		if bad(e) {
			rejected = append(rejected, distribution.Rejection{Key: e.Key, Reason: "a bad value"})
			next[e.Key] = l.applied[e.Key]
		}
	}
	for _, kind := range kinds {
		for k := range l.applied {
			if k.Kind == kind {
				delete(l.applied, k)
			}
		}
	}
	for k, v := range next {
		l.applied[k] = v
	}
	return rejected
}

func (l *recordingApplier) value(k distribution.Key) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applied[k]
}

func (l *recordingApplier) all() map[distribution.Key]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.applied)
}

func (l *recordingApplier) size() int { return len(l.all()) }

func (l *recordingApplier) count(call string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[call]
}
