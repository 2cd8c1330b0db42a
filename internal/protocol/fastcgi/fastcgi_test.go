package fastcgi

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/fcgi"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"fernvane/internal/protocol/message"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRoundTrip checks that written pairs are read back unchanged, for any division into records and reads.
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
				t.Fatalf("got record %+v, error %v", rec, err)
			}
			if len(rec.content) == 0 {
				break
			}
			got = append(got, rec.content...)
		}
		var pairs []pair
		for rest := got; len(rest) > 0; {
			first, after, err := cutPair(rest)
			if err != nil {
				t.Fatalf("after %d pairs: %v", len(pairs), err)
			}
			pairs, rest = append(pairs, first), after
		}
		if len(pairs) != len(names) {
			t.Fatalf("got %d pairs, want %d", len(pairs), len(names))
		}
		for i, p := range pairs {
			if string(p.name) != names[i] || len(p.value) != len(names[i])%200 {
				t.Fatalf("pair %d: got name %q", i, p.name)
			}
		}
	})
}

// FuzzPeers checks that no input of a peer makes a reader panic or retain reserved memory.
func FuzzPeers(f *testing.F) {
	f.Add(appendStream(appendStream(appendBegin(nil, 1, 1), typeParams, 1, appendPair(nil, "REQUEST_URI", "/a")), typeStdin, 1, nil))
	f.Add(appendEnd(appendStream(nil, typeStdout, 1, []byte("Status: 200\r\n\r\nx")), 1, 0, 0))
	f.Fuzz(func(t *testing.T, input []byte) {
		budget := message.NewBufferBudget(1 << 20)
		clientConn := NewClientConn(&script{in: bytes.NewReader(input)}, budget)
		for {
			req, err := clientConn.NextRequest(nil)
			if err != nil {
				break
			}
			clientConn.Answer(req, req.Append(nil, message.Answer{Status: 200}))
		}
		clientConn.AbandonRequests()
		if available := budget.Available(); available != 1<<20 {
			t.Errorf("got %d bytes that were not released", 1<<20-available)
		}
		serverConn := NewServerConn(&script{in: bytes.NewReader(input)}, budget, nil)
		serverConn.ReceiveResponse(&message.Response{})
		serverConn.ReleaseBuffers()
	})
}

// TestLongRecords checks that a record of any length and padding is read whole in parts, and that the reader knows when it is not complete.
func TestLongRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wire []byte
		var contents []string
		for range rapid.IntRange(1, 4).Draw(t, "records") {
			content := strings.Repeat("x", rapid.SampledFrom([]int{0, 1, 8, maxPartBytes - 1, maxPartBytes, maxPartBytes + 1, readBufferBytes, 3*maxPartBytes + 7, maxContentBytes}).Draw(t, "length"))
			padding := rapid.IntRange(0, maxPaddingBytes).Draw(t, "padding")
			contents = append(contents, content)
			wire = append(wire, version, typeStdin, 0, 7, byte(len(content)>>8), byte(len(content)), byte(padding), 0)
			wire = append(append(wire, content...), make([]byte, padding)...)
		}
		r := newReader(bytes.NewReader(wire))
		for i, want := range contents {
			got := ""
			for isFirst := true; isFirst || len(got) < len(want); isFirst = false {
				rec, err := r.next()
				if err != nil || rec.kind != typeStdin || rec.id != 7 || rec.isContinuation == isFirst {
					t.Fatalf("record %d: got %+v, error %v", i, rec, err)
				}
				got += string(rec.content)
				isIncomplete := len(got) < len(want)
				isAtEnd := i == len(contents)-1 && !isIncomplete
				if isIncomplete && !r.isPartial() || isAtEnd && r.isPartial() {
					t.Fatalf("record %d: got partial %v after %d of %d bytes", i, r.isPartial(), len(got), len(want))
				}
			}
			if got != want {
				t.Fatalf("record %d: got %d bytes, want %d", i, len(got), len(want))
			}
		}
		if _, err := r.next(); err != io.EOF {
			t.Fatalf("got error %v after the last record, want %v", err, io.EOF)
		}
	})
}

