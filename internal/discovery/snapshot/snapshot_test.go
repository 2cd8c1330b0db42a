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

func of(n int64) *Snapshot {
	return &Snapshot{Node: "n", Deployment: "d", WrittenUnixMS: n, ConfirmedUnixMS: n - 1, Revision: uint64(n),
		Servers: []Server{{ID: "a", StartedUnixMS: n, Address: "127.0.0.1:1", Zone: "north", Weight: 1, AnnouncedUnixMS: n, ExecutedUnixMS: n}, {ID: "b", Condition: 1}}}
}

// What was encoded is decoded again. Files that are corrupt, of a newer version or no snapshots are errors.
func TestDecode(t *testing.T) {
	good, err := Encode(of(7))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Decode(good)
	if err != nil || s.WrittenUnixMS != 7 || len(s.Servers) != 2 || s.Servers[0] != of(7).Servers[0] {
		t.Fatalf("%+v, %v", s, err)
	}
	twice, _ := Encode(&Snapshot{Servers: []Server{{ID: "a"}, {ID: "a"}}})
	newer := bytes.Clone(good)
	newer[len(magic)+1]++
	flipped := bytes.Clone(good)
	flipped[len(flipped)-3] ^= 1
	for name, c := range map[string]struct {
		text []byte
		want error
	}{
		"nothing": {nil, ErrCorrupt}, "noise": {[]byte(strings.Repeat("x", 99)), ErrCorrupt}, "cut off": {good[:len(good)-1], ErrCorrupt},
		"longer": {append(bytes.Clone(good), 0), ErrCorrupt}, "a bit": {flipped, ErrCorrupt}, "newer": {newer, ErrNewerVersion}, "named twice": {twice, ErrCorrupt},
	} {
		if _, err := Decode(c.text); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Encode(&Snapshot{Servers: make([]Server, maxServers+1)}); err == nil {
		t.Error("too many servers are taken")
	}
}

// Decoding any bytes neither panics nor returns more than they hold.
func FuzzDecode(f *testing.F) {
	good, _ := Encode(of(7))
	f.Add(good)
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode(b)
		if (s == nil) != (err != nil) {
			t.Fatal(s, err)
		}
		if s != nil {
			if again, err := Encode(s); err != nil || len(again) > len(b)+64 {
				t.Fatalf("%d bytes make %d, %v", len(b), len(again), err)
			}
		}
	})
}

// The machine dies at each step of writing, or the disk fails there. The newest complete generation is then this one or the
// one before, and writing goes on.
func TestCrashAtEachStep(t *testing.T) {
	chance := rand.New(rand.NewPCG(1, 2))
	for _, trouble := range []memdisk.Fault{memdisk.Dead, memdisk.Short, memdisk.Full, memdisk.Lying} {
		for step := 1; step <= 12; step++ {
			name := fmt.Sprintf("trouble %d at step %d", trouble, step)
			d := memdisk.New()
			s, err := Open("dir", 2, d)
			if err != nil {
				t.Fatal(err)
			}
			for i := int64(1); i <= 3; i++ {
				if err := s.Write(of(i)); err != nil {
					t.Fatal(err)
				}
			}
			from := d.Operations()
			d.Meet = func(n int) memdisk.Fault {
				if n == from+step {
					return trouble
				}
				return memdisk.None
			}
			last := int64(3)
			for i := int64(4); i <= 6; i++ { // two complete writes are more than twelve steps
				if s.Write(of(i)) == nil {
					last = i
				} else if trouble == memdisk.Dead {
					break
				}
			}
			d.Meet = func(int) memdisk.Fault { return memdisk.None }
			if trouble == memdisk.Dead {
				d.Crash(chance)
			}
			again, err := Open("dir", 2, d)
			if err != nil {
				t.Fatal(err)
			}
			got, _, err := again.Newest()
			if err != nil || got == nil || got.WrittenUnixMS < last || got.WrittenUnixMS > last+1 {
				t.Fatalf("%s: %+v after %d, %v", name, got, last, err)
			}
			if err := again.Write(of(9)); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if got, _, _ := again.Newest(); got == nil || got.WrittenUnixMS != 9 {
				t.Fatalf("%s: not written on: %+v", name, got)
			}
			if files, _ := d.List("dir"); len(files) != 2 {
				t.Errorf("%s: %v are left", name, files)
			}
		}
	}
}

// A corrupt generation is skipped and reported; one of a newer version ends the search.
func TestNewest(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, 3, wal.OSFileSystem{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range int64(5) {
		if err := s.Write(of(i + 1)); err != nil {
			t.Fatal(err)
		}
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	if len(files) != 3 {
		t.Fatalf("%v", files)
	}
	spoil := func(path string, do func(b []byte)) {
		b, _ := os.ReadFile(path)
		do(b)
		os.WriteFile(path, b, 0o600)
	}
	spoil(files[2], func(b []byte) { b[len(b)-1] ^= 1 })
	got, faults, err := s.Newest()
	if err != nil || got == nil || got.WrittenUnixMS != 4 || len(faults) != 1 || !strings.Contains(faults[0].Error(), files[2]) {
		t.Errorf("%+v, %v, %v", got, faults, err)
	}
	spoil(files[1], func(b []byte) { b[len(magic)+1] = version + 1 })
	if got, faults, _ := s.Newest(); got != nil || len(faults) != 2 {
		t.Errorf("what lies behind a newer version is used: %+v, %v", got, faults)
	}
}
