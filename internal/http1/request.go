package http1

import (
	"bytes"
	"errors"
	"io"
	"slices"
)

// Malformed is a request that cannot be taken, with the status to answer it with.
type Malformed struct {
	Status int
	Why    string
}

func (m *Malformed) Error() string { return m.Why }

// Request is a whole request; its parts lie in the connection's buffer.
type Request struct {
	Method, Target []byte
	Fields         []Field
	Body           []byte
	Close          bool // the client wants no further one on this connection
}

// Path is the target without its query.
func (r *Request) Path() []byte {
	path, _, _ := bytes.Cut(r.Target, []byte{'?'})
	return path
}

// Get returns the value of a field, nil where it is not there.
func (r *Request) Get(name string) []byte { return find(r.Fields, name) }

// has tells whether a field is there, be it empty.
func (r *Request) has(name string) bool {
	return slices.ContainsFunc(r.Fields, func(f Field) bool { return f.Is(name) })
}

// ReadRequest reads a whole request. It returns io.EOF where the other side has closed between requests,
// and a *Malformed for what deserves an answer all the same.
func (c *Conn) ReadRequest(r *Request) error {
	head, err := c.head("")
	switch err {
	case errTooLarge:
		return &Malformed{431, "the head is too large"}
	case errNoMemory:
		return &Malformed{503, err.Error()}
	}
	if err != nil {
		return err
	}
	first, lines, _ := bytes.Cut(head, []byte("\r\n"))
	method, rest, _ := bytes.Cut(first, []byte{' '})
	target, version, _ := bytes.Cut(rest, []byte{' '})
	if _, after, ok := bytes.Cut(target, []byte("://")); ok && target[0] != '/' { // the form meant for proxies
		target = []byte{'/'}
		if i := bytes.IndexByte(after, '/'); i >= 0 {
			target = after[i:]
		}
	}
	*r = Request{Method: method, Target: target, Fields: r.Fields[:0]}
	if !isToken(method) || !isTarget(target) {
		return &Malformed{400, "the request line cannot be read"}
	}
	old := string(version) == "HTTP/1.0"
	if !old && string(version) != "HTTP/1.1" {
		return &Malformed{400, errVersion.Error()}
	}
	if r.Fields, err = parseFields(lines, r.Fields, false); err == errFields {
		return &Malformed{431, err.Error()}
	} else if err != nil {
		return &Malformed{400, err.Error()}
	}
	if !old && !r.has("Host") {
		return &Malformed{400, "no host is named"}
	}
	r.Close = old || lists(r.Fields, "Connection", "close")
	length, err := framing(r.Fields)
	if err != nil {
		return &Malformed{400, err.Error()}
	}
	if length == unstated {
		length = 0
	}
	if !old && length != 0 && c.at == c.end && lists(r.Fields, "Expect", "100-continue") {
		if _, err := c.Send([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	r.Body, err = c.body(length, MaxBody)
	switch {
	case err == errTooLarge:
		return &Malformed{413, "the body is too large"}
	case err == errNoMemory:
		return &Malformed{503, err.Error()}
	case errors.Is(err, errChunk):
		return &Malformed{400, err.Error()}
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	}
	return err
}

func isTarget(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return len(b) > 0 && b[0] == '/'
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
