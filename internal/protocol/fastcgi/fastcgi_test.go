package fastcgi

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/fcgi"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"fernvane/internal/protocol/message"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// What is written is read again, however it is cut into records and reads.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOf(rapid.StringMatching(`[A-Z]{1,300}`)).Draw(t, "names")
		var stream []byte
		for _, n := range names {
			stream = appendPair(stream, n, strings.Repeat("v", len(n)%200))
		}
		var wire []byte
		for rest := stream; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "cut")
			wire = appendRecord(wire, typeParams, 7, rest[:n])
			rest = rest[n:]
		}
		wire = appendRecord(wire, typeParams, 7, nil)
		r := newReader(iotest.OneByteReader(bytes.NewReader(wire)))
		var got []byte
		for {
			rec, err := r.next()
			if err != nil || rec.kind != typeParams || rec.id != 7 {
				t.Fatalf("%+v, %v", rec, err)
			}
			if len(rec.content) == 0 {
				break
			}
			got = append(got, rec.content...)
		}
		pairs, err := parsePairs(got, nil)
		if err != nil || len(pairs) != len(names) {
			t.Fatalf("%d pairs of %d, %v", len(pairs), len(names), err)
		}
		for i, p := range pairs {
			if string(p.name) != names[i] || len(p.value) != len(names[i])%200 {
				t.Fatalf("pair %d is %q", i, p.name)
			}
		}
	})
}

// Nothing that a peer sends may bring a reader down or have it keep more than a message may hold.
func FuzzPeers(f *testing.F) {
	f.Add(appendStream(appendStream(appendBegin(nil, 1, 1), typeParams, 1, appendPair(nil, "REQUEST_URI", "/a")), typeStdin, 1, nil))
	f.Add(appendEnd(appendStream(nil, typeStdout, 1, []byte("Status: 200\r\n\r\nx")), 1, 0, 0))
	f.Fuzz(func(t *testing.T, in []byte) {
		pool := message.NewBufferBudget(1 << 20)
		front := NewClientConn(&script{in: bytes.NewReader(in)}, pool)
		for {
			call, err := front.NextRequest(nil)
			if err != nil {
				break
			}
			front.Answer(call, call.Append(nil, message.Answer{Status: 200}))
		}
		front.AbandonRequests()
		if free := pool.Available(); free != 1<<20 {
			t.Errorf("%d bytes are not given back", 1<<20-free)
		}
		back := NewServerConn(&script{in: bytes.NewReader(in)}, pool, nil)
		back.ReceiveResponse(&message.Response{})
		back.ReleaseBuffers()
	})
}

// script is a connection that brings a text, and takes all.
type script struct {
	net.Conn
	in  io.Reader
	out bytes.Buffer
}

func (s *script) Read(b []byte) (int, error)       { return s.in.Read(b) }
func (s *script) Write(b []byte) (int, error)      { return s.out.Write(b) }
func (s *script) SetWriteDeadline(time.Time) error { return nil }
func (s *script) Close() error                     { return nil }

