package wal_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fernvane/internal/journal/intent"
	. "fernvane/internal/journal/wal"
	"fernvane/internal/testbed/standin/memdisk"
)

// Guards against records that are reported durable but cannot be decoded: for any strings, either Append rejects a record
// or a scan returns it unchanged.
func TestAcknowledgedRecordsAreReadable(t *testing.T) {
	text := rapid.Custom(func(t *rapid.T) string {
		s := string(rapid.SliceOfN(rapid.Byte(), 0, 12).Draw(t, "bytes"))
		if rapid.Bool().Draw(t, "isText") {
			s = rapid.StringN(0, 12, -1).Draw(t, "text")
		}
		return s + strings.Repeat("x", rapid.SampledFrom([]int{0, 0, 100, 1000, 1990, 3800, 3900, 4000, 4096, 8000}).Draw(t, "padding"))
	})
	rapid.Check(t, func(t *rapid.T) {
		d := memdisk.New()
		l, err := Open(Options{Dir: "j", FileSystem: d, Fsync: true, MaxSegmentBytes: 1 << 20, Incarnation: 1})
		if err != nil {
			t.Fatal(err)
		}
		var acknowledged []intent.Record
		for n := range rapid.IntRange(1, 4).Draw(t, "records") {
			r := intent.Record{Kind: intent.Intent, Incarnation: 1, RequestNumber: uint64(n + 1), AtUnixNano: 1 << 60,
				RequestID: text.Draw(t, "id"), Tenant: text.Draw(t, "tenant"), Server: text.Draw(t, "server"), RepeatOf: text.Draw(t, "repeat of")}
			commit, err := l.Append(true, r)
			if err != nil {
				continue
			}
			if <-commit.Done(); commit.Err() == nil {
				acknowledged = append(acknowledged, r)
			}
		}
		l.Close()
		var found []intent.Record
		report, err := Scan(d, "j", time.Time{}, func(r *intent.Record) error {
			if r.Kind != intent.Gap { // Gap records count rejected records
				found = append(found, *r)
			}
			return nil
		}, nil)
		if err != nil || len(report.Unreadable) > 0 {
			t.Fatalf("scan: got unreadable ranges %v, error %v, want none", report.Unreadable, err)
		}
		if !reflect.DeepEqual(found, acknowledged) {
			t.Fatalf("acknowledged records %s, but got %s from the scan", describe(acknowledged), describe(found))
		}
	})
}

// describe returns the request numbers of records and the lengths of their strings.
func describe(records []intent.Record) string {
	var texts []string
	for _, r := range records {
		texts = append(texts, fmt.Sprintf("%d (%d %d %d %d bytes)", r.RequestNumber, len(r.RequestID), len(r.Tenant), len(r.Server), len(r.RepeatOf)))
	}
	return fmt.Sprint(texts)
}
