package component

import (
	"fmt"
	"math"
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
	"fernvane/internal/testbed/standin/discovery"
)

const (
	services      = 6000
	regions       = 3
	zones         = 6
	cells         = 40
	startedUnixMS = 1_764_000_000_000 // any time long ago
)

type discardWatcher struct{}

func (discardWatcher) Announced(int, string, string, int64, time.Time) {}

func entry(i int, condition string) discovery.Entry {
	return discovery.Entry{ID: fmt.Sprintf("svc%04d-srv-%06d", i%services, i), Site: fmt.Sprintf("region-%d-zone-%d", i%regions, i%zones), Cell: i % cells,
		MachineKind: fmt.Sprintf("svc%04d", i%services), Condition: condition, StartedAt: time.UnixMilli(startedUnixMS + int64(i)),
		Addresses: []string{fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255)}}
}

// encodedList returns discovery's full list with a given number of servers, as on the wire.
func encodedList(servers int) []byte {
	s := discovery.New(discovery.Settings{LinesPerSecond: 1e12, Timeout: time.Minute}, 1, discardWatcher{})
	for i := range servers {
		s.Set(entry(i, discovery.Serving))
	}
	return s.List(0)
}

func parsedList(servers int) http1.EndpointList {
	l, err := http1.ParseEndpointList(encodedList(servers))
	if err != nil {
		panic(err) // the stand-in wrote it
	}
	return l
}

func newDispatcher(tenants int) (*dispatch.Dispatcher, error) {
	s, err := decodedSettings(tenants)
	if err != nil {
		return nil, err
	}
	return dispatch.New(s, 1, dispatch.Limits{MemoryMB: 128, Sockets: 256}, engine.NewPolicy), nil
}

// newFilledDispatcher returns a dispatcher that knows the servers of a list.
func newFilledDispatcher(l http1.EndpointList) (*dispatch.Dispatcher, error) {
	f, err := newDispatcher(4)
	if err == nil {
		f.ApplyList(l, endpoints.SourceDiscovery)
	}
	return f, err
}

// lists returns the figures of endpoint lists. The function is long because it is a table with one row per figure.
func lists() []figure {
	sizes := doublingSizes(256, 131_072)
	return []figure{
		{Series{Name: "list-bytes", About: "full endpoint list of discovery", By: "servers", Unit: "B", Exact: true}, doublingSizes(64, 262_144),
			func(n int) (float64, error) { return float64(len(encodedList(n))), nil }},
		{Series{Name: "list-parse", About: "decoding a full endpoint list", By: "servers", Unit: "ms"}, sizes, func(n int) (float64, error) {
			b := encodedList(n)
			return minCPUTime(3, func() { http1.ParseEndpointList(b) }), nil
		}},
		{Series{Name: "list-taken", About: "applying a full endpoint list to a node's dispatcher and policy", By: "servers", Unit: "ms"}, doublingSizes(2048, 262_144), func(n int) (float64, error) {
			l := parsedList(n)
			least := math.Inf(1)
			for range 3 {
				f, err := newDispatcher(4)
				if err != nil {
					return 0, err
				}
				least = min(least, minCPUTime(1, func() { f.ApplyList(l, endpoints.SourceDiscovery) }))
				f.Stop()
			}
			return least, nil
		}},
		{Series{Name: "list-change", About: "applying one changed server at a node that knows the given number", By: "servers", Unit: "ms"}, sizes, func(n int) (float64, error) {
			l := parsedList(n)
			f, err := newFilledDispatcher(l)
			if err != nil {
				return 0, err
			}
			defer f.Stop()
			one := http1.EndpointList{Revision: l.Revision + 1, Endpoints: append([]http1.Endpoint(nil), l.Endpoints[0])}
			const rounds = 500
			return minCPUTime(3, func() {
				for i := range rounds {
					one.Endpoints[0].Condition = http1.Condition(i % 2)
					f.ApplyList(one, endpoints.SourceDiscovery)
				}
			}) / rounds, nil
		}},
		{Series{Name: "list-memory", About: "a node's dispatcher and policy with the given number of servers", By: "servers", Unit: "B"}, sizes, func(n int) (float64, error) {
			l := parsedList(n)
			var f *dispatch.Dispatcher
			var err error
			bytes := retainedBytes(func() any {
				f, err = newFilledDispatcher(l)
				return f
			})
			if err == nil {
				f.Stop()
			}
			return bytes, err
		}},
		{Series{Name: "snapshot-bytes", About: "a node's snapshot of the endpoint list on disk", By: "servers", Unit: "B", Exact: true}, doublingSizes(64, 8192),
			func(n int) (float64, error) {
				s := &snapshot.Snapshot{Node: "n", Deployment: "d"}
				for _, h := range parsedList(n).Endpoints {
					s.Servers = append(s.Servers, snapshot.Server{ID: h.ID, StartedUnixMS: h.StartedUnixMS, Address: h.Address.String(), Zone: h.Zone, MachineKind: h.MachineKind,
						Cell: h.Cell, Weight: h.Weight, AnnouncedUnixMS: startedUnixMS})
				}
				b, err := snapshot.Encode(s)
				return float64(len(b)), err
			}},
	}
}
