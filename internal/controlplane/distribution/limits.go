package distribution

import (
	"cmp"
	"errors"
	"fmt"
	"time"
	"unicode/utf8"
)

// Bounds of every entry, the same at each holder so that what one takes all can take.
const (
	MaxNameBytes   = 256       // bytes of a service's or an entry's name
	MaxOriginBytes = 128       // bytes of an origin's name
	MaxValueBytes  = 64 << 10  // bytes of a value
	MaxChanges     = 4096      // in one write
	MaxOrigins     = 4096      // in a vector
	MaxServices    = 8192      // of a store, so that their digests go into one message
	entryBytes     = 128       // of an entry in memory beside its name and value, measured by BenchmarkStoreMemory
	bytesMost      = 512 << 20 // of a store, unless its limits say otherwise
	entriesMost    = 2 << 20   // of a store, unless its limits say otherwise

	clockAhead = 10 * time.Second // that a write's clock may be ahead of the wall, unless limits say otherwise
)

// Limits bound a store; a zero one is the default.
type Limits struct {
	MaxBytes      int
	MaxEntries    int
	MaxClockAhead time.Duration // of the newest clock held before the wall, beyond which writes are refused
}

func (l Limits) withDefaults() Limits {
	l.MaxBytes = cmp.Or(l.MaxBytes, bytesMost)
	l.MaxEntries = cmp.Or(l.MaxEntries, entriesMost)
	l.MaxClockAhead = cmp.Or(l.MaxClockAhead, clockAhead)
	return l
}

// Why an entry or a write is refused.
var (
	ErrInvalidKey    = errors.New("key not allowed")
	ErrInvalidValue  = errors.New("value not allowed")
	ErrInvalidOrigin = errors.New("origin not allowed")
	ErrChangeCount   = errors.New("too many or no changes in one write")
	ErrStoreFull     = errors.New("store is full")
	ErrClockAhead    = errors.New("clock is too far ahead")
	ErrStaleOrigin   = errors.New("others may hold more of this origin than this disk")
)

// EntryError says why an entry is refused; it wraps one of the errors above.
type EntryError struct {
	Key    Key
	Reason error
	Detail string
}

func (e *EntryError) Error() string { return fmt.Sprintf("%.120s: %v: %s", e.Key, e.Reason, e.Detail) }

// Unwrap is the reason.
func (e *EntryError) Unwrap() error { return e.Reason }

// LimitError says which limit of a store would be passed; it wraps ErrFull.
type LimitError struct {
	Resource string
	Needed   int
	Max      int
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%v: %d of at most %d %s", ErrStoreFull, e.Needed, e.Max, e.Resource)
}

// Unwrap is ErrFull.
func (e *LimitError) Unwrap() error { return ErrStoreFull }

// ClockError says by how much the newest clock held is ahead of the wall; it wraps ErrClock.
type ClockError struct{ Ahead time.Duration }

func (e *ClockError) Error() string {
	return fmt.Sprintf("%v: the newest change held is %v ahead of this machine's clock", ErrClockAhead, e.Ahead.Round(time.Millisecond))
}

// Unwrap is ErrClock.
func (e *ClockError) Unwrap() error { return ErrClockAhead }

// Validate tells whether a key may be of an entry.
func (k Key) Validate() error {
	switch {
	case k.Kind == 0 || k.Kind >= kindsEnd:
		return &EntryError{k, ErrInvalidKey, "unknown kind"}
	case k.Name == "":
		return &EntryError{k, ErrInvalidKey, "no name"}
	case len(k.Name) > MaxNameBytes || len(k.Service) > MaxNameBytes:
		return &EntryError{k, ErrInvalidKey, fmt.Sprintf("a name of more than %d bytes", MaxNameBytes)}
	case !utf8.ValidString(k.Name) || !utf8.ValidString(k.Service):
		return &EntryError{k, ErrInvalidKey, "a name that is not UTF-8"}
	}
	return nil
}

// Validate tells whether an entry may be held.
func (e Entry) Validate() error {
	if err := (Change{Key: e.Key, Value: e.Value, Deleted: e.Deleted}).Validate(); err != nil {
		return err
	}
	switch {
	case e.Origin == "" || len(e.Origin) > MaxOriginBytes || !utf8.ValidString(string(e.Origin)):
		return &EntryError{e.Key, ErrInvalidOrigin, "none, too long or not UTF-8"}
	case e.Sequence == 0 || e.Clock == 0:
		return &EntryError{e.Key, ErrInvalidOrigin, "no sequence or no clock"}
	}
	return nil
}

// Validate tells whether a change may be written.
func (c Change) Validate() error {
	if err := c.Key.Validate(); err != nil {
		return err
	}
	switch {
	case len(c.Value) > MaxValueBytes:
		return &EntryError{c.Key, ErrInvalidValue, fmt.Sprintf("more than %d bytes", MaxValueBytes)}
	case c.Deleted && len(c.Value) > 0:
		return &EntryError{c.Key, ErrInvalidValue, "a deletion with a value"}
	}
	return nil
}
