package peer

import (
	"slices"
	"strings"
	"testing"
	"time"

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
