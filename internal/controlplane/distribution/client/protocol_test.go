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

// Bytes that are no valid frame end that connection with one log line, and the next control process is followed.
func TestGarbledFrames(t *testing.T) {
	frame, err := wire.Append(nil, &wire.Batch{Batch: distribution.Batch{Number: 1, Entries: []distribution.Entry{{Key: key("hire", distribution.KindServer, "evil"),
		Clock: 1 << 60, Origin: "evil/1", Sequence: 1, Value: []byte("x")}}, IsComplete: true}})
	if err != nil {
		t.Fatal(err)
	}
	greeting, err := wire.Protocol.Append(nil, framing.HelloKind, framing.Hello{Version: wire.Version, Name: "evil"})
	if err != nil {
		t.Fatal(err)
	}
	other, err := wire.Protocol.Append(nil, framing.HelloKind, framing.Hello{Version: wire.Version + 1, Name: "evil"})
	if err != nil {
		t.Fatal(err)
	}
	refusal, err := wire.Protocol.Append(nil, framing.RejectionKind, framing.Rejection{Reason: "no room"})
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
		sends []byte
		why   string
	}{
		"a flipped bit":        {append(slices.Clone(greeting), flipped...), "frame checksum mismatch"},
		"half a frame":         {append(slices.Clone(greeting), frame[:len(frame)/2]...), "EOF"},
		"too long":             {append(slices.Clone(greeting), 0xff, 0xff, 0xff, 0xff, 5), "longer than any may be"},
		"an unknown kind":      {append(slices.Clone(greeting), 0, 0, 0, 4, 99), "unknown kind"},
		"no greeting":          {frame, "before the greeting"},
		"another version":      {other, "version 1 is spoken here"},
		"HTTP":                 {[]byte("HTTP/1.1 400 Bad Request\r\n\r\n"), "longer than any may be"},
		"refused":              {append(slices.Clone(greeting), refusal...), "refused by the peer: no room"},
		"a message of others'": {append(slices.Clone(greeting), write...), "unexpected *wire.Write from control process"},
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
					nc.Write(c.sends)
					go io.Copy(io.Discard, nc)
					time.AfterFunc(50*time.Millisecond, func() { nc.Close() })
				}
			}()
			good := newControl(t, "root/1")
			good.write(put("hire", distribution.KindServer, "s1", "up"))
			n := startNode(t, config(t, "n", []string{"hire"}, ln.Addr().String(), good.address()))
			started(t, n)
			if n.size() != 1 || n.value(key("hire", distribution.KindServer, "s1")) != "up" {
				t.Errorf("in force: %v", n.all())
			}
			n.log.mu.Lock()
			defer n.log.mu.Unlock()
			if logged := strings.Count(strings.Join(n.log.lines, ""), c.why); logged != 1 {
				t.Errorf("%q logged %d times: %q", c.why, logged, n.log.lines)
			}
		})
	}
}

// A control process that is connected but silent, as one that was stopped, is left for the next.
func TestSilentControlProcessIsDisconnected(t *testing.T) {
	c, next := newControl(t, "root/1"), newControl(t, "root/2")
	n := startNode(t, config(t, "n", []string{"hire"}, c.address(), next.address()))
	started(t, n)
	if n.Status().Upstream != c.address() {
		t.Fatalf("follows %s", n.Status().Upstream)
	}
	until(t, func() bool { // one that answers is kept
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.wants) >= 2
	}, "it is asked twice whether it is there")
	if n.Status().Upstream != c.address() {
		t.Fatal("a control process that answers was left")
	}
	c.mu.Lock()
	c.quiet = true
	c.mu.Unlock()
	until(t, func() bool { return n.Status().Upstream == next.address() }, "the next is followed")
	next.write(put("hire", distribution.KindServer, "s1", "up"))
	next.waitApplied("n")
}

// Commands and nodes read one file; each fault is reported by its line.
func TestConfigFaults(t *testing.T) {
	dir := t.TempDir()
	base := "control = [\"127.0.0.1:7560\"]\nservices = [\"hire\"]\ndirectory = \"" + dir + "\"\nplaintext = true\n"
	for name, c := range map[string]struct{ text, node, command string }{
		"well":                 {base, "", ""},
		"for commands alone":   {"control = [\"127.0.0.1:7560\"]\nplaintext = true\n", "0 services", ""},
		"nobody to follow":     {strings.Replace(base, "\"127.0.0.1:7560\"", "", 1), ":1: 0 control processes", ":1: 0 control processes"},
		"no address":           {strings.Replace(base, ":7560", "", 1), ":1: control process \"127.0.0.1\"", ":1: control process"},
		"no port":              {strings.Replace(base, ":7560", ":0", 1), ":1: control process \"127.0.0.1:0\"", ":1: control process"},
		"plain beyond":         {strings.Replace(base, "127.0.0.1", "10.0.0.1", 1), "loopback", "loopback"},
		"no folder":            {strings.Replace(base, dir, dir+"/none", 1), ":3: directory", ""},
		"a service twice":      {strings.Replace(base, "\"hire\"", "\"hire\", \"hire\"", 1), ":2: service \"hire\" listed twice", ""},
		"a service of nothing": {strings.Replace(base, "\"hire\"", "\"\"", 1), ":2: service \"\"", ""},
		"too long a start":     {base + "start_within = \"2m\"\n", ":5: start_within 2m0s", ""},
		"too long a return":    {base + "return_after = \"25h\"\n", ":5: return_after 25h0m0s", ""},
		"an unknown key":       {base + "zones = 2\n", ":5: unknown key \"zones\"", ":5: unknown key"},
		"no keys":              {strings.Replace(base, "plaintext = true\n", "", 1), "tls_name", "tls_name"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "f.toml")
			writeFile(t, path, c.text)
			_, node := Load(path)
			_, command := LoadAccess(path)
			for _, v := range []struct {
				err  error
				want string
			}{{node, c.node}, {command, c.command}} {
				if (v.err == nil) != (v.want == "") || v.err != nil && !strings.Contains(v.err.Error(), v.want) {
					t.Errorf("%v, not %q", v.err, v.want)
				}
			}
		})
	}
}
