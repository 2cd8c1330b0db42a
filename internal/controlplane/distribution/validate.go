package distribution

import (
	"fmt"
	"unicode/utf8"
)

// Bounds of entries and messages. They are the same at each holder, so that what one accepts all can accept.
const (
	MaxNameBytes   = 256      // of a service's or an entry's name
	MaxOriginBytes = 128      // of an origin's name
	MaxValueBytes  = 64 << 10 // of a value
	MaxChanges     = 4096     // in one write
	MaxOrigins     = 4096     // in a vector
	MaxServices    = 8192     // of a store, so that their digests fit into one message
)

// Validate returns an *EntryError if the key is not allowed.
func (k Key) Validate() error {
	switch {
	case k.Kind == 0 || k.Kind >= kindLimit:
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

// Validate returns an *EntryError if the change must not be written.
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

// Validate returns an *EntryError if the entry must not be held.
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
