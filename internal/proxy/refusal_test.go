package proxy

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fernvane/internal/protocol/http1"
)

// TestNoRequestAfterRefusal guards against a second copy of a refusal that is read as the refusal of the next request, which
// then runs at two servers. A refusal proves that a request never ran, and a copy of it has no mark of its request, however late
// it arrives, so the node must close the connection.
func TestNoRequestAfterRefusal(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"503 No", "504 No"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			refused := make(chan error, 1) // what the server reads behind its refusal
			var received atomic.Int32
			at := standIn(t, func(nc net.Conn) {
				defer nc.Close()
				for conn := http1.NewConn(nc); conn.ReadRequest(&http1.Request{}) == nil; {
					if received.Add(1) > 1 {
						io.WriteString(nc, okResponse)
						continue
					}
					io.WriteString(nc, strings.Replace(notStartedResponse, "503 No", status, 1))
					nc.SetReadDeadline(time.Now().Add(10 * time.Second))
					_, err := nc.Read(make([]byte, 1))
					refused <- err
					return
				}
			})
			cfg := config(http1.Endpoint{ID: "s", Address: at, Weight: 1})
			cfg.Settings.ConnIdle = time.Hour
			node, _ := startNode(t, cfg)
			get(t, dial(t, node), "/book/1")
			if err := <-refused; err != io.EOF {
				t.Errorf("read behind the refusal: got error %v, want that the node has closed the connection", err)
			}
		})
	}
}
