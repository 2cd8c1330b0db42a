package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/testbed/standin/connpair"
)

// TestLateSecondCopy guards against a second copy of a response that is passed on as the response to the next request. The
// server writes a copy of its last response when the next request arrives on the connection within copyWindow of it: the copy
// has crossed that request on the way.
func TestLateSecondCopy(t *testing.T) {
	t.Parallel()
	const copyWindow = 20 * time.Millisecond // "some milliseconds", and the latency of a link
	at := standIn(t, func(nc net.Conn) {
		defer nc.Close()
		var request http1.Request
		var last string
		var answeredAt time.Time
		for conn := http1.NewConn(nc); conn.ReadRequest(&request) == nil; answeredAt = time.Now() {
			if last != "" && time.Since(answeredAt) < copyWindow {
				io.WriteString(nc, last)
			}
			id := string(request.Get(http1.RequestID))
			last = response200(id)
			io.WriteString(nc, last)
		}
	})
	node, _ := startNode(t, config(http1.Endpoint{ID: "s", Address: at, Weight: 1}))
	for _, path := range []string{"/check/1", "/book/1"} {
		client := dial(t, node)
		for range 3 * distinctResponses {
			want := fmt.Sprint(ids.Add(1))
			fmt.Fprintf(client, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", path, want)
			if r := readReply(t, client); r.Status != 200 || string(r.Body) != want {
				t.Fatalf("%s: got status %d, body %q, want 200 %q", path, r.Status, r.Body, want)
			}
		}
	}
}

// response200 returns a response with a body.
func response200(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestSecondCopySkipped guards against a second copy that is read as the response to the next request where a connection is reused
// at once, because the responses of the servers differ from each other.
func TestSecondCopySkipped(t *testing.T) {
	near, far := connpair.TCP(t)
	receive := func(conn *httpUpstream, response string) string {
		t.Helper()
		io.WriteString(far, response)
		near.SetReadDeadline(time.Now().Add(10 * time.Second))
		var r http1.Response
		if err := conn.ReceiveResponse(&r); err != nil {
			t.Fatal(err)
		}
		return string(r.Body)
	}
	for name, c := range map[string]struct {
		earlier       int // distinct responses of the servers
		first, second string
		isIdentified  bool   // after the first response
		want          string // second body
	}{
		"a copy, then the response":            {distinctResponses, response200("a"), response200("a") + response200("b"), true, "b"},
		"two copies, then the response":        {distinctResponses, response200("a"), response200("a") + response200("a") + response200("b"), true, "b"},
		"no copy":                              {distinctResponses, response200("a"), response200("b"), true, "b"},
		"too few responses":                    {distinctResponses - 2, response200("a"), response200("a"), false, "a"},
		"equal to an earlier response":         {distinctResponses, response200("earlier 3"), response200("earlier 3"), false, "earlier 3"},
		"an error":                             {distinctResponses, errorResponse, errorResponse, false, ""},
		"a copy of an error is not told apart": {distinctResponses, errorResponse, errorResponse + response200("b"), false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			conn := &httpUpstream{Conn: http1.NewConn(near), history: &responseHistory{}}
			for i := range c.earlier {
				receive(conn, response200(fmt.Sprint("earlier ", i)))
			}
			receive(conn, c.first)
			if got := conn.IdentifiesResponses(); got != c.isIdentified {
				t.Errorf("IdentifiesResponses: got %v", got)
			}
			if got := receive(conn, c.second); got != c.want {
				t.Errorf("second response: got %q, want %q", got, c.want)
			}
		})
	}
}

// TestEqualResponses checks that an equal response behind which nothing follows ends the recognition of copies: servers that give
// equal answers must not lose each of them.
func TestEqualResponses(t *testing.T) {
	near, far := connpair.TCP(t)
	conn := &httpUpstream{Conn: http1.NewConn(near), history: &responseHistory{}}
	for i := range distinctResponses {
		io.WriteString(far, response200(fmt.Sprint(i)))
		if err := conn.ReceiveResponse(&http1.Response{}); err != nil {
			t.Fatal(err)
		}
	}
	if !conn.IdentifiesResponses() {
		t.Fatal("copies are not recognized after distinct responses")
	}
	io.WriteString(far, response200(fmt.Sprint(distinctResponses-1)))
	near.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if err := conn.ReceiveResponse(&http1.Response{}); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("equal response: got error %v, want that the next one is awaited", err)
	}
	near.SetReadDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(far, response200("next"))
	if err := conn.ReceiveResponse(&http1.Response{}); err != nil {
		t.Fatal(err)
	}
	if conn.IdentifiesResponses() {
		t.Error("copies are still recognized by content")
	}
}
