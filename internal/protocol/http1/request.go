package http1

import (
	"bytes"
	"errors"
	"io"

	"fernvane/internal/protocol/message"
)

// ReadRequest reads a complete request. It first writes 100 Continue to a client that waits for that before it sends the body.
// The error is io.EOF if the client has closed the connection between requests, a *message.RequestError if the request must be
// answered with an error status, or another error of the connection.
func (c *Conn) ReadRequest(r *Request) error {
	head, err := c.readHead("")
	switch err {
	case errTooLarge:
		return message.NewRequestError(431, "the head is too large")
	case errNoMemory:
		return message.NewRequestError(503, err.Error())
	}
	if err != nil {
		return err
	}
	length, isHTTP10, err := parseRequestHead(head, r)
	if err != nil {
		return err
	}
	if !isHTTP10 && length != 0 && c.readPos == c.fillPos && message.HasToken(r.Fields, "Expect", "100-continue") {
		if _, err := c.Send([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	r.Body, err = c.readBody(length, MaxRequestBody)
	switch {
	case err == errTooLarge:
		return message.NewRequestError(413, "the body is too large")
	case err == errNoMemory:
		return message.NewRequestError(503, err.Error())
	case errors.Is(err, errChunk):
		return message.NewRequestError(400, err.Error())
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseRequestHead parses a request line and its fields into r and returns the length of the body. The error is a
// *message.RequestError.
func parseRequestHead(head []byte, r *Request) (length int, isHTTP10 bool, err error) {
	requestLine, lines, _ := bytes.Cut(head, []byte("\r\n"))
	method, rest, _ := bytes.Cut(requestLine, []byte{' '})
	target, version, _ := bytes.Cut(rest, []byte{' '})
	if _, afterScheme, ok := bytes.Cut(target, []byte("://")); ok && target[0] != '/' { // absolute form
		target = []byte{'/'}
		if pathStart := bytes.IndexByte(afterScheme, '/'); pathStart >= 0 {
			target = afterScheme[pathStart:]
		}
	}
	*r = Request{Method: method, Target: target, Fields: r.Fields[:0]}
	if !message.IsToken(method) || !message.IsTarget(target) {
		return 0, false, message.NewRequestError(400, "the request line cannot be read")
	}
	isHTTP10 = string(version) == "HTTP/1.0"
	if !isHTTP10 && string(version) != "HTTP/1.1" {
		return 0, false, message.NewRequestError(400, errVersion.Error())
	}
	if r.Fields, err = parseFields(lines, r.Fields, false); err == errFields {
		return 0, false, message.NewRequestError(431, err.Error())
	} else if err != nil {
		return 0, false, message.NewRequestError(400, err.Error())
	}
	if !isHTTP10 && !r.Has("Host") {
		return 0, false, message.NewRequestError(400, "no host is named")
	}
	r.Close = isHTTP10 || message.HasToken(r.Fields, "Connection", "close")
	if length, err = bodyLength(r.Fields); err != nil {
		return 0, false, message.NewRequestError(400, err.Error())
	}
	if length == noLength {
		length = 0
	}
	return length, isHTTP10, nil
}
