package wal_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"fernvane/internal/journal/intent"
	. "fernvane/internal/journal/wal"
	"fernvane/internal/testbed/standin/memdisk"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// truth is what really became of operations, by what was acknowledged.
type truth struct {
	sent, ran map[uint64]bool // sent: the intent was said to last, so the hop went out
}

func open(t testing.TB, d FileSystem, segment int64) *Log {
	t.Helper()
	l, err := Open(Options{Dir: "j", FileSystem: d, Fsync: true, MaxSegmentBytes: segment, Incarnation: 1, RetryInterval: time.Millisecond})
	if err != nil {
		return nil
	}
	return l
}

// script sends operations in turn, as a node would: each hop only after its intent lasts, and some never run.
func script(l *Log, n int) truth {
	tr := truth{map[uint64]bool{}, map[uint64]bool{}}
	if l == nil {
		return tr
	}
	for op := uint64(1); op <= uint64(n); op++ {
		id := fmt.Sprintf("%016x", op)
		w, err := l.Append(true, intent.Record{Kind: intent.Intent, Incarnation: 1, RequestNumber: op, AtUnixNano: int64(op), RequestID: id, Type: "book", Server: "s"})
		if err != nil {
			continue
		}
		if <-w.Done(); w.Err() != nil {
			l.Append(false, intent.Record{Kind: intent.AttemptEnded, Incarnation: 1, RequestNumber: op, AtUnixNano: 2, Outcome: "not kept", Proof: intent.NeverRan})
			continue
		}
		tr.sent[op] = true
		proof := intent.Proof(op % 3)
		tr.ran[op] = proof != intent.NeverRan
		l.Append(false, intent.Record{Kind: intent.AttemptEnded, Incarnation: 1, RequestNumber: op, AtUnixNano: 2, Proof: proof},
			intent.Record{Kind: intent.ClientNotified, Incarnation: 1, RequestNumber: op, AtUnixNano: 3, Outcome: "handled", Count: 1})
	}
	return tr
}

// look reads a journal and checks that nothing is claimed that was not so.
func look(t testing.TB, d FileSystem, tr truth, what string) (r ScanReport, all map[uint64]*intent.Entry) {
	t.Helper()
	fold := intent.NewAssembler()
	all = map[uint64]*intent.Entry{}
	r, err := Scan(d, "j", time.Time{}, func(rec *intent.Record) error {
		if e := fold.Add(rec); e != nil {
			all[e.RequestNumber] = e
		}
		return nil
	}, nil)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	fold.HasDamage = r.CorruptCount() > 0
	for _, e := range fold.Incomplete() {
		all[e.RequestNumber] = e
	}
	for op, e := range all {
		switch s := e.State(); {
		case s == intent.NotSent && tr.ran[op]:
			t.Fatalf("%s: operation %d ran, and the journal says that it was not sent", what, op)
		case s == intent.HasRun && !tr.ran[op]:
			t.Fatalf("%s: operation %d did not run, and the journal says that it did", what, op)
		}
	}
	return r, all
}

// Each write, sync and creation of a scripted run meets each trouble, once or from then on, and the machine dies at the
// end: whatever was acknowledged is there, and no entry claims more than was known.
func TestEveryWriteFails(t *testing.T) {
	plain := memdisk.New()
	l := open(t, plain, 600)
	script(l, 24)
	l.Close()
	if plain.Operations() < 40 {
		t.Fatalf("the script touches the disk %d times", plain.Operations())
	}
	cases := 0
	for n := 1; n <= plain.Operations(); n++ {
		for _, trouble := range []memdisk.Fault{memdisk.Short, memdisk.Full, memdisk.Lying, memdisk.Dead} {
			for _, lasts := range []int{1, 3, 1 << 30} {
				cases++
				what := fmt.Sprintf("trouble %d at %d for %d", trouble, n, lasts)
				d := memdisk.New()
				d.Meet = func(op int) memdisk.Fault {
					if op >= n && op < n+lasts {
						return trouble
					}
					return memdisk.None
				}
				l := open(t, d, 600)
				tr := script(l, 24)
				if l != nil {
					l.Close()
				}
				d.Crash(rand.New(rand.NewPCG(uint64(n), uint64(trouble))))
				r, all := look(t, d, tr, what)
				for op := range tr.sent {
					if all[op] == nil {
						t.Fatalf("%s: the intent of %d was said to last, and is gone", what, op)
					}
				}
				if r.CorruptCount() > 0 && trouble != memdisk.Short {
					t.Fatalf("%s: %v", what, r.Unreadable)
				}
				d.Meet = func(int) memdisk.Fault { return memdisk.None }
				if again := open(t, d, 600); again == nil { // it goes on
					t.Fatalf("%s: no journal can be begun", what)
				} else {
					again.Close()
				}
			}
		}
	}
	t.Logf("%d cases", cases)
}

