package http1

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"fernvane/internal/protocol/message"
)

// ErrMalformedResponse is the error of a response that cannot be parsed or that exceeds a size limit.
var ErrMalformedResponse = message.ErrMalformedResponse

// ReadResponse reads a complete response with a body of at most maxBody bytes, and skips interim responses (1xx). The error
// is ErrMalformedResponse if the response cannot be parsed or is too large, io.EOF if the server closed the connection before
// the head, io.ErrUnexpectedEOF if it closed the connection later, errNoMemory if the budget is exhausted, or that of reading.
func (c *Conn) ReadResponse(r *Response, maxBody int) error {
	for interim := 0; ; interim++ {
		head, err := c.readHead("HTTP/1.")
		if err == errTooLarge || err == errNoHead || interim > maxInterimResponses {
			return ErrMalformedResponse
		}
		if err != nil {
			return err
		}
		statusLine, lines, _ := bytes.Cut(head, []byte("\r\n"))
		version, rest, _ := bytes.Cut(statusLine, []byte{' '})
		code, _, _ := bytes.Cut(rest, []byte{' '})
		status, err := strconv.ParseUint(string(code), 10, 16)
		isHTTP10 := string(version) == "HTTP/1.0"
		if err != nil || len(code) != 3 || status < 100 || !isHTTP10 && string(version) != "HTTP/1.1" {
			return ErrMalformedResponse
		}
		*r = Response{Status: int(status), Fields: r.Fields[:0]}
		if r.Fields, err = parseFields(lines, r.Fields, true); err != nil || status == 101 {
			return ErrMalformedResponse
		}
		if status < 200 {
			continue
		}
		length, err := bodyLength(r.Fields)
		if err != nil {
			return ErrMalformedResponse
		}
		if length == noLength {
			length = untilClose
		}
		if status == 204 || status == 304 {
			length = 0
		}
		r.Body, err = c.readBody(length, maxBody)
		r.Close = length == untilClose || isHTTP10 || message.HasToken(r.Fields, "Connection", "close") || c.readPos < c.fillPos
		switch {
		case err == errTooLarge, err == errChunk:
			return ErrMalformedResponse
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		}
		return err
	}
}

// SendRequest forwards a request to a server, with the time that is left for the request and the address of the client.
// complete reports whether the last byte was written.
func (c *Conn) SendRequest(r *Request, timeLeft time.Duration, clientAddress string) (complete bool, err error) {
	return c.Send(AppendRequest(c.Scratch(), r, timeLeft, clientAddress))
}

// ReceiveResponse reads the response to a request. See ReadResponse for the error.
func (c *Conn) ReceiveResponse(r *Response) error { return c.ReadResponse(r, MaxResponseBody) }

// IdentifiesResponses reports that a response does not identify its request.
func (c *Conn) IdentifiesResponses() bool { return false }

// IsReusable reports whether another request may be sent after this response.
func (c *Conn) IsReusable(r *Response) bool { return !r.Close }
