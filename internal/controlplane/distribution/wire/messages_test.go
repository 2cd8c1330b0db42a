package wire

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution"
)

const origin = distribution.Origin("root/0000000000000001")

func testEntry(name string) distribution.Entry {
	return distribution.Entry{Key: distribution.Key{Service: "ferries", Kind: distribution.KindServer, Name: name}, Clock: 7 << 16, Origin: origin,
		Sequence: 3, Value: []byte("value")}
}

func testStatus() distribution.NodeStatus {
	return distribution.NodeStatus{Name: "n", Role: distribution.RoleNode, Region: "r", Zone: "z", Revision: 4, Lag: 5, Rejected: []distribution.Rejection{{Reason: "no"}}}
}

func TestMessagesRoundTrip(t *testing.T) {
	vector := distribution.Vector{origin: 9}
	for _, m := range []Message{
		&Subscribe{Subscription: distribution.Subscription{Name: "n", Role: distribution.RoleNode, Region: "r", Zone: "z", Services: []string{"", "a"},
			Vector: vector, UnsyncedServices: []string{"a"}}},
		&Batch{distribution.Batch{Number: 4, Entries: []distribution.Entry{testEntry("a"), testEntry("b")}, ResetServices: []string{"a"}, ResetsAll: true, IsComplete: true,
			Through: vector, Pruned: vector}},
		&Batch{distribution.Batch{Number: 5}},
		&Acknowledge{Acknowledgement: distribution.Acknowledgement{BatchNumber: 4, Applied: vector, Rejected: []distribution.Rejection{{Reason: "r"}}}, ApplyLagMs: 3},
		&Digests{Digests: distribution.Digests{Total: 1 << 63, Services: map[string]uint64{"a": 1<<64 - 1}, Through: vector}, IsAllServices: true},
		&Pull{IsContinuous: true, Vector: vector, Services: []string{"a"}, WantsDigests: true},
		&Report{Nodes: []distribution.NodeStatus{testStatus()}},
		&Write{ID: 1, Changes: []distribution.Change{{Key: testEntry("a").Key, Value: []byte("v")}}},
		&WriteResult{ID: 1, Error: "no", Origin: origin, Clock: 5, Sequence: 6},
		&StatusQuery{ID: 3},
		&StatusAnswer{ID: 3, Self: testStatus(), Nodes: []distribution.NodeStatus{testStatus()}, IsLast: true},
	} {
		frame, err := Append(nil, m)
		if err != nil {
			t.Fatalf("%T: %v", m, err)
		}
		k, text, err := Protocol.Read(bytes.NewReader(frame), nil)
		if err != nil {
			t.Fatalf("%T: %v", m, err)
		}
		got, err := Decode(k, text)
		if err != nil {
			t.Fatalf("%T: %v", m, err)
		}
		if !reflect.DeepEqual(got, m) {
			t.Errorf("%T: got\n%+v, want\n%+v", m, got, m)
		}
	}
}

func TestMessagesOutOfBoundsAreRejected(t *testing.T) {
	long := strings.Repeat("x", 400)
	many := make([]string, distribution.MaxServices)
	tests := []struct {
		name string
		m    Message
	}{
		{"a subscriber without a name", &Subscribe{Subscription: distribution.Subscription{Role: distribution.RoleNode}}},
		{"a subscriber without a role", &Subscribe{Subscription: distribution.Subscription{Name: "n"}}},
		{"a long name", &Subscribe{Subscription: distribution.Subscription{Name: long, Role: distribution.RoleNode}}},
		{"too many services", &Pull{Services: append(many, "one more")}},
		{"a long service", &Pull{Services: []string{long}}},
		{"a long origin", &Pull{Vector: distribution.Vector{distribution.Origin(long): 1}}},
		{"no origin", &Batch{distribution.Batch{Through: distribution.Vector{"": 1}}}},
		{"a write without changes", &Write{ID: 1}},
		{"a long reason", &Acknowledge{Acknowledgement: distribution.Acknowledgement{Rejected: []distribution.Rejection{{Reason: long}}}}},
		{"a long name in a report", &Report{Nodes: []distribution.NodeStatus{{Name: long}}}},
		{"a long region in an answer", &StatusAnswer{Self: distribution.NodeStatus{Region: long}}},
		{"a long service in digests", &Digests{Digests: distribution.Digests{Services: map[string]uint64{long: 1}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			frame, err := Append(nil, test.m)
			if err != nil {
				t.Fatal(err)
			}
			k, text, err := Protocol.Read(bytes.NewReader(frame), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Decode(k, text); err == nil {
				t.Fatal("got no error")
			}
		})
	}
	if _, err := Decode(kindLimit, nil); !errors.Is(err, framing.ErrUnknownKind) {
		t.Errorf("unknown kind: got error %v, want ErrUnknownKind", err)
	}
	body, _ := Append(nil, &Batch{distribution.Batch{Entries: []distribution.Entry{testEntry("a")}}})
	for i := range body {
		for _, flip := range []byte{1, 0x80} {
			broken := bytes.Clone(body)
			broken[i] ^= flip
			if k, text, err := Protocol.Read(bytes.NewReader(broken), nil); err == nil {
				t.Errorf("byte %d changed: got kind %v, body %x, want an error", i, k, text)
			}
		}
	}
}

func FuzzDecode(f *testing.F) {
	frame, _ := Append(nil, &Batch{distribution.Batch{Number: 1, Entries: []distribution.Entry{testEntry("a")}}})
	f.Add(uint8(batchKind), frame[5:len(frame)-4])
	f.Fuzz(func(t *testing.T, k uint8, text []byte) {
		m, err := Decode(framing.Kind(k), text)
		if err != nil {
			return
		}
		if _, err := Append(nil, m); err != nil && !errors.Is(err, framing.ErrFrameTooLong) {
			t.Fatalf("encode decoded %T: %v", m, err)
		}
	})
}

// TestBatchSizeApproximatesEncodedSize checks that the size of a batch that budgets count approximates its encoded size.
func TestBatchSizeApproximatesEncodedSize(t *testing.T) {
	for _, entries := range []int{1, 50, 200} {
		b := distribution.Batch{Number: 9, IsComplete: true, Through: distribution.Vector{origin: 1 << 40}, ResetServices: []string{"ferries"}}
		for i := range entries {
			e := testEntry("server-" + strings.Repeat("9", i%10))
			e.Clock, e.Sequence, e.Value = 116153804390400000, uint64(100_000+i), make([]byte, 60)
			b.Entries = append(b.Entries, e)
		}
		frame, err := Append(nil, &Batch{b})
		if err != nil {
			t.Fatal(err)
		}
		if got := float64(b.Size()) / float64(len(frame)); got < 0.9 || got > 1.5 {
			t.Errorf("%d entries: got size %d bytes, want 0.9 to 1.5 times the encoded %d bytes", entries, b.Size(), len(frame))
		}
	}
}
