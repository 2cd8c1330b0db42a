package watch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/protocol/http1"
)

// TestRequestsSent compares the bytes of requests to discovery with those of the first build with this protocol.
func TestRequestsSent(t *testing.T) {
	const response = `{"revision":1099511627776,"complete":true,"members":[]}`
	for _, c := range []struct {
		name          string
		wantsFullList bool
		revision      uint64
		want          string // second request on a connection, whose wait is longer
		first         string // first request on a connection
	}{
		{"full list", true, 7, "GET /discovery/hosts HTTP/1.1\r\nHost: %s\r\n\r\n", "GET /discovery/hosts HTTP/1.1\r\nHost: %s\r\n\r\n"},
		{"changes after a revision", false, 1 << 40, "GET /discovery/hosts?index=1099511627776&wait=2000 HTTP/1.1\r\nHost: %s\r\n\r\n",
			"GET /discovery/hosts?index=1099511627776&wait=100 HTTP/1.1\r\nHost: %s\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			requests, done := make(chan string, 8), make(chan struct{})
			go func() {
				defer close(done)
				respondToRequests(listener, response, requests)
			}()
			address := netip.MustParseAddrPort(listener.Addr().String())
			w := Watcher{Target: NewTarget(address), WantsFullList: c.wantsFullList, Revision: c.revision}
			t.Cleanup(func() {
				w.Close()
				listener.Close()
				<-done
			})
			for _, want := range []string{c.first, c.want} {
				if _, err := w.Poll(context.Background()); err != nil {
					t.Fatal(err)
				}
				if got, want := <-requests, fmt.Sprintf(want, address); got != want {
					t.Errorf("got call\n%q, want\n%q", got, want)
				}
			}
		})
	}
}

// respondToRequests accepts one connection and sends the same response to each request until the connection is closed.
func respondToRequests(listener net.Listener, response string, requests chan<- string) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	var sent strings.Builder
	r := bufio.NewReader(io.TeeReader(conn, &sent))
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		requests <- sent.String()
		sent.Reset()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(response), response)
	}
}

// TestEntriesOfAList converts a list with every field into entries and back.
func TestEntriesOfAList(t *testing.T) {
	list := http1.EndpointList{Revision: 9, Endpoints: []http1.Endpoint{
		{ID: "a", Address: netip.MustParseAddrPort("127.0.0.1:80"), Zone: "north", MachineKind: "large", Cell: 3, Weight: 2.5, StartedUnixMS: 7, Condition: http1.Serving},
		{ID: "b", Address: netip.MustParseAddrPort("127.0.0.1:81"), Condition: http1.Draining},
		{ID: "c", Condition: http1.Deleted},
	}}
	want := []incarnation.Entry{
		{ID: "a", StartedUnixMS: 7, Condition: incarnation.Up, Revision: 9, Address: "127.0.0.1:80", Zone: "north", MachineKind: "large", Cell: 3, Weight: 2.5},
		{ID: "b", Condition: incarnation.Draining, Revision: 9, Address: "127.0.0.1:81"},
		{ID: "c", Condition: incarnation.Gone, Revision: 9},
	}
	entries := EntriesFromList(list)
	if !reflect.DeepEqual(entries, want) {
		t.Errorf("got entries %+v, want %+v", entries, want)
	}
	if converted := ListFromEntries(entries); !reflect.DeepEqual(converted, list) {
		t.Errorf("got list %+v, want %+v", converted, list)
	}
}