// TestLongRecordTakesNoMemory guards against clients that announce long records, each of which took the whole length.
func TestLongRecordTakesNoMemory(t *testing.T) {
	header := []byte{version, typeParams, 0, 1, 0xff, 0xff, maxPaddingBytes, 0}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	const connections = 64
	for range connections {
		budget := message.NewBufferBudget(message.MaxHead)
		c := NewClientConn(&script{in: bytes.NewReader(append(appendBegin(nil, 1, flagKeep), header...))}, budget)
		if _, err := c.NextRequest(nil); err != io.ErrUnexpectedEOF {
			t.Fatalf("got error %v, want %v", err, io.ErrUnexpectedEOF)
		}
	}
	runtime.ReadMemStats(&after)
	if taken := (after.TotalAlloc - before.TotalAlloc) / connections; taken > 3*readBufferBytes {
		t.Errorf("got %d bytes for a connection, want at most %d", taken, 3*readBufferBytes)
	}
}

// TestManyPairsTakeNoMemory guards against params of very many pairs, which took over twenty times their length to parse.
func TestManyPairsTakeNoMemory(t *testing.T) {
	params := make([]byte, message.MaxHead) // empty pairs
	taken := testing.AllocsPerRun(10, func() { request(params, nil) })
	if taken > 10 {
		t.Errorf("got %.0f allocations, want a few", taken)
	}
}

// TestStreamMemoryIsReserved checks that the budget covers the buffers of a stream that comes in small records, not just their bytes.
func TestStreamMemoryIsReserved(t *testing.T) {
	const budgetBytes = 1 << 20
	budget := message.NewBufferBudget(budgetBytes)
	in := appendBegin(nil, 1, flagKeep)
	for range 5000 {
		in = appendRecord(in, typeParams, 1, []byte{0, 0})
	}
	c := NewClientConn(&script{in: bytes.NewReader(in)}, budget)
	c.NextRequest(nil)
	if r := c.open[1]; budget.Available() > int64(budgetBytes-cap(r.params)) {
		t.Errorf("got %d bytes reserved for a buffer of %d", budgetBytes-budget.Available(), cap(r.params))
	}
}

// script is a connection that delivers a given input and records the output.
type script struct {
	net.Conn
	in  io.Reader
	out bytes.Buffer
}

func (s *script) Read(b []byte) (int, error)       { return s.in.Read(b) }
func (s *script) Write(b []byte) (int, error)      { return s.out.Write(b) }
func (s *script) SetWriteDeadline(time.Time) error { return nil }
func (s *script) Close() error                     { return nil }