// Bits flip anywhere: what is hit is named, the rest is read, and nothing more is claimed.
func TestFlippedBits(t *testing.T) {
	for seed := range uint64(400) {
		d := memdisk.New()
		l := open(t, d, 900)
		tr := script(l, 24)
		l.Close()
		whole, _ := look(t, d, tr, "whole")
		chance := rand.New(rand.NewPCG(seed, 5))
		flips := 1 + chance.IntN(4)
		d.Flip(chance, flips)
		r, _ := look(t, d, tr, fmt.Sprint("seed ", seed))
		if len(r.Unreadable) == 0 {
			t.Fatalf("seed %d: nothing was found", seed)
		}
		if lost := whole.Records - r.Records; lost > 2*flips { // a length that was hit may take the next one with it
			t.Fatalf("seed %d: %d flipped bits lost %d records", seed, flips, lost)
		}
	}
}

// The journal beside a list in memory: whatever is appended, rotated and begun anew, all that was acknowledged is read
// back, in order.
func TestAgainstMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := memdisk.New()
		var want []string
		for run := range rapid.IntRange(1, 4).Draw(t, "runs") {
			l, err := Open(Options{Dir: "j", FileSystem: d, Fsync: rapid.Bool().Draw(t, "machine"), MaxSegmentBytes: int64(rapid.IntRange(60, 900).Draw(t, "segment")), Incarnation: uint64(run)})
			if err != nil {
				t.Fatal(err)
			}
			for op := range rapid.IntRange(0, 20).Draw(t, "ops") {
				id := rapid.StringN(0, 20, 40).Draw(t, "id")
				w, err := l.Append(true, intent.Record{Kind: intent.Intent, Incarnation: uint64(run), RequestNumber: uint64(op), RequestID: id})
				if err != nil {
					t.Fatal(err)
				}
				want = append(want, fmt.Sprint(run, op, id))
				if rapid.Bool().Draw(t, "waited") {
					<-w.Done()
				}
			}
			l.Close()
		}
		var got []string
		if _, err := Scan(d, "j", time.Time{}, func(r *intent.Record) error {
			got = append(got, fmt.Sprint(r.Incarnation, r.RequestNumber, r.RequestID))
			return nil
		}, nil); err != nil || strings.Join(got, "|") != strings.Join(want, "|") {
			t.Fatalf("%v: %q, not %q", err, got, want)
		}
	})
}

// A disk that takes nothing for a while: what comes is refused at once, and a gap tells of it afterwards.
func TestGap(t *testing.T) {
	d := memdisk.New()
	notes := make(chan error, 9)
	l, err := Open(Options{Dir: "j", FileSystem: d, MaxSegmentBytes: 1 << 20, RetryInterval: time.Millisecond, OnHealthChange: func(err error) { notes <- err }})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d.Fill(true)
	w, err := l.Append(true, intent.Record{Kind: intent.Intent, RequestNumber: 1})
	if err != nil {
		t.Fatal(err)
	}
	if <-w.Done(); !errors.Is(w.Err(), memdisk.ErrDisk) || <-notes == nil {
		t.Errorf("%v", w.Err())
	}
	if _, err := l.Append(true, intent.Record{Kind: intent.Intent, RequestNumber: 2}); !errors.Is(err, ErrDiskFailing) || l.Failure() == nil {
		t.Errorf("%v", err)
	}
	d.Fill(false)
	if err := <-notes; err != nil || l.Failure() != nil {
		t.Errorf("%v, %v", err, l.Failure())
	}
	gap := 0
	Scan(d, "j", time.Time{}, func(r *intent.Record) error {
		if r.Kind == intent.Gap {
			gap += r.Count
		}
		return nil
	}, nil)
	if gap != 2 {
		t.Errorf("a gap of %d", gap)
	}
}

