package zookeeper

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Owned is a session of this process with its ephemeral nodes, such as that of a server that registers itself.
type Owned struct {
	r *Registry
	s *session
}

// Own opens a session with ephemeral nodes, by path, and creates missing parents. The session lasts until Silence or End.
func (r *Registry) Own(timeout time.Duration, nodes map[string][]byte) *Owned {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	s := &session{id: r.lastID, timeout: timeout, lastHeard: time.Now().Add(1000 * time.Hour), ephemerals: map[string]bool{}}
	r.sessions[s.id] = s
	for _, p := range slices.Sorted(maps.Keys(nodes)) {
		r.createParents(p)
		if old := r.head.nodes[p]; old != nil { // the previous session has not expired yet
			r.commit(change{op: deleted, path: p, at: time.Now()})
		}
		r.commit(change{op: created, path: p, data: nodes[p], own: s.id, at: time.Now()})
		s.ephemerals[p] = true
	}
	return &Owned{r, s}
}

// createParents creates the missing parents of a path.
func (r *Registry) createParents(p string) {
	parts := strings.Split(p, "/")
	for i := 2; i < len(parts); i++ {
		if up := strings.Join(parts[:i], "/"); r.head.nodes[up] == nil {
			r.commit(change{op: created, path: up, at: time.Now()})
		}
	}
}

// Set changes the data of one of the nodes.
func (o *Owned) Set(path string, data []byte) {
	o.r.mu.Lock()
	defer o.r.mu.Unlock()
	if n := o.r.head.nodes[path]; n != nil && n.owner == o.s.id {
		o.r.commit(change{op: changed, path: path, data: data, at: time.Now()})
	}
}

// Silence stops the session's heartbeats: it expires after its timeout.
func (o *Owned) Silence() {
	o.r.mu.Lock()
	defer o.r.mu.Unlock()
	o.s.lastHeard = time.Now()
}

// End closes the session.
func (o *Owned) End() {
	o.r.mu.Lock()
	defer o.r.mu.Unlock()
	if o.r.sessions[o.s.id] == o.s {
		o.r.endSession(o.s, time.Now())
	}
}
