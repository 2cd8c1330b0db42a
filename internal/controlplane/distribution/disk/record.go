package disk

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"fernvane/internal/controlplane/distribution"
)

// errDamaged says that a file does not hold what was written to it.
var errDamaged = errors.New("file is damaged")

// checksumBytes stand ahead of each value.
const checksumBytes = 4

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

// totals are checked when a file is read, so that entries that have vanished from it are noticed.
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

// seal returns a text behind a checksum over key and text.
func seal(key, text []byte) []byte {
	sealed := make([]byte, 0, checksumBytes+len(text))
	sealed = binary.BigEndian.AppendUint32(sealed, checksum(key, text))
	return append(sealed, text...)
}

// unseal checks the checksum and returns the text, which is the file's own: it is valid only during the transaction.
func unseal(key, sealed []byte) ([]byte, error) {
	if len(sealed) < checksumBytes {
		return nil, errDamaged
	}
	text := sealed[checksumBytes:]
	if binary.BigEndian.Uint32(sealed) != checksum(key, text) {
		return nil, errDamaged
	}
	return text, nil
}

func checksum(key, text []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, key), castagnoli, text)
}

// appendKey writes a key so that the entries of a service are adjacent.
func appendKey(b []byte, k distribution.Key) []byte {
	b = binary.AppendUvarint(b, uint64(len(k.Service)))
	b = append(b, k.Service...)
	b = append(b, byte(k.Kind))
	return append(b, k.Name...)
}

func decodeKey(b []byte) (k distribution.Key, err error) {
	length, header := binary.Uvarint(b)
	if header <= 0 || length >= uint64(len(b)-header) {
		return k, errDamaged
	}
	service := b[header : header+int(length)]
	kindAndName := b[header+int(length):]
	return distribution.Key{Service: string(service), Kind: distribution.Kind(kindAndName[0]), Name: string(kindAndName[1:])}, nil
}

// encodeEntry seals an entry under its key's text.
func encodeEntry(key []byte, e distribution.Entry) ([]byte, error) {
	text, err := cbor.Marshal(record{Clock: e.Clock, Origin: e.Origin, Sequence: e.Sequence, Deleted: e.Deleted, Value: e.Value})
	if err != nil {
		return nil, err
	}
	return seal(key, text), nil
}

func decodeEntry(key, sealed []byte) (e distribution.Entry, err error) {
	text, err := unseal(key, sealed)
	if err != nil {
		return e, err
	}
	var r record
	if err := cbor.Unmarshal(text, &r); err != nil {
		return e, errDamaged
	}
	k, err := decodeKey(key)
	if err != nil {
		return e, err
	}
	return distribution.Entry{Key: k, Clock: r.Clock, Origin: r.Origin, Sequence: r.Sequence, Deleted: r.Deleted, Value: r.Value}, nil
}
