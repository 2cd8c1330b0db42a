package proxy

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/testbed/standin/memdisk"
)

// The file in testdata was written by an earlier version. It is decoded to the entries of that version, and encoded to the same bytes.
func TestLastGoodFileOfEarlierVersion(t *testing.T) {
	earlier, err := os.ReadFile(filepath.Join("testdata", lastGoodFileName))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, lastGoodFileName), earlier, 0o600); err != nil {
		t.Fatal(err)
	}
	_, entries, err := openLastGood(dir)
	if err != nil {
		t.Fatal(err)
	}
	want := []distribution.Entry{
		{Key: distribution.Key{Service: "hire", Kind: distribution.KindRoute, Name: "a"}, Clock: 1 << 40, Origin: "root/1", Sequence: 7, Value: []byte("type = \"check\"")},
		{Key: distribution.Key{Service: "hire", Kind: distribution.KindPool, Name: "p"}, Clock: 3, Origin: "root/2", Sequence: 8, Value: []byte("servers = [\"s*\"]")},
		{Key: distribution.Key{Service: "yard", Kind: distribution.KindTenant, Name: "dairy"}, Clock: 4, Origin: "root/1", Sequence: 9, Value: []byte("\x81\xf9\x49\x00")},
	}
	if !reflect.DeepEqual(entries, want) {
		t.Errorf("unexpected entries %+v", entries)
	}
	empty := t.TempDir()
	file, _, err := openLastGood(empty)
	if err != nil {
		t.Fatal(err)
	}
	if err := file.replace(entries); err != nil {
		t.Fatal(err)
	}
	if written, err := os.ReadFile(filepath.Join(empty, lastGoodFileName)); err != nil || !bytes.Equal(written, earlier) {
		t.Errorf("got file %x, error %v, want the bytes of the earlier version", written, err)
	}
}

// The records of each attempt result and of each final answer are stored, and operators' tools read them. The lines in testdata are the
// records of an earlier version, without incarnation and times.
func TestJournalRecordsOfEarlierVersion(t *testing.T) {
	cfg := config()
	disk := memdisk.New()
	cfg.Filesystem = disk
	cfg.Journal = &wal.Config{Dir: "j", Durability: "machine", WhenFailing: "deny", MaxWait: tomlfile.Duration(time.Minute), SegmentBytes: 1 << 20, RepeatOfField: "Repeats"}
	j, err := openJournal(cfg, zerolog.Nop(), nil)
	if err != nil {
		t.Fatal(err)
	}
	req := &http1.Request{Fields: []http1.Field{{Name: []byte("Client-Retry"), Value: []byte("1")}, {Name: []byte("Repeats"), Value: []byte("77")}}}
	newEntry := func(id string) *journalEntry {
		return j.newEntry(1, &message.RequestInfo{ID: []byte(id), Tenant: []byte("dairy")}, req)
	}
	attempts := newEntry("attempts")
	for result := dispatch.Succeeded; result <= dispatch.Abandoned; result++ {
		attempt, err := attempts.recordIntent(context.Background(), "s", time.Now().Add(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		attempts.recordAttemptEnd(attempt, result)
	}
	for _, outcome := range []answerOutcome{outcomeResponded, outcomeRejected, outcomeFailed, outcomeDisconnected} {
		newEntry(string(outcome)).recordAnswer(outcome)
	}
	j.close()
	var lines []string
	if _, err := wal.Scan(disk, "j", time.Time{}, func(r *intent.Record) error {
		r.Incarnation, r.AtUnixNano = 0, 0
		text, err := cbor.Marshal(r)
		lines = append(lines, hex.EncodeToString(text)+fmt.Sprintf(" %d %q", r.Kind, r.Outcome))
		return err
	}, nil); err != nil {
		t.Fatal(err)
	}
	got := strings.Join(lines, "\n") + "\n"
	want, err := os.ReadFile(filepath.Join("testdata", "journal-records.golden"))
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("records differ from those of the earlier version: got\n%s", got)
	}
}

// LoadConfig reads each key of the platform's file.
func TestConfigurationKeys(t *testing.T) {
	cfg, err := LoadConfig(filepath.Join("testdata", "config.json"), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprintf("%s %s %s %d %v %+v %v", cfg.Name, cfg.Listen, cfg.Discovery, cfg.Seed, cfg.Cores, cfg.Limits, cfg.SavedListErr)
	if want := "node-1 127.0.0.1:8080 127.0.0.1:9090 2363233923 1.5 {MemoryMB:64 Sockets:256} <nil>"; got != want {
		t.Errorf("unexpected configuration %s", got)
	}
	if n := len(cfg.SavedList.Endpoints); cfg.SavedList.Revision != 12 || !cfg.SavedList.IsComplete || n != 1 || cfg.SavedList.Endpoints[0].ID != "s-1" {
		t.Errorf("unexpected saved list %+v", cfg.SavedList)
	}
	if s := cfg.Settings; s.MaxAttempts != 2 || len(s.TypeNames) != 1 || s.TypeNames[0] != "check" {
		t.Errorf("unexpected settings %+v", s)
	}
}
