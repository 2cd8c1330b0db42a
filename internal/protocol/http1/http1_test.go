package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"fernvane/internal/protocol/message"
	"fernvane/internal/testbed/standin/connpair"
)

// script is a connection that delivers the bytes of in, at most step bytes per read, and then the error end.
type script struct {
	net.Conn
	in   string
	step int
	end  error
	out  bytes.Buffer
}

func (s *script) Read(b []byte) (int, error) {
	if s.in == "" {
		return 0, s.end
	}
	n := copy(b[:min(len(b), s.step)], s.in)
	s.in = s.in[n:]
	return n, nil
}

func (s *script) Write(b []byte) (int, error) { return s.out.Write(b) }

// steps are sizes of reads: single bytes, an odd size, and everything in one read.
var steps = []int{1, 7, 1 << 20}

func TestRequests(t *testing.T) {
	const post = "POST /book/x?q=1 HTTP/1.1\r\nHost: h\r\n"
	for name, c := range map[string]struct {
		in     string
		body   string
		status int // of the error response; 0: the request is valid
		err    error
		close  bool
	}{
		"by length":             {in: post + "Content-Length: 5\r\n\r\nhello", body: "hello"},
		"no body":               {in: "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"},
		"an empty host":         {in: "GET /a HTTP/1.1\r\nHost:\r\n\r\n"},
		"after empty lines":     {in: "\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n"},
		"chunked":               {in: post + "Transfer-Encoding: Chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nA: b\r\n\r\n", body: "hello"},
		"Connection: close":     {in: "GET /a HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\n\r\n", close: true},
		"HTTP/1.0":              {in: "GET /a HTTP/1.0\r\n\r\n", close: true},
		"the largest body":      {in: fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", post, MaxRequestBody, strings.Repeat("b", MaxRequestBody)), body: strings.Repeat("b", MaxRequestBody)},
		"many small chunks":     {in: post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nc\r\n", MaxRequestBody) + "0\r\n\r\n", body: strings.Repeat("c", MaxRequestBody)},
		"two lengths, the same": {in: post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", body: "x"},

		"no input":                   {err: io.EOF},
		"truncated head":             {in: "GET /a HT", err: io.ErrUnexpectedEOF},
		"truncated body":             {in: post + "Content-Length: 5\r\n\r\nhe", err: io.ErrUnexpectedEOF},
		"truncated chunk":            {in: post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhe", err: io.ErrUnexpectedEOF},
		"no version":                 {in: "GET /a\r\n\r\n", status: 400},
		"no path":                    {in: "GET a HTTP/1.1\r\nHost: h\r\n\r\n", status: 400},
		"another protocol":           {in: "GET /a HTTP/2.0\r\nHost: h\r\n\r\n", status: 400},
		"no host":                    {in: "GET /a HTTP/1.1\r\n\r\n", status: 400},
		"a field without colon":      {in: "GET /a HTTP/1.1\r\nHost\r\n\r\n", status: 400},
		"a folded field":             {in: "GET /a HTTP/1.1\r\nHost: h\r\n x: y\r\n\r\n", status: 400},
		"a control character":        {in: "GET /a HTTP/1.1\r\nHost: h\r\nA: b\x01\r\n\r\n", status: 400},
		"length and chunks":          {in: post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", status: 400},
		"two lengths":                {in: post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", status: 400},
		"negative length":            {in: post + "Content-Length: -5\r\n\r\n", status: 400},
		"an unknown coding":          {in: post + "Transfer-Encoding: gzip, chunked\r\n\r\n", status: 400},
		"chunk without size":         {in: post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", status: 400},
		"chunk longer than its size": {in: post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", status: 400},
		"an endless size line":       {in: post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 4*maxChunkLineBytes), status: 400},
		"a large body":               {in: fmt.Sprintf("%sContent-Length: %d\r\n\r\n", post, MaxRequestBody+1), status: 413},
		"large chunks":               {in: post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("8000\r\n"+strings.Repeat("z", 0x8000)+"\r\n", 3), status: 413},
		"a large head":               {in: "GET /a HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", MaxHead), status: 431},
		"too many fields":            {in: "GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", message.MaxFields) + "\r\n", status: 431},
	} {
		t.Run(name, func(t *testing.T) {
			for _, step := range steps {
				// A second request behind the first must be read from its first byte.
				next := "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
				s := &script{in: c.in, step: step, end: io.EOF}
				isValid := c.status == 0 && c.err == nil
				if isValid {
					s.in += next
				}
				conn := NewConn(s)
				var r Request
				err := conn.ReadRequest(&r)
				var requestError *RequestError
				if c.status != 0 && (!errors.As(err, &requestError) || requestError.Status != c.status) || c.err != nil && err != c.err || isValid && err != nil {
					t.Fatalf("step %d: got error %v", step, err)
				}
				if !isValid {
					continue
				}
				if string(r.Body) != c.body || r.Close != c.close {
					t.Fatalf("step %d: got body of %d bytes, close %v", step, len(r.Body), r.Close)
				}
				if err := conn.ReadRequest(&r); err != nil || string(r.Target) != "/next" {
					t.Fatalf("step %d: got next request %q, error %v", step, r.Target, err)
				}
			}
		})
	}
}

func TestResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		in    string
		body  string
		err   error
		close bool
	}{
		"by length":                 {in: ok + "Content-Length: 5\r\n\r\nhello", body: "hello"},
		"chunked":                   {in: ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", body: "hello"},
		"until the close":           {in: ok + "\r\nhello", body: "hello", close: true},
		"Connection: close":         {in: ok + "Connection: close\r\nContent-Length: 0\r\n\r\n", close: true},
		"after an interim response": {in: "HTTP/1.1 103 Early\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok", body: "ok"},
		"bytes behind it":           {in: ok + "Content-Length: 2\r\n\r\nokHTTP", body: "ok", close: true},
		"status without body":       {in: "HTTP/1.1 204 No\r\n\r\n"},
		"truncated head":            {in: "HTTP/1.1 200 OK\r\nConte", err: io.ErrUnexpectedEOF},
		"truncated body":            {in: ok + "Content-Length: 5\r\n\r\nhel", err: io.ErrUnexpectedEOF},
		"truncated chunk":           {in: ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel", err: io.ErrUnexpectedEOF},
		"truncated after a chunk":   {in: ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", err: io.ErrUnexpectedEOF},
		"no response":               {err: io.EOF},
		"no HTTP":                   {in: "SSH-2.0-x\r\n\r\n", err: ErrMalformedResponse},
		"no status":                 {in: "HTTP/1.1 abc\r\n\r\n", err: ErrMalformedResponse},
		"noise":                     {in: "\x01\x02\x03", err: ErrMalformedResponse},
		"invalid field value":       {in: ok + "Load: \x01\x02\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"invalid length":            {in: ok + "Content-Length: 2\x01\r\n\r\nok", err: ErrMalformedResponse},
		"length hidden in a field":  {in: ok + "Load: x\nContent-Length: 2\r\n\r\nok", err: ErrMalformedResponse},
		"endless interim responses": {in: strings.Repeat("HTTP/1.1 100 Go on\r\n\r\n", 99), err: ErrMalformedResponse},
		"a bad field":               {in: ok + "what is this\r\n\r\n", err: ErrMalformedResponse},
		"a bad chunk":               {in: ok + "Transfer-Encoding: chunked\r\n\r\n\x00\x00\r\n", err: ErrMalformedResponse},
		"too long":                  {in: ok + fmt.Sprintf("Content-Length: %d\r\n\r\n", MaxRequestBody+1), err: ErrMalformedResponse},
		"far too long":              {in: ok + "\r\n" + strings.Repeat("x", 2*MaxRequestBody), err: ErrMalformedResponse},
		"a head too large":          {in: ok + "A: " + strings.Repeat("x", MaxHead), err: ErrMalformedResponse},
		"another protocol":          {in: "HTTP/1.1 101 Switching\r\n\r\n", err: ErrMalformedResponse},
	} {
		t.Run(name, func(t *testing.T) {
			for _, step := range steps {
				var r Response
				err := NewConn(&script{in: c.in, step: step, end: io.EOF}).ReadResponse(&r, MaxRequestBody)
				if err != c.err {
					t.Fatalf("step %d: got error %v", step, err)
				}
				if err == nil && (string(r.Body) != c.body || r.Close != c.close && step > 1) {
					t.Fatalf("step %d: got body %q, close %v", step, r.Body, r.Close)
				}
			}
		})
	}
}

// TestForwardedFields checks that a request is forwarded with its ID, method, path and body unchanged, because a server
// rejects a request in which these differ from what the client sent.
func TestForwardedFields(t *testing.T) {
	in := "POST /book/7?x=%20y HTTP/1.1\r\nHost: svc\r\nRequest-Id: 9b1f\r\nTenant: acme\r\nRequest-Timeout: 0.480\r\n" +
		"Connection: keep-alive, X-Own\r\nX-Own: 1\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	s := &script{in: in, step: len(in), end: io.EOF}
	var r Request
	if err := NewConn(s).ReadRequest(&r); err != nil {
		t.Fatal(err)
	}
	got := string(AppendRequest(nil, &r, 250*time.Millisecond, "127.0.0.9"))
	want := "POST /book/7?x=%20y HTTP/1.1\r\nHost: svc\r\nRequest-Id: 9b1f\r\nTenant: acme\r\nX-Forwarded-For: 127.0.0.9\r\nRequest-Timeout: 0.250\r\nContent-Length: 4\r\n\r\nbody"
	if got != want {
		t.Errorf("got request %q", got)
	}
	info, err := r.Info()
	if err != nil || string(info.Type) != "book" || string(info.Tenant) != "acme" || info.Timeout != 480*time.Millisecond {
		t.Errorf("got info %+v, error %v", info, err)
	}
	for in, want := range map[string]string{"http://h/a?b": "/a?b", "http://h": "/", "/a?u=x://y/z": "/a?u=x://y/z"} {
		err := NewConn(&script{in: "GET " + in + " HTTP/1.1\r\nHost: h\r\n\r\n", step: 99}).ReadRequest(&r)
		if err != nil || string(r.Target) != want {
			t.Errorf("%s: got target %s, error %v", in, r.Target, err)
		}
	}
	answer := string(AppendAnswer(nil, Answer{Status: 503, RetryAfter: 1500 * time.Millisecond, Close: true,
		Fields: []Field{{Name: []byte("Transfer-Encoding"), Value: []byte("chunked")}, {Name: []byte("Content-Type"), Value: []byte("a/b")}}}))
	if answer != "HTTP/1.1 503 Service Unavailable\r\nContent-Type: a/b\r\nRetry-After: 1.500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" {
		t.Errorf("got answer %q", answer)
	}
}

func TestExpectContinue(t *testing.T) {
	for name, c := range map[string]struct{ in, want string }{
		"expected":              {"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body already received": {"Expect: 100-continue\r\nContent-Length: 2\r\n\r\nok", ""},
		"not expected":          {"Content-Length: 2\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := &script{in: "POST /a HTTP/1.1\r\nHost: h\r\n" + c.in, step: 1 << 10, end: io.EOF}
			NewConn(s).ReadRequest(&Request{})
			if s.out.String() != c.want {
				t.Errorf("got %q", s.out.String())
			}
		})
	}
}

func TestRequestInfo(t *testing.T) {
	for name, c := range map[string]struct {
		fields string
		ok     bool
	}{
		"all":           {"Request-Id: 1\r\nRequest-Timeout: 1.5\r\n", true},
		"no timeout":    {"Request-Id: 1\r\n", true},
		"no id":         {"Request-Timeout: 1.5\r\n", false},
		"timeout: word": {"Request-Id: 1\r\nRequest-Timeout: soon\r\n", false},
		"below zero":    {"Request-Id: 1\r\nRequest-Timeout: -1\r\n", false},
		"no number":     {"Request-Id: 1\r\nRequest-Timeout: NaN\r\n", false},
		"endless":       {"Request-Id: 1\r\nRequest-Timeout: 1e300\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			var r Request
			if err := NewConn(&script{in: "GET / HTTP/1.1\r\nHost: h\r\n" + c.fields + "\r\n", step: 99}).ReadRequest(&r); err != nil {
				t.Fatal(err)
			}
			if _, err := r.Info(); (err == nil) != c.ok {
				t.Error(err)
			}
		})
	}
}

func TestParseEndpointList(t *testing.T) {
	const valid = `{"id":"s-1","host_port":"127.0.0.1:80","locality":"a","cell":3,"phase":"SERVING","size":1.5,"up_since_ms":7}`
	for name, c := range map[string]struct {
		in                 string
		endpoints, skipped int
		ok                 bool
	}{
		"complete":                {`{"revision":4,"complete":true,"members":[` + valid + `]}`, 1, 0, true},
		"no changes":              {`{"revision":4,"complete":false,"members":[]}`, 0, 0, true},
		"deleted, no address":     {`{"revision":4,"members":[{"id":"s-2","phase":"DELETED"}]}`, 1, 0, true},
		"one without address":     {`{"revision":4,"members":[{"id":"s-2","phase":"SERVING"},` + valid + `]}`, 1, 1, true},
		"one without id":          {`{"revision":4,"members":[{"phase":"DELETED"},` + valid + `]}`, 1, 1, true},
		"an unknown phase":        {`{"revision":4,"members":[{"id":"s-2","host_port":"127.0.0.1:80","phase":"NEW"},` + valid + `]}`, 1, 1, true},
		"entries of another type": {`{"revision":4,"members":[7,null,"x",` + valid + `]}`, 1, 3, true},
		"truncated":               {`{"revision":4,"members":[` + valid, 0, 0, false},
		"no revision":             {`{"members":[]}`, 0, 0, false},
		"no list":                 {`oops`, 0, 0, false},
		"nothing":                 {``, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := ParseEndpointList([]byte(c.in))
			if (err == nil) != c.ok || len(l.Endpoints) != c.endpoints || len(l.Skipped) != c.skipped {
				t.Errorf("got %d endpoints, %d skipped, error %v", len(l.Endpoints), len(l.Skipped), err)
			}
		})
	}
}

func TestDisconnect(t *testing.T) {
	for name, c := range map[string]struct {
		do                         func(*net.TCPConn)
		idle, disconnected, unread bool
	}{
		"sends":                 {func(c *net.TCPConn) { c.Write([]byte("x")) }, false, false, true},
		"sends and closes":      {func(c *net.TCPConn) { c.Write([]byte("x")); c.Close() }, false, true, true},
		"sends much and closes": {func(c *net.TCPConn) { c.Write(make([]byte, 100<<10)); c.Close() }, false, true, true},
		"sends without an end":  {func(c *net.TCPConn) { go io.Copy(c, zeros{}) }, false, true, true},
		"closes":                {func(c *net.TCPConn) { c.Close() }, false, true, false},
		"resets":                {func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, false, true, false},
		"is idle":               {func(*net.TCPConn) {}, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connpair.TCP(t)
			conn := NewConn(near)
			c.do(far)
			if !c.disconnected {
				near.SetReadDeadline(time.Unix(1, 0)) // nothing else will arrive, so do not wait
			}
			if disconnected := conn.WaitDisconnected(); disconnected != c.disconnected {
				t.Errorf("got disconnected %v", disconnected)
			}
			// A deadline that has passed, as after an attempt, says nothing about the peer.
			if idle, unread := conn.IsIdle(), conn.HasUnread(); idle != c.idle || unread != c.unread {
				t.Errorf("got idle %v, unread %v", idle, unread)
			}
		})
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// TestOtherKindOfConnection checks that a connection that does not support peeking counts as open, because all of its
// requests would be dropped otherwise.
func TestOtherKindOfConnection(t *testing.T) {
	if NewConn(&script{end: io.EOF}).WaitDisconnected() {
		t.Error("got disconnected, want open")
	}
}

func FuzzMessages(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"))
	f.Add([]byte(`{"revision":4,"members":[{"id":"s","host_port":"127.0.0.1:80","phase":"SERVING"}]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		for _, step := range steps {
			var r Request
			if NewConn(&script{in: string(in), step: step, end: io.EOF}).ReadRequest(&r) == nil {
				r.Info()
				if len(r.Body) > MaxRequestBody {
					t.Error("got a body longer than MaxRequestBody")
				}
			}
			var a Response
			NewConn(&script{in: string(in), step: step, end: io.EOF}).ReadResponse(&a, MaxRequestBody)
		}
		ParseEndpointList(in)
	})
}

// TestBufferBudget checks that large messages share the budget, that a message is rejected if too little of it is left, and that
// released memory can be reserved again.
func TestBufferBudget(t *testing.T) {
	const size = 40 << 10
	in := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size))
	budget := NewBufferBudget(48 << 10)
	read := func() (*Conn, error) {
		c := NewConnWithBudget(&script{in: in, step: 1 << 20, end: io.EOF}, budget)
		return c, c.ReadRequest(&Request{})
	}
	first, err := read()
	if err != nil {
		t.Fatal(err)
	}
	second, err := read()
	var requestError *RequestError
	if !errors.As(err, &requestError) || requestError.Status != 503 {
		t.Errorf("second message: got error %v, want status 503", err)
	}
	first.ReleaseBuffers()
	second.ReleaseBuffers()
	if free := budget.Available(); free != 48<<10 {
		t.Errorf("got %d bytes available", free)
	}
	if _, err := read(); err != nil {
		t.Errorf("after release: got error %v", err)
	}
}

// TestPeekDisconnectedBehindUnread guards against an attempt for a client that has closed its connection behind bytes that nothing has read.
func TestPeekDisconnectedBehindUnread(t *testing.T) {
	near, far := connpair.TCP(t)
	conn := NewConn(near)
	io.WriteString(far, "GET / HTTP/1.1\r\n")
	if conn.PeekDisconnected() {
		t.Error("before the close: got a disconnect")
	}
	far.Close()
	for deadline := time.Now().Add(10 * time.Second); !conn.PeekDisconnected(); time.Sleep(time.Millisecond) { // the kernel may deliver the close later
		if time.Now().After(deadline) {
			t.Fatal("after the close: got no disconnect within 10 s")
		}
	}
}
