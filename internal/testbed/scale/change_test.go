package scale

import (
	"context"
	"errors"
	"testing"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// newTestLayout returns a layout on a network of its own.
func newTestLayout(t *testing.T, servers int) *Layout {
	t.Helper()
	network, reservation, err := reserveNetwork()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { reservation.Close() })
	size := small("discovery", NoEvent)
	size.Servers = servers
	return &Layout{Size: size, Network: network, Dir: t.TempDir()}
}

// bytesOfChange returns the bytes that a node receives for one changed server, and the number of servers in them.
func bytesOfChange(t *testing.T, servers int) (bytes float64, listed int) {
	t.Helper()
	l := newTestLayout(t, servers)
	source, err := newStandin(l)
	if err != nil {
		t.Fatal(err)
	}
	defer source.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	w := watch.Watcher{Target: watch.NewTarget(mustParseAddress(l.discoveryAddress(discoveryPort))), WantsFullList: true}
	defer w.Close()
	list, err := w.Poll(ctx)
	if err != nil || len(list.Endpoints) != servers {
		t.Fatalf("full list: got %d servers, error %v, want all servers", len(list.Endpoints), err)
	}
	w.WantsFullList, w.Revision = false, list.Revision
	m := newMeter(l.Network)
	if err := m.read(noProcesses); err != nil {
		t.Fatal(err)
	}
	before := m.flows()[roleNodes]
	if _, err := source.Change(0, true); err != nil {
		t.Fatal(err)
	}
	list, err = w.Poll(ctx)
	if err := errors.Join(err, m.read(noProcesses)); err != nil {
		t.Fatal(err)
	}
	return m.flows()[roleNodes].minus(before).BytesIn, len(list.Endpoints)
}

// TestBytesOfAChange checks that the bytes that a node receives for one change do not grow with the number of servers.
func TestBytesOfAChange(t *testing.T) {
	few, listedFew := bytesOfChange(t, 50)
	many, listedMany := bytesOfChange(t, 2000)
	const digits = 4 // more digits of the revision
	if listedFew != 1 || listedMany != 1 || few == 0 || many > few+digits {
		t.Errorf("one change: got %.0f bytes with %d servers of 50, %.0f bytes with %d of 2,000; want as many bytes, with 1 server", few, listedFew, many, listedMany)
	}
}

// TestElementsOfAChange checks that a node's policy receives one endpoint for one change, independent of the number of servers.
func TestElementsOfAChange(t *testing.T) {
	for _, servers := range []int{50, 2000} {
		l := newTestLayout(t, servers)
		r := newRecorder(l)
		s := settings.Settings{Settings: policy.Settings{NodeCount: 1, MaxAttempts: 1, TrafficTypes: []policy.TrafficType{{LatencyObjective: time.Second, ClientTimeout: time.Second}}}, TypeNames: []string{"a"}}
		f := dispatch.New(s, 1, dispatch.Limits{MemoryMB: 128, Sockets: 256}, r.observe(0, engine.NewPolicy))
		defer f.Stop()
		all := http1.EndpointList{Revision: 1, IsComplete: true}
		for i := range servers {
			all.Endpoints = append(all.Endpoints, http1.Endpoint{ID: serverID(1, i), Address: mustParseAddress(l.address(0, 1, 1024+i)), Weight: 1})
		}
		f.ApplyList(all, endpoints.SourceDiscovery)
		records, before := r.take()
		if before.Elements != servers || len(records) == 0 || records[0].Kind != completeApplied {
			t.Fatalf("%d servers: full list: got counts %+v, want each server once and the record of completion", servers, before)
		}
		drained := all.Endpoints[0]
		drained.Condition = http1.Draining
		f.ApplyList(http1.EndpointList{Revision: 2, Endpoints: []http1.Endpoint{drained}}, endpoints.SourceDiscovery)
		records, after := r.take()
		if n := after.Elements - before.Elements; n != 1 {
			t.Errorf("%d servers: one change: got %d endpoints, want 1", servers, n)
		}
		if len(records) != 1 || records[0].Kind != markerApplied || !records[0].Draining || records[0].Marker != 0 {
			t.Errorf("%d servers: one change: got records %+v, want one of draining marker 0", servers, records)
		}
	}
}
