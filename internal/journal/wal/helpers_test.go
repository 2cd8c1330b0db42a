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

// truth records which requests were really sent and ran.
type truth struct {
	sent map[uint64]bool // the intent was committed, so the attempt was sent
	ran  map[uint64]bool
}

// openLog opens a journal, or returns nil if the disk fails.
func openLog(t testing.TB, disk FileSystem, segmentBytes int64) *Log {
	t.Helper()
	l, err := Open(Options{Dir: "j", FileSystem: disk, Fsync: true, MaxSegmentBytes: segmentBytes, Incarnation: 1, RetryInterval: time.Millisecond})
	if err != nil {
		return nil
	}
	return l
}

// runScript journals n requests one after the other, as a node would: each attempt is sent only after its intent is
// committed, and some attempts never run. With a nil Log no request is sent.
func runScript(l *Log, n int) truth {
	requests := truth{sent: map[uint64]bool{}, ran: map[uint64]bool{}}
	if l == nil {
		return requests
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
		requests.sent[number] = true
		proof := intent.Proof(number % 3)
		requests.ran[number] = proof != intent.NeverRan
		l.Append(false, intent.Record{Kind: intent.AttemptEnded, Incarnation: 1, RequestNumber: number, AtUnixNano: 2, Proof: proof},
			intent.Record{Kind: intent.ClientNotified, Incarnation: 1, RequestNumber: number, AtUnixNano: 3, Outcome: "handled", Count: 1})
	}
	return requests
}

// checkClaims reads a journal and checks that the states of its entries agree with the truth.
func checkClaims(t testing.TB, disk FileSystem, requests truth, what string) (r ScanReport, all map[uint64]*intent.Entry) {
	t.Helper()
	assembler := intent.NewAssembler()
	all = map[uint64]*intent.Entry{}
	r, err := Scan(disk, "j", time.Time{}, func(record *intent.Record) error {
		if e := assembler.Add(record); e != nil {
			all[e.RequestNumber] = e
		}
		return nil
	}, nil)
	if err != nil {
		t.Fatalf("%s: scan journal: %v", what, err)
	}
	assembler.HasDamage = r.CorruptCount() > 0
	for _, e := range assembler.Incomplete() {
		all[e.RequestNumber] = e
	}
	for number, e := range all {
		switch s := e.State(); {
		case s == intent.NotSent && requests.ran[number]:
			t.Fatalf("%s: request %d ran, but its journal state is not-sent", what, number)
		case s == intent.HasRun && !requests.ran[number]:
			t.Fatalf("%s: request %d did not run, but its journal state is ran", what, number)
		}
	}
	return r, all
}

// appendEntries writes entries of three records each, as a node does.
func appendEntries(b testing.TB, dir string, entries int) {
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
