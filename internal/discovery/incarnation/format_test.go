package incarnation

import (
	"encoding/hex"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestEntryEncoding compares the CBOR encoding of an entry, which planners, nodes and the distribution store and exchange,
// with the bytes written by the first build with this format.
func TestEntryEncoding(t *testing.T) {
	for _, c := range []struct {
		name  string
		entry Entry
		want  string
	}{
		{"all fields", Entry{ID: "s", StartedUnixMS: 1_764_742_800_123, Generation: 2, Condition: Draining, Revision: 1 << 40, Address: "127.0.0.1:80", Zone: "north",
			MachineKind: "large", Cell: 3, Weight: 2.5}, "8a61731b0000019ae2de22fb02011b00000100000000006c3132372e302e302e313a3830656e6f727468656c6172676503fb4004000000000000"},
		{"zero", Entry{}, "8a600000000060606000fb0000000000000000"},
		{"gone", Entry{ID: "t", Condition: Gone}, "8a61740000020060606000fb0000000000000000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			encoded, err := cbor.Marshal(c.entry)
			if err != nil {
				t.Fatal(err)
			}
			if got := hex.EncodeToString(encoded); got != c.want {
				t.Errorf("got encoding\n%s, want\n%s", got, c.want)
			}
			var decoded Entry
			if err := cbor.Unmarshal(encoded, &decoded); err != nil || decoded != c.entry {
				t.Errorf("got decoded entry %+v, error %v", decoded, err)
			}
		})
	}
}
