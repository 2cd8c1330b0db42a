package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// storedSnapshots returns a folder with the named snapshots as generations, the oldest first.
func storedSnapshots(t *testing.T, names ...string) string {
	t.Helper()
	dir := t.TempDir()
	for i, name := range names {
		b, err := os.ReadFile(filepath.Join("..", "..", "internal", "discovery", "snapshot", "testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("list-%012d.snap", i+1)), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// TestSnapshotOutput compares the output of the commands for stored snapshots byte by byte. It omits the first two lines of the
// text of `show`, because they contain the age.
func TestSnapshotOutput(t *testing.T) {
	for _, c := range []struct {
		name    string
		stored  []string
		command []string
		skip    int // lines
		code    int
		want    string
	}{
		{"show as JSON", []string{"all-fields.snap"}, []string{"show", "--json"}, 0, 0,
			`{"node":"node-7","deployment":"hire-northeast","revision":1099511627776,"written":"2025-12-03T06:20:00.123Z",` +
				`"confirmed":"2025-12-03T06:19:59.456Z","clean":true,"servers":[` +
				`{"id":"server-a","address":"10.1.2.3:8080","zone":"north","condition":"up","heard":"2025-12-03T06:19:59.001Z","ran":"2025-12-03T06:19:59.002Z"},` +
				`{"id":"server-b","address":"[2001:db8::1]:9","zone":"south","condition":"draining","heard":"2025-12-03T06:19:59.003Z","ran":"2025-12-03T06:19:59.004Z"},` +
				`{"id":"server-c","address":"","zone":"","condition":"gone","heard":"1970-01-01T00:00:00.001Z","ran":"-"}]}` + "\n"},
		{"show as JSON without servers", []string{"no-servers.snap"}, []string{"show", "--json"}, 0, 0,
			`{"node":"n","deployment":"d","revision":0,"written":"1970-01-01T00:00:00.002Z",` +
				`"confirmed":"1970-01-01T00:00:00.001Z","clean":false,"servers":[]}` + "\n"},
		{"show", []string{"all-fields.snap"}, []string{"show"}, 2, 0,
			"server    address          zone   condition  heard                     ran\n" +
				"server-a  10.1.2.3:8080    north  up         2025-12-03T06:19:59.001Z  2025-12-03T06:19:59.002Z\n" +
				"server-b  [2001:db8::1]:9  south  draining   2025-12-03T06:19:59.003Z  2025-12-03T06:19:59.004Z\n" +
				"server-c                          gone       1970-01-01T00:00:00.001Z  -\n"},
		{"verify", []string{"after-crash.snap", "all-fields.snap"}, []string{"verify"}, 0, 0, "2 generations, 2 whole\n"},
		{"diff", []string{"after-crash.snap", "all-fields.snap"}, []string{"diff"}, 0, 0,
			"- only 127.0.0.1:1 up\n+ server-a 10.1.2.3:8080 up\n+ server-b [2001:db8::1]:9 draining\n+ server-c  gone\n" +
				"4 changes from revision 7 to 1099511627776\n"},
		{"diff without servers", []string{"all-fields.snap", "no-servers.snap"}, []string{"diff"}, 0, 0,
			"- server-a 10.1.2.3:8080 up\n- server-b [2001:db8::1]:9 draining\n- server-c  gone\n3 changes from revision 1099511627776 to 0\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := storedSnapshots(t, c.stored...)
			var out, stderr bytes.Buffer
			args := append(append([]string{"snapshot"}, c.command...), "--dir", dir)
			code := run(args, &out, &stderr, func(string) string { return "" })
			lines := strings.SplitAfter(out.String(), "\n")
			if got := strings.Join(lines[min(c.skip, len(lines)):], ""); code != c.code || got != c.want || stderr.Len() > 0 {
				t.Errorf("exit %d, printed\n%s\nwant\n%s\n%s", code, got, c.want, stderr.String())
			}
		})
	}
}
