package client

import (
	"io"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// TestGarbledFrames checks that invalid bytes close the connection with one log line, and that the node connects to the next
// control process.
func TestGarbledFrames(t *testing.T) {
	frame, err := wire.Append(nil, &wire.Batch{Batch: distribution.Batch{Number: 1, Entries: []distribution.Entry{{Key: key("hire", distribution.KindServer, "evil"),
		Clock: 1 << 60, Origin: "evil/1", Sequence: 1, Value: []byte("x")}}, IsComplete: true}})
	if err != nil {
		t.Fatal(err)
	}
	hello, err := wire.Protocol.Append(nil, framing.HelloKind, framing.Hello{Version: wire.Version, Name: "evil"})
	if err != nil {
		t.Fatal(err)
	}
	otherVersion, err := wire.Protocol.Append(nil, framing.HelloKind, framing.Hello{Version: wire.Version + 1, Name: "evil"})
	if err != nil {
		t.Fatal(err)
	}
	rejectionFrame, err := wire.Protocol.Append(nil, framing.RejectionKind, framing.Rejection{Reason: "no room"})
	if err != nil {
		t.Fatal(err)
	}
	write, err := wire.Append(nil, &wire.Write{ID: 1, Changes: []distribution.Change{put("hire", distribution.KindServer, "evil", "x")}})
	if err != nil {
		t.Fatal(err)
	}
	flipped := slices.Clone(frame)
	flipped[len(flipped)/2] ^= 0x20
	for name, c := range map[string]struct {
		sent   []byte
		logged string
	}{
		"a flipped bit":         {append(slices.Clone(hello), flipped...), "frame checksum mismatch"},
		"half a frame":          {append(slices.Clone(hello), frame[:len(frame)/2]...), "EOF"},
		"too long":              {append(slices.Clone(hello), 0xff, 0xff, 0xff, 0xff, 5), "longer than any may be"},
		"an unknown kind":       {append(slices.Clone(hello), 0, 0, 0, 4, 99), "unknown kind"},
		"no greeting":           {frame, "before the greeting"},
		"another version":       {otherVersion, "version 1 is spoken here"},
		"HTTP":                  {[]byte("HTTP/1.1 400 Bad Request\r\n\r\n"), "longer than any may be"},
		"refused":               {append(slices.Clone(hello), rejectionFrame...), "refused by the peer: no room"},
		"an unexpected message": {append(slices.Clone(hello), write...), "unexpected *wire.Write from control process"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				for {
					nc, err := ln.Accept()
					if err != nil {
						return
					}
					nc.Write(c.sent)
					go io.Copy(io.Discard, nc)
					time.AfterFunc(50*time.Millisecond, func() { nc.Close() })
				}
			}()
			responsive := newFakeControl(t, "root/1")
			responsive.write(put("hire", distribution.KindServer, "s1", "up"))
			n := startNode(t, nodeConfig(t, "n", []string{"hire"}, ln.Addr().String(), responsive.address()))
			waitStarted(t, n)
			if n.size() != 1 || n.value(key("hire", distribution.KindServer, "s1")) != "up" {
				t.Errorf("got applied %v, want only s1 up", n.all())
			}
			n.log.mu.Lock()
			defer n.log.mu.Unlock()
			if count := strings.Count(strings.Join(n.log.lines, ""), c.logged); count != 1 {
				t.Errorf("%q: got %d log lines, want 1: %q", c.logged, count, n.log.lines)
			}
		})
	}
}

// TestSilentControlProcessIsDisconnected checks that the node disconnects from a control process that is connected but silent, as
// a suspended process is, and connects to the next one.
func TestSilentControlProcessIsDisconnected(t *testing.T) {
	c, next := newFakeControl(t, "root/1"), newFakeControl(t, "root/2")
	n := startNode(t, nodeConfig(t, "n", []string{"hire"}, c.address(), next.address()))
	waitStarted(t, n)
	if n.Status().Upstream != c.address() {
		t.Fatalf("got upstream %s, want the first control process", n.Status().Upstream)
	}
	waitUntil(t, func() bool { // a responding control process stays connected
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.pulls) >= 2
	}, "two pings are received")
	if n.Status().Upstream != c.address() {
		t.Fatal("node disconnected from a control process that responds to pings")
	}
	c.mu.Lock()
	c.isSilent = true
	c.mu.Unlock()
	waitUntil(t, func() bool { return n.Status().Upstream == next.address() }, "the next control process is followed")
	next.write(put("hire", distribution.KindServer, "s1", "up"))
	next.waitApplied("n")
}

// TestConfigFaults checks the faults, with their lines, that Load reports for nodes and LoadForCommand for commands.
func TestConfigFaults(t *testing.T) {
	dir := t.TempDir()
	base := "control = [\"127.0.0.1:7560\"]\nservices = [\"hire\"]\ndirectory = \"" + dir + "\"\nplaintext = true\n"
	for name, c := range map[string]struct{ text, node, command string }{
		"valid":                     {base, "", ""},
		"for commands alone":        {"control = [\"127.0.0.1:7560\"]\nplaintext = true\n", "0 services", ""},
		"no control process":        {strings.Replace(base, "\"127.0.0.1:7560\"", "", 1), ":1: 0 control processes", ":1: 0 control processes"},
		"no address":                {strings.Replace(base, ":7560", "", 1), ":1: control process \"127.0.0.1\"", ":1: control process"},
		"no port":                   {strings.Replace(base, ":7560", ":0", 1), ":1: control process \"127.0.0.1:0\"", ":1: control process"},
		"plaintext beyond loopback": {strings.Replace(base, "127.0.0.1", "10.0.0.1", 1), "loopback", "loopback"},
		"no folder":                 {strings.Replace(base, dir, dir+"/none", 1), ":3: directory", ""},
		"a service twice":           {strings.Replace(base, "\"hire\"", "\"hire\", \"hire\"", 1), ":2: service \"hire\" listed twice", ""},
		"an empty service name":     {strings.Replace(base, "\"hire\"", "\"\"", 1), ":2: service \"\"", ""},
		"too long a start":          {base + "start_within = \"2m\"\n", ":5: start_within 2m0s", ""},
		"too long a failback":       {base + "return_after = \"25h\"\n", ":5: return_after 25h0m0s", ""},
		"an unknown key":            {base + "zones = 2\n", ":5: unknown key \"zones\"", ":5: unknown key"},
		"no keys":                   {strings.Replace(base, "plaintext = true\n", "", 1), "tls_name", "tls_name"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "f.toml")
			writeFile(t, path, c.text)
			_, node := Load(path)
			_, command := LoadForCommand(path)
			for _, v := range []struct {
				err  error
				want string
			}{{node, c.node}, {command, c.command}} {
				if (v.err == nil) != (v.want == "") || v.err != nil && !strings.Contains(v.err.Error(), v.want) {
					t.Errorf("got error %v, want %q", v.err, v.want)
				}
			}
		})
	}
}
