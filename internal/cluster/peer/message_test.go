package peer

import (
	"slices"
	"strings"
	"testing"
	"time"
	"unsafe"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/wal"
)

// A corrupted byte is detected at any position of a frame. Without a checksum it could pretend that a later incarnation
// of a node's name is known, and the node would stop.
func TestChangedByte(t *testing.T) {
	t.Parallel()
	frame, err := protocol.Append(nil, updateKind, &membership.Update{Members: []membership.Member{{Name: "n1", Incarnation: 1_800_000_000_000_000_000, Address: "127.0.0.1:1"}}})
	if err != nil {
		t.Fatal(err)
	}
	for i := range frame {
		b := slices.Clone(frame)
		b[i] ^= 0x10
		if k, body, err := protocol.Read(strings.NewReader(string(b)), nil); err == nil {
			t.Errorf("frame with corrupted byte %d: accepted as kind %d with body %x, want an error", i, k, body)
		}
	}
}

func FuzzFrames(f *testing.F) {
	for _, message := range []any{&membership.Update{Members: []membership.Member{{Name: "a", Incarnation: 1}}}, &replication.Offer{Ranges: replication.Ranges{{From: 1, To: 2}}}, &replication.Inventory{}, &replication.Ack{}, &membership.LivenessReply{}} {
		b, _ := protocol.Append(nil, kindOf(message), message)
		f.Add(b[4], b[5:len(b)-4]) // kind and body, without length and checksum
	}
	f.Fuzz(func(t *testing.T, k byte, body []byte) {
		message, err := decodeMessage(framing.Kind(k), body)
		if err != nil {
			return
		}
		table, replicas := membership.New(membership.Member{Name: "n", Incarnation: 1}), replication.NewReplicaTable(replication.Candidate{Name: "n"}, 2, 1<<20, 0)
		origin := replication.NewOrigin(0, replication.Stream{Name: "n", Incarnation: 1}, replication.Candidate{Name: "n"}, 1, time.Millisecond)
		origin.SetCandidates(0, []replication.Candidate{{Name: "a", Machine: "a", IsHealthy: true}})
		origin.Connected(0, "a", 1)
		table.Connected(time.Second, "a")
		switch m := message.(type) {
		case *replication.Offer:
			replicas.HandleOffer(time.Second, "a", m)
		case *replication.Batch:
			wal.DecodeChunks(m.Frames)
			replicas.AdmitBatch("a", m, 0, 0)
		default:
			table.HandleMessage(time.Second, "a", m)
			replicas.HandleMessage(time.Second, "a", m)
			origin.HandleMessage(time.Second, "a", m)
		}
		table.Tick(2 * time.Second)
		replicas.Tick(2 * time.Second)
		origin.Tick(2 * time.Second)
		origin.Append(2*time.Second, 1, []byte{1}, true)
	})
}

// TestQueuedBytes checks that the estimate of a queued message covers its memory: replies to a node that reads slowly are bounded by it.
func TestQueuedBytes(t *testing.T) {
	ranges := make(replication.Ranges, 1000)
	name := strings.Repeat("x", 1000)
	for what, c := range map[string]struct {
		message any
		least   int
	}{
		"batch":                {&replication.Batch{Frames: make([]byte, 1000)}, 1000 + int(unsafe.Sizeof(replication.Batch{}))},
		"inventory":            {&replication.Inventory{Stream: replication.Stream{Name: name}, Ranges: ranges}, len(name) + len(ranges)*int(unsafe.Sizeof(ranges[0])) + int(unsafe.Sizeof(replication.Inventory{}))},
		"offer":                {&replication.Offer{Stream: replication.Stream{Name: name}, Ranges: ranges}, len(name) + len(ranges)*int(unsafe.Sizeof(ranges[0])) + int(unsafe.Sizeof(replication.Offer{}))},
		"update":               {&membership.Update{Members: make([]membership.Member, 100)}, 100 * int(unsafe.Sizeof(membership.Member{}))},
		"endpoint list":        {&endpointList{Text: make([]byte, 1000)}, 1000},
		"acknowledgement":      {&replication.Ack{}, int(unsafe.Sizeof(replication.Ack{}))},
		"heartbeat and others": {&membership.Heartbeat{}, int(unsafe.Sizeof(membership.Heartbeat{}))},
	} {
		if got := queuedBytes(c.message); got < c.least {
			t.Errorf("%s: got %d bytes, want at least %d", what, got, c.least)
		}
	}
}
