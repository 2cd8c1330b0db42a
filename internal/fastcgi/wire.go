package fastcgi

import (
	"io"

	"fernvane/internal/message"
)

// AppendRequest writes a request as a client sends it under an id of its own, to share a connection with others.
func AppendRequest(b []byte, id uint16, r *message.Request, left, from string) []byte {
	b = appendBegin(b, id, flagKeep)
	b = appendStream(b, typeParams, id, appendParams(nil, r, left, from))
	return appendStream(b, typeStdin, id, r.Body)
}

// AppendAbort writes that a client wants no answer any more.
func AppendAbort(b []byte, id uint16) []byte { return appendRecord(b, typeAbort, id, nil) }

// ReadAnswers reads so many answers of requests that share a connection, whichever comes first. One of which nothing
// but its end came has status 0.
func ReadAnswers(r io.Reader, n int) (map[uint16]message.Response, error) {
	records := newReader(r)
	out, ended := map[uint16][]byte{}, map[uint16]message.Response{}
	for len(ended) < n {
		rec, err := records.next()
		if err != nil {
			return ended, err
		}
		switch rec.kind {
		case typeStdout:
			out[rec.id] = append(out[rec.id], rec.content...)
		case typeEnd:
			var a message.Response
			if len(out[rec.id]) > 0 {
				if err := response(out[rec.id], &a); err != nil {
					return ended, err
				}
			}
			ended[rec.id] = a
		}
	}
	return ended, nil
}
