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

// script is a connection that brings given bytes, so many at a time, and then its end.
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

// steps are sizes of reads: byte by byte, at odd places, and all at once.
var steps = []int{1, 7, 1 << 20}

func TestRequests(t *testing.T) {
	const post = "POST /book/x?q=1 HTTP/1.1\r\nHost: h\r\n"
	for name, c := range map[string]struct {
		in     string
		body   string
		status int // of a request that is not taken
		err    error
		close  bool
	}{
		"by length":             {in: post + "Content-Length: 5\r\n\r\nhello", body: "hello"},
		"no body":               {in: "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"},
		"an empty host":         {in: "GET /a HTTP/1.1\r\nHost:\r\n\r\n"},
		"after empty lines":     {in: "\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n"},
		"chunked":               {in: post + "Transfer-Encoding: Chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nA: b\r\n\r\n", body: "hello"},
		"the last one":          {in: "GET /a HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\n\r\n", close: true},
		"of an old client":      {in: "GET /a HTTP/1.0\r\n\r\n", close: true},
		"the largest body":      {in: fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", post, MaxBody, strings.Repeat("b", MaxBody)), body: strings.Repeat("b", MaxBody)},
		"many small chunks":     {in: post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nc\r\n", MaxBody) + "0\r\n\r\n", body: strings.Repeat("c", MaxBody)},
		"two lengths, the same": {in: post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", body: "x"},

		"nothing":               {err: io.EOF},
		"half a head":           {in: "GET /a HT", err: io.ErrUnexpectedEOF},
		"half a body":           {in: post + "Content-Length: 5\r\n\r\nhe", err: io.ErrUnexpectedEOF},
		"half a chunk":          {in: post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhe", err: io.ErrUnexpectedEOF},
		"two words":             {in: "GET /a\r\n\r\n", status: 400},
		"no path":               {in: "GET a HTTP/1.1\r\nHost: h\r\n\r\n", status: 400},
		"another protocol":      {in: "GET /a HTTP/2.0\r\nHost: h\r\n\r\n", status: 400},
		"no host":               {in: "GET /a HTTP/1.1\r\n\r\n", status: 400},
		"a field without colon": {in: "GET /a HTTP/1.1\r\nHost\r\n\r\n", status: 400},
		"a folded field":        {in: "GET /a HTTP/1.1\r\nHost: h\r\n x: y\r\n\r\n", status: 400},
		"a control character":   {in: "GET /a HTTP/1.1\r\nHost: h\r\nA: b\x01\r\n\r\n", status: 400},
		"length and chunks":     {in: post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", status: 400},
		"two lengths":           {in: post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", status: 400},
		"a length below none":   {in: post + "Content-Length: -5\r\n\r\n", status: 400},
		"an unknown coding":     {in: post + "Transfer-Encoding: gzip, chunked\r\n\r\n", status: 400},
		"a chunk of no size":    {in: post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", status: 400},
		"a chunk that runs on":  {in: post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", status: 400},
		"an endless size line":  {in: post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 4*maxChunkLineBytes), status: 400},
		"a large body":          {in: fmt.Sprintf("%sContent-Length: %d\r\n\r\n", post, MaxBody+1), status: 413},
		"large chunks":          {in: post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("8000\r\n"+strings.Repeat("z", 0x8000)+"\r\n", 3), status: 413},
		"a large head":          {in: "GET /a HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", MaxHead), status: 431},
		"too many fields":       {in: "GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", message.MaxFields) + "\r\n", status: 431},
	} {
		t.Run(name, func(t *testing.T) {
			for _, step := range steps {
				// A second request behind the first must be found where it begins.
				next := "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
				s := &script{in: c.in, step: step, end: io.EOF}
				whole := c.status == 0 && c.err == nil
				if whole {
					s.in += next
				}
				conn := NewConn(s)
				var r Request
				err := conn.ReadRequest(&r)
				var bad *Malformed
				if c.status != 0 && (!errors.As(err, &bad) || bad.Status != c.status) || c.err != nil && err != c.err || whole && err != nil {
					t.Fatalf("step %d: %v", step, err)
				}
				if !whole {
					continue
				}
				if string(r.Body) != c.body || r.Close != c.close {
					t.Fatalf("step %d: body of %d bytes, close %v", step, len(r.Body), r.Close)
				}
				if err := conn.ReadRequest(&r); err != nil || string(r.Target) != "/next" {
					t.Fatalf("step %d: the next one: %q, %v", step, r.Target, err)
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
		"by length":         {in: ok + "Content-Length: 5\r\n\r\nhello", body: "hello"},
		"chunked":           {in: ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", body: "hello"},
		"until the close":   {in: ok + "\r\nhello", body: "hello", close: true},
		"said to close":     {in: ok + "Connection: close\r\nContent-Length: 0\r\n\r\n", close: true},
		"after a word":      {in: "HTTP/1.1 103 Early\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok", body: "ok"},
		"more than it":      {in: ok + "Content-Length: 2\r\n\r\nokHTTP", body: "ok", close: true},
		"none to be":        {in: "HTTP/1.1 204 No\r\n\r\n"},
		"cut in the head":   {in: "HTTP/1.1 200 OK\r\nConte", err: io.ErrUnexpectedEOF},
		"cut in the body":   {in: ok + "Content-Length: 5\r\n\r\nhel", err: io.ErrUnexpectedEOF},
		"cut in a chunk":    {in: ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel", err: io.ErrUnexpectedEOF},
		"cut behind one":    {in: ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", err: io.ErrUnexpectedEOF},
		"no answer":         {err: io.EOF},
		"no HTTP":           {in: "SSH-2.0-x\r\n\r\n", err: ErrGarbled},
		"no status":         {in: "HTTP/1.1 abc\r\n\r\n", err: ErrGarbled},
		"noise, and no end": {in: "\x01\x02\x03", err: ErrGarbled},
		"a wrong report":    {in: ok + "Load: \x01\x02\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"a wrong length":    {in: ok + "Content-Length: 2\x01\r\n\r\nok", err: ErrGarbled},
		"a hidden length":   {in: ok + "Load: x\nContent-Length: 2\r\n\r\nok", err: ErrGarbled},
		"words for ever":    {in: strings.Repeat("HTTP/1.1 100 Go on\r\n\r\n", 99), err: ErrGarbled},
		"a bad field":       {in: ok + "what is this\r\n\r\n", err: ErrGarbled},
		"a bad chunk":       {in: ok + "Transfer-Encoding: chunked\r\n\r\n\x00\x00\r\n", err: ErrGarbled},
		"too long":          {in: ok + fmt.Sprintf("Content-Length: %d\r\n\r\n", MaxBody+1), err: ErrGarbled},
		"too long by far":   {in: ok + "\r\n" + strings.Repeat("x", 2*MaxBody), err: ErrGarbled},
		"a head too large":  {in: ok + "A: " + strings.Repeat("x", MaxHead), err: ErrGarbled},
		"another protocol":  {in: "HTTP/1.1 101 Switching\r\n\r\n", err: ErrGarbled},
	} {
		t.Run(name, func(t *testing.T) {
			for _, step := range steps {
				var r Response
				err := NewConn(&script{in: c.in, step: step, end: io.EOF}).ReadResponse(&r, MaxBody)
				if err != c.err {
					t.Fatalf("step %d: %v", step, err)
				}
				if err == nil && (string(r.Body) != c.body || r.Close != c.close && step > 1) {
					t.Fatalf("step %d: %q, close %v", step, r.Body, r.Close)
				}
			}
		})
	}
}

// A server refuses a request whose id, method, path or body differ from what its client sent.
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
		t.Errorf("sent %q", got)
	}
	o, err := r.Info()
	if err != nil || string(o.Type) != "book" || string(o.Tenant) != "acme" || o.Timeout != 480*time.Millisecond {
		t.Errorf("read %+v, %v", o, err)
	}
	for in, want := range map[string]string{"http://h/a?b": "/a?b", "http://h": "/", "/a?u=x://y/z": "/a?u=x://y/z"} {
		err := NewConn(&script{in: "GET " + in + " HTTP/1.1\r\nHost: h\r\n\r\n", step: 99}).ReadRequest(&r)
		if err != nil || string(r.Target) != want {
			t.Errorf("%s goes on as %s, %v", in, r.Target, err)
		}
	}
	answer := string(AppendAnswer(nil, Answer{Status: 503, RetryAfter: 1500 * time.Millisecond, Close: true,
		Fields: []Field{{Name: []byte("Transfer-Encoding"), Value: []byte("chunked")}, {Name: []byte("Content-Type"), Value: []byte("a/b")}}}))
	if answer != "HTTP/1.1 503 Service Unavailable\r\nContent-Type: a/b\r\nRetry-After: 1.500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" {
		t.Errorf("answered %q", answer)
	}
}

func TestExpectContinue(t *testing.T) {
	for name, c := range map[string]struct{ in, want string }{
		"asked for":      {"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
		"there already":  {"Expect: 100-continue\r\nContent-Length: 2\r\n\r\nok", ""},
		"nothing to say": {"Content-Length: 2\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := &script{in: "POST /a HTTP/1.1\r\nHost: h\r\n" + c.in, step: 1 << 10, end: io.EOF}
			NewConn(s).ReadRequest(&Request{})
			if s.out.String() != c.want {
				t.Errorf("wrote %q", s.out.String())
			}
		})
	}
}

func TestOperationFields(t *testing.T) {
	for name, c := range map[string]struct {
		fields string
		ok     bool
	}{
		"all":            {"Request-Id: 1\r\nRequest-Timeout: 1.5\r\n", true},
		"no time-out":    {"Request-Id: 1\r\n", true},
		"no id":          {"Request-Timeout: 1.5\r\n", false},
		"time-out: word": {"Request-Id: 1\r\nRequest-Timeout: soon\r\n", false},
		"below zero":     {"Request-Id: 1\r\nRequest-Timeout: -1\r\n", false},
		"no number":      {"Request-Id: 1\r\nRequest-Timeout: NaN\r\n", false},
		"endless":        {"Request-Id: 1\r\nRequest-Timeout: 1e300\r\n", false},
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
	const good = `{"id":"s-1","host_port":"127.0.0.1:80","locality":"a","cell":3,"phase":"SERVING","size":1.5,"up_since_ms":7}`
	for name, c := range map[string]struct {
		in             string
		hosts, skipped int
		ok             bool
	}{
		"whole":               {`{"revision":4,"complete":true,"members":[` + good + `]}`, 1, 0, true},
		"no changes":          {`{"revision":4,"complete":false,"members":[]}`, 0, 0, true},
		"gone, no address":    {`{"revision":4,"members":[{"id":"s-2","phase":"DELETED"}]}`, 1, 0, true},
		"one without address": {`{"revision":4,"members":[{"id":"s-2","phase":"SERVING"},` + good + `]}`, 1, 1, true},
		"one without id":      {`{"revision":4,"members":[{"phase":"DELETED"},` + good + `]}`, 1, 1, true},
		"an unknown phase":    {`{"revision":4,"members":[{"id":"s-2","host_port":"127.0.0.1:80","phase":"NEW"},` + good + `]}`, 1, 1, true},
		"one of another form": {`{"revision":4,"members":[7,null,"x",` + good + `]}`, 1, 3, true},
		"cut off":             {`{"revision":4,"members":[` + good, 0, 0, false},
		"no revision":         {`{"members":[]}`, 0, 0, false},
		"no list":             {`oops`, 0, 0, false},
		"nothing":             {``, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := ParseEndpointList([]byte(c.in))
			if (err == nil) != c.ok || len(l.Hosts) != c.hosts || len(l.Skipped) != c.skipped {
				t.Errorf("%d hosts, %d skipped, %v", len(l.Hosts), len(l.Skipped), err)
			}
		})
	}
}

func TestDisconnect(t *testing.T) {
	for name, c := range map[string]struct {
		do                   func(*net.TCPConn)
		quiet, gone, waiting bool
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
			if !c.gone {
				near.SetReadDeadline(time.Unix(1, 0)) // nothing more will come: do not wait for it
			}
			if gone := conn.WaitDisconnected(); gone != c.gone {
				t.Errorf("gone %v", gone)
			}
			// A deadline that has passed, as after a hop, says nothing about the other side.
			if quiet, waiting := conn.IsIdle(), conn.HasUnread(); quiet != c.quiet || waiting != c.waiting {
				t.Errorf("quiet %v, waiting %v", quiet, waiting)
			}
		})
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// What cannot be looked at counts as open, or each of its operations would be dropped.
func TestOtherKindOfConnection(t *testing.T) {
	if NewConn(&script{end: io.EOF}).WaitDisconnected() {
		t.Error("gone")
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
				if len(r.Body) > MaxBody {
					t.Error("a body beyond the bound")
				}
			}
			var a Response
			NewConn(&script{in: string(in), step: step, end: io.EOF}).ReadResponse(&a, MaxBody)
		}
		ParseEndpointList(in)
	})
}

// Large messages share what memory there is: one too many is told so, and what was lent comes back.
func TestBufferBudget(t *testing.T) {
	const size = 40 << 10
	in := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size))
	p := NewPool(48 << 10)
	read := func() (*Conn, error) {
		c := NewPooled(&script{in: in, step: 1 << 20, end: io.EOF}, p)
		return c, c.ReadRequest(&Request{})
	}
	first, err := read()
	if err != nil {
		t.Fatal(err)
	}
	second, err := read()
	var bad *Malformed
	if !errors.As(err, &bad) || bad.Status != 503 {
		t.Errorf("two at once: %v", err)
	}
	first.ReleaseBuffers()
	second.ReleaseBuffers()
	if free := p.Available(); free != 48<<10 {
		t.Errorf("%d bytes free", free)
	}
	if _, err := read(); err != nil {
		t.Errorf("afterwards: %v", err)
	}
}
