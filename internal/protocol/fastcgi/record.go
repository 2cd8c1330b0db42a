// Package fastcgi reads and writes FastCGI 1.0 as defined by its published specification: records and name-value pairs
// (record.go), the mapping between HTTP requests and params (params.go), connections from clients, on which several requests
// may be open (ClientConn), and connections to responders, with one request at a time (ServerConn). It makes no decisions
// and never re-sends a request. The memory of ClientConn and ServerConn is bounded for any input of a peer.
package fastcgi

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
)

// Record types.
const (
	typeBegin     = 1
	typeAbort     = 2
	typeEnd       = 3
	typeParams    = 4
	typeStdin     = 5
	typeStdout    = 6
	typeStderr    = 7
	typeData      = 8
	typeGetValues = 9
	typeValues    = 10
	typeUnknown   = 11
)

const (
	version         = 1
	headerLen       = 8
	maxContentBytes = 65535   // in one record
	responder       = 1       // the only supported role
	flagKeep        = 1       // keep the connection open after the request
	maxShortLength  = 127     // maximum length of a name or value whose length is encoded in one byte
	longLengthFlag  = 1 << 31 // set in a length that is encoded in four bytes
)

// Protocol statuses of END_REQUEST.
const (
	statusComplete    = 0
	statusCantMPX     = 1
	statusOverloaded  = 2
	statusUnknownRole = 3
)

var errRecord = errors.New("malformed FastCGI record")

// record is one record. Its content is valid until the next record is read.
type record struct {
	kind    byte
	id      uint16
	content []byte
}

const readBufferBytes = 4 << 10 // enough for most records

// reader reads records from a stream. All records share one buffer.
type reader struct {
	in      *bufio.Reader
	header  [headerLen]byte
	content []byte
}

func newReader(r io.Reader) reader { return reader{in: bufio.NewReaderSize(r, readBufferBytes)} }

// next reads a record and its padding. The error is io.EOF only if the stream ends between records.
func (r *reader) next() (record, error) {
	if _, err := io.ReadFull(r.in, r.header[:]); err != nil {
		return record{}, err
	}
	if r.header[0] != version {
		return record{}, errRecord
	}
	length, padding := int(binary.BigEndian.Uint16(r.header[4:])), int(r.header[6])
	if cap(r.content) < length+padding {
		r.content = make([]byte, 0, max(length+padding, 1024))
	}
	contentAndPadding := r.content[:length+padding]
	if _, err := io.ReadFull(r.in, contentAndPadding); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return record{}, err
	}
	return record{kind: r.header[1], id: binary.BigEndian.Uint16(r.header[2:]), content: contentAndPadding[:length]}, nil
}

// appendRecord appends one record, padded to a multiple of eight bytes as the specification recommends.
func appendRecord(b []byte, kind byte, id uint16, content []byte) []byte {
	padding := -len(content) & 7
	b = append(b, version, kind, byte(id>>8), byte(id), byte(len(content)>>8), byte(len(content)), byte(padding), 0)
	b = append(b, content...)
	return append(b, make([]byte, padding)...)
}

// appendStream appends a stream in as many records as necessary, followed by the empty record that ends the stream.
func appendStream(b []byte, kind byte, id uint16, content []byte) []byte {
	for len(content) > 0 {
		n := min(len(content), maxContentBytes)
		b = appendRecord(b, kind, id, content[:n])
		content = content[n:]
	}
	return appendRecord(b, kind, id, nil)
}

// pair is a name-value pair of PARAMS or GET_VALUES.
type pair struct{ name, value []byte }

// appendLength appends the length of a name or value in one byte or four.
func appendLength(b []byte, n int) []byte {
	if n <= maxShortLength {
		return append(b, byte(n))
	}
	return binary.BigEndian.AppendUint32(b, uint32(n)|longLengthFlag)
}

func appendPair(b []byte, name, value string) []byte {
	b = appendLength(appendLength(b, len(name)), len(value))
	return append(append(b, name...), value...)
}

// length decodes a length of one byte or four. ok is false if the length is truncated.
func length(b []byte) (n int, rest []byte, ok bool) {
	switch {
	case len(b) == 0:
		return 0, nil, false
	case b[0] <= maxShortLength:
		return int(b[0]), b[1:], true
	case len(b) < 4:
		return 0, nil, false
	}
	return int(binary.BigEndian.Uint32(b) &^ longLengthFlag), b[4:], true
}

// parsePairs parses a complete stream of pairs.
func parsePairs(b []byte, into []pair) ([]pair, error) {
	for len(b) > 0 {
		nameLength, rest, ok := length(b)
		if !ok {
			return into, errRecord
		}
		valueLength, rest, ok := length(rest)
		if !ok || nameLength > len(rest) || valueLength > len(rest)-nameLength {
			return into, errRecord
		}
		into = append(into, pair{rest[:nameLength], rest[nameLength : nameLength+valueLength]})
		b = rest[nameLength+valueLength:]
	}
	return into, nil
}

// appendEnd appends the END_REQUEST record of a request.
func appendEnd(b []byte, id uint16, appStatus uint32, status byte) []byte {
	var body [8]byte
	binary.BigEndian.PutUint32(body[:], appStatus)
	body[4] = status
	return appendRecord(b, typeEnd, id, body[:])
}

// appendBegin appends the BEGIN_REQUEST record of a request.
func appendBegin(b []byte, id uint16, flags byte) []byte {
	return appendRecord(b, typeBegin, id, []byte{0, responder, flags, 0, 0, 0, 0, 0})
}
