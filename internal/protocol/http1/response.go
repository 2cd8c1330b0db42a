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

// ReadResponse reads a complete response with a body of at most so many bytes; interim ones (1xx) are skipped. The error
// is ErrGarbled for one that cannot be parsed or is too large, io.EOF where the server closed before the head,
// io.ErrUnexpectedEOF where it closed later, or that of reading.
func (c *Conn) ReadResponse(r *Response, most int) error {
	for interim := 0; ; interim++ {
		head, err := c.readHead("HTTP/1.")
		if err == errTooLarge || err == errNoHead || interim > maxInterimResponses {
			return ErrGarbled
		}
		if err != nil {
			return err
		}
		first, lines, _ := bytes.Cut(head, []byte("\r\n"))
		version, rest, _ := bytes.Cut(first, []byte{' '})
		code, _, _ := bytes.Cut(rest, []byte{' '})
		status, err := strconv.ParseUint(string(code), 10, 16)
		isHTTP10 := string(version) == "HTTP/1.0"
		if err != nil || len(code) != 3 || status < 100 || !isHTTP10 && string(version) != "HTTP/1.1" {
			return ErrGarbled
		}
		*r = Response{Status: int(status), Fields: r.Fields[:0]}
		if r.Fields, err = parseFields(lines, r.Fields, true); err != nil || status == 101 {
			return ErrGarbled
		}
		if status < 200 {
			continue
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
		r.Close = length == untilClose || isHTTP10 || message.HasToken(r.Fields, "Connection", "close") || c.readPos < c.fillPos
		switch {
		case err == errTooLarge, err == errChunk:
			return ErrGarbled
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		}
		return err
	}
}

// SendRequest forwards a request to a server, with the time left for it and the client's address, and reports whether its
// last byte was written.
func (c *Conn) SendRequest(r *Request, left time.Duration, from string) (whole bool, err error) {
	return c.Send(AppendRequest(c.Scratch(), r, left, from))
}

// ReceiveResponse reads the response to a request. See ReadResponse for the error.
func (c *Conn) ReceiveResponse(r *Response) error { return c.ReadResponse(r, MaxAnswer) }

// IsReusable reports whether another request may be sent after this response.
func (c *Conn) IsReusable(r *Response) bool { return !r.Close }
