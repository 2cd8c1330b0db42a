package control

import (
	"errors"
	"fmt"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// errNotCurrent rejects writes while this process does not know what others hold.
var errNotCurrent = errors.New("this control process is not current yet: ask another, or again in a few seconds")

// write makes the changes of a command, and answers when they are on the disk.
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

// change makes changes under this process's origin, announces them, and returns when they are on the disk. If both entries and an
// error are returned, the entries are in effect but not on the disk. If the process is killed before they are, others may hold
// what its disk lacks: its next run writes under another origin and receives them back.
func (s *Server) change(changes []distribution.Change) ([]distribution.Entry, error) {
	entries, saved, err := s.startChange(changes)
	if err != nil {
		return nil, err
	}
	s.signalPublish()
	if err = <-saved; err != nil {
		err = fmt.Errorf("in force from memory, but %w", err)
	}
	return entries, err
}

// startChange makes changes and has them saved. The vector covers the entries at once, so they are announced at once too.
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
