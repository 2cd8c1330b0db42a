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

// TestViewUpdates applies lists step by step and compares the update of the last step and the usable servers.
func TestViewUpdates(t *testing.T) {
	type step struct {
		announced  []Endpoint
		isFullList bool
	}
	up := func(id string, port uint16) Endpoint { return announced(id, port, incarnation.Up) }
	for name, c := range map[string]struct {
		steps   []step
		changed string // IDs and conditions that the last step changed
		idle    []string
		usable  []string
	}{
		"two servers":                        {[]step{{[]Endpoint{up("a", 1), up("b", 2)}, true}}, "a0 b0", []string{"a", "b"}, []string{"a", "b"}},
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
				t.Errorf("with IgnoreRemovals: server a has IsUsable %v", record.IsUsable)
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
				t.Errorf("got changed %q, close idle %v, usable %v", lines, update.CloseIdle, usable)
			}
		})
	}
}

// TestAddressTaken guards against attempts that are written to an address which belongs to another server by now: the server that had it has
// left at once, without the grace of a drain.
func TestAddressTaken(t *testing.T) {
	const grace = time.Second
	up := func(id string, port uint16) Endpoint { return announced(id, port, incarnation.Up) }
	draining := announced("a", 1, incarnation.Draining)
	for name, c := range map[string]struct {
		lists []Endpoint // each applied as a change
		want  bool
	}{
		"up":                                {[]Endpoint{up("a", 1)}, false},
		"drains":                            {[]Endpoint{up("a", 1), draining}, false},
		"another server at its address":     {[]Endpoint{up("a", 1), up("b", 1)}, true},
		"drains, then another server there": {[]Endpoint{up("a", 1), draining, up("b", 1)}, true},
		"drains after another server came":  {[]Endpoint{up("a", 1), up("b", 1), draining}, true},
		"is up at another address":          {[]Endpoint{up("a", 1), up("b", 1), up("a", 2)}, false},
		"another server elsewhere":          {[]Endpoint{up("a", 1), draining, up("b", 2)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			v := NewView()
			for i, endpoint := range c.lists {
				v.Apply(time.Duration(i), SourceDiscovery, []Endpoint{endpoint}, false)
			}
			if got := v.HasLeft(time.Duration(len(c.lists)), "a", grace); got != c.want {
				t.Errorf("got left %v, want %v", got, c.want)
			}
		})
	}
}

// TestViewAllSequences applies all sequences of four announcements of three servers at two addresses. A server is usable if
// its last announcement was up, and since then no full list omitted it and no new server was announced at its address.
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
	sequences := 0
	play = func(path []event, depth int) {
		if depth > 0 {
			for _, e := range events {
				play(append(path, e), depth-1)
			}
			return
		}
		sequences++
		v, model := NewView(), map[string]*modelRecord{}
		for i, e := range path {
			v.Apply(time.Duration(i), SourceRegistry, []Endpoint{e.announced}, e.isFullList)
			m := model[e.announced.ID]
			if e.isFullList {
				for _, other := range model {
					other.up = false
				}
			}
			if m == nil {
				m = &modelRecord{}
				model[e.announced.ID] = m
			}
			if e.announced.Condition == incarnation.Up && !m.seen {
				for _, other := range model {
					if other != m && other.up && other.port == e.announced.Address.Port() {
						other.up = false
					}
				}
			}
			if m.up = e.announced.Condition == incarnation.Up; e.announced.Address.IsValid() {
				m.port = e.announced.Address.Port()
			}
			m.seen = m.seen || e.announced.Condition != incarnation.Gone
			for id, want := range model {
				if record, _ := v.Get(id); record.IsUsable != want.up || want.seen && record.Address.Port() != want.port {
					t.Fatalf("after %v: server %s: got %+v, want %+v", path[:i+1], id, record, *want)
				}
			}
		}
	}
	play(nil, 4)
	t.Logf("%d sequences", sequences)
}

// TestViewUpdateCost checks that the cost of one change grows neither with the number of servers nor with the number of
// draining ones, and that a full list visits each record at most three times.
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
			t.Errorf("got %d changed records and %d servers with connections to close, want 1 and 1", len(update.Changed), len(update.CloseIdle))
		}
		return v.recordVisits - from, fullList
	}
	few, _ := cost(1_000)
	many, fullList := cost(20_000)
	if many > few || fullList > 3*20_000 {
		t.Errorf("one change: got %d visited records of 1,000 and %d of 20,000, want no more; full list of 20,000: got %d, want at most 60,000", few, many, fullList)
	}
}

// TestViewIndexByAddress checks that the address index contains each server at most once, at its last announced address, and
// contains every usable server.
func TestViewIndexByAddress(t *testing.T) {
	v := NewView()
	for i := range 3_000 {
		id, port := fmt.Sprint(i*7%13), uint16(i*11%9)
		v.Apply(time.Duration(i), SourceDiscovery, []Endpoint{announced(id, port, incarnation.Condition(i*5%3))}, i%17 == 0)
		if i%5 == 0 {
			v.Remove(fmt.Sprint(i % 13))
		}
		seen := map[string]bool{}
		for at, ids := range v.byAddress {
			for _, id := range ids {
				if record := v.records[id]; record == nil || record.Address != at || seen[id] {
					t.Fatalf("step %d: server %s is indexed at %s, but is unknown, has another address or is indexed twice", i, id, at)
				}
				seen[id] = true
			}
			if len(ids) == 0 {
				t.Fatalf("step %d: address %s is indexed without servers", i, at)
			}
		}
		for id, record := range v.records {
			if record.IsUsable && !seen[id] {
				t.Fatalf("step %d: usable server %s is missing from the address index", i, id)
			}
		}
	}
}
