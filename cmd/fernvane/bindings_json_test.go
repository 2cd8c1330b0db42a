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

// fullJournal writes a journal of two entries: one with every field set, and one without any optional field.
func fullJournal(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	log, err := wal.Open(wal.Options{Dir: dir, FileSystem: wal.OSFileSystem{}, MaxSegmentBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 1, 31, 9, 0, 0, 0, time.UTC).UnixNano()
	ms := int64(time.Millisecond)
	log.Append(false,
		intent.Record{Kind: intent.Intent, Incarnation: 7, RequestNumber: 3, Attempt: 0, AtUnixNano: at, RequestID: "id-3", Tenant: "dairy", Type: "hire-book", Server: "s1", RepeatOf: "id-0", IsRetry: true},
		intent.Record{Kind: intent.AttemptEnded, Incarnation: 7, RequestNumber: 3, Attempt: 0, AtUnixNano: at + 5*ms, Outcome: "cut off", Proof: intent.PossiblyRan},
		intent.Record{Kind: intent.Intent, Incarnation: 7, RequestNumber: 3, Attempt: 1, AtUnixNano: at + 6*ms, RequestID: "id-3", Tenant: "dairy", Type: "hire-book", Server: "s2", RepeatOf: "id-0", IsRetry: true},
		intent.Record{Kind: intent.AttemptEnded, Incarnation: 7, RequestNumber: 3, Attempt: 1, AtUnixNano: at + 9*ms, Outcome: "answered", Proof: intent.Ran},
		intent.Record{Kind: intent.Reconciled, Incarnation: 7, RequestNumber: 3, Attempt: 0, AtUnixNano: at + 99*ms, Server: "s1", Proof: intent.NeverRan},
		intent.Record{Kind: intent.ClientNotified, Incarnation: 7, RequestNumber: 3, AtUnixNano: at + 10*ms, Outcome: "handled", Count: 2},
		intent.Record{Kind: intent.Unsent, Incarnation: 8, RequestNumber: 4, AtUnixNano: at + 20*ms, RequestID: "id-4", Type: "hire-pay"})
	log.Close()
	return dir
}

// TestBindingsPrinted compares the JSON and CSV output of entries with stored files, because other programs read this output.
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
			if code, out, stderr := runBindings(append([]string{"--dir", dir}, c.args...)...); code != 0 || out != string(want) || stderr != "" {
				t.Errorf("exit %d, printed\n%s\nwant\n%s\nstandard error: %s", code, out, want, stderr)
			}
		})
	}
}

// TestReplicasPrinted compares the output of `fernvane replicas --json` with a stored file.
func TestReplicasPrinted(t *testing.T) {
	member := membership.Member{Name: "n1", Incarnation: 11, Refutations: 7, Condition: membership.Dead, Address: "127.0.0.1:81", Site: "east", Machine: "m-4"}
	tier := &peer.Client{Responses: map[string]*peer.Status{"n1": {
		Self: member, Members: []membership.Member{member}, IsReady: true, Replicas: 2,
		Stream: replication.Stream{Name: "n1", Incarnation: 11}, Next: 31, Committed: 29, Uncommitted: 3,
		Holders: []replication.Holder{{Name: "n2", State: "late", RejectReason: "no room is left", Acked: 28, MissingRecords: 4}},
		StoredReplicas: []replication.StoredReplica{{Stream: replication.Stream{Name: "n3~n2", Incarnation: 5}, Ranges: replication.Ranges{{From: 1, To: 6}},
			Bytes: 640, LastRecordUnixNano: 13, IsOrphan: true, MissingRecords: map[string]uint64{"n4": 11}}},
		StoredBytes: 641, MaxBytes: 1 << 30, Damage: []string{"a file"},
	}}}
	var out bytes.Buffer
	printTier(&out, tier, true)
	want, err := os.ReadFile("testdata/replicas.jsonl")
	if err != nil || out.String() != string(want) {
		t.Errorf("printed\n%s\nwant\n%s\nerror: %v", out.String(), want, err)
	}
}
