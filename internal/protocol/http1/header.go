package http1

import (
	"bytes"
	"errors"
	"os"
	"strconv"

	"fernvane/internal/protocol/message"
)

// ErrTimeout is the error of reads and writes after their deadline.
var ErrTimeout = os.ErrDeadlineExceeded

var (
	errField   = errors.New("a field cannot be read")
	errLength  = errors.New("the length of the body is not clear")
	errCoding  = errors.New("unknown transfer coding")
	errFields  = errors.New("too many fields")
	errVersion = errors.New("not HTTP/1.0 or 1.1")
)

// parseFields parses the field lines of a head and appends them to into. If lenient is set, a field whose value has control
// characters is skipped. It is still an error if the field determines where the message ends, or if the value contains NUL, CR
// or LF, behind which another field could be hidden.
func parseFields(lines []byte, into []Field, lenient bool) ([]Field, error) {
	for len(lines) > 0 {
		line, rest, _ := bytes.Cut(lines, []byte("\r\n"))
		lines = rest
		name, value, ok := bytes.Cut(line, []byte{':'})
		value = bytes.Trim(value, " \t")
		if !ok || !message.IsToken(name) {
			return into, errField
		}
		if !message.IsText(value) {
			if f := (Field{Name: name, Value: value}); lenient && !isFraming(f) && !bytes.ContainsAny(value, "\x00\r\n") {
				continue
			}
			return into, errField
		}
		if len(into) == message.MaxFields {
			return into, errFields
		}
		into = append(into, Field{Name: name, Value: value})
	}
	return into, nil
}

// isFraming reports whether a field determines where the message ends.
func isFraming(f Field) bool {
	return f.Is("Content-Length") || f.Is("Transfer-Encoding") || f.Is("Connection")
}

// Special values of a body length.
const (
	untilClose = -1 // the body ends when the connection closes
	chunked    = -2 // the body has chunked transfer coding
	noLength   = -3 // the fields state no length
)

// bodyLength returns the length of the body in bytes according to the fields, or chunked or noLength.
func bodyLength(fields []Field) (int, error) {
	length, isChunked := noLength, false
	for _, f := range fields {
		switch {
		case f.Is("Transfer-Encoding"):
			if isChunked || !message.EqualFold(f.Value, "chunked") {
				return 0, errCoding
			}
			isChunked = true
		case f.Is("Content-Length"):
			n, err := strconv.ParseUint(string(f.Value), 10, 31)
			if err != nil || length != noLength && length != int(n) {
				return 0, errLength
			}
			length = int(n)
		}
	}
	if isChunked {
		if length != noLength { // two lengths would allow request smuggling
			return 0, errLength
		}
		return chunked, nil
	}
	return length, nil
}
