package http1

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"fernvane/internal/protocol/message"
)

// ErrGarbled is an answer that is no HTTP, or larger than allowed.
var ErrGarbled = message.ErrMalformedResponse

// ReadResponse reads a whole answer with a body of at most so many bytes.
func (c *Conn) ReadResponse(r *Response, most int) error {
	for words := 0; ; words++ {
		head, err := c.readHead("HTTP/1.")
		if err == errTooLarge || err == errNoHead || words > maxInterimResponses {
			return ErrGarbled
		}
		if err != nil {
			return err
		}
		first, lines, _ := bytes.Cut(head, []byte("\r\n"))
		version, rest, _ := bytes.Cut(first, []byte{' '})
		code, _, _ := bytes.Cut(rest, []byte{' '})
		status, err := strconv.ParseUint(string(code), 10, 16)
		old := string(version) == "HTTP/1.0"
		if err != nil || len(code) != 3 || status < 100 || !old && string(version) != "HTTP/1.1" {
			return ErrGarbled
		}
		*r = Response{Status: int(status), Fields: r.Fields[:0]}
		if r.Fields, err = parseFields(lines, r.Fields, true); err != nil || status == 101 {
			return ErrGarbled
		}
		if status < 200 {
			continue // a word on the way; the answer follows
		}
		length, err := bodyLength(r.Fields)
		if err != nil {
			return ErrGarbled
		}
		if length == noLength {
			length = untilClose
		}
		if status == 204 || status == 304 {
			length = 0
		}
		r.Body, err = c.readBody(length, most)
		r.Close = length == untilClose || old || message.HasToken(r.Fields, "Connection", "close") || c.readPos < c.fillPos
		switch {
		case err == errTooLarge, err == errChunk:
			return ErrGarbled
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		}
		return err
	}
}

// SendRequest writes a request as it goes on to a server, and tells whether its last byte was written.
func (c *Conn) SendRequest(r *Request, left time.Duration, from string) (whole bool, err error) {
	return c.Send(AppendRequest(c.Scratch(), r, left, from))
}

// ReceiveResponse reads the whole answer to what was asked.
func (c *Conn) ReceiveResponse(r *Response) error { return c.ReadResponse(r, MaxAnswer) }

// IsReusable tells whether another request may be asked after a whole answer.
func (c *Conn) IsReusable(r *Response) bool { return !r.Close }