// TestResponses checks the response that is derived from the output of a responder.
func TestResponses(t *testing.T) {
	stdout := func(text string) []byte { return appendStream(nil, typeStdout, 1, []byte(text)) }
	end := func(b []byte, app uint32, status byte) []byte { return appendEnd(b, 1, app, status) }
	padded := func(b []byte) []byte { // 255 bytes of padding behind a record
		n := len(b)
		b = append(b, version, typeStdout, 0, 1, 0, 1, 255, 0, '!')
		_ = n
		return append(b, make([]byte, 255)...)
	}
	for name, c := range map[string]struct {
		output     []byte
		status     int // 0: an error
		body       string
		err        error
		notStarted bool
		reusable   bool
	}{
		"a response":                   {end(stdout("Status: 200 OK\r\nX: y\r\n\r\nhello"), 0, 0), 200, "hello", nil, false, true},
		"no status":                    {end(stdout("Content-Type: a/b\n\nhello"), 0, 0), 200, "hello", nil, false, true},
		"an error":                     {end(stdout("Status: 500 No\r\n\r\n"), 0, 0), 500, "", nil, false, true},
		"not started, by its head":     {end(stdout("Status: 503 No\r\nNot-Started: 1\r\n\r\n"), 0, 0), 503, "", nil, true, true},
		"overloaded":                   {end(nil, 0, statusOverloaded), 503, "", nil, true, true},
		"no multiplexing":              {end(nil, 0, statusCantMPX), 503, "", nil, true, true},
		"another role":                 {end(nil, 0, statusUnknownRole), 503, "", nil, true, true},
		"overloaded, but started":      {end(stdout("Status: 200\r\n\r\nx"), 0, statusOverloaded), 0, "", message.ErrMalformedResponse, false, false},
		"unknown protocol status":      {end(nil, 0, 9), 0, "", message.ErrMalformedResponse, false, false},
		"failed after its response":    {end(stdout("Status: 200\r\n\r\nx"), 3, 0), 500, "x", nil, false, true},
		"a redirect":                   {end(stdout("Location: /x\r\n\r\n"), 0, 0), 302, "", nil, false, true},
		"in many records":              {end(append(stdout("Status: 2"), stdout("00\r\n\r\nhello")...), 0, 0), 200, "hello", nil, false, true},
		"padding of 255":               {end(padded(stdout("Status: 200\r\n\r\nhello")), 0, 0), 200, "hello!", nil, false, true},
		"STDERR between records":       {end(append(appendStream(nil, typeStderr, 1, []byte("oh")), stdout("Status: 200\r\n\r\nx")...), 0, 0), 200, "x", nil, false, true},
		"endless STDERR":               {appendStream(nil, typeStderr, 1, make([]byte, maxStderrBytes+1)), 0, "", message.ErrMalformedResponse, false, false},
		"shorter than Content-Length":  {end(stdout("Content-Length: 9\r\n\r\nhello"), 0, 0), 0, "", message.ErrMalformedResponse, false, false},
		"longer than Content-Length":   {end(stdout("Content-Length: 2\r\n\r\nhello"), 0, 0), 0, "", message.ErrMalformedResponse, false, false},
		"END_REQUEST within the head":  {end(stdout("Status: 200\r\n"), 0, 0), 0, "", message.ErrMalformedResponse, false, false},
		"END_REQUEST alone":            {end(nil, 0, 0), 0, "", message.ErrMalformedResponse, false, false},
		"unknown request ID":           {appendEnd(nil, 2, 0, 0), 0, "", message.ErrMalformedResponse, false, false},
		"HTTP":                         {[]byte("HTTP/1.1 400 Bad Request\r\n\r\n"), 0, "", message.ErrMalformedResponse, false, false},
		"truncated within a record":    {stdout("Status: 200\r\n\r\nhello")[:12], 0, "", io.ErrUnexpectedEOF, false, false},
		"truncated after a record":     {appendRecord(nil, typeStdout, 1, []byte("Status: 200\r\n\r\nx")), 0, "", io.ErrUnexpectedEOF, false, false},
		"truncated within END_REQUEST": {end(stdout("Status: 200\r\n\r\nx"), 0, 0)[:44], 0, "", io.ErrUnexpectedEOF, false, false},
		"closed without output":        {nil, 0, "", io.ErrUnexpectedEOF, false, false},
		"a head without end":           {stdout("X: " + strings.Repeat("x", message.MaxHead+9)), 0, "", io.ErrUnexpectedEOF, false, false},
		"too large":                    {stdout(strings.Repeat("x", message.MaxHead+message.MaxResponseBody+1)), 0, "", message.ErrMalformedResponse, false, false},
		"unknown management record":    {end(append(appendRecord(nil, typeUnknown, 0, make([]byte, 8)), stdout("Status: 200\r\n\r\nx")...), 0, 0), 200, "x", nil, false, true},
		"an unknown record":            {appendRecord(nil, 77, 1, nil), 0, "", message.ErrMalformedResponse, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			serverConn := NewServerConn(&script{in: iotest.OneByteReader(bytes.NewReader(c.output))}, nil, nil)
			var r message.Response
			err := serverConn.ReceiveResponse(&r)
			if !errors.Is(err, c.err) || err == nil && (r.Status != c.status || string(r.Body) != c.body || r.NotStarted() != c.notStarted) || serverConn.IsReusable(&r) != c.reusable {
				t.Errorf("got status %d, body %q, not started %v, reusable %v, error %v", r.Status, r.Body, r.NotStarted(), serverConn.IsReusable(&r), err)
			}
		})
	}
}

