package hostile

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	longWork   = 300 * time.Millisecond // of the server for a request that its client leaves behind
	answerWait = 2 * time.Second
)

// await waits until a condition holds.
func await(t *testing.T, what string, isMet func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !isMet(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no %s within 10 s", what)
		}
	}
}

// Guards against a request that runs twice because its id comes again after its client has left.
func TestIDAfterItsClientLeft(t *testing.T) {
	for _, sender := range senders {
		for name, isRunning := range map[string]bool{"while the first runs": true, "after the first has run": false} {
			t.Run(sender.name+", "+name, func(t *testing.T) {
				n := startNode(t, smallestMemoryMB)
				n.work.Store(int64(longWork))
				id := newID()
				first, err := dialTCP(sender.address(n))
				if err != nil {
					t.Fatal(err)
				}
				io.WriteString(first, sender.request(id, 1, ""))
				await(t, "request at the server", func() bool { return n.begun(id) == 1 })
				first.Close()
				if !isRunning {
					await(t, "end of the first", func() bool { return n.ended.Load() == 1 })
				}
				time.Sleep(longWork / 10) // the node notices that the client has left
				second, err := dialTCP(sender.address(n))
				if err != nil {
					t.Fatal(err)
				}
				defer second.Close()
				io.WriteString(second, sender.request(id, 1, ""))
				second.SetReadDeadline(time.Now().Add(answerWait))
				answer := make([]byte, 4096)
				got, err := second.Read(answer)
				if count := n.begun(id); count != 1 {
					t.Errorf("got the request begun %d times, want once", count)
				}
				if err != nil || !strings.Contains(string(answer[:got]), fmt.Sprint(http.StatusConflict)) {
					t.Errorf("got answer %q, error %v, want status %d", answer[:got], err, http.StatusConflict)
				}
			})
		}
	}
}
