// Package wal keeps the journal of bindings on disk: segments that are only ever appended to by the one process that
// made them, so that anyone may read them meanwhile. Records are framed with their length and a checksum; what cannot be
// read is skipped and named, and nothing else is lost by it.
package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"fernvane/internal/journal/intent"
)

const (
	marker     = 0xB1D7 // begins each frame, to find the next one behind a place that cannot be read
	frameHead  = 10     // marker, length, checksum
	recordMost = 4 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame writes a record.
func appendFrame(b []byte, r *intent.Record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return b, err
	}
	b = binary.LittleEndian.AppendUint16(b, marker)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, checksum(uint32(len(body)), body))
	return append(b, body...), nil
}

func checksum(n uint32, body []byte) uint32 {
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], n)
	return crc32.Update(crc32.Update(0, castagnoli, length[:]), castagnoli, body)
}

// readFrame reads the frame at the start of b. n is its length, 0 where b ends before it does; ok is false where it is
// none.
func readFrame(b []byte, r *intent.Record) (n int, ok bool) {
	if len(b) < frameHead {
		return 0, len(b) < 2 || binary.LittleEndian.Uint16(b) == marker
	}
	length := binary.LittleEndian.Uint32(b[2:])
	if binary.LittleEndian.Uint16(b) != marker || length == 0 || length > recordMost {
		return 0, false
	}
	n = frameHead + int(length)
	if len(b) < n {
		return 0, true
	}
	body := b[frameHead:n]
	if checksum(length, body) != binary.LittleEndian.Uint32(b[6:]) || cbor.Unmarshal(body, r) != nil {
		return 0, false
	}
	return n, true
}