// TestStandardResponder runs requests against the FastCGI responder of the standard library.
func TestStandardResponder(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go fcgi.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Header.Get("Request-Id")+" "+r.Header.Get("Request-Timeout"))
		if r.URL.Path == "/hire-book/no" {
			w.WriteHeader(500)
		}
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
	}))
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	serverConn := NewServerConn(conn, nil, nil)
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	for _, target := range []string{"/hire-book/1?a=b", "/hire-book/no", "/hire-book/" + strings.Repeat("x", 9000)} { // all on one connection
		req := &message.Request{Method: []byte("POST"), Target: []byte(target), Body: bytes.Repeat([]byte("y"), 60000),
			Fields: []message.Field{{Name: []byte("Host"), Value: []byte("h")}, {Name: []byte("Request-Id"), Value: []byte("0a")}}}
		if complete, err := serverConn.SendRequest(req, 250*time.Millisecond, "1.2.3.4"); !complete {
			t.Fatal(err)
		}
		var r message.Response
		if err := serverConn.ReceiveResponse(&r); err != nil {
			t.Fatal(err)
		}
		want := 200
		if target == "/hire-book/no" {
			want = 500
		}
		if r.Status != want || string(r.Body) != "POST "+target+" "+string(req.Body) || string(message.Find(r.Fields, "X-Seen")) != "0a 0.250" || !serverConn.IsReusable(&r) {
			t.Errorf("%s: got status %d, body %.60q, X-Seen %s", target, r.Status, r.Body, message.Find(r.Fields, "X-Seen"))
		}
		serverConn.ReleaseBuffers()
	}
}

// TestClientConnRecords checks the requests that are read from a client connection, and the records that are written in
// response.
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
		sends    []byte
		requests string // complete requests: ID, and body or reason of the error
		written  string // records that are written in addition to answers: type and ID
		err      error
	}{
		"one":                          {join(begin(1), params(1), stdin(1, "abc")), "1:abc", "", io.EOF},
		"two, interleaved":             {join(begin(1), begin(2), params(2), params(1), stdin(2, "two"), stdin(1, "one")), "2:two 1:one", "", io.EOF},
		"ID in use":                    {join(begin(1), begin(1)), "", "", ErrProtocol},
		"another role":                 {join(appendRecord(nil, typeBegin, 1, []byte{0, 3, 1, 0, 0, 0, 0, 0}), params(1), stdin(1, "")), "", "3/1", io.EOF},
		"aborted before complete":      {join(begin(1), params(1), appendRecord(nil, typeAbort, 1, nil), stdin(1, "abc")), "", "3/1", io.EOF},
		"abort of an unknown ID":       {appendRecord(nil, typeAbort, 9, nil), "", "", io.EOF},
		"wrong CONTENT_LENGTH":         {join(begin(1), params(1, paramLength, "9"), stdin(1, "abc")), "1:the body is not as long as it is said to be", "", io.EOF},
		"two values of CONTENT_LENGTH": {join(begin(1), params(1, paramLength, "3", paramLength, "4"), stdin(1, "abc")), "1:the length of the body is not clear", "", io.EOF},
		"a huge body":                  {join(begin(1), params(1), stdin(1, strings.Repeat("x", 70_000)), begin(2), params(2), stdin(2, "")), "1:the body is too large 2:", "", io.EOF},
		"huge params":                  {join(begin(1), params(1, "HTTP_X", strings.Repeat("x", 20_000)), stdin(1, "")), "1:the params are too large", "", io.EOF},
		"truncated params":             {join(begin(1), appendStream(nil, typeParams, 1, []byte{200, 0}), stdin(1, "")), "1:the params cannot be read", "", io.EOF},
		"a line break in a param":      {join(begin(1), params(1, "HTTP_X", "a\r\nHost: b"), stdin(1, "")), "1:a param cannot be read", "", io.EOF},
		"a body before the params":     {join(begin(1), stdin(1, "abc")), "", "", ErrProtocol},
		"HTTP":                         {[]byte("GET / HTTP/1.1\r\n\r\n"), "", "", ErrProtocol},
		"GET_VALUES":                   {appendRecord(nil, typeGetValues, 0, appendPair(nil, "FCGI_MPXS_CONNS", "")), "", "10/0", io.EOF},
		"unknown management record":    {appendRecord(nil, 99, 0, nil), "", "11/0", io.EOF},
		"malformed GET_VALUES":         {appendRecord(nil, typeGetValues, 0, []byte{200}), "", "", ErrProtocol},
	} {
		t.Run(name, func(t *testing.T) {
			conn := &script{in: iotest.OneByteReader(bytes.NewReader(c.sends))}
			clientConn := NewClientConn(conn, message.NewBufferBudget(1<<20))
			var requests []string
			var err error
			for {
				var req *Request
				if req, err = clientConn.NextRequest(nil); err != nil {
					break
				}
				if req.RequestError != nil {
					requests = append(requests, fmt.Sprint(req.ID, ":", req.RequestError.Reason))
				} else {
					requests = append(requests, fmt.Sprint(req.ID, ":", string(req.Request.Body)))
				}
				clientConn.freeID(req)
			}
			var written []string
			for r := newReader(&conn.out); ; {
				rec, err := r.next()
				if err != nil {
					break
				}
				written = append(written, fmt.Sprint(rec.kind, "/", rec.id))
			}
			if got := strings.Join(requests, " "); got != c.requests || strings.Join(written, " ") != c.written || !errors.Is(err, c.err) {
				t.Errorf("got requests %q, written records %q, error %v", got, written, err)
			}
		})
	}
}

