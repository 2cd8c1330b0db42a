package proxy

import "time"

// firstListTimeout is how long a node without a usable server waits for its first endpoint list before it reports that it is ready. The
// platform allows 6 s.
const firstListTimeout = 3 * time.Second

// readiness returns the status for a readiness check: 503 only while the node has no usable server, and for at most firstListTimeout after
// its start, because discovery may be unreachable. A node without servers would reject requests that other nodes can serve. A draining node
// returns 200: it serves the requests that still arrive.
func (s *Server) readiness() int {
	if s.isDraining.Load() || time.Since(s.startedAt) > firstListTimeout || s.dispatcher.IsReady() {
		return 200
	}
	return 503
}
