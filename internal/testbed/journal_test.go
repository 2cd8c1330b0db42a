package testbed

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"fernvane/internal/journal/intent"
)

// Guards against renamed JSON keys: reports of earlier runs use these names.
func TestJournalJSON(t *testing.T) {
	got, err := json.Marshal(Journal{Entries: 1, Ran: 2, PossiblySent: 3, Open: 4, Gaps: 5, Bytes: 6, Losses: 7, Cycles: 8, AnnouncedLost: 9,
		Lost: 10, PeerBytes: 11, RecoverySeconds: 12})
	const want = `{"Entries":1,"Ran":2,"Possibly":3,"Open":4,"Gaps":5,"Bytes":6,"Losses":7,"Cycles":8,"AnnouncedLost":9,"Lost":10,"Linked":11,"RecoverySeconds":12}`
	if err != nil || string(got) != want {
		t.Errorf("got %s, error %v", got, err)
	}
}

// Guards against a run that fails because a node has removed a replica since the directories were listed. A node's own journal must exist.
func TestRemovedReplicaIsSkipped(t *testing.T) {
	own, removed := t.TempDir(), filepath.Join(t.TempDir(), "n0@1")
	for name, c := range map[string]struct {
		dirs  []string
		fails bool
	}{
		"replica removed": {[]string{own, removed}, false},
		"no own journal":  {[]string{removed}, true},
	} {
		if err := readJournal(0, c.dirs, map[entryKey]*intent.Entry{}, map[int]bool{}, &Journal{}); (err != nil) != c.fails {
			t.Errorf("%s: got error %v", name, err)
		}
	}
}
