package mtls

import (
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"fernvane/internal/testbed/standin/certauthority"
)

func authority(t *testing.T) *certauthority.Authority {
	t.Helper()
	a, err := certauthority.New("authority")
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func load(t *testing.T, a *certauthority.Authority, name string, until time.Duration) *Keys {
	t.Helper()
	cert, key, ca, err := a.Write(t.TempDir(), name, time.Now().Add(until))
	if err != nil {
		t.Fatal(err)
	}
	k, err := LoadKeys(Files{cert, key, ca})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// meet has two ends shake hands and tells what each said of it.
func meet(server, client *Keys, name string) (there, here error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err, err
	}
	defer ln.Close()
	b, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return err, err
	}
	defer b.Close()
	a, err := ln.Accept()
	if err != nil {
		return err, err
	}
	defer a.Close()
	done := make(chan error, 1)
	go func() {
		s := server.ServerConn(a)
		s.SetDeadline(time.Now().Add(5 * time.Second))
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x"))
		}
		a.Close()
		done <- err
	}()
	c := client.ClientConn(b, name)
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if here = c.Handshake(); here == nil {
		_, here = io.ReadFull(c, make([]byte, 1))
	}
	b.Close()
	return <-done, here
}

// Who shows what, and whether the two come together.
func TestHandshakes(t *testing.T) {
	ours, theirs := authority(t), authority(t)
	planner := load(t, ours, "planner", time.Hour)
	for name, c := range map[string]struct {
		client *Keys
		asks   string
		well   bool
	}{
		"one of ours":          {load(t, ours, "node", time.Hour), "planner", true},
		"of another authority": {load(t, theirs, "node", time.Hour), "planner", false},
		"run out":              {load(t, ours, "node", -time.Minute), "planner", false},
		"asks for another":     {load(t, ours, "node", time.Hour), "other", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if there, here := meet(planner, c.client, c.asks); (there == nil && here == nil) != c.well {
				t.Errorf("%v, %v", there, here)
			}
		})
	}
}

// Files that change are read again, and files of no use leave the old keys in force.
func TestReload(t *testing.T) {
	old, next := authority(t), authority(t)
	dir := t.TempDir()
	cert, key, ca, err := old.Write(dir, "planner", time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	server, err := LoadKeys(Files{cert, key, ca})
	if err != nil {
		t.Fatal(err)
	}
	node, nodeNext := load(t, old, "node", time.Hour), load(t, next, "node", time.Hour)
	touch := func() { // the files' times are as coarse as the system's clock
		later := time.Now().Add(time.Minute)
		for _, f := range []string{cert, key, ca} {
			os.Chtimes(f, later, later)
		}
		server.looked = time.Time{}
	}
	if err := os.WriteFile(cert, []byte("half a certif"), 0o600); err != nil {
		t.Fatal(err)
	}
	touch()
	if there, here := meet(server, node, "planner"); there != nil || here != nil || server.ReloadError() == nil {
		t.Errorf("%v, %v, fault %v", there, here, server.ReloadError())
	}
	if _, _, _, err := next.Write(dir, "planner", time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	later := time.Now().Add(2 * time.Minute)
	os.Chtimes(cert, later, later)
	server.looked = time.Time{}
	if there, here := meet(server, nodeNext, "planner"); there != nil || here != nil || server.ReloadError() != nil {
		t.Errorf("with new keys: %v, %v, fault %v", there, here, server.ReloadError())
	}
	if there, here := meet(server, node, "planner"); there == nil && here == nil {
		t.Error("the old authority is still taken")
	}
}

func TestLoadFaults(t *testing.T) {
	cert, key, ca, err := authority(t).Write(t.TempDir(), "n", time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	empty := filepath.Join(t.TempDir(), "empty")
	os.WriteFile(empty, nil, 0o600)
	for _, f := range []Files{{}, {cert, key, "/nowhere"}, {key, cert, ca}, {cert, key, empty}} {
		if _, err := LoadKeys(f); err == nil {
			t.Errorf("%+v is taken", f)
		}
	}
	for at, well := range map[string]bool{"127.0.0.1:1": true, "[::1]:1": true, "10.0.0.1:1": false, "0.0.0.0:1": false} {
		if err := CheckLoopback(netip.MustParseAddrPort(at)); (err == nil) != well {
			t.Errorf("%s: %v", at, err)
		}
	}
}
