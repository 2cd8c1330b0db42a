package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"

	"fernvane/internal/journal/intent"
)

// A frame consists of a marker (2 bytes), the length of the body (4), a checksum over length and body (4), all
// little-endian, and the body: the record as CBOR.
const (
	frameMarker      = 0xB1D7 // used to find the next frame after damaged bytes
	frameHeaderBytes = 10
	maxRecordBytes   = 4 << 10
	maxNonTextBytes  = 256 // upper bound for the encoded size of a record without the bytes of its strings
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrInvalidRecord means that a record is not stored because decoding it would fail: its encoded body is longer than
// maxRecordBytes, or one of its strings is not valid UTF-8.
var ErrInvalidRecord = errors.New("journal record too long or not valid UTF-8")

// CheckRecord returns ErrInvalidRecord for a record that cannot be stored.
func CheckRecord(r *intent.Record) error {
	textBytes := 0
	for _, s := range []string{r.RequestID, r.Tenant, r.Type, r.Server, r.RepeatOf, r.Outcome} {
		if !utf8.ValidString(s) {
			return ErrInvalidRecord
		}
		textBytes += len(s)
	}
	if textBytes <= maxRecordBytes-maxNonTextBytes {
		return nil
	}
	_, err := encodeRecord(r)
	return err
}

// encodeRecord encodes a record as CBOR. Its strings must be valid UTF-8.
func encodeRecord(r *intent.Record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err == nil && len(body) > maxRecordBytes {
		return nil, ErrInvalidRecord
	}
	return body, err
}

// AppendFrame appends the frame of a record to b. It returns ErrInvalidRecord for a record that cannot be stored.
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

// checksum also covers the length, so that a damaged length is detected.
func checksum(length uint32, body []byte) uint32 {
	var encoded [4]byte
	binary.LittleEndian.PutUint32(encoded[:], length)
	return crc32.Update(crc32.Update(0, castagnoli, encoded[:]), castagnoli, body)
}

// decodeFrame decodes the frame at the start of b into r and returns its length. The length is 0 if b ends within the
// frame. ok is false if b does not start with a valid frame, or the frame's body is longer than maxRecordBytes.
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

// DecodeFrames decodes the frames in b and calls each for every record. b must consist of complete frames.
func DecodeFrames(b []byte, each func(*intent.Record) error) error {
	for len(b) > 0 {
		var r intent.Record
		n, ok := decodeFrame(b, &r)
		if n == 0 || !ok {
			return errors.New("decode frames: invalid or truncated frame")
		}
		if err := each(&r); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
