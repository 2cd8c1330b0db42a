package fastcgi

import (
	"io"

	"fernvane/internal/protocol/message"
)

// AppendRequest writes a request as a client sends it under an id of its own, to share a connection with others.
func AppendRequest(b []byte, id uint16, r *message.Request, left, from string) []byte {
	b = appendBegin(b, id, flagKeep)
	b = appendStream(b, typeParams, id, appendParams(nil, r, left, from))
	return appendStream(b, typeStdin, id, r.Body)
}

// AppendAbort writes that a client wants no answer any more.
func AppendAbort(b []byte, id uint16) []byte { return appendRecord(b, typeAbort, id, nil) }

// ResponseReader reads answers of requests that share a connection, whichever comes first.
type ResponseReader struct {
	records reader
	out     map[uint16][]byte
}

// NewResponseReader reads from a connection that nothing was read from.
func NewResponseReader(r io.Reader) *ResponseReader {
	return &ResponseReader{records: newReader(r), out: map[uint16][]byte{}}
}

// Next reads the next that ends. One of which nothing but its end came has status 0.
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
