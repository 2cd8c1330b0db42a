package control

import (
	"fmt"
	"strings"
	"testing"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
	"fernvane/internal/testbed/standin/address"
)

// Guards against an acknowledgement that its receiver treats as a protocol violation, because it has more rejections, or longer
// texts in them, than a message permits. A peer that sends entries that cannot be stored must stay connected.
func TestAcknowledgementsKeepBounds(t *testing.T) {
	t.Parallel()
	for name, key := range map[string]func(n int) distribution.Key{
		"many rejections": func(n int) distribution.Key {
			return distribution.Key{Service: "s", Kind: 99, Name: fmt.Sprint("entry-", n)}
		},
		"long names": func(n int) distribution.Key {
			return distribution.Key{Service: strings.Repeat("é", 200), Kind: distribution.KindRoute, Name: fmt.Sprint(strings.Repeat("€", 200), n)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := start(t, settings(t, "a", address.Free(t), disks(t)("a")))
			wait(t, "the processes to be current", m.isCurrent)
			conn, err := dialPeer(m.at, "peer", nil)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			ahead := distribution.Vector{"peer/1": 1000}
			wire.Send(conn, &wire.Subscribe{Subscription: distribution.Subscription{Name: "peer", Role: distribution.RoleControl, AllServices: true, Vector: ahead}})
			var entries []distribution.Entry
			for n := range 100 {
				entries = append(entries, distribution.Entry{Key: key(n), Origin: "peer/1", Clock: 1, Sequence: uint64(n + 1), Value: []byte("v")})
			}
			for {
				received, err := receiveMessage(conn, waitTimeout)
				if err != nil {
					t.Fatal(err)
				}
				switch received := received.(type) {
				case *wire.Pull:
					if received.IsContinuous {
						wire.Send(conn, &wire.Batch{Batch: distribution.Batch{Number: 1, Entries: entries, IsComplete: true, Through: ahead}})
					}
				case *wire.Acknowledge:
					if n := len(received.Acknowledgement.Rejected); n == 0 {
						t.Error("got no rejections, want at least one")
					}
					return
				}
			}
		})
	}
}

// Guards against an error text that its receiver treats as a protocol violation, because it was truncated by runes instead of bytes.
func TestWriteErrorKeepsBounds(t *testing.T) {
	t.Parallel()
	m := start(t, settings(t, "a", address.Free(t), disks(t)("a")))
	wait(t, "the processes to be current", m.isCurrent)
	written, err := tryWrite(m.at, route("s", strings.Repeat("€", 300)))
	if written == nil || err == nil || !strings.Contains(err.Error(), "€€€") {
		t.Errorf("got result %+v, error %v, want a result with a truncated error", written, err)
	}
}
