package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"

	"fernvane/internal/journal/intent"
)

// A frame is a marker (2 bytes), the length of the body (4), a checksum over length and body (4), all little-endian, and
// the record as CBOR.
const (
	frameMarker      = 0xB1D7 // by which the next frame is found after bytes that cannot be read
	frameHeaderBytes = 10
	maxRecordBytes   = 4 << 10
	maxNumberBytes   = 256 // more than all of a record but the bytes of its strings takes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrUnreadable says that a record could not be read back once it was stored: it is longer than maxRecordBytes, or one of
// its strings is not valid UTF-8.
var ErrUnreadable = errors.New("the record is too long or its text is not valid UTF-8")

// CheckRecord returns ErrUnreadable for a record that could not be read back.
func CheckRecord(r *intent.Record) error {
	textBytes := 0
	for _, s := range []string{r.RequestID, r.Tenant, r.Type, r.Server, r.RepeatOf, r.Outcome} {
		if !utf8.ValidString(s) {
			return ErrUnreadable
		}
		textBytes += len(s)
	}
	if textBytes <= maxRecordBytes-maxNumberBytes {
		return nil
	}
	_, err := encodeRecord(r)
	return err
}

// encodeRecord returns a record as CBOR. Its strings must be valid UTF-8.
func encodeRecord(r *intent.Record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err == nil && len(body) > maxRecordBytes {
		return nil, ErrUnreadable
	}
	return body, err
}

// AppendFrame appends a record to b as it is stored in a segment. A record that could not be read back is ErrUnreadable.
func AppendFrame(b []byte, r *intent.Record) ([]byte, error) {
	if err := CheckRecord(r); err != nil {
		return b, err
	}
	body, err := encodeRecord(r)
	if err != nil {
		return b, err
	}
	b = binary.LittleEndian.AppendUint16(b, frameMarker)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, checksum(uint32(len(body)), body))
	return append(b, body...), nil
}

// checksum covers the length too, so that a changed length is noticed.
func checksum(length uint32, body []byte) uint32 {
	var encoded [4]byte
	binary.LittleEndian.PutUint32(encoded[:], length)
	return crc32.Update(crc32.Update(0, castagnoli, encoded[:]), castagnoli, body)
}

// decodeFrame reads the frame at the start of b into r and returns its length. The length is 0 where b ends within the
// frame; ok is false where b does not begin with a valid frame, or with one that is longer than maxRecordBytes.
func decodeFrame(b []byte, r *intent.Record) (n int, ok bool) {
	if len(b) < frameHeaderBytes {
		return 0, len(b) < 2 || binary.LittleEndian.Uint16(b) == frameMarker
	}
	length := binary.LittleEndian.Uint32(b[2:])
	if binary.LittleEndian.Uint16(b) != frameMarker || length == 0 || length > maxRecordBytes {
		return 0, false
	}
	n = frameHeaderBytes + int(length)
	if len(b) < n {
		return 0, true
	}
	body := b[frameHeaderBytes:n]
	if checksum(length, body) != binary.LittleEndian.Uint32(b[6:]) || cbor.Unmarshal(body, r) != nil {
		return 0, false
	}
	return n, true
}

// DecodeFrames calls each for the records in b, which must hold complete frames and nothing else.
func DecodeFrames(b []byte, each func(*intent.Record) error) error {
	for len(b) > 0 {
		var r intent.Record
		n, ok := decodeFrame(b, &r)
		if n == 0 || !ok {
			return errors.New("a record cannot be read")
		}
		if err := each(&r); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
