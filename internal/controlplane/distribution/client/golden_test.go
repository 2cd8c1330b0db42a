package client

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// TestGoldenMark fixes the format of the sync mark on a node's disk, which other versions of the program read.
func TestGoldenMark(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "held.json"))
	if err != nil {
		t.Fatal(err)
	}
	want := syncMark{Services: []string{"", "ferries"}, Current: time.Date(2026, 1, 2, 3, 4, 5, 678000000, time.UTC)}
	directory := t.TempDir()
	if err := writeSyncMark(directory, want); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(directory, "held.json"))
	if err != nil {
		t.Fatal(err)
	}
	if string(written)+"\n" != string(text) {
		t.Errorf("got file %s, want %s", written, text)
	}
	if read, err := readSyncMark("testdata"); err != nil || !reflect.DeepEqual(read, want) {
		t.Errorf("got mark %+v, error %v, want the golden mark", read, err)
	}
}