// What a responder says, and what it means.
func TestReplies(t *testing.T) {
	out := func(text string) []byte { return appendStream(nil, typeStdout, 1, []byte(text)) }
	end := func(b []byte, app uint32, status byte) []byte { return appendEnd(b, 1, app, status) }
	padded := func(b []byte) []byte { // 255 bytes of padding behind a record
		n := len(b)
		b = append(b, version, typeStdout, 0, 1, 0, 1, 255, 0, '!')
		_ = n
		return append(b, make([]byte, 255)...)
	}
	for name, c := range map[string]struct {
		says   []byte
		status int // 0: an error
		body   string
		err    error
		never  bool
		again  bool
	}{
		"an answer":                    {end(out("Status: 200 OK\r\nX: y\r\n\r\nhello"), 0, 0), 200, "hello", nil, false, true},
		"no status":                    {end(out("Content-Type: a/b\n\nhello"), 0, 0), 200, "hello", nil, false, true},
		"an error":                     {end(out("Status: 500 No\r\n\r\n"), 0, 0), 500, "", nil, false, true},
		"turned away, by its head":     {end(out("Status: 503 No\r\nNot-Started: 1\r\n\r\n"), 0, 0), 503, "", nil, true, true},
		"overloaded":                   {end(nil, 0, statusOverloaded), 503, "", nil, true, true},
		"cannot share":                 {end(nil, 0, statusCantMPX), 503, "", nil, true, true},
		"another role":                 {end(nil, 0, statusUnknownRole), 503, "", nil, true, true},
		"overloaded, but it has begun": {end(out("Status: 200\r\n\r\nx"), 0, statusOverloaded), 0, "", message.ErrMalformedResponse, false, false},
		"a status of nobody":           {end(nil, 0, 9), 0, "", message.ErrMalformedResponse, false, false},
		"it failed behind its answer":  {end(out("Status: 200\r\n\r\nx"), 3, 0), 500, "x", nil, false, true},
		"a redirect":                   {end(out("Location: /x\r\n\r\n"), 0, 0), 302, "", nil, false, true},
		"in many records":              {end(append(out("Status: 2"), out("00\r\n\r\nhello")...), 0, 0), 200, "hello", nil, false, true},
		"padding of 255":               {end(padded(out("Status: 200\r\n\r\nhello")), 0, 0), 200, "hello!", nil, false, true},
		"STDERR between":               {end(append(appendStream(nil, typeStderr, 1, []byte("oh")), out("Status: 200\r\n\r\nx")...), 0, 0), 200, "x", nil, false, true},
		"endless STDERR":               {appendStream(nil, typeStderr, 1, make([]byte, maxStderrBytes+1)), 0, "", message.ErrMalformedResponse, false, false},
		"shorter than it says":         {end(out("Content-Length: 9\r\n\r\nhello"), 0, 0), 0, "", message.ErrMalformedResponse, false, false},
		"longer than it says":          {end(out("Content-Length: 2\r\n\r\nhello"), 0, 0), 0, "", message.ErrMalformedResponse, false, false},
		"END before the head is whole": {end(out("Status: 200\r\n"), 0, 0), 0, "", message.ErrMalformedResponse, false, false},
		"nothing but END":              {end(nil, 0, 0), 0, "", message.ErrMalformedResponse, false, false},
		"another's id":                 {appendEnd(nil, 2, 0, 0), 0, "", message.ErrMalformedResponse, false, false},
		"HTTP":                         {[]byte("HTTP/1.1 400 Bad Request\r\n\r\n"), 0, "", message.ErrMalformedResponse, false, false},
		"cut within a record":          {out("Status: 200\r\n\r\nhello")[:12], 0, "", io.ErrUnexpectedEOF, false, false},
		"cut behind a record":          {appendRecord(nil, typeStdout, 1, []byte("Status: 200\r\n\r\nx")), 0, "", io.ErrUnexpectedEOF, false, false},
		"cut within the END":           {end(out("Status: 200\r\n\r\nx"), 0, 0)[:44], 0, "", io.ErrUnexpectedEOF, false, false},
		"closed with no word":          {nil, 0, "", io.ErrUnexpectedEOF, false, false},
		"a head without end":           {out("X: " + strings.Repeat("x", message.MaxHead+9)), 0, "", io.ErrUnexpectedEOF, false, false},
		"too large":                    {out(strings.Repeat("x", message.MaxHead+message.MaxAnswer+1)), 0, "", message.ErrMalformedResponse, false, false},
		"an unknown record, of none":   {end(append(appendRecord(nil, typeUnknown, 0, make([]byte, 8)), out("Status: 200\r\n\r\nx")...), 0, 0), 200, "x", nil, false, true},
		"an unknown record":            {appendRecord(nil, 77, 1, nil), 0, "", message.ErrMalformedResponse, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewServerConn(&script{in: iotest.OneByteReader(bytes.NewReader(c.says))}, nil, nil)
			var r message.Response
			err := b.ReceiveResponse(&r)
			if !errors.Is(err, c.err) || err == nil && (r.Status != c.status || string(r.Body) != c.body || r.NotStarted() != c.never) || b.IsReusable(&r) != c.again {
				t.Errorf("%d %q, never ran %v, again %v, %v", r.Status, r.Body, r.NotStarted(), b.IsReusable(&r), err)
			}
		})
	}
}