// reusingConn calls next as soon as its first output is written, as a client that uses the same ID again.
type reusingConn struct {
	script
	next func()
}

func (c *reusingConn) Write(b []byte) (int, error) {
	n, err := c.script.Write(b)
	if next := c.next; next != nil {
		c.next = nil
		next()
	}
	return n, err
}

// TestIDIsReusableAfterEnd checks that a client can use an ID again as soon as END_REQUEST is written, before Answer has
// returned.
func TestIDIsReusableAfterEnd(t *testing.T) {
	encoded := appendStream(appendStream(appendBegin(nil, 1, flagKeep), typeParams, 1, appendPair(appendPair(nil, paramMethod, "GET"), paramURI, "/a")), typeStdin, 1, nil)
	conn := &reusingConn{script: script{in: bytes.NewReader(append(encoded, encoded...))}}
	clientConn := NewClientConn(conn, nil)
	first, err := clientConn.NextRequest(nil)
	if err != nil {
		t.Fatal(err)
	}
	var second *Request
	conn.next = func() { second, err = clientConn.NextRequest(nil) }
	clientConn.Answer(first, first.Append(nil, message.Answer{Status: 200}))
	if second == nil || err != nil {
		t.Fatalf("next request with the same ID: got error %v", err)
	}
}

// TestParams checks that fields are mapped to params and back, and that no field can forge another.
func TestParams(t *testing.T) {
	sent := &message.Request{Method: []byte("POST"), Target: []byte("/a/b?c=d"), Body: []byte("xyz")}
	for name, value := range map[string]string{"Host": "h", "Request-Id": "7", "X_Tenant": "forged", "Proxy": "evil", "Connection": "X-Hop", "X-Hop": "1",
		"Content-Type": "t/u", "Request-Timeout": "9", "X-Forwarded-For": "9.9.9.9"} {
		sent.Fields = append(sent.Fields, message.Field{Name: []byte(name), Value: []byte(value)})
	}
	received, err := request(appendParams(nil, sent, "0.100", "1.2.3.4"), sent.Body)
	if err != nil {
		t.Fatal(err)
	}
	if string(received.Method) != "POST" || string(received.Target) != "/a/b?c=d" || string(received.Body) != "xyz" {
		t.Errorf("got %s %s %s", received.Method, received.Target, received.Body)
	}
	for name, want := range map[string]string{"Host": "h", "Request-Id": "7", "X-Tenant": "", "Proxy": "", "X-Hop": "", "Content-Type": "t/u",
		"Request-Timeout": "0.100", "X-Forwarded-For": "1.2.3.4"} {
		if got := string(received.Get(name)); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
}

// TestSecondCopyOfPreviousResponse guards against a late copy of a response that is read as the response to the next request on
// the connection.
func TestSecondCopyOfPreviousResponse(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	responses := make(chan error, 1)
	go func() {
		responder := NewClientConn(far, nil)
		defer responder.AbandonRequests()
		var previous []byte
		for range 3 {
			request, err := responder.NextRequest(nil)
			if err != nil {
				responses <- err
				return
			}
			far.Write(previous)
			previous = request.Append(nil, message.Answer{Status: 200, Body: request.Request.Target})
			responder.Answer(request, previous)
		}
		responses <- nil
	}()
	conn := NewServerConn(near, nil, nil)
	for _, target := range []string{"/check/1", "/check/2", "/check/3"} {
		request := &message.Request{Method: []byte("GET"), Target: []byte(target)}
		if isWritten, err := conn.SendRequest(request, time.Minute, "127.0.0.1"); !isWritten {
			t.Fatal(err)
		}
		var r message.Response
		if err := conn.ReceiveResponse(&r); err != nil || string(r.Body) != target {
			t.Fatalf("got body %q, error %v, want %q", r.Body, err, target)
		}
	}
	if err := <-responses; err != nil {
		t.Fatal(err)
	}
}
