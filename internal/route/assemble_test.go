package route

import (
	"fmt"
	"strings"
	"testing"
)

func routePart(t testing.TB, service, name, text string) Fragment {
	t.Helper()
	p, err := ParseRoute(service, name, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func poolPart(t testing.TB, service, name, text string) Fragment {
	t.Helper()
	p, err := ParsePool(service, name, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestParseFragments(t *testing.T) {
	for name, c := range map[string]struct {
		pool bool
		text string
		want string // in the error; "" for none
	}{
		"keys alone":           {false, "type = \"check\"\nhops = 2", ""},
		"with its header":      {false, "# of the desk\n[[routes]]\nname = \"a\"\ntype = \"check\"", ""},
		"named as its key":     {false, "name = \"a\"\ntype = \"check\"", ""},
		"named otherwise":      {false, "name = \"b\"\ntype = \"check\"", "route s/a: its text names it \"b\""},
		"two of them":          {false, "[[routes]]\ntype = \"check\"\n[[routes]]\ntype = \"book\"", "route s/a: 2 routes: one is wanted"},
		"an unknown key":       {false, "type = \"check\"\nhop = 2", "route s/a:2: unknown key \"hop\""},
		"defaults beside it":   {false, "[defaults]\nhops = 2\n[[routes]]\ntype = \"check\"", "unknown key \"defaults\""},
		"no TOML":              {false, "type = ", "route s/a:1: "},
		"a pool":               {true, "sites = [\"north\"]", ""},
		"a pool, with header":  {true, "[[pools]]\nname = \"a\"\nsites = [\"north\"]", ""},
		"a pool of wrong type": {true, "sites = 3", "pool s/a:1: "},
	} {
		t.Run(name, func(t *testing.T) {
			parse := ParseRoute
			if c.pool {
				parse = ParsePool
			}
			_, err := parse("s", "a", []byte(c.text))
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, not %q", err, c.want)
			}
		})
	}
}

// Each part that cannot be used is named with its reason; all others hold, with the operator's file beneath them.
func TestAssemble(t *testing.T) {
	const file = "[defaults]\nhops = 3\n[class.book]\nrate = 5.0\n[[pools]]\nname = \"quick\"\nsites = [\"north\"]\n[[routes]]\nname = \"own\"\npath = \"/check/own\"\n"
	type part struct{ kind, service, name, text, last string }
	for name, c := range map[string]struct {
		file  string
		parts []part
		holds string         // routes of the set, in order, with their hops and rate
		wrong map[int]string // in the reason, by part
	}{
		"nothing": {file, nil, "own 3 -", nil},
		"no file": {"", []part{{"route", "s", "a", "type = \"check\"\nrate = 7.0", ""}}, "s/a 0 7", nil},
		"defaults and class hold for parts": {file, []part{{"route", "s", "a", "type = \"book\"", ""}, {"route", "", "b", "type = \"check\"\nhops = 2", ""}},
			"own 3 -, s/a 3 5, b 2 -", nil},
		"one name in two services": {"", []part{{"route", "s", "a", "path = \"/check/s\"", ""}, {"route", "t", "a", "path = \"/check/t\"", ""}},
			"s/a 0 -, t/a 0 -", nil},
		"an unknown type, others hold": {file, []part{{"route", "s", "a", "type = \"dance\"", ""}, {"route", "s", "b", "type = \"book\"", ""}},
			"own 3 -, s/b 3 5", map[int]string{0: "no traffic type \"dance\""}},
		"what held before holds on": {"", []part{{"route", "s", "a", "type = \"check\"\nhops = 9", "type = \"check\"\nhops = 2"}},
			"s/a 2 -", map[int]string{0: "9 attempts, but the settings allow 4"}},
		"nor can that be used": {"", []part{{"route", "s", "a", "type = \"check\"\nhops = 9", "type = \"check\"\nhops = 8"}},
			"", map[int]string{0: "9 attempts, but the settings allow 4"}},
		"the later of two that clash is out": {"", []part{{"route", "s", "a", "type = \"check\"", ""}, {"route", "t", "b", "type = \"check\"", ""}},
			"s/a 0 -", map[int]string{1: "route \"t/b\" and route \"s/a\" fit the same requests"}},
		"the file's route goes before": {file, []part{{"route", "s", "a", "path = \"/check/own\"", ""}},
			"own 3 -", map[int]string{0: "route \"s/a\" and route \"own\" of line 8 fit the same requests"}},
		"a name of the file's": {file, []part{{"route", "", "own", "type = \"check\"", ""}},
			"own 3 -", map[int]string{0: "a second route \"own\"; the first is in line 9"}},
		"a pool of the service": {file, []part{{"pool", "s", "quick", "sites = [\"south\"]", ""}, {"route", "s", "a", "type = \"check\"\npool = \"quick\"", ""}},
			"own 3 -, s/a 3 - s/quick", nil},
		"a pool of the file": {file, []part{{"route", "s", "a", "type = \"check\"\npool = \"quick\"", ""}}, "own 3 -, s/a 3 - quick", nil},
		"a pool of another service": {file, []part{{"pool", "t", "slow", "sites = [\"south\"]", ""}, {"route", "s", "a", "type = \"check\"\npool = \"slow\"", ""}},
			"own 3 -", map[int]string{1: "no pool \"slow\""}},
		"a pool at no site": {file, []part{{"pool", "s", "far", "sites = [\"moon\"]", ""}, {"route", "s", "a", "type = \"check\"\npool = \"far\"", ""}},
			"own 3 -", map[int]string{0: "no site \"moon\"", 1: "no pool \"far\""}},
		"a fallback within the service": {"", []part{{"route", "s", "a", "path = \"/check/a\"\nat_once = 1\nfallback = \"b\"", ""}, {"route", "s", "b", "type = \"check\"", ""}},
			"s/a 0 - >s/b, s/b 0 -", nil},
		"a fallback to what cannot be used": {"", []part{{"route", "s", "a", "path = \"/check/a\"\nfallback = \"b\"", ""}, {"route", "s", "b", "type = \"check\"\nhops = 9", ""},
			{"route", "s", "c", "type = \"book\"", ""}},
			"s/c 0 -", map[int]string{0: "falls back to \"b\", which does not exist", 1: "9 attempts"}},
		"fallbacks in a circle": {"", []part{{"route", "s", "a", "path = \"/check/a\"\nfallback = \"b\"", ""}, {"route", "s", "b", "type = \"check\"\nfallback = \"a\"", ""}},
			"", map[int]string{0: "go in a circle", 1: "go in a circle"}},
		"one that cannot be read, and held before": {"", []part{{"route", "s", "a", "hops = ", "type = \"check\"\nhops = 2"}}, "s/a 2 -", nil},
	} {
		t.Run(name, func(t *testing.T) {
			var own *Table
			if c.file != "" {
				var err error
				if own, err = Parse("f", []byte(c.file), testSettings()); err != nil {
					t.Fatal(err)
				}
			}
			var candidates []Candidate
			for _, p := range c.parts {
				parse := ParseRoute
				if p.kind == "pool" {
					parse = ParsePool
				}
				one := Candidate{}
				one.Fragment, _ = parse(p.service, p.name, []byte(p.text))
				if p.last != "" {
					last := routePart(t, p.service, p.name, p.last)
					one.Previous = &last
				}
				candidates = append(candidates, one)
			}
			a, err := Assemble(own, testSettings(), candidates)
			if err != nil {
				t.Fatal(err)
			}
			if got := described(a.Table); got != c.holds {
				t.Errorf("%q holds, not %q", got, c.holds)
			}
			if len(a.Unusable) != len(c.wrong) {
				t.Errorf("unusable: %v", a.Unusable)
			}
			for i, want := range c.wrong {
				if a.Unusable[i] == nil || !strings.Contains(a.Unusable[i].Error(), want) {
					t.Errorf("part %d: %v, not %q", i, a.Unusable[i], want)
				}
			}
			if own != nil && own.file.Err() != nil {
				t.Errorf("the file has got faults: %v", own.file.Err())
			}
		})
	}
}

func described(s *Table) string {
	var lines []string
	for _, r := range s.Routes {
		for k, p := range r.profileByType {
			if p < 0 {
				continue
			}
			l, rate := r.limitsByType[k], "-"
			if l.Rate != nil {
				rate = fmt.Sprint(*l.Rate)
			}
			line := fmt.Sprintf("%s %d %s", r.Name, valueOr(l.MaxAttempts, 0), rate)
			if l.Pool != nil {
				line += " " + *l.Pool
			}
			if r.fallback >= 0 {
				line += " >" + s.Routes[r.fallback].Name
			}
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, ", ")
}

// Beyond what a node can hold, the later parts are left out and the others hold.
func TestAssembleBounds(t *testing.T) {
	var candidates []Candidate
	for i := range maxPools + 2 {
		candidates = append(candidates, Candidate{Fragment: poolPart(t, "s", fmt.Sprint("p", i), "sites = [\"north\"]")})
	}
	for i := range maxProfiles + 5 {
		text := fmt.Sprintf("path = \"/check/%d\"\nkeep = %v", i, float64(i+1)/1000)
		candidates = append(candidates, Candidate{Fragment: routePart(t, "s", fmt.Sprint("r", i), text)})
	}
	a, err := Assemble(nil, testSettings(), candidates)
	if err != nil {
		t.Fatal(err)
	}
	base := len(testSettings().TrafficTypes)
	if len(a.Table.Pools) != maxPools || len(a.Table.Profiles) != maxProfiles || len(a.Table.Routes) != maxProfiles-base {
		t.Errorf("%d pools, %d profiles, %d routes", len(a.Table.Pools), len(a.Table.Profiles), len(a.Table.Routes))
	}
	if len(a.Unusable) != 2+5+base {
		t.Errorf("%d unusable", len(a.Unusable))
	}
}

// What one rebuild costs a node that serves many routes, of which one has changed.
func BenchmarkAssemble(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := testSettings()
			candidates := make([]Candidate, n)
			for i := range candidates {
				candidates[i].Fragment = routePart(b, fmt.Sprint("s", i%50), fmt.Sprint("r", i), fmt.Sprintf("path = \"/check/%d/**\"\nrate = 100.0", i))
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Assemble(nil, s, candidates); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
