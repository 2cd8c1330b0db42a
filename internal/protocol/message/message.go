// Package message defines what all protocols share: requests, responses, header fields, the platform's field names, and
// size limits. The byte slices of a message that was read may point into the buffer of its connection. They are valid only
// until the next message is read from or written to the connection; Request.Clone copies them.
package message

import (
	"bytes"
	"errors"
	"math"
	"slices"
	"strconv"
	"time"
)

// Limits of one message.
const (
	MaxHead         = 16 << 10 // bytes ahead of the body
	MaxRequestBody  = 64 << 10 // bytes of a request body
	MaxResponseBody = 1 << 20  // bytes of a response body
	MaxFields       = 100      // header fields
)

// Field is a header field.
type Field struct{ Name, Value []byte }

// IsToken reports whether b is a valid name of a header field or of a method.
func IsToken(b []byte) bool {
	for _, c := range b {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return len(b) > 0
}

// IsText reports whether b contains no control characters other than tab.
func IsText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// Is reports whether the field has the name, ignoring case.
func (f Field) Is(name string) bool { return EqualFold(f.Name, name) }

// EqualFold reports whether b and s are equal, ignoring the case of ASCII letters.
func EqualFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		if lower(b[i]) != lower(s[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// Find returns the value of the first field with the name, or nil if there is none.
func Find(fields []Field, name string) []byte {
	for _, f := range fields {
		if f.Is(name) {
			return f.Value
		}
	}
	return nil
}

// HasToken reports whether a field whose value is a comma-separated list contains the token.
func HasToken(fields []Field, name, token string) bool {
	for _, f := range fields {
		if !f.Is(name) {
			continue
		}
		for element := range bytes.SplitSeq(f.Value, []byte{','}) {
			if EqualFold(bytes.Trim(element, " \t"), token) {
				return true
			}
		}
	}
	return false
}

// IsEndToEnd reports whether a field of a message with the fields all is forwarded. The hop-by-hop fields, which include those
// that a Connection field names, and Expect apply only to the connection on which they were received. Content-Length is written
// anew for each message.
func IsEndToEnd(f Field, all []Field) bool {
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
		"Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"} {
		if f.Is(name) {
			return false
		}
	}
	return !HasToken(all, "Connection", string(f.Name))
}

// RequestError is the error of a request that cannot be served, with the status of the response.
type RequestError struct {
	Status int
	Reason string
}

// NewRequestError returns a RequestError. The reason is logged and sent to the client.
func NewRequestError(status int, reason string) *RequestError {
	return &RequestError{Status: status, Reason: reason}
}

func (e *RequestError) Error() string { return e.Reason }

// Request is a complete request. Its byte slices may point into the buffer of its connection.
type Request struct {
	Method []byte
	Target []byte
	Fields []Field
	Body   []byte
	Close  bool // the connection closes after the response
}

// Path returns the target without its query.
func (r *Request) Path() []byte {
	path, _, _ := bytes.Cut(r.Target, []byte{'?'})
	return path
}

// Get returns the value of a field, or nil if there is none.
func (r *Request) Get(name string) []byte { return Find(r.Fields, name) }

// Has reports whether the request has the field, including with an empty value.
func (r *Request) Has(name string) bool {
	return slices.ContainsFunc(r.Fields, func(f Field) bool { return f.Is(name) })
}

// Clone returns a copy of the request that stays valid when its connection is read or written again.
func (r *Request) Clone() *Request {
	size := len(r.Method) + len(r.Target) + len(r.Body)
	for _, f := range r.Fields {
		size += len(f.Name) + len(f.Value)
	}
	memory := make([]byte, 0, size)
	clone := func(b []byte) []byte {
		memory = append(memory, b...)
		return memory[len(memory)-len(b) : len(memory) : len(memory)]
	}
	c := &Request{Method: clone(r.Method), Target: clone(r.Target), Body: clone(r.Body), Close: r.Close, Fields: make([]Field, len(r.Fields))}
	for i, f := range r.Fields {
		c.Fields[i] = Field{clone(f.Name), clone(f.Value)}
	}
	return c
}

// Field names and paths of the platform.
const (
	RequestID      = "Request-Id"
	RequestTimeout = "Request-Timeout" // seconds, as a decimal number
	tenantField    = "Tenant"
	ForwardedFor   = "X-Forwarded-For" // client's address; a FastCGI request has only the last one
	NotStarted     = "Not-Started"
	ServerID       = "Server-Id" // id of the server that responds; optional
	readyPath      = "/up"
)

// RequestInfo holds what decisions need of a request, taken from its fields and its path.
type RequestInfo struct {
	ID      []byte
	Type    []byte // first segment of the path
	Tenant  []byte
	Timeout time.Duration // since the client sent the request; below 0: not set
}

// IsReadiness reports whether the request is a readiness probe of the node.
func (r *Request) IsReadiness() bool { return string(r.Path()) == readyPath }

// Info returns the RequestInfo of the request. The error is a *RequestError.
func (r *Request) Info() (RequestInfo, error) {
	info := RequestInfo{ID: r.Get(RequestID), Tenant: r.Get(tenantField), Timeout: -1}
	if string(r.Method) == "HEAD" || string(r.Method) == "CONNECT" {
		return info, &RequestError{405, "this method is not served"} // responses to these methods have no body to forward
	}
	if len(info.ID) == 0 {
		return info, &RequestError{400, "the request has no id"}
	}
	info.Type, _, _ = bytes.Cut(r.Path()[1:], []byte{'/'})
	if value := r.Get(RequestTimeout); r.Has(RequestTimeout) {
		seconds, err := strconv.ParseFloat(string(value), 64)
		if err != nil || math.IsNaN(seconds) || seconds < 0 || seconds > 1e6 {
			return info, &RequestError{400, "the time-out cannot be read"}
		}
		info.Timeout = time.Duration(seconds * float64(time.Second))
	}
	return info, nil
}

// NotStarted reports whether the response states that the server has not started the request.
func (r *Response) NotStarted() bool {
	return (r.Status == 503 || r.Status == 504) && string(Find(r.Fields, NotStarted)) == "1"
}

// RejectsRequest reports whether the response rejects the request as invalid. 408 and 429 are excluded because they depend
// on the state of the server.
func (r *Response) RejectsRequest() bool {
	return r.Status >= 400 && r.Status < 500 && r.Status != 408 && r.Status != 429
}

// ErrMalformedResponse is the error of a response that cannot be parsed or that exceeds a size limit.
var ErrMalformedResponse = errors.New("response is malformed or exceeds a size limit")

// Response is a complete response of a server. Its byte slices may point into the buffer of its connection.
type Response struct {
	Status int
	Fields []Field
	Body   []byte
	Close  bool // the connection cannot be reused
}

// Answer is the response that the node sends to a client.
type Answer struct {
	Status     int
	Fields     []Field // forwarded from the server's response
	Body       []byte
	RetryAfter time.Duration // 0: no Retry-After
	Close      bool          // announce that the connection closes after the response
}

// IsTarget reports whether b is a valid request target in origin form.
func IsTarget(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return len(b) > 0 && b[0] == '/'
}
