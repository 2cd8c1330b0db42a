package fastcgi

import (
	"io"

	"fernvane/internal/protocol/message"
)

// AppendRequest appends a request as a client sends it, with timeLeft in seconds. Requests with different IDs can share a
// connection.
func AppendRequest(b []byte, id uint16, r *message.Request, timeLeft, clientAddress string) []byte {
	b = appendBegin(b, id, flagKeep)
	b = appendStream(b, typeParams, id, appendParams(nil, r, timeLeft, clientAddress))
	return appendStream(b, typeStdin, id, r.Body)
}

// AppendAbort appends the ABORT_REQUEST record with which a client aborts a request.
func AppendAbort(b []byte, id uint16) []byte { return appendRecord(b, typeAbort, id, nil) }

// ResponseReader reads the responses of requests that share a connection, in the order in which the responses end. It is
// intended for tests and does not bound its memory.
type ResponseReader struct {
	records reader
	out     map[uint16][]byte // output so far, by request ID
}

// NewResponseReader returns a ResponseReader for a connection from which nothing has been read.
func NewResponseReader(r io.Reader) *ResponseReader {
	return &ResponseReader{records: newReader(r), out: map[uint16][]byte{}}
}

// Next returns the next response that ends. The response has status 0 if only its END_REQUEST was received.
func (r *ResponseReader) Next() (id uint16, resp message.Response, err error) {
	for {
		rec, err := r.records.next()
		if err != nil {
			return 0, resp, err
		}
		switch rec.kind {
		case typeStdout:
			r.out[rec.id] = append(r.out[rec.id], rec.content...)
		case typeEnd:
			output := r.out[rec.id]
			delete(r.out, rec.id)
			if len(output) > 0 {
				err = response(output, &resp)
			}
			return rec.id, resp, err
		}
	}
}
