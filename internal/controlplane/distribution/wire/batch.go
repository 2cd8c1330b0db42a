package wire

import (
	"fmt"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution"
)

// packedBatch is the wire form of a batch. Its entries refer to services and origins by index into the batch's lists.
type packedBatch struct {
	_ struct{} `cbor:",toarray"`

	Number        uint64
	Services      []string
	Origins       []distribution.Origin
	Entries       []packedEntry
	ResetServices []string
	ResetsAll     bool
	IsComplete    bool
	Through       distribution.Vector
	Pruned        distribution.Vector
}

// packedEntry is the wire form of an entry in a packedBatch.
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

// indexOf returns the index of a name in a list, and appends the name if it is new.
func indexOf[T comparable](list *[]T, indexes map[T]int, name T) int {
	index, ok := indexes[name]
	if !ok {
		index = len(*list)
		indexes[name] = index
		*list = append(*list, name)
	}
	return index
}

func packBatch(b *distribution.Batch) *packedBatch {
	p := &packedBatch{
		Number:        b.Number,
		Entries:       make([]packedEntry, 0, len(b.Entries)),
		ResetServices: b.ResetServices,
		ResetsAll:     b.ResetsAll,
		IsComplete:    b.IsComplete,
		Through:       b.Through,
		Pruned:        b.Pruned,
	}
	services, origins := map[string]int{}, map[distribution.Origin]int{}
	for i := range b.Entries {
		e := &b.Entries[i]
		p.Entries = append(p.Entries, packedEntry{
			Service:  indexOf(&p.Services, services, e.Key.Service),
			Kind:     e.Key.Kind,
			Name:     e.Key.Name,
			Clock:    e.Clock,
			Origin:   indexOf(&p.Origins, origins, e.Origin),
			Sequence: e.Sequence,
			Deleted:  e.Deleted,
			Value:    e.Value,
		})
	}
	return p
}

// unpackBatch decodes a batch. The store validates the entries, because it rejects invalid entries individually and accepts
// the rest of the batch.
func unpackBatch(body []byte, b *distribution.Batch) error {
	var p packedBatch
	if err := framing.Decode(body, &p); err != nil {
		return err
	}
	*b = distribution.Batch{
		Number:        p.Number,
		ResetServices: p.ResetServices,
		ResetsAll:     p.ResetsAll,
		IsComplete:    p.IsComplete,
		Through:       p.Through,
		Pruned:        p.Pruned,
	}
	if len(p.Entries) > 0 {
		b.Entries = make([]distribution.Entry, 0, len(p.Entries))
	}
	for i := range p.Entries {
		e := &p.Entries[i]
		if e.Service < 0 || e.Service >= len(p.Services) || e.Origin < 0 || e.Origin >= len(p.Origins) {
			return fmt.Errorf("%w: entry refers to an unlisted service or origin", ErrOutOfBounds)
		}
		b.Entries = append(b.Entries, distribution.Entry{
			Key:      distribution.Key{Service: p.Services[e.Service], Kind: e.Kind, Name: e.Name},
			Clock:    e.Clock,
			Origin:   p.Origins[e.Origin],
			Sequence: e.Sequence,
			Deleted:  e.Deleted,
			Value:    e.Value,
		})
	}
	return nil
}
