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

// record is one record, or a part of a long one. Its content is valid until the next record is read.
type record struct {
	kind           byte
	id             uint16
	content        []byte
	isContinuation bool // an earlier part of the record has been returned
}

// isStream reports whether the record belongs to a stream that a client sends.
func (r record) isStream() bool {
	return r.kind == typeParams || r.kind == typeStdin || r.kind == typeData
}

const (
	readBufferBytes = 4 << 10 // enough for most records
	maxPaddingBytes = 255
	maxPartBytes    = readBufferBytes - maxPaddingBytes // of a long record, so that its last part and the padding fit into the buffer
)

// reader reads records from a stream. It holds at most readBufferBytes of them, whatever length they announce.
type reader struct {
	in        *bufio.Reader
	current   record // its content is that of the part returned last
	returned  int    // bytes of that part, and of the padding behind it, which are still in the buffer
	remaining int    // bytes of the current record's content that were not returned
	padding   int    // bytes of the current record's padding that were not returned
}

func newReader(r io.Reader) reader { return reader{in: bufio.NewReaderSize(r, readBufferBytes)} }

// hasMore reports whether bytes behind the part returned last are in the buffer.
func (r *reader) hasMore() bool { return r.in.Buffered() > r.returned }

// isPartial reports whether a part of a record has been read and the rest has not.
func (r *reader) isPartial() bool { return r.remaining+r.padding > 0 || r.hasMore() }

// next reads a record with its padding, or the next part of one that is longer than the buffer. The error is io.EOF only if the stream ends
// between records.
func (r *reader) next() (record, error) {
	r.in.Discard(r.returned)
	r.returned = 0
	r.current.isContinuation = r.remaining > 0
	if !r.current.isContinuation {
		if err := r.readHeader(); err != nil {
			return record{}, err
		}
	}
	contentBytes, paddingBytes := min(r.remaining, maxPartBytes), 0
	if contentBytes == r.remaining {
		paddingBytes = r.padding
	}
	part, err := r.in.Peek(contentBytes + paddingBytes)
	if err == io.EOF {
		return record{}, io.ErrUnexpectedEOF
	}
	if err != nil {
		return record{}, err
	}
	r.returned = len(part)
	r.remaining -= contentBytes
	r.padding -= paddingBytes
	r.current.content = part[:contentBytes]
	return r.current, nil
}

// readHeader reads the header of a record.
func (r *reader) readHeader() error {
	header, err := r.in.Peek(headerLen)
	switch {
	case err == io.EOF && len(header) > 0:
		return io.ErrUnexpectedEOF
	case err != nil:
		return err
	case header[0] != version:
		return errRecord
	}
	r.current = record{kind: header[1], id: binary.BigEndian.Uint16(header[2:])}
	r.remaining, r.padding = int(binary.BigEndian.Uint16(header[4:])), int(header[6])
	r.in.Discard(headerLen)
	return nil
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

// cutPair returns the first pair of a complete stream of pairs, and the rest of the stream.
func cutPair(b []byte) (first pair, rest []byte, err error) {
	nameLength, rest, ok := length(b)
	if !ok {
		return pair{}, nil, errRecord
	}
	valueLength, rest, ok := length(rest)
	if !ok || nameLength > len(rest) || valueLength > len(rest)-nameLength {
		return pair{}, nil, errRecord
	}
	end := nameLength + valueLength
	return pair{rest[:nameLength], rest[nameLength:end]}, rest[end:], nil
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
