package peer

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replication"
)

// frameSample is a message whose fields all have distinct values.
type frameSample struct {
	name    string
	kind    framing.Kind
	message any
}

func sampleMember(name string) membership.Member {
	return membership.Member{Name: name, Incarnation: 1_800_000_000_000_000_001, Refutations: 7, Condition: membership.Suspected, Address: "127.0.0.1:81", Site: "east", Machine: "m-4"}
}

func sampleStatus() *Status {
	s := replication.Stream{Name: "n1", Incarnation: 1_800_000_000_000_000_002}
	return &Status{
		Self:        sampleMember("n1"),
		Members:     []membership.Member{sampleMember("n1"), sampleMember("n2")},
		IsReady:     true,
		Replicas:    2,
		Stream:      s,
		Next:        31,
		Committed:   29,
		Uncommitted: 3,
		Holders:     []replication.Holder{{Name: "n2", State: "late", RejectReason: "no room is left", Acked: 28, MissingRecords: 4}},
		StoredReplicas: []replication.StoredReplica{{Stream: replication.Stream{Name: "n3~n2", Incarnation: 5}, Ranges: replication.Ranges{{From: 1, To: 6}, {From: 8, To: 9}},
			Bytes: 640, LastRecordUnixNano: 1_800_000_000_000_000_003, IsOrphan: true, MissingRecords: map[string]uint64{"n4": 11}}},
		StoredBytes: 641,
		MaxBytes:    4 << 30,
		Damage:      []string{"a file"},
	}
}

func frameSamples() []frameSample {
	s := replication.Stream{Name: "n1", Incarnation: 1_800_000_000_000_000_002}
	ranges := replication.Ranges{{From: 1, To: 6}, {From: 8, To: 9}}
	return []frameSample{
		{"intro", introKind, &intro{Deployment: "d", Member: sampleMember("n1")}},
		{"beat", heartbeatKind, &membership.Heartbeat{Digest: 1<<63 + 5}},
		{"news", updateKind, &membership.Update{Members: []membership.Member{sampleMember("n1"), {Name: "n9"}}}},
		{"ask", livenessQueryKind, &membership.LivenessQuery{Name: "n4"}},
		{"tell", livenessReplyKind, &membership.LivenessReply{Name: "n4", IsReachable: true}},
		{"offer", offerKind, &replication.Offer{Stream: s, FromOrigin: true, Ranges: ranges}},
		{"have", inventoryKind, &replication.Inventory{Stream: s, Ranges: ranges, RejectReason: replication.ReasonLaterIncarnation}},
		{"batch", batchKind, &replication.Batch{Stream: s, First: 41, Count: 3, FromOrigin: true, Frames: []byte{1, 2, 3}}},
		{"ack", ackKind, &replication.Ack{Stream: s, First: 41, Count: 3, RejectReason: "older than what is kept"}},
		{"query", statusQueryKind, &statusQuery{Verify: true}},
		{"status", statusKind, sampleStatus()},
		{"pull", recordsQueryKind, &recordsQuery{SinceUnixNano: 1_800_000_000_000_000_004, RequestID: "id-7"}},
		{"pulled", recordsKind, &recordsPart{Frames: []byte{4, 5}, IsLast: true, Corrupt: 6, Failure: "a disk"}},
		{"listAsk", endpointListQueryKind, &endpointListQuery{}},
		{"list", endpointListKind, &endpointList{Text: []byte{7, 8}}},
	}
}

// storedFrames returns the frames of testdata/frames.txt, which commit 7af5c59 wrote. Each line is the name of a
// message and its frame in hex.
func storedFrames(t *testing.T) map[string]string {
	t.Helper()
	f, err := os.Open("testdata/frames.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	frames := map[string]string{}
	for lines := bufio.NewScanner(f); lines.Scan(); {
		name, frame, ok := strings.Cut(lines.Text(), " ")
		if !ok {
			t.Fatalf("stored line %q: want the name of a message and its frame", lines.Text())
		}
		frames[name] = frame
	}
	return frames
}

func TestFrameBytes(t *testing.T) {
	want := storedFrames(t)
	samples := frameSamples()
	if len(want) != len(samples) || int(kinds) != int(framing.FirstProtocolKind)+len(samples) {
		t.Fatalf("got %d stored frames and %d samples, want one of each for %d kinds", len(want), len(samples), kinds-framing.FirstProtocolKind)
	}
	for _, s := range samples {
		t.Run(s.name, func(t *testing.T) {
			got, err := protocol.Append(nil, s.kind, s.message)
			if err != nil || hex.EncodeToString(got) != want[s.name] {
				t.Fatalf("Append: got %x, want %s, error %v", got, want[s.name], err)
			}
			kind, body, err := protocol.Read(bytes.NewReader(got), nil)
			if err != nil || kind != s.kind {
				t.Fatalf("Read: got kind %d, error %v", kind, err)
			}
			back := reflect.New(reflect.TypeOf(s.message).Elem()).Interface()
			if err := framing.Decode(body, back); err != nil || !reflect.DeepEqual(back, s.message) {
				t.Errorf("Decode: got %+v, error %v", back, err)
			}
		})
	}
}

// Each message between nodes maps to its frame's kind and back. Scenario files refer to some of the kinds by name.
func TestFrameKinds(t *testing.T) {
	named := map[string]byte{"beat": 4, "news": 5, "ask": 6, "tell": 7, "offer": 8, "have": 9, "batch": 10, "ack": 11}
	for _, s := range frameSamples() {
		if FrameKindByName(s.name) != named[s.name] {
			t.Errorf("FrameKindByName(%s): got %d", s.name, FrameKindByName(s.name))
		}
		if named[s.name] == 0 && s.name != "list" && s.name != "listAsk" {
			continue // a command's frame, or the intro
		}
		if kindOf(s.message) != s.kind {
			t.Errorf("kindOf(%s): got %d", s.name, kindOf(s.message))
		}
		frame, err := protocol.Append(nil, s.kind, s.message)
		if err != nil {
			t.Fatal(err)
		}
		k, body, err := protocol.Read(bytes.NewReader(frame), nil)
		if err != nil {
			t.Fatal(err)
		}
		if back, err := decodeMessage(k, body); err != nil || !reflect.DeepEqual(back, s.message) {
			t.Errorf("decodeMessage of %s: got %+v, error %v", s.name, back, err)
		}
	}
}

// The JSON output of `fernvane replicas --json` must not change.
func TestStatusJSON(t *testing.T) {
	want, err := os.ReadFile("testdata/status.json")
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal(sampleStatus())
	if err != nil || string(got) != strings.TrimSpace(string(want)) {
		t.Errorf("Marshal: got\n%s, want\n%s, error %v", got, want, err)
	}
	back := &Status{}
	if err := json.Unmarshal(want, back); err != nil || !reflect.DeepEqual(back, sampleStatus()) {
		t.Errorf("Unmarshal: got %+v, error %v", back, err)
	}
}
