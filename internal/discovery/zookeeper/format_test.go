package zookeeper

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	standin "fernvane/internal/testbed/standin/zookeeper"
)

// TestEntryKeys decodes entries with every supported JSON key.
func TestEntryKeys(t *testing.T) {
	for _, c := range []struct {
		name string
		data string
		want endpoints.RegistryEntry
	}{
		{"Curator with a payload", `{"address":"127.0.0.1","port":80,"enabled":false,
			"payload":{"zone":"north","flavor":"large","cell":3,"size":2.5,"started_ms":1764742800123}}`,
			endpoints.RegistryEntry{ID: "id", Address: "127.0.0.1:80", Zone: "north", MachineKind: "large", Cell: 3, Weight: 2.5, IsDraining: true, StartedUnixMS: 1_764_742_800_123}},
		{"server set with the keys in the entry itself", `{"serviceEndpoint":{"host":"127.0.0.2","port":81},"status":"ALIVE",
			"zone":"south","flavor":"small","cell":4,"size":0.5,"started_ms":7}`,
			endpoints.RegistryEntry{ID: "id", Address: "127.0.0.2:81", Zone: "south", MachineKind: "small", Cell: 4, Weight: 0.5, StartedUnixMS: 7}},
		{"cell 0", `{"address":"127.0.0.1","port":80,"payload":{"zone":"north","cell":0}}`,
			endpoints.RegistryEntry{ID: "id", Address: "127.0.0.1:80", Zone: "north", Weight: 1}},
		{"no zone and no cell", `{"serviceEndpoint":{"host":"127.0.0.2","port":81},"status":"ALIVE"}`,
			endpoints.RegistryEntry{ID: "id", Address: "127.0.0.2:81", Cell: incarnation.UnknownCell, Weight: 1}},
		{"plain", "127.0.0.2:81", endpoints.RegistryEntry{ID: "id", Address: "127.0.0.2:81", Cell: incarnation.UnknownCell, Weight: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseEntry("id", []byte(c.data))
			if err != nil {
				t.Fatal(err)
			}
			if got != c.want {
				t.Errorf("got entry %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestConfigKeys reads a file with every key under the name used in operators' files.
func TestConfigKeys(t *testing.T) {
	dir := t.TempDir()
	secret, path := filepath.Join(dir, "secret"), filepath.Join(dir, "registry.toml")
	if err := os.WriteFile(secret, []byte("user:password\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	text := "servers = [\"127.0.0.1:2181\", \"127.0.0.2:2181\"]\nchroot = \"/services\"\npath = \"/hire\"\nsession = \"7s\"\nauth_file = \"" + secret + "\"\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	want := &Config{Servers: []string{"127.0.0.1:2181", "127.0.0.2:2181"}, Chroot: "/services", Path: "/hire", SessionTimeout: tomlfile.Duration(7 * time.Second),
		AuthFile: secret, Credentials: "user:password"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got config %+v, want %+v", got, want)
	}
}

// recorder stores the bytes that a client sends to a registry.
type recorder struct {
	mu   sync.Mutex
	sent bytes.Buffer
}

func (r *recorder) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent.Write(b)
}

// frames returns the complete frames sent so far, without their length prefixes.
func (r *recorder) frames() (all [][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := bytes.Clone(r.sent.Bytes())
	for len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		if len(b) < 4+n {
			break
		}
		all = append(all, b[4:4+n])
		b = b[4+n:]
	}
	return all
}

// relay accepts one connection and relays it to a registry until the client closes it. r records the bytes that the client
// sends.
func relay(t *testing.T, to string) (r *recorder, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r = &recorder{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		client, err := listener.Accept()
		if err != nil {
			return
		}
		defer client.Close()
		server, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		responses := make(chan struct{})
		go func() {
			defer close(responses)
			io.Copy(client, server)
			client.Close()
		}()
		io.Copy(io.MultiWriter(r, server), client)
		server.Close()
		<-responses
	}()
	t.Cleanup(func() {
		listener.Close()
		<-done
	})
	return r, listener.Addr().String()
}

// TestFramesSent compares the frames that a Reader of one entry sends with those of the first build that read a registry.
func TestFramesSent(t *testing.T) {
	for _, c := range []struct {
		name string
		auth string
		want []string // sorted by operation code, because the credentials are sent concurrently; without the call numbers
	}{
		{"without credentials", "", []string{
			"00000000000000000000000000009c4000000000000000000000001000000000000000000000000000000000", // begin a session of 40 s
			"00000004000000102f73657276696365732f686972652f6101",                                       // get data of /services/hire/a, and watch it
			"0000000c0000000e2f73657276696365732f6869726501",                                           // get children of /services/hire, and watch them
		}},
		{"with credentials", "user:password", []string{
			"00000000000000000000000000009c4000000000000000000000001000000000000000000000000000000000",
			"00000004000000102f73657276696365732f686972652f6101",                     // get data of /services/hire/a, and watch it
			"0000000c0000000e2f73657276696365732f6869726501",                         // get children of /services/hire, and watch them
			"0000006400000000000000066469676573740000000d757365723a70617373776f7264", // digest, user:password
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			registry := standin.New(nil)
			t.Cleanup(registry.Close)
			server, err := registry.Listen("127.0.0.1:0", 0)
			if err != nil {
				t.Fatal(err)
			}
			registry.OpenSession(time.Hour, map[string][]byte{"/services/hire/a": data(1)})
			sent, address := relay(t, server.Address())
			cfg := &Config{Servers: []string{address}, Path: "/hire", Chroot: "/services", SessionTimeout: tomlfile.Duration(40 * time.Second), Credentials: c.auth}
			conn, err := Dial(cfg)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			listed := make(chan []endpoints.RegistryEntry, 8)
			reader := NewReader(conn, cfg, func(all []endpoints.RegistryEntry) { listed <- all }, func(err error) { t.Log(err) })
			done := make(chan error, 1)
			go func() { done <- reader.Run(ctx) }()
			if all := <-listed; len(all) != 1 || all[0].ID != "a" {
				t.Errorf("got entries %+v, want a", all)
			}
			var got []string
			for by := time.Now().Add(20 * time.Second); len(got) < len(c.want) && time.Now().Before(by); time.Sleep(5 * time.Millisecond) {
				got = withoutNumbers(sent.frames())
			}
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("got frames\n%q, want\n%q", got, c.want)
			}
		})
	}
}

// withoutNumbers returns frames in hexadecimal: first the frame that begins the session, then the others without their call
// numbers, sorted by operation code.
func withoutNumbers(frames [][]byte) (all []string) {
	for i, f := range frames {
		if i > 0 {
			f = f[4:]
		}
		all = append(all, hex.EncodeToString(f))
	}
	if len(all) > 2 {
		slices.Sort(all[1:])
	}
	return all
}
