package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/peer"
	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
)

// fullJournal writes one entry with each field set, and one with none that may be left out.
func fullJournal(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	l, err := wal.Open(wal.Options{Dir: dir, Files: wal.OS{}, SegmentBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 1, 31, 9, 0, 0, 0, time.UTC).UnixNano()
	ms := int64(time.Millisecond)
	l.Append(false,
		intent.Record{Kind: intent.Intent, Run: 7, Op: 3, Hop: 0, At: at, ID: "id-3", Tenant: "dairy", Type: "hire-book", Server: "s1", Repeats: "id-0", Retry: true},
		intent.Record{Kind: intent.Ended, Run: 7, Op: 3, Hop: 0, At: at + 5*ms, How: "cut off", Proof: intent.Possibly},
		intent.Record{Kind: intent.Intent, Run: 7, Op: 3, Hop: 1, At: at + 6*ms, ID: "id-3", Tenant: "dairy", Type: "hire-book", Server: "s2", Repeats: "id-0", Retry: true},
		intent.Record{Kind: intent.Ended, Run: 7, Op: 3, Hop: 1, At: at + 9*ms, How: "answered", Proof: intent.Ran},
		intent.Record{Kind: intent.Settled, Run: 7, Op: 3, Hop: 0, At: at + 99*ms, Server: "s1", Proof: intent.Never},
		intent.Record{Kind: intent.Told, Run: 7, Op: 3, At: at + 10*ms, How: "handled", N: 2},
		intent.Record{Kind: intent.Unsent, Run: 8, Op: 4, At: at + 20*ms, ID: "id-4", Type: "hire-pay"})
	l.Close()
	return dir
}

// Entries as programs read them, in the files that the build of 7af5c59 printed.
func TestBindingsPrinted(t *testing.T) {
	dir := fullJournal(t)
	for name, c := range map[string]struct {
		args []string
		file string
	}{
		"find as JSON":   {[]string{"find", "--json"}, "bindings.jsonl"},
		"export as JSON": {[]string{"export", "--format", "jsonl"}, "bindings.jsonl"},
		"export as CSV":  {[]string{"export", "--format", "csv"}, "bindings.csv"},
	} {
		t.Run(name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata", c.file))
			if err != nil {
				t.Fatal(err)
			}
			if code, out, errs := command(append([]string{"--dir", dir}, c.args...)...); code != 0 || out != string(want) || errs != "" {
				t.Errorf("exit %d: printed as\n%s, not\n%s; %s", code, out, want, errs)
			}
		})
	}
}

// A cluster as `fernvane replicas --json` prints it.
func TestReplicasPrinted(t *testing.T) {
	member := membership.Member{Name: "n1", Up: 11, Turn: 7, Condition: membership.Dead, Address: "127.0.0.1:81", Site: "east", Machine: "m-4"}
	tier := &peer.Client{Asked: map[string]*peer.Status{"n1": {
		Self: member, Members: []membership.Member{member}, Ready: true, Replicas: 2,
		Stream: replication.Stream{Name: "n1", Up: 11}, Next: 31, Kept: 29, Waits: 3,
		Holders: []replication.Holder{{Name: "n2", Stand: "late", Refusal: "no room is left", Acked: 28, Lacks: 4}},
		Holdings: []replication.Holding{{Stream: replication.Stream{Name: "n3~n2", Up: 5}, Ranges: replication.Ranges{{From: 1, To: 6}},
			Bytes: 640, Last: 13, Orphan: true, Lacks: map[string]uint64{"n4": 11}}},
		Bytes: 641, Most: 1 << 30, Faults: []string{"a file"},
	}}}
	var out bytes.Buffer
	tellTier(&out, tier, true)
	want, err := os.ReadFile("testdata/replicas.jsonl")
	if err != nil || out.String() != string(want) {
		t.Errorf("printed as\n%s, not\n%s; %v", out.String(), want, err)
	}
}
