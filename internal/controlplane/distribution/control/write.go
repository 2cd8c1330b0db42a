package control

import (
	"errors"
	"fmt"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// errNotCurrent rejects writes while this process may lack entries of other control processes.
var errNotCurrent = errors.New("control process is not current yet: try another one, or retry in a few seconds")

// write applies the changes of a command, and sends the result after they are saved to disk.
func (s *Server) write(l *link, m *wire.Write) {
	result := &wire.WriteResult{ID: m.ID}
	entries, err := s.change(m.Changes)
	if n := len(entries); n > 0 {
		last := entries[n-1]
		result.Origin, result.Clock, result.Sequence = last.Origin, last.Clock, last.Sequence
	}
	from := describePeer(l.peer, l.from)
	if err != nil {
		result.Error = wire.TruncateText(err.Error())
		s.log.Warn().Str("from", from).Err(err).Int("changes", len(m.Changes)).Msg("write rejected")
	} else {
		s.log.Info().Str("from", from).Int("changes", len(m.Changes)).Uint64("sequence", result.Sequence).
			Stringer("first", m.Changes[0].Key).Msg("write applied")
	}
	l.enqueue(result)
}

// change applies changes under this process's origin, publishes them, and returns after they are saved to disk. If it returns
// both entries and an error, the entries are in effect but not on disk. If the process is killed before they are saved, other
// stores may have entries that its disk lacks: the next run writes under another origin and receives these entries back.
func (s *Server) change(changes []distribution.Change) ([]distribution.Entry, error) {
	entries, saved, err := s.startChange(changes)
	if err != nil {
		return nil, err
	}
	s.signalPublish()
	if err = <-saved; err != nil {
		err = fmt.Errorf("changes in effect from memory only: %w", err)
	}
	return entries, err
}

// startChange applies changes and starts to save them. The vector covers the entries immediately, so they are published
// immediately too.
func (s *Server) startChange(changes []distribution.Change) (entries []distribution.Entry, saved <-chan error, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isCurrent {
		return nil, nil, errNotCurrent
	}
	if entries, err = s.store.Write(time.Now(), changes); err != nil {
		return nil, nil, err
	}
	s.counts.writes++
	s.counts.changes += len(entries)
	saved = s.disk.SaveDurably(entries, s.store.Vector())
	s.publisher.EntriesChanged(s.now(), entries)
	return entries, saved, nil
}
