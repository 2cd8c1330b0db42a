package snapshot

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fernvane/internal/journal/wal"
	"fernvane/internal/testbed/standin/memdisk"
)

// newSnapshot returns a snapshot of two servers, written at time n.
func newSnapshot(n int64) *Snapshot {
	return &Snapshot{Node: "n", Deployment: "d", WrittenUnixMS: n, ConfirmedUnixMS: n - 1, Revision: uint64(n),
		Servers: []Server{{ID: "a", StartedUnixMS: n, Address: "127.0.0.1:1", Zone: "north", Weight: 1, AnnouncedUnixMS: n, ExecutedUnixMS: n}, {ID: "b", Condition: 1}}}
}

// TestDecode checks that an encoded snapshot is decoded unchanged, and that corrupt files, files of a newer version and files
// that are not snapshots are rejected.
func TestDecode(t *testing.T) {
	encoded, err := Encode(newSnapshot(7))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Decode(encoded)
	if err != nil || s.WrittenUnixMS != 7 || len(s.Servers) != 2 || s.Servers[0] != newSnapshot(7).Servers[0] {
		t.Fatalf("Decode: got %+v, error %v", s, err)
	}
	twice, _ := Encode(&Snapshot{Servers: []Server{{ID: "a"}, {ID: "a"}}})
	newer := bytes.Clone(encoded)
	newer[len(magic)+1]++
	flipped := bytes.Clone(encoded)
	flipped[len(flipped)-3] ^= 1
	for name, c := range map[string]struct {
		text []byte
		want error
	}{
		"empty": {nil, ErrCorrupt}, "noise": {[]byte(strings.Repeat("x", 99)), ErrCorrupt}, "truncated": {encoded[:len(encoded)-1], ErrCorrupt},
		"trailing byte": {append(bytes.Clone(encoded), 0), ErrCorrupt}, "flipped bit": {flipped, ErrCorrupt}, "newer version": {newer, ErrNewerVersion}, "duplicate ID": {twice, ErrCorrupt},
	} {
		if _, err := Decode(c.text); !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v", name, err)
		}
	}
	if _, err := Encode(&Snapshot{Servers: make([]Server, maxServers+1)}); err == nil {
		t.Error("Encode of more than maxServers servers: got no error, want one")
	}
}

// FuzzDecode checks that decoding arbitrary bytes does not panic and does not return more data than was encoded.
func FuzzDecode(f *testing.F) {
	encoded, _ := Encode(newSnapshot(7))
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode(b)
		if (s == nil) != (err != nil) {
			t.Fatal(s, err)
		}
		if s != nil {
			if reencoded, err := Encode(s); err != nil || len(reencoded) > len(b)+64 {
				t.Fatalf("snapshot decoded from %d bytes: got %d bytes reencoded, error %v, want at most 64 bytes more", len(b), len(reencoded), err)
			}
		}
	})
}

// TestCrashAtEachStep has the machine crash or the disk fail at each step of a write. The newest complete generation is then
// this one or the previous one, and later writes succeed.
func TestCrashAtEachStep(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, fault := range []memdisk.Fault{memdisk.MachineCrash, memdisk.Short, memdisk.Full, memdisk.WrittenButFailed} {
		for step := 1; step <= 12; step++ {
			name := fmt.Sprintf("fault %d at step %d", fault, step)
			disk := memdisk.New()
			s, err := Open("dir", 2, disk)
			if err != nil {
				t.Fatal(err)
			}
			for i := int64(1); i <= 3; i++ {
				if err := s.Write(newSnapshot(i)); err != nil {
					t.Fatal(err)
				}
			}
			from := disk.Operations()
			disk.FaultOf = func(n int) memdisk.Fault {
				if n == from+step {
					return fault
				}
				return memdisk.None
			}
			last := int64(3)
			for i := int64(4); i <= 6; i++ { // two complete writes take more than twelve steps
				if s.Write(newSnapshot(i)) == nil {
					last = i
				} else if fault == memdisk.MachineCrash {
					break
				}
			}
			disk.FaultOf = func(int) memdisk.Fault { return memdisk.None }
			if fault == memdisk.MachineCrash {
				disk.Crash(random)
			}
			reopened, err := Open("dir", 2, disk)
			if err != nil {
				t.Fatal(err)
			}
			got, _, err := reopened.Newest()
			if err != nil || got == nil || got.WrittenUnixMS < last || got.WrittenUnixMS > last+1 {
				t.Fatalf("%s: got newest generation %+v after writing generation %d, error %v, want this one or the next", name, got, last, err)
			}
			if err := reopened.Write(newSnapshot(9)); err != nil {
				t.Fatalf("%s: write after reopening: %v", name, err)
			}
			if got, _, _ := reopened.Newest(); got == nil || got.WrittenUnixMS != 9 {
				t.Fatalf("%s: got newest generation %+v after a later write, want that of time 9", name, got)
			}
			if files, _ := disk.List("dir"); len(files) != 2 {
				t.Errorf("%s: got files %v, want 2", name, files)
			}
		}
	}
}

// TestNewest checks that a corrupt generation is skipped and reported, and that one of a newer version ends the search.
func TestNewest(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, 3, wal.OSFileSystem{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range int64(5) {
		if err := s.Write(newSnapshot(i + 1)); err != nil {
			t.Fatal(err)
		}
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	if len(files) != 3 {
		t.Fatalf("got files %v, want 3", files)
	}
	modify := func(path string, do func(b []byte)) {
		b, _ := os.ReadFile(path)
		do(b)
		os.WriteFile(path, b, 0o600)
	}
	modify(files[2], func(b []byte) { b[len(b)-1] ^= 1 })
	got, unusable, err := s.Newest()
	if err != nil || got == nil || got.WrittenUnixMS != 4 || len(unusable) != 1 || !strings.Contains(unusable[0].Error(), files[2]) {
		t.Errorf("newest file corrupt: got snapshot %+v, unusable %v, error %v, want the snapshot of time 4 and one unusable file", got, unusable, err)
	}
	modify(files[1], func(b []byte) { b[len(magic)+1] = version + 1 })
	if got, unusable, _ := s.Newest(); got != nil || len(unusable) != 2 {
		t.Errorf("newer version before all usable generations: got snapshot %+v, unusable %v, want no snapshot and two unusable files", got, unusable)
	}
}
