package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
)

// writeJournal writes a journal of four bindings: one ran, one was not sent, two were possibly sent.
func writeJournal(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	log, err := wal.Open(wal.Options{Dir: dir, FileSystem: wal.OSFileSystem{}, MaxSegmentBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 1, 31, 9, 0, 0, 0, time.UTC).UnixNano()
	for number, proof := range []intent.Proof{intent.Ran, intent.NeverRan, intent.PossiblyRan, intent.PossiblyRan} {
		log.Append(false, intent.Record{Kind: intent.Intent, Incarnation: 1, RequestNumber: uint64(number), AtUnixNano: at, RequestID: fmt.Sprint("id-", number), Tenant: "dairy", Type: "hire-book", Server: fmt.Sprint("s", number%2)},
			intent.Record{Kind: intent.AttemptEnded, Incarnation: 1, RequestNumber: uint64(number), AtUnixNano: at, Outcome: "an end", Proof: proof},
			intent.Record{Kind: intent.ClientNotified, Incarnation: 1, RequestNumber: uint64(number), AtUnixNano: at, Outcome: "something", Count: 1})
	}
	log.Close()
	return dir
}

// runBindings runs `fernvane bindings` with arguments.
func runBindings(args ...string) (code int, out, stderr string) {
	var stdout, errorOutput bytes.Buffer
	code = run(append([]string{"bindings"}, args...), &stdout, &errorOutput, func(string) string { return "" })
	return code, stdout.String(), errorOutput.String()
}

// TestBindingsCommands checks the output and the exit code of each subcommand.
func TestBindingsCommands(t *testing.T) {
	dir := writeJournal(t)
	for name, c := range map[string]struct {
		args            []string
		code            int
		contains, lacks string // text that the output must contain, and text that it must not contain
	}{
		"all":             {[]string{"find"}, 0, "4 entries", ""},
		"by state":        {[]string{"find", "--state", "possibly-sent"}, 0, "2 entries", "id-0"},
		"by server":       {[]string{"find", "--server", "s1", "--json"}, 0, `"id":"id-3"`, "id-2"},
		"by tenant":       {[]string{"find", "--tenant", "nobody"}, 0, "0 entries", ""},
		"since, too late": {[]string{"find", "--since", "2026-01-31T09:00:01Z"}, 0, "0 entries", ""},
		"no such state":   {[]string{"find", "--state", "sent"}, 2, "not-sent, possibly-sent, ran or not-known", ""},
		"known ID":        {[]string{"show", "id-1"}, 0, "never ran", "id-2"},
		"unknown ID":      {[]string{"show", "id-9"}, 2, `find request "id-9": no journal entry`, ""},
		"verify":          {[]string{"verify"}, 0, "1 ran, 1 not sent, 2 possibly sent, 0 contradictions", ""},
		"as CSV":          {[]string{"export", "--format", "csv"}, 0, "id-0,2026-01-31T09:00:00.000Z,hire-book,dairy,,ran,something,s0 ran", ""},
		"unknown format":  {[]string{"export", "--format", "xml"}, 2, "csv or jsonl", ""},
		"no folder":       {[]string{"--dir", "/nowhere", "verify"}, 2, "/nowhere", ""},
		"no such records": {[]string{"reconcile", "--against", "/nowhere"}, 2, "/nowhere", ""},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, stderr := runBindings(append([]string{"--dir", dir}, c.args...)...)
			if all := out + stderr; code != c.code || !strings.Contains(all, c.contains) || c.lacks != "" && strings.Contains(all, c.lacks) || code != 0 && strings.Count(stderr, "\n") != 1 {
				t.Errorf("exit %d, printed %s%s", code, out, stderr)
			}
		})
	}
}

// TestReconcileCommand checks that execution records from a file and from a URL resolve possibly sent attempts by new journal
// records, and that the error for malformed execution records names their line.
func TestReconcileCommand(t *testing.T) {
	dir := writeJournal(t)
	const head = `{"server":"s0","from":"2026-01-31T08:00:00Z","to":"2026-01-31T10:00:00Z"}` + "\n"
	malformed := filepath.Join(t.TempDir(), "bad")
	for text, want := range map[string]string{
		`{"id":"x"}`:                "bad:1: id precedes the first server line",
		head + `{"id":7}`:           "bad:2:",
		head + "\n" + `{"who":"x"}`: "bad:3:",
		`{"server":"s0"}`:           "from and to",
	} {
		os.WriteFile(malformed, []byte(text), 0o600)
		if code, _, stderr := runBindings("--dir", dir, "reconcile", "--against", malformed); code != 2 || !strings.Contains(stderr, want) {
			t.Errorf("%q: exit %d, printed %s", text, code, stderr)
		}
	}
	first := filepath.Join(t.TempDir(), "dockets")
	os.WriteFile(first, []byte(head+`{"id":"id-2"}`), 0o600)
	if _, out, stderr := runBindings("--dir", dir, "reconcile", "--against", first); !strings.HasPrefix(out, "1 attempts had run, 0 had not, 1 entries stay") {
		t.Errorf("%s%s", out, stderr)
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, strings.Replace(head, "s0", "s1", 1))
	}))
	defer s.Close()
	if _, out, stderr := runBindings("--dir", dir, "reconcile", "--against", s.URL); !strings.HasPrefix(out, "0 attempts had run, 1 had not, 0 entries stay") {
		t.Errorf("%s%s", out, stderr)
	}
	if _, out, _ := runBindings("--dir", dir, "verify"); !strings.Contains(out, "3 segments") || !strings.Contains(out, "2 ran, 2 not sent, 0 possibly sent") {
		t.Errorf("%s", out)
	}
}
