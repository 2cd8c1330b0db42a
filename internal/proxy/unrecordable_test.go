package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/journal/wal"
	"fernvane/internal/protocol/message"
	"fernvane/internal/testbed/standin/address"
	"fernvane/internal/testbed/standin/memdisk"
)

// Guards against sending a request whose journal entry could not be decoded later. Such a request is rejected with 400 before any attempt, and
// the journal continues to record other requests.
func TestUnrecordableRequestIsRejected(t *testing.T) {
	t.Parallel()
	for name, fields := range map[string]string{
		"an id that is not UTF-8":          "Request-Id: \xff%d\r\n",
		"an id that is too long":           "Request-Id: %d" + strings.Repeat("x", 5<<10) + "\r\n",
		"a tenant that is not UTF-8":       "Request-Id: %d\r\nTenant: \xc3\r\n",
		"a repeated id that is not UTF-8":  "Request-Id: %d\r\nRepeats: \xc3(\r\n",
		"texts that are too long together": "Request-Id: %d\r\nTenant: " + strings.Repeat("t", 2<<10) + "\r\nRepeats: " + strings.Repeat("r", 2<<10) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			serverEndpoints, received := servers(t, 1, okResponse)
			disk := memdisk.New()
			cfg := config(serverEndpoints...)
			cfg.Filesystem, cfg.Journal = disk, &wal.Config{Dir: "j", Durability: "machine", WhenFailing: "deny", MaxWait: tomlfile.Duration(time.Second), SegmentBytes: 1 << 20, RepeatOfField: "Repeats"}
			at, stop := startNode(t, cfg)
			c := dial(t, at)
			fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\n"+fields+"Content-Length: 0\r\n\r\n", ids.Add(1))
			if r := readReply(t, c); r.Status != 400 || !r.Close {
				t.Errorf("got status %d, close %v, want 400 with close", r.Status, r.Close)
			}
			if n := received.Load(); n > 0 {
				t.Errorf("got %d attempts sent, want none", n)
			}
			if status := book(t, at, ""); status != 200 {
				t.Errorf("next request: got status %d, want 200", status)
			}
			if err := stop(); err != nil {
				t.Fatal(err)
			}
			if all, gaps := entries(t, disk); len(all) != 1 || gaps > 0 {
				t.Errorf("got %d entries and %d gaps, want 1 entry without gaps", len(all), gaps)
			}
		})
	}
}

// TestUnrecordableFastCGIRequestIsRejected is TestUnrecordableRequestIsRejected for a FastCGI client.
func TestUnrecordableFastCGIRequestIsRejected(t *testing.T) {
	t.Parallel()
	serverEndpoints, received := servers(t, 1, okResponse)
	cfg := config(serverEndpoints...)
	cfg.Filesystem, cfg.Journal = memdisk.New(), &wal.Config{Dir: "j", Durability: "machine", WhenFailing: "deny", MaxWait: tomlfile.Duration(time.Second), SegmentBytes: 1 << 20}
	cgi := address.Free(t)
	cfg.Routes = routes(t, &cfg, fmt.Sprintf("[fastcgi]\nlisten = %q\nflavors = [\"cgi\"]", cgi))
	at, _ := startNode(t, cfg)
	get(t, dial(t, at), "/up") // the node listens on both addresses
	nc := dialFastCGI(t, cgi)
	nc.Write(encodeRequest(1, &message.Request{Method: []byte("POST"), Target: []byte("/book/1"), Fields: []message.Field{
		{Name: []byte("Request-Id"), Value: fmt.Appendf(nil, "\xff%d", ids.Add(1))}}}))
	if _, r, err := nc.Next(); err != nil || r.Status != 400 {
		t.Errorf("got status %d, error %v, want 400", r.Status, err)
	}
	if n := received.Load(); n > 0 {
		t.Errorf("got %d attempts sent, want none", n)
	}
}
