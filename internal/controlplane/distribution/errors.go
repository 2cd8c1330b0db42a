package distribution

import (
	"errors"
	"fmt"
	"time"
)

// Why an entry or a write is rejected.
var (
	ErrInvalidKey    = errors.New("key not allowed")
	ErrInvalidValue  = errors.New("value not allowed")
	ErrInvalidOrigin = errors.New("origin not allowed")
	ErrChangeCount   = errors.New("too many or no changes in one write")
	ErrStoreFull     = errors.New("store is full")
	ErrClockAhead    = errors.New("clock is too far ahead")
	ErrStaleOrigin   = errors.New("others may hold more of this origin than this disk")
)

// EntryError says why an entry is rejected; it wraps ErrInvalidKey, ErrInvalidValue or ErrInvalidOrigin.
type EntryError struct {
	Key    Key
	Reason error
	Detail string
}

func (e *EntryError) Error() string { return fmt.Sprintf("%.120s: %v: %s", e.Key, e.Reason, e.Detail) }

// Unwrap returns the reason.
func (e *EntryError) Unwrap() error { return e.Reason }

// LimitError says which limit of a store would be exceeded; it wraps ErrStoreFull.
type LimitError struct {
	Resource string
	Needed   int
	Max      int
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%v: %d of at most %d %s", ErrStoreFull, e.Needed, e.Max, e.Resource)
}

// Unwrap returns ErrStoreFull.
func (e *LimitError) Unwrap() error { return ErrStoreFull }

// ClockError says by how much the newest clock held is ahead of the wall clock; it wraps ErrClockAhead.
type ClockError struct{ Ahead time.Duration }

func (e *ClockError) Error() string {
	return fmt.Sprintf("%v: the newest change held is %v ahead of this machine's clock", ErrClockAhead, e.Ahead.Round(time.Millisecond))
}

// Unwrap returns ErrClockAhead.
func (e *ClockError) Unwrap() error { return ErrClockAhead }
