package wire

import (
	"fmt"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution"
)

// packed is a batch as it stands on the wire: its entries name services and origins by their places in the lists.
type packed struct {
	_ struct{} `cbor:",toarray"`

	Number   uint64
	Services []string
	Origins  []distribution.Origin
	Entries  []packedEntry
	Reset    []string
	ResetAll bool
	Complete bool
	Through  distribution.Vector
	Pruned   distribution.Vector
}

type packedEntry struct {
	_ struct{} `cbor:",toarray"`

	Service  int
	Kind     distribution.Kind
	Name     string
	Clock    uint64
	Origin   int
	Sequence uint64
	Deleted  bool
	Value    []byte
}

// place is of a name in a list that grows.
func place[T comparable](list *[]T, places map[T]int, name T) int {
	at, ok := places[name]
	if !ok {
		at = len(*list)
		places[name] = at
		*list = append(*list, name)
	}
	return at
}

func pack(b *distribution.Batch) *packed {
	p := &packed{Number: b.Number, Reset: b.ResetServices, ResetAll: b.ResetsAll, Complete: b.IsComplete, Through: b.Through, Pruned: b.Pruned}
	services, origins := map[string]int{}, map[distribution.Origin]int{}
	p.Entries = make([]packedEntry, 0, len(b.Entries))
	for i := range b.Entries {
		e := &b.Entries[i]
		p.Entries = append(p.Entries, packedEntry{Service: place(&p.Services, services, e.Key.Service), Kind: e.Key.Kind, Name: e.Key.Name,
			Clock: e.Clock, Origin: place(&p.Origins, origins, e.Origin), Sequence: e.Sequence, Deleted: e.Deleted, Value: e.Value})
	}
	return p
}

// unpack reads a batch. Its entries are checked where they are merged, which refuses one and takes the others.
func unpack(text []byte, b *distribution.Batch) error {
	var p packed
	if err := framing.Decode(text, &p); err != nil {
		return err
	}
	*b = distribution.Batch{Number: p.Number, ResetServices: p.Reset, ResetsAll: p.ResetAll, IsComplete: p.Complete, Through: p.Through, Pruned: p.Pruned}
	if len(p.Entries) > 0 {
		b.Entries = make([]distribution.Entry, 0, len(p.Entries))
	}
	for i := range p.Entries {
		e := &p.Entries[i]
		if e.Service < 0 || e.Service >= len(p.Services) || e.Origin < 0 || e.Origin >= len(p.Origins) {
			return fmt.Errorf("%w: an entry of no service or origin", ErrOutOfBounds)
		}
		b.Entries = append(b.Entries, distribution.Entry{Key: distribution.Key{Service: p.Services[e.Service], Kind: e.Kind, Name: e.Name},
			Clock: e.Clock, Origin: p.Origins[e.Origin], Sequence: e.Sequence, Deleted: e.Deleted, Value: e.Value})
	}
	return nil
}
