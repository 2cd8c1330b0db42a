package distribution

import (
	"fmt"
	"unicode/utf8"
)

// Limits of entries and messages. All processes use the same limits, so that an entry that one accepts is valid for all others.
const (
	MaxNameBytes   = 256      // of the name of a service or an entry
	MaxOriginBytes = 128      // of an origin
	MaxValueBytes  = 64 << 10 // of a value
	MaxChanges     = 4096     // in one write
	MaxOrigins     = 4096     // in a vector
	MaxServices    = 8192     // in a store, so that their digests fit into one message
)

// Validate returns an *EntryError if the key is invalid.
func (k Key) Validate() error {
	switch {
	case k.Kind == 0 || k.Kind >= kindLimit:
		return &EntryError{k, ErrInvalidKey, "unknown kind"}
	case k.Name == "":
		return &EntryError{k, ErrInvalidKey, "name is empty"}
	case len(k.Name) > MaxNameBytes || len(k.Service) > MaxNameBytes:
		return &EntryError{k, ErrInvalidKey, fmt.Sprintf("name longer than %d bytes", MaxNameBytes)}
	case !utf8.ValidString(k.Name) || !utf8.ValidString(k.Service):
		return &EntryError{k, ErrInvalidKey, "name is not valid UTF-8"}
	}
	return nil
}

// Validate returns an *EntryError if the change is invalid.
func (c Change) Validate() error {
	if err := c.Key.Validate(); err != nil {
		return err
	}
	switch {
	case len(c.Value) > MaxValueBytes:
		return &EntryError{c.Key, ErrInvalidValue, fmt.Sprintf("longer than %d bytes", MaxValueBytes)}
	case c.Deleted && len(c.Value) > 0:
		return &EntryError{c.Key, ErrInvalidValue, "deletion has a value"}
	}
	return nil
}

// Validate returns an *EntryError if the entry is invalid.
func (e Entry) Validate() error {
	if err := (Change{Key: e.Key, Value: e.Value, Deleted: e.Deleted}).Validate(); err != nil {
		return err
	}
	switch {
	case e.Origin == "" || len(e.Origin) > MaxOriginBytes || !utf8.ValidString(string(e.Origin)):
		return &EntryError{e.Key, ErrInvalidOrigin, "empty, too long or not valid UTF-8"}
	case e.Sequence == 0 || e.Clock == 0:
		return &EntryError{e.Key, ErrInvalidOrigin, "sequence or clock is zero"}
	}
	return nil
}
