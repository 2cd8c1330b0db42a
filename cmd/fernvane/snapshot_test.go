package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/journal/wal"
)

// TestSnapshotCommands checks the output and the exit code of each subcommand, for valid and for damaged lists.
func TestSnapshotCommands(t *testing.T) {
	dir, damaged := t.TempDir(), t.TempDir()
	for _, d := range []string{dir, damaged} {
		store, err := snapshot.Open(d, 9, wal.OSFileSystem{})
		if err != nil {
			t.Fatal(err)
		}
		for i := range uint64(3) {
			s := &snapshot.Snapshot{Node: "n3", Deployment: "hire", Revision: 40 + i, Servers: []snapshot.Server{{ID: "stays", Address: "127.0.0.1:1"},
				{ID: "drains", Address: "127.0.0.1:2", Condition: uint8(i / 2)}}}
			if i == 2 {
				s.Servers = append(s.Servers, snapshot.Server{ID: "comes", Address: "127.0.0.1:3"})
			}
			if err := store.Write(s); err != nil {
				t.Fatal(err)
			}
		}
	}
	files, _ := filepath.Glob(filepath.Join(damaged, "*"))
	os.WriteFile(files[2], []byte("noise"), 0o600)
	for name, c := range map[string]struct {
		args     []string
		code     int
		contains string
	}{
		"show":              {[]string{"show", "--dir", dir}, 0, "staleness level at a start now: 4 of 4"},
		"show, as JSON":     {[]string{"show", "--dir", dir, "--json"}, 0, `"condition":"draining"`},
		"show, one damaged": {[]string{"show", "--dir", damaged}, 0, "revision 41"},
		"verify":            {[]string{"verify", "--dir", dir}, 0, "3 generations, 3 whole"},
		"verify, damaged":   {[]string{"verify", "--dir", damaged}, 1, files[2] + ": incomplete or damaged"},
		"diff":              {[]string{"diff", "--dir", dir}, 0, "+ comes 127.0.0.1:3 up\n~ drains 127.0.0.1:2 draining, was 127.0.0.1:2 up\n2 changes from revision 41 to 42"},
		"no folder":         {[]string{"show"}, 2, "--dir"},
		"empty folder":      {[]string{"show", "--dir", t.TempDir()}, 2, "no list found"},
		"prune to none":     {[]string{"prune", "--dir", dir, "--keep", "0"}, 2, "expected at least 1"},
		"prune":             {[]string{"prune", "--dir", damaged, "--keep", "3"}, 0, "0 generations removed"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, stderr bytes.Buffer
			code := run(append([]string{"snapshot"}, c.args...), &out, &stderr, func(string) string { return "" })
			if all := out.String() + stderr.String(); code != c.code || !strings.Contains(all, c.contains) {
				t.Errorf("exit %d, printed %s", code, all)
			}
		})
	}
}
