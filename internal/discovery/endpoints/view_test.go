package endpoints

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"fernvane/internal/discovery/incarnation"
)

func announced(id string, port uint16, c incarnation.Condition) Endpoint {
	endpoint := Endpoint{ID: id, Condition: c}
	if port > 0 {
		endpoint.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
	}
	return endpoint
}

// What each list changes, step by step.
func TestViewUpdates(t *testing.T) {
	type step struct {
		announced  []Endpoint
		isFullList bool
	}
	up := func(id string, port uint16) Endpoint { return announced(id, port, incarnation.Up) }
	for name, c := range map[string]struct {
		steps   []step
		changed string // changed by the last step
		idle    []string
		usable  []string
	}{
		"two":                                {[]step{{[]Endpoint{up("a", 1), up("b", 2)}, true}}, "a0 b0", []string{"a", "b"}, []string{"a", "b"}},
		"the same again":                     {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{up("a", 1)}, true}}, "a0", nil, []string{"a"}},
		"left out of a full list":            {[]step{{[]Endpoint{up("a", 1), up("b", 2)}, true}, {[]Endpoint{up("b", 2)}, true}}, "b0", []string{"a"}, []string{"b"}},
		"not changed":                        {[]step{{[]Endpoint{up("a", 1), up("b", 2)}, true}, {[]Endpoint{up("b", 2)}, false}}, "b0", nil, []string{"a", "b"}},
		"drains":                             {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{announced("a", 0, incarnation.Draining)}, false}}, "a1", []string{"a"}, nil},
		"gone, and never known":              {[]step{{[]Endpoint{announced("a", 1, incarnation.Gone)}, false}}, "a2", nil, nil},
		"moved":                              {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{up("a", 2)}, false}}, "a0", []string{"a"}, []string{"a"}},
		"at another's address":               {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{up("b", 1)}, false}}, "a2 b0", []string{"a", "b"}, []string{"b"}},
		"and the other is announced as gone": {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{up("b", 1)}, false}, {[]Endpoint{announced("a", 1, incarnation.Gone)}, false}}, "a2", []string{"a"}, []string{"b"}},
		"at a drained address":               {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{announced("a", 1, incarnation.Draining)}, false}, {[]Endpoint{up("b", 1)}, false}}, "b0", []string{"a", "b"}, []string{"b"}},
		"announced as gone":                  {[]step{{[]Endpoint{up("a", 1), up("b", 2)}, true}, {[]Endpoint{announced("a", 1, incarnation.Gone)}, false}}, "a2", []string{"a"}, []string{"b"}},
		"drained, then gone":                 {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{announced("a", 1, incarnation.Draining)}, false}, {[]Endpoint{announced("a", 1, incarnation.Gone)}, false}}, "a2", []string{"a"}, nil},
		"replaced within a full list":        {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{up("b", 1)}, true}}, "b0", []string{"a", "b"}, []string{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			v, retaining := NewView(), NewView()
			retaining.IgnoreRemovals = true
			var update Update
			for i, s := range c.steps {
				update = v.Apply(time.Duration(i), SourceDiscovery, s.announced, s.isFullList)
				retaining.Apply(time.Duration(i), SourceDiscovery, s.announced, s.isFullList)
			}
			if record, _ := retaining.Get("a"); record.IsUsable != (slices.Contains(c.usable, "a") || name == "left out of a full list" || name == "announced as gone") {
				t.Errorf("with IgnoreRemovals, a is usable: %v", record.IsUsable)
			}
			lines := ""
			for i, record := range update.Changed {
				if i > 0 {
					lines += " "
				}
				lines += fmt.Sprint(record.ID, record.Condition)
			}
			var usable []string
			for _, id := range v.sortedIDs() {
				if record, _ := v.Get(id); record.IsUsable {
					usable = append(usable, id)
				}
			}
			if lines != c.changed || !slices.Equal(update.CloseIdle, c.idle) || !slices.Equal(usable, c.usable) {
				t.Errorf("changed %q, close idle %v, usable %v", lines, update.CloseIdle, usable)
			}
		})
	}
}

