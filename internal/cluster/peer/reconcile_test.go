package peer

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernvane/internal/journal/intent"
)

// After the permanent loss of a machine, exactly one node reconciles its open entries from the servers' execution
// records. If that node is lost too, another reconciles the entries that the records contain only then, and none twice.
func TestReconcileLostMachine(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "executions.jsonl")
	writeRecord := func(ids ...string) {
		text := fmt.Sprintf("{\"server\":\"s\",\"from\":%q,\"to\":%q}\n", time.Now().Add(-time.Hour).Format(time.RFC3339), time.Now().Add(-time.Minute).Format(time.RFC3339))
		for _, id := range ids {
			text += fmt.Sprintf("{\"id\":%q}\n", id)
		}
		if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		os.Rename(file+".new", file)
	}
	writeRecord("n0-0")
	nodes := map[string]*testNode{"n0": startWith(t, "n0", "", file)}
	for i := 1; i < 6; i++ {
		name := fmt.Sprint("n", i)
		nodes[name] = startWith(t, name, "", file, nodes["n0"].cfg.Listen, nodes["n1"].seed()) // n1 itself gets an unused address
	}
	nodes["n0"].commit(t, 0)
	nodes["n0"].commit(t, 1)
	anyNode := func() *testNode {
		for _, name := range []string{"n1", "n2", "n3", "n4", "n5"} {
			if nodes[name] != nil {
				return nodes[name]
			}
		}
		return nil
	}
	nodes["n0"].crash()
	delete(nodes, "n0")
	reconcilers := func() (by map[string]uint64) {
		by = map[string]uint64{}
		for _, s := range Query(context.Background(), anyNode().cfg, false).Responses {
			for _, replica := range s.StoredReplicas {
				if base, reconciler, ok := strings.Cut(replica.Name, "~"); ok && base == "n0" {
					by[reconciler] = max(by[reconciler], replica.Ranges.Count())
				}
			}
		}
		return by
	}
	state := func(id string) (s intent.State) {
		merger := intent.NewMerger()
		var all []*intent.Entry
		if _, err := Query(context.Background(), anyNode().cfg, false).Records(context.Background(), time.Time{}, id, func(r *intent.Record) error {
			if e := merger.Add(r); e != nil {
				all = append(all, e)
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		for _, e := range append(all, merger.Incomplete()...) {
			s = e.State()
		}
		return s
	}
	eventually(t, "the attempt in the execution record is reconciled", func() bool { return state("n0-0") == intent.HasRun && state("n0-1") == intent.PossiblySent })
	// A record can be read shortly before the status of its node lists it.
	eventually(t, "a status lists the reconciliation", func() bool { return len(reconcilers()) > 0 })
	by := reconcilers()
	if len(by) != 1 {
		t.Fatalf("got reconciliations by %v, want one node", by)
	}
	var first string
	for first = range by {
	}
	eventually(t, "the reconciliation is copied", func() bool {
		c := Query(context.Background(), anyNode().cfg, false)
		return len(c.Responses) == 5 && c.Shortfall() == ""
	})
	nodes[first].crash()
	delete(nodes, first)
	writeRecord("n0-0", "n0-1")
	eventually(t, "the next node reconciles the remaining attempt", func() bool { return state("n0-1") == intent.HasRun })
	eventually(t, "a status lists the second reconciliation", func() bool { return len(reconcilers()) > 1 })
	if by := reconcilers(); len(by) != 2 || by[first] != 1 {
		t.Errorf("got reconciliations by %v, want two nodes, one attempt by %s", by, first)
	}
	for reconciler, n := range reconcilers() {
		if n != 1 {
			t.Errorf("reconciliation by %s: got %d attempts, want 1", reconciler, n)
		}
	}
}
