package policy

import (
	"testing"
	"time"
)

// TestUnlistedServers checks which servers stay in use although a list omits them.
func TestUnlistedServers(t *testing.T) {
	for name, c := range map[string]struct {
		unlistedUsable bool
		lists          []map[int]Condition // full lists: conditions other than Up by server; server 0 is checked
		ready          bool
	}{
		"removal is binding":              {false, []map[int]Condition{{0: Removed}}, false},
		"all removed":                     {true, []map[int]Condition{{0: Removed, 1: Removed, 2: Removed, 3: Removed}}, true},
		"draining":                        {true, []map[int]Condition{{0: Draining}}, false},
		"draining, then removed":          {true, []map[int]Condition{{0: Draining}, {0: Removed}}, false},
		"removed, then draining":          {true, []map[int]Condition{{0: Removed}, {0: Draining}}, false},
		"draining, removed, listed again": {true, []map[int]Condition{{0: Draining}, {0: Removed}, nil}, true},
		"removed twice":                   {true, []map[int]Condition{{0: Removed}, {0: Removed}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4, func(s *Settings) { s.UnlistedUsable = c.unlistedUsable }).fillSubset()
			for _, conditions := range c.lists {
				var list []Endpoint
				for i := range 4 {
					if conditions[i] != Removed {
						list = append(list, Endpoint{Server: i, Rank: uint32(i), Weight: 1, Condition: conditions[i]})
					}
				}
				h.at(time.Second, Input{Kind: EndpointsUpdated, Scope: Full, Endpoints: list})
			}
			if h.readiness.Ready(0) != c.ready || h.isExcluded(0, &request{firstRunServer: -1}) == c.ready || h.slowStart.servers.Has(0) && c.unlistedUsable {
				t.Errorf("server 0: got ready %v, slow start %v", h.readiness.Ready(0), h.slowStart.servers.Has(0))
			}
		})
	}
}

// TestSuspicionLevels checks that the suspicion of an unlisted server rises and falls with its outcomes, remains when
// it is listed again, and that the server is removed after a time without responses.
func TestSuspicionLevels(t *testing.T) {
	h := newHarness(t, 4, func(s *Settings) { s.UnlistedUsable = true }).fillSubset()
	h.now, h.load.lastResponseAt[0] = time.Second, time.Second
	update := func(c Condition) {
		h.at(h.now, Input{Kind: EndpointsUpdated, Scope: Incremental, Endpoints: []Endpoint{{Server: 0, Weight: 1, Condition: c}}})
	}
	update(Removed)
	for i, outcome := range []Outcome{Unreachable, Unreachable, Unreachable, Success, Success} {
		h.now += 50 * ms
		if h.recordOutcome(0, &request{objectiveAt: h.now + 400*ms}, h.now-10*ms, outcome); h.suspicion.level[0] != [...]int{2, 3, 3, 2, 1}[i] {
			t.Errorf("suspicion after outcome %d: got level %d", i, h.suspicion.level[0])
		}
	}
	update(Up)
	h.latency.slowness[0] = 1
	if h.updateWeights(); h.picker.weight[0] != h.picker.weight[1]/4 || h.slowStart.servers.Has(0) {
		t.Errorf("after the server is listed again: got weight %g, other weight %g, slow start %v", h.picker.weight[0], h.picker.weight[1], h.slowStart.servers.Has(0))
	}
	update(Removed)
	if h.at(h.now+unlistedRetention+time.Second, Input{Kind: TimerFired}); h.readiness.Ready(0) {
		t.Error("unlisted server without responses is still ready after unlistedRetention")
	}
}
