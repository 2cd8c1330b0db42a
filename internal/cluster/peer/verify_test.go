package peer

import (
	"context"
	"fmt"
	"os"
	"testing"

	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/wal"
)

// Verification detects damage of a replica or of the running journal on disk, and the damaged records are restored.
func TestVerifyRestoresDamagedRecords(t *testing.T) {
	t.Parallel()
	for name, dir := range map[string]func(nodes []*testNode) (*testNode, string){
		"a replica": func(nodes []*testNode) (*testNode, string) {
			return nodes[1], nodes[1].store.StreamDir(nodes[0].origin.Stream())
		},
		"a running journal": func(nodes []*testNode) (*testNode, string) { return nodes[0], nodes[0].journal },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nodes := []*testNode{start(t, "n0", "")}
			for i := 1; i < 3; i++ {
				nodes = append(nodes, start(t, fmt.Sprint("n", i), "", nodes[0].cfg.Listen))
			}
			for number := range uint64(8) {
				nodes[0].commit(t, number)
			}
			stream := nodes[0].origin.Stream()
			node, path := dir(nodes)
			segments, err := wal.ListSegments(wal.OSFileSystem{}, path)
			if err != nil || len(segments) == 0 {
				t.Fatal(segments, err)
			}
			text, _ := os.ReadFile(segments[0].Path)
			for _, i := range []int{len(text) / 3, len(text) / 2} { // between the first and the last record
				text[i] ^= 0x55
			}
			if err := os.WriteFile(segments[0].Path, text, 0o600); err != nil {
				t.Fatal(err)
			}
			client := Query(context.Background(), nodes[0].cfg, true)
			if s := client.Responses[node.name]; s == nil || len(s.Damage) == 0 {
				t.Fatalf("verification: got no damage reported, want some: %+v", client.Responses)
			}
			eventually(t, "the stream is complete on three machines again", func() bool {
				complete := 0
				for _, m := range nodes {
					var found replication.Ranges
					m.readStream(stream, func(c wal.Chunk) error {
						found = found.With(c.First, c.First+uint64(c.Count))
						return nil
					})
					if found.Contains(1, 9) {
						complete++
					}
				}
				return complete == 3
			})
		})
	}
}
