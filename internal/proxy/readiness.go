package proxy

import "time"

// firstListTimeout is how long a node that knows no server waits for its first endpoint list before it is ready all the same. The
// platform allows 6 s.
const firstListTimeout = 3 * time.Second

// readiness is the status of an answer to a readiness check: 503 only while the node knows no usable server, and for firstListTimeout after
// its start at most, since discovery may be out of reach. A node without servers would reject requests that others can serve. A draining
// node answers 200: it serves what still arrives.
func (s *Server) readiness() int {
	if s.isDraining.Load() || time.Since(s.startedAt) > firstListTimeout || s.dispatcher.IsReady() {
		return 200
	}
	return 503
}
