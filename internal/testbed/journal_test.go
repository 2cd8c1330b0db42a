package testbed

import (
	"encoding/json"
	"testing"
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
