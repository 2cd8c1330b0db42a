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

// kept writes a journal: one binding that ran, one not sent, two possibly sent.
func kept(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	l, err := wal.Open(wal.Options{Dir: dir, FileSystem: wal.OSFileSystem{}, MaxSegmentBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 1, 31, 9, 0, 0, 0, time.UTC).UnixNano()
	for op, proof := range []intent.Proof{intent.Ran, intent.NeverRan, intent.PossiblyRan, intent.PossiblyRan} {
		l.Append(false, intent.Record{Kind: intent.Intent, Incarnation: 1, RequestNumber: uint64(op), AtUnixNano: at, RequestID: fmt.Sprint("id-", op), Tenant: "dairy", Type: "hire-book", Server: fmt.Sprint("s", op%2)},
			intent.Record{Kind: intent.AttemptEnded, Incarnation: 1, RequestNumber: uint64(op), AtUnixNano: at, Outcome: "an end", Proof: proof},
			intent.Record{Kind: intent.ClientNotified, Incarnation: 1, RequestNumber: uint64(op), AtUnixNano: at, Outcome: "something", Count: 1})
	}
	l.Close()
	return dir
}

func command(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = run(append([]string{"bindings"}, args...), &o, &e, func(string) string { return "" })
	return code, o.String(), e.String()
}

// What each command says, and its exit code.
func TestBindingsCommands(t *testing.T) {
	dir := kept(t)
	for name, c := range map[string]struct {
		args     []string
		code     int
		has, not string // in what it prints
	}{
		"all":                {[]string{"find"}, 0, "4 entries", ""},
		"by state":           {[]string{"find", "--state", "possibly-sent"}, 0, "2 entries", "id-0"},
		"by server":          {[]string{"find", "--server", "s1", "--json"}, 0, `"id":"id-3"`, "id-2"},
		"by tenant":          {[]string{"find", "--tenant", "nobody"}, 0, "0 entries", ""},
		"since, too late":    {[]string{"find", "--since", "2026-01-31T09:00:01Z"}, 0, "0 entries", ""},
		"no such state":      {[]string{"find", "--state", "sent"}, 2, "not-sent, possibly-sent, ran or not-known", ""},
		"one":                {[]string{"show", "id-1"}, 0, "never ran", "id-2"},
		"one that is not":    {[]string{"show", "id-9"}, 2, `no entry of "id-9"`, ""},
		"whole":              {[]string{"verify"}, 0, "1 ran, 1 not sent, 2 possibly sent, 0 contradictions", ""},
		"as csv":             {[]string{"export", "--format", "csv"}, 0, "id-0,2026-01-31T09:00:00.000Z,hire-book,dairy,,ran,something,s0 ran", ""},
		"as nothing known":   {[]string{"export", "--format", "xml"}, 2, "csv or jsonl", ""},
		"no folder":          {[]string{"--dir", "/nowhere", "verify"}, 2, "/nowhere", ""},
		"dockets of no file": {[]string{"reconcile", "--against", "/nowhere"}, 2, "/nowhere", ""},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errs := command(append([]string{"--dir", dir}, c.args...)...)
			if all := out + errs; code != c.code || !strings.Contains(all, c.has) || c.not != "" && strings.Contains(all, c.not) || code != 0 && strings.Count(errs, "\n") != 1 {
				t.Errorf("exit %d: %s%s", code, out, errs)
			}
		})
	}
}

// Dockets from a file and from a URL settle what is possibly sent, by entries added; bad ones are named by line.
func TestReconcileCommand(t *testing.T) {
	dir := kept(t)
	const head = `{"server":"s0","from":"2026-01-31T08:00:00Z","to":"2026-01-31T10:00:00Z"}` + "\n"
	bad := filepath.Join(t.TempDir(), "bad")
	for text, wrong := range map[string]string{
		`{"id":"x"}`:                "bad:1: an id before any server",
		head + `{"id":7}`:           "bad:2:",
		head + "\n" + `{"who":"x"}`: "bad:3:",
		`{"server":"s0"}`:           "from and to",
	} {
		os.WriteFile(bad, []byte(text), 0o600)
		if code, _, errs := command("--dir", dir, "reconcile", "--against", bad); code != 2 || !strings.Contains(errs, wrong) {
			t.Errorf("%q: exit %d, %s", text, code, errs)
		}
	}
	first := filepath.Join(t.TempDir(), "dockets")
	os.WriteFile(first, []byte(head+`{"id":"id-2"}`), 0o600)
	if _, out, errs := command("--dir", dir, "reconcile", "--against", first); !strings.HasPrefix(out, "1 attempts had run, 0 had not, 1 entries stay") {
		t.Errorf("%s%s", out, errs)
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, strings.Replace(head, "s0", "s1", 1))
	}))
	defer s.Close()
	if _, out, errs := command("--dir", dir, "reconcile", "--against", s.URL); !strings.HasPrefix(out, "0 attempts had run, 1 had not, 0 entries stay") {
		t.Errorf("%s%s", out, errs)
	}
	if _, out, _ := command("--dir", dir, "verify"); !strings.Contains(out, "3 segments") || !strings.Contains(out, "2 ran, 2 not sent, 0 possibly sent") {
		t.Errorf("%s", out)
	}
}
