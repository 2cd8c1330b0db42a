package framing

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	maxElements   = 8192 // of an array or map in a body
	maxDepth      = 8    // of nested arrays and maps
	headerBytes   = 5
	checksumBytes = 4

	initialBodyBytes = 4 << 10 // first buffer of a body
)

// Kind is the message type of a frame. Each protocol numbers its own kinds from FirstProtocolKind.
type Kind uint8

const (
	// HelloKind is the first frame of each side.
	HelloKind Kind = 1 + iota
	// RejectionKind is the kind of a Rejection, the last frame before a connection is closed.
	RejectionKind
	// FirstProtocolKind is the first of a protocol's own kinds.
	FirstProtocolKind
)

// Protocol contains the parameters on which both ends of a connection must agree.
type Protocol struct {
	Version      int  // a peer of another version is rejected
	KindLimit    Kind // one after the last kind
	MaxBodyBytes int
	HasChecksums bool // for connections without TLS, on which links may corrupt bytes
}

// Errors of sending and receiving frames.
var (
	// ErrFrameTooLong means that the body is longer than MaxBodyBytes.
	ErrFrameTooLong = errors.New("frame longer than any may be")
	// ErrUnknownKind means that the protocol does not define the kind.
	ErrUnknownKind = errors.New("frame of unknown kind")
	// ErrChecksum means that the frame was corrupted in transit.
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
		panic(err) // unreachable: the options are constants
	}
	return mode
}

// Append appends an encoded frame to b.
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

// Read reads a frame into buffer, which it grows if necessary. The returned body is valid until the next frame is read
// into the same buffer.
func (p *Protocol) Read(r io.Reader, buffer []byte) (k Kind, body []byte, err error) {
	k, length, err := p.readHeader(r)
	if err != nil {
		return 0, buffer, err
	}
	return p.readBody(r, k, length, buffer)
}

// readHeader reads the header of a frame. length includes the checksum.
func (p *Protocol) readHeader(r io.Reader) (k Kind, length int, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, err
	}
	n, k := binary.BigEndian.Uint32(header[:4]), Kind(header[4])
	return k, int(n), p.check(n, k)
}

// readBody reads the rest of a frame into buffer and verifies its checksum.
func (p *Protocol) readBody(r io.Reader, k Kind, length int, buffer []byte) (Kind, []byte, error) {
	buffer, err := readGrowing(r, buffer[:0], length)
	if err != nil || !p.HasChecksums {
		return k, buffer, err
	}
	body := buffer[:length-checksumBytes]
	if binary.BigEndian.Uint32(buffer[len(body):]) != checksum(k, body) {
		return 0, buffer, ErrChecksum
	}
	return k, body, nil
}

// readGrowing reads length bytes and appends them to buffer. The buffer grows as bytes arrive, because a peer may announce a length that it
// never sends.
func readGrowing(r io.Reader, buffer []byte, length int) ([]byte, error) {
	for len(buffer) < length {
		filled := len(buffer)
		step := min(length, max(cap(buffer), 2*filled, initialBodyBytes)) - filled
		buffer = slices.Grow(buffer, step)[:filled+step]
		if n, err := io.ReadFull(r, buffer[filled:]); err != nil {
			if err == io.EOF && filled > 0 {
				err = io.ErrUnexpectedEOF
			}
			return buffer[:filled+n], err
		}
	}
	return buffer, nil
}

// check validates the length and kind in a frame's header.
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

// Decode decodes a body. It rejects tags, items of indefinite length, and arrays and maps with more than maxElements
// elements or nested more than maxDepth levels deep.
func Decode(body []byte, into any) error { return decoding.Unmarshal(body, into) }
