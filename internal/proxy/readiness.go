package proxy

import "time"

// firstListTimeout is how long a node that knows no server waits for its first endpoint list before it is ready all the same. The
// platform allows 6 s.
const firstListTimeout = 3 * time.Second

// readiness is the status of an answer to a readiness check: 503 while clients should be sent to other nodes. A node that knows no
// server would reject them all while others can serve them. It waits for its list, but not for long, since discovery may be overloaded
// or out of reach.
func (s *Server) readiness() int {
	if s.isDraining.Load() || time.Since(s.startedAt) > firstListTimeout || s.dispatcher.IsReady() {
		return 200
	}
	return 503
}
