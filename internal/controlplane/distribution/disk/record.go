package disk

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"fernvane/internal/controlplane/distribution"
)

// errDamaged reports that the content of a file is incomplete or corrupted.
var errDamaged = errors.New("file damaged")

// checksumBytes is the size of the checksum that precedes each stored value.
const checksumBytes = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is the stored form of an entry, without its key.
type record struct {
	_ struct{} `cbor:",toarray"`

	Clock    uint64
	Origin   distribution.Origin
	Sequence uint64
	Deleted  bool
	Value    []byte
}

// totals are verified when a file is loaded, so that missing and outdated entries are detected.
type totals struct {
	_ struct{} `cbor:",toarray"`

	Count uint64
	Sum   uint64 // sum of the entries' checksums
}

func (t *totals) add(checksummed []byte) {
	if checksummed != nil {
		t.Count++
		t.Sum += uint64(binary.BigEndian.Uint32(checksummed))
	}
}

func (t *totals) remove(checksummed []byte) {
	if checksummed != nil {
		t.Count--
		t.Sum -= uint64(binary.BigEndian.Uint32(checksummed))
	}
}

// prependChecksum returns data preceded by a checksum over key and data.
func prependChecksum(key, data []byte) []byte {
	checksummed := make([]byte, 0, checksumBytes+len(data))
	checksummed = binary.BigEndian.AppendUint32(checksummed, checksum(key, data))
	return append(checksummed, data...)
}

// verifyChecksum verifies the checksum and returns the data after it. The result aliases the database's memory and is valid
// only during the transaction.
func verifyChecksum(key, checksummed []byte) ([]byte, error) {
	if len(checksummed) < checksumBytes {
		return nil, errDamaged
	}
	data := checksummed[checksumBytes:]
	if binary.BigEndian.Uint32(checksummed) != checksum(key, data) {
		return nil, errDamaged
	}
	return data, nil
}

func checksum(key, data []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, key), castagnoli, data)
}

// appendKey appends the stored form of a key, which makes the entries of a service adjacent.
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

// encodeEntry encodes an entry, with a checksum that covers its stored key.
func encodeEntry(key []byte, e distribution.Entry) ([]byte, error) {
	data, err := cbor.Marshal(record{Clock: e.Clock, Origin: e.Origin, Sequence: e.Sequence, Deleted: e.Deleted, Value: e.Value})
	if err != nil {
		return nil, err
	}
	return prependChecksum(key, data), nil
}

func decodeEntry(key, checksummed []byte) (e distribution.Entry, err error) {
	data, err := verifyChecksum(key, checksummed)
	if err != nil {
		return e, err
	}
	var r record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return e, errDamaged
	}
	k, err := decodeKey(key)
	if err != nil {
		return e, err
	}
	return distribution.Entry{Key: k, Clock: r.Clock, Origin: r.Origin, Sequence: r.Sequence, Deleted: r.Deleted, Value: r.Value}, nil
}
