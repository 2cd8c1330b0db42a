// Package message is what all protocols carry alike: requests, answers, the names of the fields that the platform reads,
// and the bounds of their size. Its parts lie in the memory of the connection that they came on.
package message

import (
	"bytes"
	"errors"
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	MaxHead   = 16 << 10 // bytes of what comes before a body
	MaxBody   = 64 << 10 // bytes of a request's body
	MaxAnswer = 1 << 20  // bytes of an answer's body; on some days they go beyond the 64 KiB agreed
	MaxFields = 100      // in one message; common servers take as many
)

// Field is one line of a head.
type Field struct{ Name, Value []byte }

// IsToken tells whether a name may stand for a field or a method.
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

// IsText tells whether a value is free of control characters.
func IsText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// Is compares a field's name without regard to case.
func (f Field) Is(name string) bool { return EqualFold(f.Name, name) }

// EqualFold compares without regard to the case of ASCII letters.
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

// Find returns the value of the first field of a name, nil where it is not there.
func Find(fields []Field, name string) []byte {
	for _, f := range fields {
		if f.Is(name) {
			return f.Value
		}
	}
	return nil
}

// HasToken tells whether a field that is a list of words holds this one.
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

// IsEndToEnd tells whether a field belongs to the message and not to the connection that it came on.
func IsEndToEnd(f Field, all []Field) bool {
	for _, own := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
		"Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"} {
		if f.Is(own) {
			return false
		}
	}
	return !HasToken(all, "Connection", string(f.Name))
}

// RequestError is a request that cannot be taken, with the status to answer it with.
type RequestError struct {
	Status int
	Why    string
}

// NewRequestError makes one.
func NewRequestError(status int, why string) *RequestError {
	return &RequestError{Status: status, Why: why}
}

func (m *RequestError) Error() string { return m.Why }

// Request is a whole request; its parts lie in the connection's buffer.
type Request struct {
	Method []byte
	Target []byte
	Fields []Field
	Body   []byte
	Close  bool // the client wants no further one on this connection
}

// Path is the target without its query.
func (r *Request) Path() []byte {
	path, _, _ := bytes.Cut(r.Target, []byte{'?'})
	return path
}

// Get returns the value of a field, nil where it is not there.
func (r *Request) Get(name string) []byte { return Find(r.Fields, name) }

// Has tells whether a field is there, be it empty.
func (r *Request) Has(name string) bool {
	return slices.ContainsFunc(r.Fields, func(f Field) bool { return f.Is(name) })
}

// Clone is the request in memory of its own, which outlives what the connection reads or writes next.
func (r *Request) Clone() *Request {
	size := len(r.Method) + len(r.Target) + len(r.Body)
	for _, f := range r.Fields {
		size += len(f.Name) + len(f.Value)
	}
	room := make([]byte, 0, size)
	keep := func(b []byte) []byte {
		room = append(room, b...)
		return room[len(room)-len(b) : len(room) : len(room)]
	}
	c := &Request{Method: keep(r.Method), Target: keep(r.Target), Body: keep(r.Body), Close: r.Close, Fields: make([]Field, len(r.Fields))}
	for i, f := range r.Fields {
		c.Fields[i] = Field{keep(f.Name), keep(f.Value)}
	}
	return c
}

// The names that the platform gives to things on the wire.
const (
	RequestID      = "Request-Id"
	RequestTimeout = "Request-Timeout"
	tenantField    = "Tenant"
	ForwardedFor   = "X-Forwarded-For" // one line a proxy passed; servers read them in turn
	NotStarted     = "Not-Started"
	ServerID       = "Server-Id" // of who answers; optional, beside what the platform has
	readyPath      = "/up"
)

// RequestInfo is what a request says of itself.
type RequestInfo struct {
	ID      []byte
	Type    []byte
	Tenant  []byte
	Timeout time.Duration // counted from when the client sent the request; below 0 where it is not said
}

// IsReadiness tells whether a request asks if the node can serve.
func (r *Request) IsReadiness() bool { return string(r.Path()) == readyPath }

// Info reads the parts of a request that decisions need.
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

// NotStarted tells whether a server's answer says that it has not begun the request.
func (r *Response) NotStarted() bool {
	return (r.Status == 503 || r.Status == 504) && string(Find(r.Fields, NotStarted)) == "1"
}

// RejectsRequest tells whether a server's answer finds fault with the request. Too slow (408) and too many (429) say
// something of the server's state, and 429 would tell a client that trying again is harmless.
func (r *Response) RejectsRequest() bool {
	return r.Status >= 400 && r.Status < 500 && r.Status != 408 && r.Status != 429
}

// ErrMalformedResponse is an answer that cannot be read, or is larger than allowed.
var ErrMalformedResponse = errors.New("the answer cannot be read")

// Response is a whole answer; its parts lie in the connection's buffer.
type Response struct {
	Status int
	Fields []Field
	Body   []byte
	Close  bool // the connection cannot be used again
}

// Answer is what a node says to a client.
type Answer struct {
	Status     int
	Fields     []Field // of a server's answer, passed on
	Body       []byte
	RetryAfter time.Duration
	Close      bool
}

// IsTarget tells whether a request may be for it.
func IsTarget(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return len(b) > 0 && b[0] == '/'
}
