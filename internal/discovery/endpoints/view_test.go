package endpoints

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"fernvane/internal/discovery/incarnation"
)

func word(id string, port uint16, c incarnation.Condition) Endpoint {
	w := Endpoint{ID: id, Condition: c}
	if port > 0 {
		w.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
	}
	return w
}

// What lists change, step by step.
func TestBook(t *testing.T) {
	type step struct {
		words []Endpoint
		whole bool
	}
	up := func(id string, port uint16) Endpoint { return word(id, port, incarnation.Up) }
	for name, c := range map[string]struct {
		steps []step
		lines string // of the last step
		idle  []string
		used  []string
	}{
		"two":                    {[]step{{[]Endpoint{up("a", 1), up("b", 2)}, true}}, "a0 b0", []string{"a", "b"}, []string{"a", "b"}},
		"the same again":         {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{up("a", 1)}, true}}, "a0", nil, []string{"a"}},
		"not named":              {[]step{{[]Endpoint{up("a", 1), up("b", 2)}, true}, {[]Endpoint{up("b", 2)}, true}}, "b0", []string{"a"}, []string{"b"}},
		"not changed":            {[]step{{[]Endpoint{up("a", 1), up("b", 2)}, true}, {[]Endpoint{up("b", 2)}, false}}, "b0", nil, []string{"a", "b"}},
		"drains":                 {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{word("a", 0, incarnation.Draining)}, false}}, "a1", []string{"a"}, nil},
		"gone, and never known":  {[]step{{[]Endpoint{word("a", 1, incarnation.Gone)}, false}}, "a2", nil, nil},
		"moved":                  {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{up("a", 2)}, false}}, "a0", []string{"a"}, []string{"a"}},
		"at another's address":   {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{up("b", 1)}, false}}, "a2 b0", []string{"a", "b"}, []string{"b"}},
		"and the other is told":  {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{up("b", 1)}, false}, {[]Endpoint{word("a", 1, incarnation.Gone)}, false}}, "a2", []string{"a"}, []string{"b"}},
		"at a drained address":   {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{word("a", 1, incarnation.Draining)}, false}, {[]Endpoint{up("b", 1)}, false}}, "b0", []string{"a", "b"}, []string{"b"}},
		"told gone":              {[]step{{[]Endpoint{up("a", 1), up("b", 2)}, true}, {[]Endpoint{word("a", 1, incarnation.Gone)}, false}}, "a2", []string{"a"}, []string{"b"}},
		"drained, then gone":     {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{word("a", 1, incarnation.Draining)}, false}, {[]Endpoint{word("a", 1, incarnation.Gone)}, false}}, "a2", []string{"a"}, nil},
		"in a whole list itself": {[]step{{[]Endpoint{up("a", 1)}, true}, {[]Endpoint{up("b", 1)}, true}}, "b0", []string{"a", "b"}, []string{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			b, only := NewView(), NewView()
			only.IgnoreRemovals = true
			var u Update
			for i, s := range c.steps {
				u = b.Apply(time.Duration(i), SourceDiscovery, s.words, s.whole)
				only.Apply(time.Duration(i), SourceDiscovery, s.words, s.whole)
			}
			if l, _ := only.Get("a"); l.IsUsable != (slices.Contains(c.used, "a") || name == "not named" || name == "told gone") {
				t.Errorf("where only draining binds, a is used: %v", l.IsUsable)
			}
			lines := ""
			for i, l := range u.Changed {
				if i > 0 {
					lines += " "
				}
				lines += fmt.Sprint(l.ID, l.Condition)
			}
			var used []string
			for _, id := range b.sortedIDs() {
				if l, _ := b.Get(id); l.IsUsable {
					used = append(used, id)
				}
			}
			if lines != c.lines || !slices.Equal(u.CloseIdle, c.idle) || !slices.Equal(used, c.used) {
				t.Errorf("lines %q, idle %v, used %v", lines, u.CloseIdle, used)
			}
		})
	}
}

