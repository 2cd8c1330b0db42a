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
	NameMost     = 256       // bytes of a service's or an entry's name
	OriginMost   = 128       // bytes of an origin's name
	ValueMost    = 64 << 10  // bytes of a value
	ChangesMost  = 4096      // in one write
	OriginsMost  = 4096      // in a vector
	ServicesMost = 8192      // of a store, so that their digests go into one message
	entryBytes   = 128       // of an entry in memory beside its name and value, measured by BenchmarkStoreMemory
	bytesMost    = 512 << 20 // of a store, unless its limits say otherwise
	entriesMost  = 2 << 20   // of a store, unless its limits say otherwise

	clockAhead = 10 * time.Second // that a write's clock may be ahead of the wall, unless limits say otherwise
)

// Limits bound a store; a zero one is the default.
type Limits struct {
	Bytes      int
	Entries    int
	ClockAhead time.Duration // of the newest clock held before the wall, beyond which writes are refused
}

func (l Limits) withDefaults() Limits {
	l.Bytes = cmp.Or(l.Bytes, bytesMost)
	l.Entries = cmp.Or(l.Entries, entriesMost)
	l.ClockAhead = cmp.Or(l.ClockAhead, clockAhead)
	return l
}

// Why an entry or a write is refused.
var (
	ErrKey    = errors.New("key not allowed")
	ErrValue  = errors.New("value not allowed")
	ErrOrigin = errors.New("origin not allowed")
	ErrCount  = errors.New("too many or no changes in one write")
	ErrFull   = errors.New("store is full")
	ErrClock  = errors.New("clock is too far ahead")
	ErrStale  = errors.New("others may hold more of this origin than this disk")
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
	What string
	Need int
	Most int
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%v: %d of at most %d %s", ErrFull, e.Need, e.Most, e.What)
}

// Unwrap is ErrFull.
func (e *LimitError) Unwrap() error { return ErrFull }

// ClockError says by how much the newest clock held is ahead of the wall; it wraps ErrClock.
type ClockError struct{ Ahead time.Duration }

func (e *ClockError) Error() string {
	return fmt.Sprintf("%v: the newest change held is %v ahead of this machine's clock", ErrClock, e.Ahead.Round(time.Millisecond))
}

// Unwrap is ErrClock.
func (e *ClockError) Unwrap() error { return ErrClock }

// Check tells whether a key may be of an entry.
func (k Key) Check() error {
	switch {
	case k.Kind == 0 || k.Kind >= kindsEnd:
		return &EntryError{k, ErrKey, "unknown kind"}
	case k.Name == "":
		return &EntryError{k, ErrKey, "no name"}
	case len(k.Name) > NameMost || len(k.Service) > NameMost:
		return &EntryError{k, ErrKey, fmt.Sprintf("a name of more than %d bytes", NameMost)}
	case !utf8.ValidString(k.Name) || !utf8.ValidString(k.Service):
		return &EntryError{k, ErrKey, "a name that is not UTF-8"}
	}
	return nil
}

// Check tells whether an entry may be held.
func (e Entry) Check() error {
	if err := (Change{Key: e.Key, Value: e.Value, Deleted: e.Deleted}).Check(); err != nil {
		return err
	}
	switch {
	case e.Origin == "" || len(e.Origin) > OriginMost || !utf8.ValidString(string(e.Origin)):
		return &EntryError{e.Key, ErrOrigin, "none, too long or not UTF-8"}
	case e.Sequence == 0 || e.Clock == 0:
		return &EntryError{e.Key, ErrOrigin, "no sequence or no clock"}
	}
	return nil
}

// Check tells whether a change may be written.
func (c Change) Check() error {
	if err := c.Key.Check(); err != nil {
		return err
	}
	switch {
	case len(c.Value) > ValueMost:
		return &EntryError{c.Key, ErrValue, fmt.Sprintf("more than %d bytes", ValueMost)}
	case c.Deleted && len(c.Value) > 0:
		return &EntryError{c.Key, ErrValue, "a deletion with a value"}
	}
	return nil
}
