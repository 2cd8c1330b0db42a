package policy

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestEndpointListUpdate(t *testing.T) {
	up := func(s int) Endpoint { return Endpoint{Server: s, Weight: 1} }
	for name, c := range map[string]struct {
		in   Input
		want []bool
	}{
		"draining":                {Input{Scope: Incremental, Endpoints: []Endpoint{{Server: 1, Condition: Draining, Weight: 1}}}, []bool{true, false, true}},
		"removed":                 {Input{Scope: Incremental, Endpoints: []Endpoint{{Server: 1, Condition: Removed, Weight: 1}}}, []bool{true, false, true}},
		"absent from a full list": {Input{Scope: Full, Endpoints: []Endpoint{up(0), up(2)}}, []bool{true, false, true}},
		"unavailable":             {Input{Scope: Unavailable}, []bool{true, true, true}},
		"an empty full list":      {Input{Scope: Full}, []bool{false, false, false}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3, nil)
			c.in.Kind = EndpointsUpdated
			h.at(time.Second, c.in)
			var ready []bool
			for s := range h.readiness.Len() {
				ready = append(ready, h.readiness.Ready(s))
			}
			if !reflect.DeepEqual(ready, c.want) {
				t.Errorf("ready by server: got %v, want %v", ready, c.want)
			}
		})
	}
}

// TestReusedServerIndex checks that no state of the previous server remains when its index is reused.
func TestReusedServerIndex(t *testing.T) {
	h := newHarness(t, 3, nil).fillSubset()
	untouched := newHarness(t, 3, nil).fillSubset()
	for _, outcome := range []Outcome{TimedOut, ConnectionBroken, Unreachable, Overloaded, Success, TimedOut, ClientError} {
		h.now += 100 * ms
		h.recordOutcome(1, &request{trafficType: 2}, h.now-90*ms, outcome)
	}
	h.startSlowStart(1, h.now)
	h.at(time.Second, Input{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Server: 1, Rank: 1, Condition: Removed}}})
	h.at(time.Second, Input{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Server: 1, IndexReused: true, Rank: 9, Cell: 5, Weight: 1, StartedAt: -time.Minute, HasStartTime: true}}})
	for trafficType := range h.settings.TrafficTypes {
		if h.isUnhealthy(1, &request{trafficType: trafficType}) {
			t.Errorf("traffic type %d: new server is unhealthy", trafficType)
		}
	}
	if h.slowStart.servers.Has(1) || h.latency.slowness[1] != 1 || h.pauses.count[1] != 0 || !h.servers.cell[1].is(5) || !h.readiness.Ready(1) || h.outliers.soft[1] != 0 {
		t.Error("state of the previous server remains")
	}
	if want := []int{0, 2, 1}; !slices.Equal(slices.Collect(h.subset.rotation.From(0)), want) || h.readiness.Len() != untouched.readiness.Len() {
		t.Errorf("got rotation %v, want [0 2 1] and an unchanged number of servers", slices.Collect(h.subset.rotation.From(0)))
	}
}
