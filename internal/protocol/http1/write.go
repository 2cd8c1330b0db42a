package http1

import (
	"bytes"
	"slices"
	"strconv"
	"time"

	"fernvane/internal/protocol/message"
)

// reasons holds the reason phrase of each status that the node sends on its own. A status that is forwarded from a server and
// is not listed has an empty phrase.
var reasons = [...]struct {
	status int
	phrase string
}{
	{200, "OK"}, {400, "Bad Request"}, {404, "Not Found"}, {405, "Method Not Allowed"}, {408, "Request Timeout"},
	{409, "Conflict"},
	{413, "Content Too Large"}, {431, "Request Header Fields Too Large"}, {500, "Internal Server Error"},
	{502, "Bad Gateway"}, {503, "Service Unavailable"}, {504, "Gateway Timeout"},
}

func appendField(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// appendSeconds appends a duration in seconds with three decimals, truncated to milliseconds.
func appendSeconds(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, float64(d/time.Millisecond)/1000, 'f', 3, 64)
}

// AppendRequest appends the client's request in the form in which it is forwarded to a server, with the time that is left
// for the request and the address of the client.
func AppendRequest(b []byte, r *Request, timeLeft time.Duration, clientAddress string) []byte {
	b = append(append(append(b, r.Method...), ' '), r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	for _, f := range r.Fields {
		if f.Is(RequestTimeout) || !message.IsEndToEnd(f, r.Fields) {
			continue
		}
		b = append(append(append(b, f.Name...), ": "...), f.Value...)
		b = append(b, "\r\n"...)
	}
	if !r.Has("Host") { // HTTP/1.0 client; servers may reject a request without Host
		b = appendField(b, "Host", "")
	}
	b = appendField(b, message.ForwardedFor, clientAddress)
	b = append(append(append(b, RequestTimeout...), ": "...), appendSeconds(nil, max(timeLeft, time.Millisecond))...)
	b = append(b, "\r\n"...)
	if len(r.Body) > 0 || string(r.Method) != "GET" {
		b = appendField(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(append(b, "\r\n"...), r.Body...)
}

// closeField announces that the connection closes after the message.
const closeField = "Connection: close\r\n"

// AnnounceClose adds closeField to an answer that AppendAnswer has built. It reuses the memory of the answer if the capacity
// suffices.
func AnnounceClose(answer []byte) []byte {
	statusLineEnd := bytes.IndexByte(answer, '\n') + 1
	return slices.Insert(answer, statusLineEnd, []byte(closeField)...)
}

// AppendAnswer appends the answer to a client.
func AppendAnswer(b []byte, a Answer) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = append(strconv.AppendInt(b, int64(a.Status), 10), ' ')
	for _, reason := range reasons {
		if reason.status == a.Status {
			b = append(b, reason.phrase...)
		}
	}
	b = append(b, "\r\n"...)
	for _, f := range a.Fields {
		if message.IsEndToEnd(f, a.Fields) {
			b = append(append(append(b, f.Name...), ": "...), f.Value...)
			b = append(b, "\r\n"...)
		}
	}
	if a.RetryAfter > 0 { // with a fraction, which the platform's clients accept
		b = append(appendSeconds(append(b, "Retry-After: "...), a.RetryAfter), "\r\n"...)
	}
	b = appendField(b, "Content-Length", strconv.Itoa(len(a.Body)))
	if a.Close {
		b = append(b, closeField...)
	}
	return append(append(b, "\r\n"...), a.Body...)
}
