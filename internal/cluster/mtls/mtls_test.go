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

func loadKeys(t *testing.T, a *certauthority.Authority, name string, until time.Duration) *Keys {
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

// handshake performs a TLS handshake between two ends and returns the error of each.
func handshake(server, client *Keys, name string) (serverErr, clientErr error) {
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
	if clientErr = c.Handshake(); clientErr == nil {
		_, clientErr = io.ReadFull(c, make([]byte, 1))
	}
	b.Close()
	return <-done, clientErr
}

// A handshake succeeds only if the client's certificate is valid, signed by the same authority, and the server's
// certificate has the expected name.
func TestHandshakes(t *testing.T) {
	ours, theirs := authority(t), authority(t)
	planner := loadKeys(t, ours, "planner", time.Hour)
	for title, c := range map[string]struct {
		client *Keys
		name   string
		ok     bool
	}{
		"same authority":              {loadKeys(t, ours, "node", time.Hour), "planner", true},
		"another authority":           {loadKeys(t, theirs, "node", time.Hour), "planner", false},
		"expired certificate":         {loadKeys(t, ours, "node", -time.Minute), "planner", false},
		"certificate of another name": {loadKeys(t, ours, "node", time.Hour), "other", false},
	} {
		t.Run(title, func(t *testing.T) {
			t.Parallel()
			if serverErr, clientErr := handshake(planner, c.client, c.name); (serverErr == nil && clientErr == nil) != c.ok {
				t.Errorf("handshake: got server error %v, client error %v", serverErr, clientErr)
			}
		})
	}
}

// Changed files are reloaded; invalid files leave the previous keys in effect.
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
	node, nodeNext := loadKeys(t, old, "node", time.Hour), loadKeys(t, next, "node", time.Hour)
	touch := func() { // sets the times explicitly, because file times may be too coarse to differ
		later := time.Now().Add(time.Minute)
		for _, f := range []string{cert, key, ca} {
			os.Chtimes(f, later, later)
		}
		server.lastCheck = time.Time{}
	}
	if err := os.WriteFile(cert, []byte("half a certif"), 0o600); err != nil {
		t.Fatal(err)
	}
	touch()
	if serverErr, clientErr := handshake(server, node, "planner"); serverErr != nil || clientErr != nil || server.ReloadError() == nil {
		t.Errorf("handshake with an invalid certificate file: got server error %v, client error %v, reload error %v, want only a reload error", serverErr, clientErr, server.ReloadError())
	}
	if _, _, _, err := next.Write(dir, "planner", time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	later := time.Now().Add(2 * time.Minute)
	os.Chtimes(cert, later, later)
	server.lastCheck = time.Time{}
	if serverErr, clientErr := handshake(server, nodeNext, "planner"); serverErr != nil || clientErr != nil || server.ReloadError() != nil {
		t.Errorf("handshake with new keys: got server error %v, client error %v, reload error %v, want none", serverErr, clientErr, server.ReloadError())
	}
	if serverErr, clientErr := handshake(server, node, "planner"); serverErr == nil && clientErr == nil {
		t.Error("certificate of the previous authority accepted after the reload, want it rejected")
	}
}

func TestUnusableFiles(t *testing.T) {
	cert, key, ca, err := authority(t).Write(t.TempDir(), "n", time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	empty := filepath.Join(t.TempDir(), "empty")
	os.WriteFile(empty, nil, 0o600)
	for _, f := range []Files{{}, {cert, key, "/nowhere"}, {key, cert, ca}, {cert, key, empty}} {
		if _, err := LoadKeys(f); err == nil {
			t.Errorf("LoadKeys(%+v): got no error, want one", f)
		}
	}
	for address, ok := range map[string]bool{"127.0.0.1:1": true, "[::1]:1": true, "10.0.0.1:1": false, "0.0.0.0:1": false} {
		if err := CheckLoopback(netip.MustParseAddrPort(address)); (err == nil) != ok {
			t.Errorf("CheckLoopback(%s): got error %v", address, err)
		}
	}
}
