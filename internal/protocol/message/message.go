// Package message holds what all protocols have in common: requests, responses, header fields, the platform's field names,
// and bounds of size. The parts of a message that was read lie in the buffer of its connection, and are valid until the
// next message is read or written there; Request.Clone copies them.
package message

import (
	"bytes"
	"errors"
	"math"
	"slices"
	"strconv"
	"time"
)

// Bounds of one message.
const (
	MaxHead   = 16 << 10 // bytes ahead of a body
	MaxBody   = 64 << 10 // bytes
	MaxAnswer = 1 << 20  // bytes
	MaxFields = 100      // in one message
)

// Field is a header field.
type Field struct{ Name, Value []byte }

// IsToken reports whether b is a valid name of a field or a method.
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

// IsText reports whether b is free of control characters but tab.
func IsText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// Is reports whether the field has this name, without regard to case.
func (f Field) Is(name string) bool { return EqualFold(f.Name, name) }

// EqualFold reports whether b and s are equal but for the case of ASCII letters.
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

// Find returns the value of the first field with this name, nil where there is none.
func Find(fields []Field, name string) []byte {
	for _, f := range fields {
		if f.Is(name) {
			return f.Value
		}
	}
	return nil
}

// HasToken reports whether a field that is a comma-separated list contains a token.
func HasToken(fields []Field, name, word string) bool {
	for _, f := range fields {
		if !f.Is(name) {
			continue
		}
		for part := range bytes.SplitSeq(f.Value, []byte{','}) {
			if EqualFold(bytes.Trim(part, " \t"), word) {
				return true
			}
		}
	}
	return false
}

// IsEndToEnd reports whether a field is forwarded. Others (hop-by-hop fields) belong to the connection they came on.
func IsEndToEnd(f Field, all []Field) bool {
	for _, own := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
		"Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"} {
		if f.Is(own) {
			return false
		}
	}
	return !HasToken(all, "Connection", string(f.Name))
}

// RequestError is the error of a request that cannot be served, with the status to answer it with.
type RequestError struct {
	Status int
	Why    string
}

// NewRequestError returns an error to be answered with status; why is logged and sent to the client.
func NewRequestError(status int, why string) *RequestError {
	return &RequestError{Status: status, Why: why}
}

func (m *RequestError) Error() string { return m.Why }

// Request is a complete request. Its parts lie in the connection's buffer.
type Request struct {
	Method []byte
	Target []byte
	Fields []Field
	Body   []byte
	Close  bool // the connection closes after the answer
}

// Path is the target without its query.
func (r *Request) Path() []byte {
	path, _, _ := bytes.Cut(r.Target, []byte{'?'})
	return path
}

// Get returns the value of a field, nil where there is none.
func (r *Request) Get(name string) []byte { return Find(r.Fields, name) }

// Has reports whether there is such a field, even with an empty value.
func (r *Request) Has(name string) bool {
	return slices.ContainsFunc(r.Fields, func(f Field) bool { return f.Is(name) })
}

// Clone copies the request into memory of its own, which outlives the next read or write of its connection.
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
	ForwardedFor   = "X-Forwarded-For" // client's address; FastCGI requests carry only the last one
	NotStarted     = "Not-Started"
	ServerID       = "Server-Id" // of the server that answers; optional
	readyPath      = "/up"
)

// RequestInfo is what the fields and the path of a request say that decisions need.
type RequestInfo struct {
	ID      []byte
	Type    []byte
	Tenant  []byte
	Timeout time.Duration // from when the client sent the request; below 0: not stated
}

// IsReadiness reports whether this is a readiness probe of the node itself.
func (r *Request) IsReadiness() bool { return string(r.Path()) == readyPath }

// Info reads the RequestInfo. The error is a *RequestError.
func (r *Request) Info() (RequestInfo, error) {
	o := RequestInfo{ID: r.Get(RequestID), Tenant: r.Get(tenantField), Timeout: -1}
	if string(r.Method) == "HEAD" || string(r.Method) == "CONNECT" {
		return o, &RequestError{405, "this method is not served"} // their answers have no body to pass on
	}
	if len(o.ID) == 0 {
		return o, &RequestError{400, "the request has no id"}
	}
	o.Type, _, _ = bytes.Cut(r.Path()[1:], []byte{'/'})
	if v := r.Get(RequestTimeout); r.Has(RequestTimeout) {
		s, err := strconv.ParseFloat(string(v), 64)
		if err != nil || math.IsNaN(s) || s < 0 || s > 1e6 {
			return o, &RequestError{400, "the time-out cannot be read"}
		}
		o.Timeout = time.Duration(s * float64(time.Second))
	}
	return o, nil
}

// NotStarted reports whether the response says that the server has not begun the request.
func (r *Response) NotStarted() bool {
	return (r.Status == 503 || r.Status == 504) && string(Find(r.Fields, NotStarted)) == "1"
}

// RejectsRequest reports whether the response finds fault with the request itself. 408 and 429 are excluded: they tell of
// the server's state.
func (r *Response) RejectsRequest() bool {
	return r.Status >= 400 && r.Status < 500 && r.Status != 408 && r.Status != 429
}

// ErrMalformedResponse is the error of a response that cannot be parsed, or is larger than allowed.
var ErrMalformedResponse = errors.New("the answer cannot be read")

// Response is a server's complete response. Its parts lie in the connection's buffer.
type Response struct {
	Status int
	Fields []Field
	Body   []byte
	Close  bool // the connection cannot be reused
}

// Answer is what the node sends to a client.
type Answer struct {
	Status     int
	Fields     []Field // of the server's response, forwarded
	Body       []byte
	RetryAfter time.Duration // 0: none
	Close      bool          // announce that the connection closes after it
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
