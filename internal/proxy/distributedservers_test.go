package proxy

import (
	"fmt"
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/value"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
)

// The first catch-up arrives in parts and ends with the complete list. The complete list must not lose servers of earlier parts, and a
// draining server stays draining.
func TestDistributedServersInPieces(t *testing.T) {
	cfg := config()
	dispatcher := dispatch.New(cfg.Settings, 1, cfg.Limits, engine.NewPolicy)
	defer dispatcher.Stop()
	applier := &distributionApplier{dispatcher: dispatcher, settings: &cfg.Settings, logger: zerolog.Nop(), incarnations: incarnation.NewTable(), parsed: map[distribution.Key]parsedFragment{}}
	entry := func(id string, clock uint64, condition incarnation.Condition) distribution.Entry {
		v, err := value.EncodeServer(incarnation.Entry{ID: id, Address: fmt.Sprint("127.0.0.1:", clock), Weight: 1, Condition: condition})
		if err != nil {
			t.Fatal(err)
		}
		return distribution.Entry{Key: distribution.Key{Service: "s", Kind: distribution.KindServer, Name: id}, Clock: clock, Origin: "o", Sequence: clock, Value: v}
	}
	a, b, drained := entry("a", 1, incarnation.Up), entry("b", 2, incarnation.Up), entry("c", 3, incarnation.Draining)
	for _, piece := range []struct {
		entries    []distribution.Entry
		isComplete bool
	}{{[]distribution.Entry{a}, false}, {[]distribution.Entry{drained}, false}, {[]distribution.Entry{a, b, drained}, true}} {
		if rejected := applier.ApplyServers(piece.entries, piece.isComplete); len(rejected) > 0 {
			t.Fatal(rejected)
		}
	}
	var usable []string
	records, _, _, _ := dispatcher.Endpoints()
	for _, record := range records {
		if record.IsUsable {
			usable = append(usable, record.ID)
		}
	}
	if !slices.Equal(usable, []string{"a", "b"}) {
		t.Errorf("got usable servers %q of %d, want a and b", usable, len(records))
	}
}
