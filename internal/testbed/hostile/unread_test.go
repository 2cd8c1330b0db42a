package hostile

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

const (
	shortWork      = 20 * time.Millisecond  // of the server for one request
	closeNotice    = 100 * time.Millisecond // within which a node notices a close
	pipelinedCount = 50                     // requests on one connection
	largeBody      = 20 << 10
)

// sender writes requests in one protocol.
type sender struct {
	name    string
	address func(*node) string
	// request returns a complete request of a non-idempotent type. number counts the requests of a connection from 1.
	request func(id string, number uint16, body string) string
}

var senders = []sender{
	{"HTTP", (*node).httpAddress, func(id string, _ uint16, body string) string {
		return fmt.Sprintf("POST /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}},
	{"FastCGI", (*node).fastCGIAddress, func(id string, number uint16, body string) string {
		return fcgiBeginRecord(number) + fcgiRecord(fcgiParams, number, fcgiRequestParams("/book/1", id)) + fcgiRecord(fcgiParams, number, "") + fcgiStream(number, body)
	}},
}

// Guards against requests that are sent on after their client has closed its connection with much still unread.
func TestRequestsOfClosedConnection(t *testing.T) {
	for _, sender := range senders {
		for name, c := range map[string]struct{ body, rest string }{
			"small requests":       {"", ""},
			"large requests":       {strings.Repeat("x", largeBody), ""},
			"unsound bytes behind": {"", strings.Repeat("x", 5*largeBody)},
		} {
			t.Run(sender.name+", "+name, func(t *testing.T) {
				n := startNode(t, smallestMemoryMB)
				n.work.Store(int64(shortWork))
				var requests strings.Builder
				for number := range uint16(pipelinedCount) {
					requests.WriteString(sender.request(newID(), number+1, c.body))
				}
				client, err := dialTCP(sender.address(n))
				if err != nil {
					t.Fatal(err)
				}
				text := requests.String() + c.rest
				client.SetWriteBuffer(len(text))
				io.WriteString(client, text)
				client.Close()
				time.Sleep(closeNotice)
				before := n.served.Load()
				time.Sleep(pipelinedCount * shortWork)
				t.Logf("%d requests at the server, %d of them within %s of the close", n.served.Load(), before, closeNotice)
				if count := n.served.Load() - before; count > 0 {
					t.Errorf("got %d requests at the server over %s after the client's close, want none", count, closeNotice)
				}
			})
		}
	}
}
