package framing

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	maxElements   = 8192 // of an array within a body
	maxDepth      = 8    // of arrays within arrays
	headerBytes   = 5
	checksumBytes = 4
)

// Kind of a frame. Each protocol's own kinds begin with FirstProtocolKind.
type Kind uint8

const (
	// HelloKind is the first frame of each side.
	HelloKind Kind = 1 + iota
	// RejectionKind says why a connection is ended.
	RejectionKind
	// FirstProtocolKind is the first of a protocol's own kinds.
	FirstProtocolKind
)

// Protocol is what two ends have to agree on.
type Protocol struct {
	Version      int  // a peer of another version is rejected
	KindLimit    Kind // one after the last kind
	MaxBodyBytes int
	HasChecksums bool // for ends that may meet without TLS, on links that change bytes
}

// Why a frame cannot be sent or taken.
var (
	// ErrFrameTooLong says that the body is longer than MaxBodyBytes.
	ErrFrameTooLong = errors.New("a frame is longer than any may be")
	// ErrUnknownKind says that the protocol has no such kind.
	ErrUnknownKind = errors.New("a frame of an unknown kind")
	// ErrChecksum says that the frame was changed on its way.
	ErrChecksum = errors.New("frame checksum mismatch")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	encoding = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	decoding = must(cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxDepth,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options are this file's own
	}
	return mode
}

// Append appends a frame to b.
func (p *Protocol) Append(b []byte, k Kind, body any) ([]byte, error) {
	encoded, err := encoding.Marshal(body)
	if err != nil {
		return b, err
	}
	if len(encoded) > p.MaxBodyBytes {
		return b, ErrFrameTooLong
	}
	n := len(encoded)
	if p.HasChecksums {
		n += checksumBytes
	}
	b = binary.BigEndian.AppendUint32(b, uint32(n))
	b = append(b, byte(k))
	b = append(b, encoded...)
	if p.HasChecksums {
		b = binary.BigEndian.AppendUint32(b, checksum(k, encoded))
	}
	return b, nil
}

func checksum(k Kind, encoded []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, []byte{byte(k)}), castagnoli, encoded)
}

// Read reads a frame. The body that it returns is valid until the next frame is read into the same buffer.
func (p *Protocol) Read(r io.Reader, buffer []byte) (k Kind, body []byte, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, buffer, err
	}
	n, k := binary.BigEndian.Uint32(header[:4]), Kind(header[4])
	if err := p.check(n, k); err != nil {
		return 0, buffer, err
	}
	if buffer = buffer[:0]; cap(buffer) < int(n) {
		buffer = make([]byte, 0, n)
	}
	buffer = buffer[:n]
	if _, err := io.ReadFull(r, buffer); err != nil || !p.HasChecksums {
		return k, buffer, err
	}
	body = buffer[:n-checksumBytes]
	if binary.BigEndian.Uint32(buffer[len(body):]) != checksum(k, body) {
		return 0, buffer, ErrChecksum
	}
	return k, body, nil
}

// check looks at a frame's header.
func (p *Protocol) check(length uint32, k Kind) error {
	maxLength := uint32(p.MaxBodyBytes)
	if p.HasChecksums {
		maxLength += checksumBytes
	}
	switch {
	case length > maxLength:
		return ErrFrameTooLong
	case p.HasChecksums && length < checksumBytes:
		return ErrChecksum
	case k == 0 || k >= p.KindLimit:
		return ErrUnknownKind
	}
	return nil
}

// Decode reads a body strictly.
func Decode(body []byte, into any) error { return decoding.Unmarshal(body, into) }
