package zookeeper

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Owned are ephemeral nodes of one session that is kept from within this process, as of a server that registers itself.
type Owned struct {
	r *Registry
	s *session
}

// Own begins a session that is kept alive until it is silenced, with the nodes given by path; what they stand under is
// made as needed.
func (r *Registry) Own(timeout time.Duration, nodes map[string][]byte) *Owned {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	s := &session{id: r.lastID, timeout: timeout, heard: time.Now().Add(1000 * time.Hour), owns: map[string]bool{}}
	r.sessions[s.id] = s
	for _, p := range slices.Sorted(maps.Keys(nodes)) {
		r.parents(p)
		if old := r.head.nodes[p]; old != nil { // the session before has not expired yet
			r.commit(change{op: deleted, path: p, at: time.Now()})
		}
		r.commit(change{op: created, path: p, data: nodes[p], own: s.id, at: time.Now()})
		s.owns[p] = true
	}
	return &Owned{r, s}
}

func (r *Registry) parents(p string) {
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

// Silence has nothing more heard of the session: it expires in its time.
func (o *Owned) Silence() {
	o.r.mu.Lock()
	defer o.r.mu.Unlock()
	o.s.heard = time.Now()
}

// End closes the session in good order.
func (o *Owned) End() {
	o.r.mu.Lock()
	defer o.r.mu.Unlock()
	if o.r.sessions[o.s.id] == o.s {
		o.r.end(o.s, time.Now())
	}
}
