package fastcgi

import (
	"io"

	"fernvane/internal/protocol/message"
)

// AppendRequest appends a request as a client sends it under an ID, so that several share a connection.
func AppendRequest(b []byte, id uint16, r *message.Request, left, from string) []byte {
	b = appendBegin(b, id, flagKeep)
	b = appendStream(b, typeParams, id, appendParams(nil, r, left, from))
	return appendStream(b, typeStdin, id, r.Body)
}

// AppendAbort appends the record with which a client aborts a request.
func AppendAbort(b []byte, id uint16) []byte { return appendRecord(b, typeAbort, id, nil) }

// ResponseReader reads the responses of requests that share a connection, in the order in which they end. It is for tests
// and does not bound its memory.
type ResponseReader struct {
	records reader
	out     map[uint16][]byte
}

// NewResponseReader reads from a connection from which nothing has been read.
func NewResponseReader(r io.Reader) *ResponseReader {
	return &ResponseReader{records: newReader(r), out: map[uint16][]byte{}}
}

// Next returns the next response that ends. It has status 0 where nothing but its end was received.
func (a *ResponseReader) Next() (id uint16, r message.Response, err error) {
	for {
		rec, err := a.records.next()
		if err != nil {
			return 0, r, err
		}
		switch rec.kind {
		case typeStdout:
			a.out[rec.id] = append(a.out[rec.id], rec.content...)
		case typeEnd:
			out := a.out[rec.id]
			delete(a.out, rec.id)
			if len(out) > 0 {
				err = response(out, &r)
			}
			return rec.id, r, err
		}
	}
}