// All ways of four words about three servers at two addresses: what is used was said to be up last, by a list that has not
// been followed by a whole one without it, and no other has come new to its address since.
func TestBookAllWays(t *testing.T) {
	type event struct {
		word  Endpoint
		whole bool
	}
	var events []event
	for _, id := range []string{"a", "b", "c"} {
		events = append(events, event{word(id, 1, incarnation.Up), false}, event{word(id, 2, incarnation.Up), false}, event{word(id, 0, incarnation.Draining), false},
			event{word(id, 0, incarnation.Gone), false}, event{word(id, 1, incarnation.Up), true})
	}
	type believed struct {
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
		b, model := NewView(), map[string]*believed{}
		for i, e := range path {
			b.Apply(time.Duration(i), SourceRegistry, []Endpoint{e.word}, e.whole)
			m := model[e.word.ID]
			if e.whole {
				for _, o := range model {
					o.up = false
				}
			}
			if m == nil {
				m = &believed{}
				model[e.word.ID] = m
			}
			if e.word.Condition == incarnation.Up && !m.seen {
				for _, o := range model {
					if o != m && o.up && o.port == e.word.Address.Port() {
						o.up = false
					}
				}
			}
			if m.up = e.word.Condition == incarnation.Up; e.word.Address.IsValid() {
				m.port = e.word.Address.Port()
			}
			m.seen = m.seen || e.word.Condition != incarnation.Gone
			for id, m := range model {
				if l, _ := b.Get(id); l.IsUsable != m.up || m.seen && l.Address.Port() != m.port {
					t.Fatalf("after %v: %s is %+v, not %+v", path[:i+1], id, l, *m)
				}
			}
		}
	}
	play(nil, 4)
	t.Logf("%d ways", played)
}

// What one change costs the book does not grow with the servers, nor with those that drain; a whole list costs each once.
func TestBookCostsWhatItTouches(t *testing.T) {
	cost := func(servers int) (change, whole int) {
		b := NewView()
		list := words(0, servers)
		b.Apply(0, SourceDiscovery, list, true)
		for i := range servers / 10 {
			list[i].Condition = incarnation.Draining
		}
		from := b.recordVisits
		b.Apply(0, SourceDiscovery, list, true)
		whole, from = b.recordVisits-from, b.recordVisits
		u := b.Apply(0, SourceDiscovery, words(servers, servers+1), false)
		if len(u.Changed) != 1 || len(u.CloseIdle) != 1 {
			t.Errorf("%d lines, %d idle", len(u.Changed), len(u.CloseIdle))
		}
		return b.recordVisits - from, whole
	}
	few, _ := cost(1_000)
	many, whole := cost(20_000)
	if many > few || whole > 3*20_000 {
		t.Errorf("a change: %d lines among 1,000, %d among 20,000; a whole list of those: %d", few, many, whole)
	}
}

// The index by address knows each server by the address that it was last told at, and only those that are known.
func TestBookKnowsAddresses(t *testing.T) {
	b := NewView()
	for i := range 3_000 {
		id, port := fmt.Sprint(i*7%13), uint16(i*11%9)
		b.Apply(time.Duration(i), SourceDiscovery, []Endpoint{word(id, port, incarnation.Condition(i*5%3))}, i%17 == 0)
		if i%5 == 0 {
			b.Forget(fmt.Sprint(i % 13))
		}
		seen := map[string]bool{}
		for at, ids := range b.byAddress {
			for _, id := range ids {
				if l := b.records[id]; l == nil || l.Address != at || seen[id] {
					t.Fatalf("step %d: %s is not at %s, or twice", i, id, at)
				}
				seen[id] = true
			}
			if len(ids) == 0 {
				t.Fatalf("step %d: nothing is at %s", i, at)
			}
		}
		for id, l := range b.records {
			if l.IsUsable && !seen[id] {
				t.Fatalf("step %d: %s is used and not found by its address", i, id)
			}
		}
	}
}
