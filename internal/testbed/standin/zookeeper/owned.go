package zookeeper

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// OwnedSession is a session of this process, without a connection, that has ephemeral nodes. It simulates a server that registers
// itself.
type OwnedSession struct {
	registry *Registry
	session  *session
}

// OpenSession opens a session with ephemeral nodes, by path, and creates missing parents. The session lasts until End, or until it
// expires after StopHeartbeats.
func (r *Registry) OpenSession(timeout time.Duration, nodes map[string][]byte) *OwnedSession {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	// A time in the future stands for the heartbeats of a connection.
	s := &session{id: r.lastID, timeout: timeout, lastRequest: time.Now().Add(1000 * time.Hour), ephemerals: map[string]bool{}}
	r.sessions[s.id] = s
	for _, p := range slices.Sorted(maps.Keys(nodes)) {
		r.createParents(p)
		if old := r.head.nodes[p]; old != nil { // the previous session has not expired yet
			r.commit(change{op: deleted, path: p, at: time.Now()})
		}
		r.commit(change{op: created, path: p, data: nodes[p], owner: s.id, at: time.Now()})
		s.ephemerals[p] = true
	}
	return &OwnedSession{r, s}
}

// createParents creates the missing parents of a path.
func (r *Registry) createParents(p string) {
	parts := strings.Split(p, "/")
	for i := 2; i < len(parts); i++ {
		if parentPath := strings.Join(parts[:i], "/"); r.head.nodes[parentPath] == nil {
			r.commit(change{op: created, path: parentPath, at: time.Now()})
		}
	}
}

// Set changes the data of one of the nodes.
func (o *OwnedSession) Set(path string, data []byte) {
	o.registry.mu.Lock()
	defer o.registry.mu.Unlock()
	if n := o.registry.head.nodes[path]; n != nil && n.owner == o.session.id {
		o.registry.commit(change{op: changed, path: path, data: data, at: time.Now()})
	}
}

// StopHeartbeats stops the session's heartbeats: it expires after its timeout.
func (o *OwnedSession) StopHeartbeats() {
	o.registry.mu.Lock()
	defer o.registry.mu.Unlock()
	o.session.lastRequest = time.Now()
}

// End closes the session.
func (o *OwnedSession) End() {
	o.registry.mu.Lock()
	defer o.registry.mu.Unlock()
	if o.registry.sessions[o.session.id] == o.session {
		o.registry.endSession(o.session, time.Now())
	}
}