// All sequences of four announcements about three servers at two addresses: a usable server was announced as up last, no
// full list without it came since, and no new server came to its address since.
func TestViewAllSequences(t *testing.T) {
	type event struct {
		announced  Endpoint
		isFullList bool
	}
	var events []event
	for _, id := range []string{"a", "b", "c"} {
		events = append(events, event{announced(id, 1, incarnation.Up), false}, event{announced(id, 2, incarnation.Up), false}, event{announced(id, 0, incarnation.Draining), false},
			event{announced(id, 0, incarnation.Gone), false}, event{announced(id, 1, incarnation.Up), true})
	}
	type modelRecord struct {
		up   bool
		port uint16
		seen bool
	}
	var play func(path []event, depth int)
	played := 0
	play = func(path []event, depth int) {
		if depth > 0 {
			for _, e := range events {
				play(append(path, e), depth-1)
			}
			return
		}
		played++
		v, model := NewView(), map[string]*modelRecord{}
		for i, e := range path {
			v.Apply(time.Duration(i), SourceRegistry, []Endpoint{e.announced}, e.isFullList)
			m := model[e.announced.ID]
			if e.isFullList {
				for _, o := range model {
					o.up = false
				}
			}
			if m == nil {
				m = &modelRecord{}
				model[e.announced.ID] = m
			}
			if e.announced.Condition == incarnation.Up && !m.seen {
				for _, o := range model {
					if o != m && o.up && o.port == e.announced.Address.Port() {
						o.up = false
					}
				}
			}
			if m.up = e.announced.Condition == incarnation.Up; e.announced.Address.IsValid() {
				m.port = e.announced.Address.Port()
			}
			m.seen = m.seen || e.announced.Condition != incarnation.Gone
			for id, m := range model {
				if record, _ := v.Get(id); record.IsUsable != m.up || m.seen && record.Address.Port() != m.port {
					t.Fatalf("after %v: %s is %+v, not %+v", path[:i+1], id, record, *m)
				}
			}
		}
	}
	play(nil, 4)
	t.Logf("%d sequences", played)
}

// The cost of one change grows neither with the servers nor with those that drain. A full list visits each once.
func TestViewUpdateCost(t *testing.T) {
	cost := func(servers int) (change, fullList int) {
		v := NewView()
		list := announcedUp(0, servers)
		v.Apply(0, SourceDiscovery, list, true)
		for i := range servers / 10 {
			list[i].Condition = incarnation.Draining
		}
		from := v.recordVisits
		v.Apply(0, SourceDiscovery, list, true)
		fullList, from = v.recordVisits-from, v.recordVisits
		update := v.Apply(0, SourceDiscovery, announcedUp(servers, servers+1), false)
		if len(update.Changed) != 1 || len(update.CloseIdle) != 1 {
			t.Errorf("%d records changed, %d servers' connections to close", len(update.Changed), len(update.CloseIdle))
		}
		return v.recordVisits - from, fullList
	}
	few, _ := cost(1_000)
	many, fullList := cost(20_000)
	if many > few || fullList > 3*20_000 {
		t.Errorf("a change visits %d records among 1,000, %d among 20,000; a full list of those: %d", few, many, fullList)
	}
}

// The index by address holds each known server at the address that was announced last, and no other.
func TestViewIndexByAddress(t *testing.T) {
	v := NewView()
	for i := range 3_000 {
		id, port := fmt.Sprint(i*7%13), uint16(i*11%9)
		v.Apply(time.Duration(i), SourceDiscovery, []Endpoint{announced(id, port, incarnation.Condition(i*5%3))}, i%17 == 0)
		if i%5 == 0 {
			v.Forget(fmt.Sprint(i % 13))
		}
		seen := map[string]bool{}
		for at, ids := range v.byAddress {
			for _, id := range ids {
				if record := v.records[id]; record == nil || record.Address != at || seen[id] {
					t.Fatalf("step %d: %s is not at %s, or twice", i, id, at)
				}
				seen[id] = true
			}
			if len(ids) == 0 {
				t.Fatalf("step %d: nothing is at %s", i, at)
			}
		}
		for id, record := range v.records {
			if record.IsUsable && !seen[id] {
				t.Fatalf("step %d: %s is usable and not found by its address", i, id)
			}
		}
	}
}
