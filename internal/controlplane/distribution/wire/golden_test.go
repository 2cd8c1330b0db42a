package wire

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"fernvane/internal/controlplane/distribution"
)

var update = flag.Bool("update", false, "rewrite the golden files; only for a new protocol version")

// Values of the golden messages. Vectors have a single origin because the encoded order of map entries is not fixed.
var (
	goldenVector    = distribution.Vector{"root/00000000000000a1": 9}
	goldenKey       = distribution.Key{Service: "ferries", Kind: distribution.KindRoute, Name: "checks"}
	goldenRejection = distribution.Rejection{Key: goldenKey, Reason: "no room", IsStoreFull: true}
	goldenStatus    = distribution.NodeStatus{Name: "n1", Role: distribution.RoleControl, Region: "north", Zone: "z1", Via: "root-2", Revision: 31,
		AcknowledgedClock: 1700000000123 << 16, Lag: 1500 * time.Millisecond, PendingKeys: 4, UnacknowledgedBytes: 2048, HasAcknowledged: true, IsCatchingUp: true, IsConnected: true,
		DisconnectedMs: 1700000000456, Rejected: []distribution.Rejection{goldenRejection}}
)

// goldenMessages contains each type of message, with every field set to a distinct value.
var goldenMessages = []Message{
	&Subscribe{Subscription: distribution.Subscription{Name: "n1", Role: distribution.RoleReader, Region: "north", Zone: "z1", Services: []string{"", "ferries"},
		AllServices: true, Vector: goldenVector, UnsyncedServices: []string{"trams"}}},
	&Batch{distribution.Batch{Number: 4,
		Entries: []distribution.Entry{
			{Key: goldenKey, Clock: 1700000000123<<16 | 5, Origin: "root/00000000000000a1", Sequence: 7, Value: []byte("value")},
			{Key: distribution.Key{Service: "trams", Kind: distribution.KindPool, Name: "old"}, Clock: 1700000000124 << 16, Origin: "relay/00000000000000b2",
				Sequence: 8, Deleted: true},
		},
		ResetServices: []string{"ferries"}, ResetsAll: true, IsComplete: true, Through: goldenVector, Pruned: distribution.Vector{"root/00000000000000a1": 3}}},
	&Acknowledge{Acknowledgement: distribution.Acknowledgement{BatchNumber: 4, Applied: goldenVector, Rejected: []distribution.Rejection{goldenRejection}}, ApplyLagMs: 35},
	&Digests{Digests: distribution.Digests{Total: 1 << 63, Services: map[string]uint64{"ferries": 1<<64 - 1}, Through: goldenVector}, IsAllServices: true},
	&Pull{IsContinuous: true, Vector: goldenVector, Services: []string{"ferries"}, WantsDigests: true},
	&Report{Nodes: []distribution.NodeStatus{goldenStatus}},
	&Write{ID: 11, Changes: []distribution.Change{{Key: goldenKey, Value: []byte("value"), Deleted: true}}},
	&WriteResult{ID: 12, Error: "refused", Origin: "root/00000000000000a1", Clock: 1700000000125 << 16, Sequence: 13},
	&StatusQuery{ID: 14},
	&StatusAnswer{ID: 15, Self: goldenStatus, Nodes: []distribution.NodeStatus{goldenStatus}, IsLast: true},
}

// goldenNames contains the base names of the golden files, in the order of the messages.
var goldenNames = []string{"subscribe", "batch", "acknowledge", "digests", "want", "report", "write", "written", "query", "answer"}

// TestGoldenMessages fixes the encoding of each message between nodes, control processes and commands, which other versions of
// the program decode.
func TestGoldenMessages(t *testing.T) {
	if want := int(kindLimit) - int(subscribeKind); len(goldenMessages) != want || len(goldenNames) != want {
		t.Fatalf("got %d messages and %d names, want %d of each", len(goldenMessages), len(goldenNames), want)
	}
	for i, m := range goldenMessages {
		t.Run(goldenNames[i], func(t *testing.T) {
			if _, isBatch := m.(*Batch); !isBatch { // the second entry is a deletion, which has no value
				requireFieldsSet(t, reflect.ValueOf(m).Elem(), goldenNames[i])
			}
			encoded, err := Append(nil, m)
			if err != nil {
				t.Fatal(err)
			}
			golden := goldenBytes(t, goldenNames[i], encoded)
			if !bytes.Equal(encoded, golden) {
				t.Errorf("encoded as\n%x, want\n%x", encoded, golden)
			}
			kind, body, err := Protocol.Read(bytes.NewReader(golden), nil)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := Decode(kind, body)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(decoded, m) {
				t.Errorf("decoded as\n%+v, want\n%+v", decoded, m)
			}
		})
	}
}

// goldenBytes returns the content of a message's golden file, after rewriting it if -update is set.
func goldenBytes(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "frames", name+".hex")
	if *update {
		if err := os.WriteFile(path, []byte(hex.EncodeToString(encoded)+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return golden
}

// requireFieldsSet fails if a field is zero, because the golden file would not fix the position of such a field.
func requireFieldsSet(t *testing.T, v reflect.Value, path string) {
	t.Helper()
	switch {
	case v.IsZero():
		t.Errorf("%s is not set", path)
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.Name != "_" {
				requireFieldsSet(t, v.Field(i), path+"."+field.Name)
			}
		}
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		for i := range v.Len() {
			requireFieldsSet(t, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
		}
	}
}
