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
	var target *watch.Target
	targetSet := make(chan struct{})
	at := standIn(t, func(nc net.Conn) {
		defer nc.Close()
		<-targetSet
		http1.NewConn(nc).ReadRequest(&http1.Request{})
		target.Replace()
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n{\"revision\":9,\"members\":[]}")
	})
	target = watch.NewTarget(at)
	close(targetSet)
	w := watch.Watcher{Target: target}
	defer w.Close()
	if list, err := w.Poll(context.Background()); err != nil || list.Revision != 9 {
		t.Errorf("got revision %d, error %v, want revision 9", list.Revision, err)
	}
}
