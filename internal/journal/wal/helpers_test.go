package wal_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"

	"fernvane/internal/journal/intent"
	. "fernvane/internal/journal/wal"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// truth is what really became of requests, by what was acknowledged.
type truth struct {
	sent map[uint64]bool // its intent was committed, so the attempt was sent
	ran  map[uint64]bool
}

func open(t testing.TB, d FileSystem, segment int64) *Log {
	t.Helper()
	l, err := Open(Options{Dir: "j", FileSystem: d, Fsync: true, MaxSegmentBytes: segment, Incarnation: 1, RetryInterval: time.Millisecond})
	if err != nil {
		return nil
	}
	return l
}

// script sends requests in turn, as a node would: each attempt only after its intent is committed, and some never run.
func script(l *Log, n int) truth {
	tr := truth{sent: map[uint64]bool{}, ran: map[uint64]bool{}}
	if l == nil {
		return tr
	}
	for number := uint64(1); number <= uint64(n); number++ {
		id := fmt.Sprintf("%016x", number)
		commit, err := l.Append(true, intent.Record{Kind: intent.Intent, Incarnation: 1, RequestNumber: number, AtUnixNano: int64(number), RequestID: id, Type: "book", Server: "s"})
		if err != nil {
			continue
		}
		if <-commit.Done(); commit.Err() != nil {
			l.Append(false, intent.Record{Kind: intent.AttemptEnded, Incarnation: 1, RequestNumber: number, AtUnixNano: 2, Outcome: "not kept", Proof: intent.NeverRan})
			continue
		}
		tr.sent[number] = true
		proof := intent.Proof(number % 3)
		tr.ran[number] = proof != intent.NeverRan
		l.Append(false, intent.Record{Kind: intent.AttemptEnded, Incarnation: 1, RequestNumber: number, AtUnixNano: 2, Proof: proof},
			intent.Record{Kind: intent.ClientNotified, Incarnation: 1, RequestNumber: number, AtUnixNano: 3, Outcome: "handled", Count: 1})
	}
	return tr
}

// checkClaims reads a journal and checks that it claims nothing that is not true.
func checkClaims(t testing.TB, d FileSystem, tr truth, what string) (r ScanReport, all map[uint64]*intent.Entry) {
	t.Helper()
	assembler := intent.NewAssembler()
	all = map[uint64]*intent.Entry{}
	r, err := Scan(d, "j", time.Time{}, func(rec *intent.Record) error {
		if e := assembler.Add(rec); e != nil {
			all[e.RequestNumber] = e
		}
		return nil
	}, nil)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	assembler.HasDamage = r.CorruptCount() > 0
	for _, e := range assembler.Incomplete() {
		all[e.RequestNumber] = e
	}
	for number, e := range all {
		switch s := e.State(); {
		case s == intent.NotSent && tr.ran[number]:
			t.Fatalf("%s: request %d ran, and the journal says that it was not sent", what, number)
		case s == intent.HasRun && !tr.ran[number]:
			t.Fatalf("%s: request %d did not run, and the journal says that it did", what, number)
		}
	}
	return r, all
}

// fill writes entries as a node does, of three records each.
func fill(b testing.TB, dir string, entries int) {
	l, err := Open(Options{Dir: dir, FileSystem: OSFileSystem{}, MaxSegmentBytes: 16 << 20})
	if err != nil {
		b.Fatal(err)
	}
	var commit *Commit
	for number := range uint64(entries) {
		id := fmt.Sprintf("%016x", number)
		at := time.Now().UnixNano()
		if commit, err = l.Append(true, intent.Record{Kind: intent.Intent, Incarnation: 1, RequestNumber: number, AtUnixNano: at, RequestID: id, Tenant: "dairy", Type: "hire-book", Server: "server-17"},
			intent.Record{Kind: intent.AttemptEnded, Incarnation: 1, RequestNumber: number, AtUnixNano: at, Outcome: "answered", Proof: intent.Ran},
			intent.Record{Kind: intent.ClientNotified, Incarnation: 1, RequestNumber: number, AtUnixNano: at, Outcome: "handled", Count: 1}); err != nil {
			b.Fatal(err)
		}
		if number%500 == 0 {
			<-commit.Done()
		}
	}
	l.Close()
}
