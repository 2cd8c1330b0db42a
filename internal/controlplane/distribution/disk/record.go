package disk

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"fernvane/internal/controlplane/distribution"
)

const sumBytes = 4 // of a checksum ahead of each value

// errSpoilt says that a file does not hold what was written to it.
var errSpoilt = errors.New("it is damaged")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is an entry as the file holds it, without its key.
type record struct {
	_ struct{} `cbor:",toarray"`

	Clock    uint64
	Origin   distribution.Origin
	Sequence uint64
	Deleted  bool
	Value    []byte
}

// totals are checked when a file is read, so that entries that have vanished from it are missed.
type totals struct {
	_ struct{} `cbor:",toarray"`

	Count uint64
	Sum   uint64 // of the entries' checksums
}

func (t *totals) add(sealed []byte) {
	if sealed != nil {
		t.Count++
		t.Sum += uint64(binary.BigEndian.Uint32(sealed))
	}
}

func (t *totals) remove(sealed []byte) {
	if sealed != nil {
		t.Count--
		t.Sum -= uint64(binary.BigEndian.Uint32(sealed))
	}
}

// seal puts a checksum over name and text ahead of the text.
func seal(name, text []byte) []byte {
	sealed := make([]byte, 0, sumBytes+len(text))
	sealed = binary.BigEndian.AppendUint32(sealed, checksum(name, text))
	return append(sealed, text...)
}

// unseal checks it and returns the text, which is the file's own: it holds only during the transaction.
func unseal(name, sealed []byte) ([]byte, error) {
	if len(sealed) < sumBytes {
		return nil, errSpoilt
	}
	text := sealed[sumBytes:]
	if binary.BigEndian.Uint32(sealed) != checksum(name, text) {
		return nil, errSpoilt
	}
	return text, nil
}

func checksum(name, text []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, name), castagnoli, text)
}

// appendKey writes a key so that the entries of a service stand together.
func appendKey(b []byte, k distribution.Key) []byte {
	b = binary.AppendUvarint(b, uint64(len(k.Service)))
	b = append(b, k.Service...)
	b = append(b, byte(k.Kind))
	return append(b, k.Name...)
}

func decodeKey(b []byte) (k distribution.Key, err error) {
	n, head := binary.Uvarint(b)
	if head <= 0 || n >= uint64(len(b)-head) {
		return k, errSpoilt
	}
	service := b[head : head+int(n)]
	rest := b[head+int(n):]
	return distribution.Key{Service: string(service), Kind: distribution.Kind(rest[0]), Name: string(rest[1:])}, nil
}

// encode seals an entry under its key's text.
func encode(name []byte, e distribution.Entry) ([]byte, error) {
	text, err := cbor.Marshal(record{Clock: e.Clock, Origin: e.Origin, Sequence: e.Sequence, Deleted: e.Deleted, Value: e.Value})
	if err != nil {
		return nil, err
	}
	return seal(name, text), nil
}

func decode(name, sealed []byte) (e distribution.Entry, err error) {
	text, err := unseal(name, sealed)
	if err != nil {
		return e, err
	}
	var r record
	if err := cbor.Unmarshal(text, &r); err != nil {
		return e, errSpoilt
	}
	key, err := decodeKey(name)
	if err != nil {
		return e, err
	}
	return distribution.Entry{Key: key, Clock: r.Clock, Origin: r.Origin, Sequence: r.Sequence, Deleted: r.Deleted, Value: r.Value}, nil
}
