package distribution

import (
	"fmt"
	"slices"
	"time"
)

// Write applies changes atomically under the store's origin. The caller saves the entries to disk before it confirms them. The
// error wraps one of the errors of this package, such as ErrStoreFull.
func (s *Store) Write(wall time.Time, changes []Change) ([]Entry, error) {
	if err := s.checkWrite(wall, changes); err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(changes))
	for _, c := range changes {
		entries = append(entries, s.writeOne(wall, Entry{Key: c.Key, Deleted: c.Deleted, Value: slices.Clone(c.Value)}))
	}
	s.vector[s.writer.origin] = s.writer.sequence
	return entries, nil
}

// writeOne assigns the next version of the store's origin to an entry and stores it.
func (s *Store) writeOne(wall time.Time, e Entry) Entry {
	s.newestClock = max(ClockAt(wall), s.newestClock+1)
	s.writer.sequence++
	e.Clock, e.Origin, e.Sequence = s.newestClock, s.writer.origin, s.writer.sequence
	s.put(e)
	return e
}

// checkWrite returns an error if the changes cannot be written.
func (s *Store) checkWrite(wall time.Time, changes []Change) error {
	if s.writer.origin == "" {
		return fmt.Errorf("%w: store without an origin is read-only", ErrInvalidOrigin)
	}
	if s.writer.isStale {
		return ErrStaleOrigin
	}
	if len(changes) == 0 || len(changes) > MaxChanges {
		return fmt.Errorf("%w: got %d, limit %d", ErrChangeCount, len(changes), MaxChanges)
	}
	if ahead := ClockTime(s.newestClock).Sub(wall); s.newestClock > 0 && ahead > s.limits.MaxClockAhead {
		return &ClockError{ahead}
	}
	totalEntries, totalBytes := 0, 0
	newServices := map[string]bool{}
	for _, c := range changes {
		if err := c.Validate(); err != nil {
			return err
		}
		entries, bytes := s.growth(c.Key, len(c.Value))
		totalEntries += entries
		totalBytes += bytes
		if s.services[c.Key.Service] == nil {
			newServices[c.Key.Service] = true
		}
	}
	return s.checkCapacity(totalEntries, totalBytes, len(newServices))
}
