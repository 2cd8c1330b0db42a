package snapshot

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/journal/wal"
)

// storedFiles returns the decoded contents of the files in testdata, which the first build with this format wrote.
func storedFiles() map[string]*Snapshot {
	return map[string]*Snapshot{
		"all-fields.snap": {
			Node: "node-7", Deployment: "hire-northeast", WrittenUnixMS: 1_764_742_800_123, ConfirmedUnixMS: 1_764_742_799_456, IsCleanShutdown: true, Revision: 1 << 40,
			Servers: []Server{
				{ID: "server-a", StartedUnixMS: 1_764_700_000_001, Condition: 0, Address: "10.1.2.3:8080", Zone: "north", MachineKind: "large", Cell: 3, Weight: 2.5,
					Source: 2, AnnouncedUnixMS: 1_764_742_799_001, ExecutedUnixMS: 1_764_742_799_002},
				{ID: "server-b", StartedUnixMS: 1_764_700_000_002, Condition: 1, Address: "[2001:db8::1]:9", Zone: "south", MachineKind: "small", Cell: 1, Weight: 1,
					Source: 3, AnnouncedUnixMS: 1_764_742_799_003, ExecutedUnixMS: 1_764_742_799_004},
				{ID: "server-c", StartedUnixMS: 0, Condition: 2, Address: "", Zone: "", MachineKind: "", Cell: 0, Weight: 0.25, Source: 5, AnnouncedUnixMS: 1, ExecutedUnixMS: 0},
			},
		},
		"after-crash.snap": {
			Node: "n", Deployment: "d", WrittenUnixMS: 2, ConfirmedUnixMS: 1, IsCleanShutdown: false, Revision: 7,
			Servers: []Server{{ID: "only", Address: "127.0.0.1:1", Weight: 1, Source: 4, AnnouncedUnixMS: 1}},
		},
		"no-servers.snap": {Node: "n", Deployment: "d", WrittenUnixMS: 2, ConfirmedUnixMS: 1, Servers: []Server{}},
	}
}

// TestStoredFilesAreRead decodes files written by an earlier build and compares each field.
func TestStoredFilesAreRead(t *testing.T) {
	for name, want := range storedFiles() {
		t.Run(name, func(t *testing.T) {
			stored, err := os.ReadFile(filepath.Join("testdata", name))
			if err != nil {
				t.Fatal(err)
			}
			got, err := Decode(stored)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("Decode: got\n%+v, want\n%+v", got, want)
			}
		})
	}
}

// TestStoredFilesAreWrittenAlike writes the contents of the files of the earlier build and compares the bytes.
func TestStoredFilesAreWrittenAlike(t *testing.T) {
	for name, snapshot := range storedFiles() {
		t.Run(name, func(t *testing.T) {
			stored, err := os.ReadFile(filepath.Join("testdata", name))
			if err != nil {
				t.Fatal(err)
			}
			dir := t.TempDir()
			store, err := Open(dir, 3, wal.OSFileSystem{})
			if err != nil {
				t.Fatal(err)
			}
			if err := store.Write(snapshot); err != nil {
				t.Fatal(err)
			}
			written, err := os.ReadFile(filepath.Join(dir, "list-000000000001.snap"))
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(written, stored) {
				t.Errorf("Write: got file\n%x, want\n%x", written, stored)
			}
		})
	}
}

// TestConfigKeys reads a file with every key under the name used in operators' files.
func TestConfigKeys(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "snapshot.toml")
	text := fmt.Sprintf("dir = %q\ndeployment = \"hire\"\nevery = \"3s\"\nkeep = 5\noldest = \"48h\"\n", dir)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	want := Config{Dir: dir, Deployment: "hire", WriteInterval: tomlfile.Duration(3 * time.Second), MaxGenerations: 5, MaxAge: tomlfile.Duration(48 * time.Hour)}
	if *got != want {
		t.Errorf("got config %+v, want %+v", *got, want)
	}
}
