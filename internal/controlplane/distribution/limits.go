package distribution

import (
	"cmp"
	"time"
)

// Defaults of Limits.
const (
	defaultMaxBytes      = 512 << 20
	defaultMaxEntries    = 2 << 20
	defaultMaxClockAhead = 10 * time.Second
)

// entryOverheadBytes is the memory of an entry without its name and value; see BenchmarkStoreMemory.
const entryOverheadBytes = 128

// Limits bound a store. A field that is zero takes its default.
type Limits struct {
	MaxBytes      int
	MaxEntries    int
	MaxClockAhead time.Duration // lead of the store's newest clock over the wall clock, beyond which writes are rejected
}

func (l Limits) withDefaults() Limits {
	l.MaxBytes = cmp.Or(l.MaxBytes, defaultMaxBytes)
	l.MaxEntries = cmp.Or(l.MaxEntries, defaultMaxEntries)
	l.MaxClockAhead = cmp.Or(l.MaxClockAhead, defaultMaxClockAhead)
	return l
}

// checkCapacity returns a *LimitError if growth by entries, bytes and services would exceed a limit.
func (s *Store) checkCapacity(entries, bytes, services int) error {
	if services > 0 && len(s.services)+services > MaxServices {
		return &LimitError{"services", len(s.services) + services, MaxServices}
	}
	if entries > 0 && s.entries+entries > s.limits.MaxEntries {
		return &LimitError{"entries", s.entries + entries, s.limits.MaxEntries}
	}
	if bytes > 0 && s.bytes+bytes > s.limits.MaxBytes {
		return &LimitError{"bytes", s.bytes + bytes, s.limits.MaxBytes}
	}
	return nil
}

// growth returns the entries and bytes by which the store grows if a key is set to a value of valueBytes.
func (s *Store) growth(k Key, valueBytes int) (entries, bytes int) {
	if stored, ok := s.item(k); ok {
		return 0, valueBytes - len(stored.value)
	}
	return 1, entryOverheadBytes + len(k.Name) + valueBytes
}