// A responder that nobody here wrote: the standard library's.
func TestStandardResponder(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go fcgi.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Header.Get("Request-Id")+" "+r.Header.Get("Request-Timeout"))
		if r.URL.Path == "/hire-book/no" {
			w.WriteHeader(500)
		}
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
	}))
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	b := NewServerConn(nc, nil, nil)
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	for _, target := range []string{"/hire-book/1?a=b", "/hire-book/no", "/hire-book/" + strings.Repeat("x", 9000)} { // on one connection
		q := &message.Request{Method: []byte("POST"), Target: []byte(target), Body: bytes.Repeat([]byte("y"), 60000),
			Fields: []message.Field{{Name: []byte("Host"), Value: []byte("h")}, {Name: []byte("Request-Id"), Value: []byte("0a")}}}
		if whole, err := b.SendRequest(q, 250*time.Millisecond, "1.2.3.4"); !whole {
			t.Fatal(err)
		}
		var r message.Response
		if err := b.ReceiveResponse(&r); err != nil {
			t.Fatal(err)
		}
		want := 200
		if target == "/hire-book/no" {
			want = 500
		}
		if r.Status != want || string(r.Body) != "POST "+target+" "+string(q.Body) || string(message.Find(r.Fields, "X-Seen")) != "0a 0.250" || !b.IsReusable(&r) {
			t.Errorf("%s: %d, %.60q, %s", target, r.Status, r.Body, message.Find(r.Fields, "X-Seen"))
		}
		b.ReleaseBuffers()
	}
}

// What clients send on one connection, and what they are told: records of the answer, by request.
func TestClientConnRecords(t *testing.T) {
	begin := func(id uint16) []byte { return appendBegin(nil, id, flagKeep) }
	params := func(id uint16, more ...string) []byte {
		p := appendPair(appendPair(nil, paramMethod, "POST"), paramURI, "/book/1")
		for i := 0; i < len(more); i += 2 {
			p = appendPair(p, more[i], more[i+1])
		}
		return appendStream(nil, typeParams, id, p)
	}
	stdin := func(id uint16, body string) []byte { return appendStream(nil, typeStdin, id, []byte(body)) }
	join := func(parts ...[]byte) []byte { return bytes.Join(parts, nil) }
	for name, c := range map[string]struct {
		sends []byte
		calls string // whole requests: id, body or why it is bad
		told  string // records that are written without a call
		err   error
	}{
		"one":                       {join(begin(1), params(1), stdin(1, "abc")), "1:abc", "", io.EOF},
		"two, interleaved":          {join(begin(1), begin(2), params(2), params(1), stdin(2, "two"), stdin(1, "one")), "2:two 1:one", "", io.EOF},
		"an id that is open":        {join(begin(1), begin(1)), "", "", ErrProtocol},
		"another role":              {join(appendRecord(nil, typeBegin, 1, []byte{0, 3, 1, 0, 0, 0, 0, 0}), params(1), stdin(1, "")), "", "3/1", io.EOF},
		"aborted on its way":        {join(begin(1), params(1), appendRecord(nil, typeAbort, 1, nil), stdin(1, "abc")), "", "3/1", io.EOF},
		"aborted by nobody":         {appendRecord(nil, typeAbort, 9, nil), "", "", io.EOF},
		"a length that is wrong":    {join(begin(1), params(1, paramLength, "9"), stdin(1, "abc")), "1:the body is not as long as it is said to be", "", io.EOF},
		"two lengths":               {join(begin(1), params(1, paramLength, "3", paramLength, "4"), stdin(1, "abc")), "1:the length of the body is not clear", "", io.EOF},
		"a huge body":               {join(begin(1), params(1), stdin(1, strings.Repeat("x", 70_000)), begin(2), params(2), stdin(2, "")), "1:the body is too large 2:", "", io.EOF},
		"huge params":               {join(begin(1), params(1, "HTTP_X", strings.Repeat("x", 20_000)), stdin(1, "")), "1:the params are too large", "", io.EOF},
		"params that break off":     {join(begin(1), appendStream(nil, typeParams, 1, []byte{200, 0}), stdin(1, "")), "1:the params cannot be read", "", io.EOF},
		"a line break in a param":   {join(begin(1), params(1, "HTTP_X", "a\r\nHost: b"), stdin(1, "")), "1:a param cannot be read", "", io.EOF},
		"a body before the params":  {join(begin(1), stdin(1, "abc")), "", "", ErrProtocol},
		"no HTTP":                   {[]byte("GET / HTTP/1.1\r\n\r\n"), "", "", ErrProtocol},
		"a question":                {appendRecord(nil, typeGetValues, 0, appendPair(nil, "FCGI_MPXS_CONNS", "")), "", "10/0", io.EOF},
		"an unknown question":       {appendRecord(nil, 99, 0, nil), "", "11/0", io.EOF},
		"a question that is broken": {appendRecord(nil, typeGetValues, 0, []byte{200}), "", "", ErrProtocol},
	} {
		t.Run(name, func(t *testing.T) {
			conn := &script{in: iotest.OneByteReader(bytes.NewReader(c.sends))}
			f := NewClientConn(conn, message.NewBufferBudget(1<<20))
			var calls []string
			var err error
			for {
				var call *Request
				if call, err = f.NextRequest(nil); err != nil {
					break
				}
				if call.Malformed != nil {
					calls = append(calls, fmt.Sprint(call.ID, ":", call.Malformed.Why))
				} else {
					calls = append(calls, fmt.Sprint(call.ID, ":", string(call.Request.Body)))
				}
				f.freeID(call)
			}
			var told []string
			for r := newReader(&conn.out); ; {
				rec, err := r.next()
				if err != nil {
					break
				}
				told = append(told, fmt.Sprint(rec.kind, "/", rec.id))
			}
			if got := strings.Join(calls, " "); got != c.calls || strings.Join(told, " ") != c.told || !errors.Is(err, c.err) {
				t.Errorf("calls %q, told %q, %v", got, told, err)
			}
		})
	}
}