// On the system's disk: rotation, retention, a torn end, and a reader beside the writer.
func TestOnDisk(t *testing.T) {
	dir := t.TempDir()
	l, err := Open(Options{Dir: dir, FileSystem: OSFileSystem{}, MaxSegmentBytes: 4 << 10, RetentionBytes: 16 << 10})
	if err != nil {
		t.Fatal(err)
	}
	for op := range uint64(2000) {
		w, err := l.Append(true, intent.Record{Kind: intent.Intent, RequestNumber: op, RequestID: "0123456789abcdef", Server: "server"})
		if err != nil {
			t.Fatal(err)
		}
		<-w.Done()
		if op == 1000 { // read meanwhile
			if r, err := Scan(OSFileSystem{}, dir, time.Time{}, func(*intent.Record) error { return nil }, nil); err != nil || len(r.Unreadable) > 0 || r.Records == 0 {
				t.Errorf("%+v, %v", r, err)
			}
		}
	}
	l.Close()
	segments, err := ListSegments(OSFileSystem{}, dir)
	if err != nil || len(segments) < 3 || len(segments) > 6 {
		t.Fatalf("%d segments, %v", len(segments), err)
	}
	last := segments[len(segments)-1]
	text, _ := os.ReadFile(last.Path)
	os.WriteFile(last.Path, text[:len(text)-5], 0o600)
	os.WriteFile(filepath.Join(dir, "notes.txt"), []byte("not ours"), 0o600)
	newest := uint64(0)
	r, err := Scan(OSFileSystem{}, dir, time.Time{}, func(r *intent.Record) error { newest = r.RequestNumber; return nil }, nil)
	if err != nil || newest != 1998 || len(r.Unreadable) != 1 || !r.Unreadable[0].IsTorn {
		t.Errorf("up to %d, %v, %v", newest, r.Unreadable, err)
	}
}

// What an operator's file may say.
func TestConfig(t *testing.T) {
	dir := t.TempDir()
	for text, wrong := range map[string]string{
		"dir = \"DIR\"\nwhen_failing = \"deny\"":                      "",
		"dir = \"DIR\"":                                               "one must be chosen",
		"dir = \"/nowhere\"\nwhen_failing = \"deny\"":                 "f.toml:1: dir",
		"dir = \"DIR\"\nwhen_failing = \"serve\"\npromise = \"all\"":  "f.toml:3: promise",
		"dir = \"DIR\"\nwhen_failing = \"serve\"\nkeep = 3":           "unknown key",
		"dir = \"DIR\"\nwhen_failing = \"serve\"\nkeep_bytes = 9":     "no two segments",
		"dir = \"DIR\"\nwhen_failing = \"serve\"\nwait_most = \"1m\"": "f.toml:3: wait_most",
		"dir = \"DIR\"\nwhen_failing = \"serve\"\nsegment_bytes = 1":  "segment_bytes",
	} {
		path := filepath.Join(dir, "f.toml")
		os.WriteFile(path, []byte(strings.Replace(text, "DIR", dir, 1)), 0o600)
		if _, err := LoadConfig(path); (err == nil) != (wrong == "") || err != nil && !strings.Contains(err.Error(), wrong) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// fill writes entries as a node does, three records each.
func fill(b testing.TB, dir string, entries int) {
	l, err := Open(Options{Dir: dir, FileSystem: OSFileSystem{}, MaxSegmentBytes: 16 << 20})
	if err != nil {
		b.Fatal(err)
	}
	var w *Commit
	for op := range uint64(entries) {
		id := fmt.Sprintf("%016x", op)
		at := time.Now().UnixNano()
		if w, err = l.Append(true, intent.Record{Kind: intent.Intent, Incarnation: 1, RequestNumber: op, AtUnixNano: at, RequestID: id, Tenant: "dairy", Type: "hire-book", Server: "server-17"},
			intent.Record{Kind: intent.AttemptEnded, Incarnation: 1, RequestNumber: op, AtUnixNano: at, Outcome: "answered", Proof: intent.Ran},
			intent.Record{Kind: intent.ClientNotified, Incarnation: 1, RequestNumber: op, AtUnixNano: at, Outcome: "handled", Count: 1}); err != nil {
			b.Fatal(err)
		}
		if op%500 == 0 {
			<-w.Done()
		}
	}
	l.Close()
}

// Recovery of a million entries: all segments read, entries put together.
func BenchmarkRecover(b *testing.B) {
	dir := b.TempDir()
	fill(b, dir, 1_000_000)
	b.ResetTimer()
	for b.Loop() {
		fold, n := intent.NewAssembler(), 0
		r, err := Scan(OSFileSystem{}, dir, time.Time{}, func(r *intent.Record) error {
			if fold.Add(r) != nil {
				n++
			}
			return nil
		}, nil)
		if err != nil || n != 1_000_000 {
			b.Fatal(n, err)
		}
		b.ReportMetric(float64(r.Bytes)/1e6, "MB")
	}
}
