package client

import (
	"maps"
	"sync"

	"fernvane/internal/controlplane/distribution"
)

// listener notes what is in force. Values that begin with "bad" cannot be used.
type listener struct {
	mu      sync.Mutex
	force   map[distribution.Key]string
	calls   map[string]int
	history []string // of values of servers, as they came in force
}

func newListener() *listener {
	return &listener{force: map[distribution.Key]string{}, calls: map[string]int{}}
}

func bad(e distribution.Entry) bool { return len(e.Value) >= 3 && string(e.Value[:3]) == "bad" }

func (l *listener) ApplyServers(changed []distribution.Entry, whole bool) (rejected []distribution.Rejection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls["servers"]++
	if whole {
		l.calls["whole"]++
		for k := range l.force {
			if k.Kind == distribution.KindServer {
				delete(l.force, k)
			}
		}
	}
	for _, e := range changed {
		switch {
		case bad(e):
			rejected = append(rejected, distribution.Rejection{Key: e.Key, Reason: "a bad value"})
		case e.Deleted:
			delete(l.force, e.Key)
		default:
			l.force[e.Key] = string(e.Value)
			l.history = append(l.history, string(e.Value))
		}
	}
	return rejected
}

func (l *listener) ApplyRoutes(all []distribution.Entry) []distribution.Rejection {
	return l.replace("routes", all, distribution.KindRoute, distribution.KindPool)
}

func (l *listener) ApplyTenants(all []distribution.Entry) []distribution.Rejection {
	return l.replace("tenants", all, distribution.KindTenant)
}

func (l *listener) replace(call string, all []distribution.Entry, kinds ...distribution.Kind) (rejected []distribution.Rejection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[call]++
	next := map[distribution.Key]string{}
	for _, e := range all {
		next[e.Key] = string(e.Value)
		if bad(e) {
			rejected = append(rejected, distribution.Rejection{Key: e.Key, Reason: "a bad value"})
			next[e.Key] = l.force[e.Key]
		}
	}
	for _, kind := range kinds {
		for k := range l.force {
			if k.Kind == kind {
				delete(l.force, k)
			}
		}
	}
	for k, v := range next {
		l.force[k] = v
	}
	return rejected
}

func (l *listener) value(k distribution.Key) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.force[k]
}

func (l *listener) all() map[distribution.Key]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.force)
}

func (l *listener) size() int { return len(l.all()) }

func (l *listener) count(call string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[call]
}
