package control

import (
	"errors"
	"fmt"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

const errorMost = 256 // bytes of what a writer is told

// errNotCurrent says that this process does not know yet what others hold.
var errNotCurrent = errors.New("this control process is not current yet: ask another, or again in a few seconds")

// write makes an operator's changes and answers when they last.
func (s *Server) write(l *link, m *wire.Write) {
	written := &wire.WriteResult{ID: m.ID}
	entries, err := s.change(m.Changes)
	if n := len(entries); n > 0 {
		written.Origin, written.Clock, written.Sequence = entries[n-1].Origin, entries[n-1].Clock, entries[n-1].Sequence
	}
	if err != nil {
		written.Error = fmt.Sprintf("%.*s", errorMost, err.Error())
		s.log.Warn().Str("from", describe(l.peer, l.from)).Err(err).Int("changes", len(m.Changes)).Msg("write refused")
	} else {
		s.log.Info().Str("from", describe(l.peer, l.from)).Int("changes", len(m.Changes)).Uint64("sequence", written.Sequence).
			Stringer("first", m.Changes[0].Key).Msg("written")
	}
	l.put(written)
}

// change makes changes as this process's own, tells everyone and returns when they are on the disk. If it is killed in
// between, others may hold what its disk lacks: it gets that back from them, as its next run writes under another origin.
// Entries with an error are in force, but not on the disk.
func (s *Server) change(changes []distribution.Change) ([]distribution.Entry, error) {
	s.mu.Lock()
	if !s.current {
		s.mu.Unlock()
		return nil, errNotCurrent
	}
	entries, err := s.store.Write(time.Now(), changes)
	if err != nil {
		s.mu.Unlock()
		return nil, err
	}
	s.Writes++
	s.Changes += len(entries)
	kept := s.disk.SaveDurably(entries, s.store.Vector())
	s.publisher.EntriesChanged(s.now(), entries) // the vector covers them from now on, so they are not held back
	s.mu.Unlock()
	s.signal()
	if err = <-kept; err != nil {
		err = fmt.Errorf("in force from memory, but %w", err)
	}
	return entries, err
}
