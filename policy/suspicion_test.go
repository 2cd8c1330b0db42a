package policy

import (
	"testing"
	"time"
)

// TestUnlistedServers checks which servers that a list omits stay in use.
func TestUnlistedServers(t *testing.T) {
	for name, c := range map[string]struct {
		only  bool
		lists []map[int]Condition // full ones, by conditions other than Up; server 0 is checked
		ready bool
	}{
		"removal binds":                   {false, []map[int]Condition{{0: Removed}}, false},
		"all removed":                     {true, []map[int]Condition{{0: Removed, 1: Removed, 2: Removed, 3: Removed}}, true},
		"draining":                        {true, []map[int]Condition{{0: Draining}}, false},
		"draining, then removed":          {true, []map[int]Condition{{0: Draining}, {0: Removed}}, false},
		"removed, then draining":          {true, []map[int]Condition{{0: Removed}, {0: Draining}}, false},
		"draining, removed, listed again": {true, []map[int]Condition{{0: Draining}, {0: Removed}, nil}, true},
		"removed twice":                   {true, []map[int]Condition{{0: Removed}, {0: Removed}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4, func(s *Settings) { s.UnlistedUsable = c.only }).fillSubset()
			for _, other := range c.lists {
				var list []Endpoint
				for i := range 4 {
					if other[i] != Removed {
						list = append(list, Endpoint{Server: i, Rank: uint32(i), Weight: 1, Condition: other[i]})
					}
				}
				h.at(time.Second, Input{Kind: EndpointsUpdated, Scope: Full, Endpoints: list})
			}
			if h.readiness.Ready(0) != c.ready || h.isExcluded(0, &request{firstRunServer: -1}) == c.ready || h.slowStart.servers.Has(0) && c.only {
				t.Errorf("ready %v, slow start %v", h.readiness.Ready(0), h.slowStart.servers.Has(0))
			}
		})
	}
}

// TestSuspicionLevels checks that turns of an unlisted server go down and up by levels, also once it is listed
// again, and end when it is silent.
func TestSuspicionLevels(t *testing.T) {
	h := newHarness(t, 4, func(s *Settings) { s.UnlistedUsable = true }).fillSubset()
	h.now, h.load.lastResponseAt[0] = time.Second, time.Second
	tell := func(c Condition) {
		h.at(h.now, Input{Kind: EndpointsUpdated, Scope: Incremental, Endpoints: []Endpoint{{Server: 0, Weight: 1, Condition: c}}})
	}
	tell(Removed)
	for i, outcome := range []Outcome{Unreachable, Unreachable, Unreachable, Success, Success} {
		h.now += 50 * ms
		if h.recordOutcome(0, &request{objectiveAt: h.now + 400*ms}, h.now-10*ms, outcome); h.suspicion.level[0] != [...]int{2, 3, 3, 2, 1}[i] {
			t.Errorf("outcome %d: level %d", i, h.suspicion.level[0])
		}
	}
	tell(Up)
	h.latency.slowness[0] = 1
	if h.updateWeights(); h.picker.weight[0] != h.picker.weight[1]/4 || h.slowStart.servers.Has(0) {
		t.Errorf("weight %g beside %g, slow start %v", h.picker.weight[0], h.picker.weight[1], h.slowStart.servers.Has(0))
	}
	tell(Removed)
	if h.at(h.now+unlistedRetention+time.Second, Input{Kind: TimerFired}); h.readiness.Ready(0) {
		t.Error("kept forever")
	}
}
