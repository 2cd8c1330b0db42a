package proxy

import (
	"context"
	"io"
	"net"
	"testing"

	"fernvane/internal/discovery/watch"
	"fernvane/internal/protocol/http1"
)

// A response that arrives while the address of discovery changes is still used.
func TestAnswerWhileDiscoveryMoves(t *testing.T) {
	t.Parallel()
	var place *watch.Target
	named := make(chan struct{})
	at := standIn(t, func(nc net.Conn) {
		defer nc.Close()
		<-named
		http1.NewConn(nc).ReadRequest(&http1.Request{})
		place.Replace()
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n{\"revision\":9,\"members\":[]}")
	})
	place = watch.NewTarget(at)
	close(named)
	w := watch.Watcher{Target: place}
	defer w.Close()
	if l, err := w.Poll(context.Background()); err != nil || l.Revision != 9 {
		t.Errorf("got revision %d, error %v, want revision 9", l.Revision, err)
	}
}
