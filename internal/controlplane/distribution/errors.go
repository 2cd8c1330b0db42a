package distribution

import (
	"errors"
	"fmt"
	"time"
)

// Reasons for the rejection of an entry or a write.
var (
	ErrInvalidKey    = errors.New("invalid key")
	ErrInvalidValue  = errors.New("invalid value")
	ErrInvalidOrigin = errors.New("invalid origin")
	ErrChangeCount   = errors.New("invalid number of changes in one write")
	ErrStoreFull     = errors.New("store is full")
	ErrClockAhead    = errors.New("clock too far ahead")
	ErrStaleOrigin   = errors.New("stale origin: other stores may have writes of it that this store lacks")
)

// EntryError reports why an entry is rejected. It wraps ErrInvalidKey, ErrInvalidValue or ErrInvalidOrigin.
type EntryError struct {
	Key    Key
	Reason error
	Detail string
}

func (e *EntryError) Error() string { return fmt.Sprintf("%.120s: %v: %s", e.Key, e.Reason, e.Detail) }

// Unwrap returns Reason.
func (e *EntryError) Unwrap() error { return e.Reason }

// LimitError reports which limit of a store would be exceeded. It wraps ErrStoreFull.
type LimitError struct {
	Resource string
	Needed   int
	Max      int
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%v: needs %d, limit %d %s", ErrStoreFull, e.Needed, e.Max, e.Resource)
}

// Unwrap returns ErrStoreFull.
func (e *LimitError) Unwrap() error { return ErrStoreFull }

// ClockError reports by how much the store's newest clock is ahead of the wall clock. It wraps ErrClockAhead.
type ClockError struct{ Ahead time.Duration }

func (e *ClockError) Error() string {
	return fmt.Sprintf("%v: newest entry in the store is %v ahead of this machine's clock", ErrClockAhead, e.Ahead.Round(time.Millisecond))
}

// Unwrap returns ErrClockAhead.
func (e *ClockError) Unwrap() error { return ErrClockAhead }
