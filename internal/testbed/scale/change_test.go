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

// layoutOf is a layout on a net of its own.
func layoutOf(t *testing.T, servers int) *Layout {
	t.Helper()
	number, held, err := reserveNetwork()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { held.Close() })
	size := small("discovery", NoEvent)
	size.Servers = servers
	return &Layout{Size: size, Network: number, Dir: t.TempDir()}
}

// told1 is what a node is sent for one changed server, in bytes on its connection, and how many servers that names.
func told1(t *testing.T, servers int) (bytes float64, named int) {
	t.Helper()
	l := layoutOf(t, servers)
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
	if err != nil || len(list.Hosts) != servers {
		t.Fatalf("%d servers, %v", len(list.Hosts), err)
	}
	w.WantsFullList, w.Revision = false, list.Revision
	m := newMeter(l.Network)
	if err := m.read(nobodyElse); err != nil {
		t.Fatal(err)
	}
	before := m.flows()[roleNodes]
	if _, err := source.Change(0, true); err != nil {
		t.Fatal(err)
	}
	list, err = w.Poll(ctx)
	if err := errors.Join(err, m.read(nobodyElse)); err != nil {
		t.Fatal(err)
	}
	return m.flows()[roleNodes].minus(before).BytesIn, len(list.Hosts)
}

// A node is sent as much for one change whether there are few servers or many.
func TestBytesOfAChange(t *testing.T) {
	few, one := told1(t, 50)
	many, another := told1(t, 2000)
	const digits = 4 // that the revision may have more
	if one != 1 || another != 1 || few == 0 || many > few+digits {
		t.Errorf("%.0f bytes for %d of 50 servers, %.0f for %d of 2,000", few, one, many, another)
	}
}

// What a node's module is handed for one change is one line, whether the node knows few servers or many.
func TestElementsOfAChange(t *testing.T) {
	for _, servers := range []int{50, 2000} {
		l := layoutOf(t, servers)
		r := newRecorder(l)
		s := settings.Settings{Settings: policy.Settings{NodeCount: 1, MaxAttempts: 1, TrafficTypes: []policy.TrafficType{{LatencyObjective: time.Second, ClientTimeout: time.Second}}}, TypeNames: []string{"a"}}
		f := dispatch.New(s, 1, dispatch.Limits{MemoryMB: 128, Sockets: 256}, r.observe(0, engine.NewPolicy))
		defer f.Stop()
		all := http1.EndpointList{Revision: 1, Complete: true}
		for i := range servers {
			all.Hosts = append(all.Hosts, http1.Endpoint{ID: serverID(1, i), Address: mustParseAddress(l.address(0, 1, 1024+i)), Size: 1})
		}
		f.ApplyList(all, endpoints.SourceDiscovery)
		records, whole := r.take()
		if whole.Elements != servers || len(records) == 0 || records[0].Kind != completeApplied {
			t.Fatalf("%d servers: handed %+v", servers, whole)
		}
		drained := all.Hosts[0]
		drained.Phase = http1.Draining
		f.ApplyList(http1.EndpointList{Revision: 2, Hosts: []http1.Endpoint{drained}}, endpoints.SourceDiscovery)
		records, after := r.take()
		if n := after.Elements - whole.Elements; n != 1 {
			t.Errorf("%d servers: %d lines for one change", servers, n)
		}
		if len(records) != 1 || records[0].Kind != markerApplied || !records[0].Draining || records[0].Marker != 0 {
			t.Errorf("%d servers: %+v", servers, records)
		}
	}
}
