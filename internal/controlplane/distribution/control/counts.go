package control

import "time"

const countsInterval = 10 * time.Second

// counts are the events since the last log line of counts. Server.mu guards them.
type counts struct {
	sentBatches     int
	sentBytes       int
	receivedBatches int
	mergedEntries   int
	writes          int
	changes         int // in writes
	pulls           int // sent
	rejectedEntries int // received and not stored
	rejectedPeers   int
	disconnected    int // peers disconnected as slow
}

// logCounts logs the counts and sets them to zero.
func (s *Server) logCounts() {
	s.mu.Lock()
	c := s.counts
	s.counts = counts{}
	entries, bytes := s.store.Size()
	subscribers, isCurrent, revision := len(s.links.subscribers), s.isCurrent, s.store.Vector().Total()
	connected := 0
	for _, f := range s.followers {
		if _, isConnected := f.subscriber.Upstream(); isConnected {
			connected++
		}
	}
	s.mu.Unlock()
	s.log.Info().Bool("current", isCurrent).Uint64("revision", revision).Int("entries", entries).Int("entry_bytes", bytes).
		Int("subscribers", subscribers).Int("upstreams", connected).Int("batches", c.sentBatches).Int("bytes", c.sentBytes).
		Int("received", c.receivedBatches).Int("merged", c.mergedEntries).Int("writes", c.writes).Int("changes", c.changes).Int("pulls", c.pulls).
		Int("rejected_entries", c.rejectedEntries).Int("rejected_peers", c.rejectedPeers).Int("slow_disconnected", c.disconnected).Int("disk_pending", s.disk.PendingCount()).Msg("counts")
}
