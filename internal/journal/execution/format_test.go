package execution

import (
	"reflect"
	"testing"
	"time"

	"fernvane/internal/journal/intent"
)

func TestLoadFile(t *testing.T) {
	got := map[string]*intent.ExecutionRecord{}
	if err := Load("testdata/executions.jsonl", got); err != nil {
		t.Fatal(err)
	}
	at := func(hour int) int64 { return time.Date(2026, 1, 31, hour, 0, 0, 0, time.UTC).UnixNano() }
	want := map[string]*intent.ExecutionRecord{
		"s-1": {Server: "s-1", FromUnixNano: at(8), ToUnixNano: at(10) + int64(time.Second/2), RequestIDs: map[string]bool{"id-1": true, "id-2": true}},
		"s-2": {Server: "s-2", FromUnixNano: at(8), ToUnixNano: at(9), RequestIDs: map[string]bool{}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("load: got records %+v", got)
	}
}