// echoing asks again under the same id as soon as its answer is written.
type echoing struct {
	script
	next func()
}

func (e *echoing) Write(b []byte) (int, error) {
	n, err := e.script.Write(b)
	if next := e.next; next != nil {
		e.next = nil
		next()
	}
	return n, err
}

// An id is free for its client from the moment at which the end of its request is written, not only after it.
func TestIdIsFreeBehindItsEnd(t *testing.T) {
	one := appendStream(appendStream(appendBegin(nil, 1, flagKeep), typeParams, 1, appendPair(appendPair(nil, paramMethod, "GET"), paramURI, "/a")), typeStdin, 1, nil)
	conn := &echoing{script: script{in: bytes.NewReader(append(one, one...))}}
	f := NewClientConn(conn, nil)
	call, err := f.NextRequest(nil)
	if err != nil {
		t.Fatal(err)
	}
	var second *Request
	conn.next = func() { second, err = f.NextRequest(nil) }
	f.Answer(call, call.Append(nil, message.Answer{Status: 200}))
	if second == nil || err != nil {
		t.Fatalf("the next request under the same id: %v", err)
	}
}

// Fields become params and back, and none can pass for another.
func TestParams(t *testing.T) {
	q := &message.Request{Method: []byte("POST"), Target: []byte("/a/b?c=d"), Body: []byte("xyz")}
	for name, value := range map[string]string{"Host": "h", "Request-Id": "7", "X_Tenant": "forged", "Proxy": "evil", "Connection": "X-Hop", "X-Hop": "1",
		"Content-Type": "t/u", "Request-Timeout": "9", "X-Forwarded-For": "9.9.9.9"} {
		q.Fields = append(q.Fields, message.Field{Name: []byte(name), Value: []byte(value)})
	}
	r, err := request(appendParams(nil, q, "0.100", "1.2.3.4"), q.Body)
	if err != nil {
		t.Fatal(err)
	}
	if string(r.Method) != "POST" || string(r.Target) != "/a/b?c=d" || string(r.Body) != "xyz" {
		t.Errorf("%s %s %s", r.Method, r.Target, r.Body)
	}
	for name, want := range map[string]string{"Host": "h", "Request-Id": "7", "X-Tenant": "", "Proxy": "", "X-Hop": "", "Content-Type": "t/u",
		"Request-Timeout": "0.100", "X-Forwarded-For": "1.2.3.4"} {
		if got := string(r.Get(name)); got != want {
			t.Errorf("%s is %q, not %q", name, got, want)
		}
	}
}
