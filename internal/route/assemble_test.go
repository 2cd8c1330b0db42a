package route

import (
	"fmt"
	"strings"
	"testing"
)

func routeFragment(t testing.TB, service, name, text string) Fragment {
	t.Helper()
	fragment, err := ParseRoute(service, name, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return fragment
}

func poolFragment(t testing.TB, service, name, text string) Fragment {
	t.Helper()
	fragment, err := ParsePool(service, name, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return fragment
}

func TestParseFragments(t *testing.T) {
	for name, c := range map[string]struct {
		pool bool
		text string
		want string // substring of the error; "" for none
	}{
		"keys alone":                {false, "type = \"check\"\nhops = 2", ""},
		"with its header":           {false, "# a comment\n[[routes]]\nname = \"a\"\ntype = \"check\"", ""},
		"name equals its key":       {false, "name = \"a\"\ntype = \"check\"", ""},
		"name differs from its key": {false, "name = \"b\"\ntype = \"check\"", "route s/a: text defines name \"b\", want name of entry"},
		"two routes":                {false, "[[routes]]\ntype = \"check\"\n[[routes]]\ntype = \"book\"", "route s/a: got 2 routes, want 1"},
		"an unknown key":            {false, "type = \"check\"\nhop = 2", "route s/a:2: unknown key \"hop\""},
		"defaults in addition":      {false, "[defaults]\nhops = 2\n[[routes]]\ntype = \"check\"", "unknown key \"defaults\""},
		"invalid TOML":              {false, "type = ", "route s/a:1: "},
		"a pool":                    {true, "sites = [\"north\"]", ""},
		"a pool, with header":       {true, "[[pools]]\nname = \"a\"\nsites = [\"north\"]", ""},
		"a pool of wrong type":      {true, "sites = 3", "pool s/a:1: "},
	} {
		t.Run(name, func(t *testing.T) {
			parse := ParseRoute
			if c.pool {
				parse = ParsePool
			}
			_, err := parse("s", "a", []byte(c.text))
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want %q", err, c.want)
			}
		})
	}
}

// TestAssemble checks that each invalid fragment is returned with its reason, and that all other fragments are in effect
// together with the operator's file.
func TestAssemble(t *testing.T) {
	const operatorFile = "[defaults]\nhops = 3\n[class.book]\nrate = 5.0\n[[pools]]\nname = \"quick\"\nsites = [\"north\"]\n[[routes]]\nname = \"own\"\npath = \"/check/own\"\n"
	type fragment struct{ kind, service, name, text, previous string }
	for name, c := range map[string]struct {
		operatorFile string
		fragments    []fragment
		routes       string         // routes of the table, in order, with hops, rate, pool and fallback
		unusable     map[int]string // substring of the reason, by fragment
	}{
		"nothing": {operatorFile, nil, "own 3 -", nil},
		"no file": {"", []fragment{{"route", "s", "a", "type = \"check\"\nrate = 7.0", ""}}, "s/a 0 7", nil},
		"defaults and class apply to fragments": {operatorFile, []fragment{{"route", "s", "a", "type = \"book\"", ""}, {"route", "", "b", "type = \"check\"\nhops = 2", ""}},
			"own 3 -, s/a 3 5, b 2 -", nil},
		"one name in two services": {"", []fragment{{"route", "s", "a", "path = \"/check/s\"", ""}, {"route", "t", "a", "path = \"/check/t\"", ""}},
			"s/a 0 -, t/a 0 -", nil},
		"unknown type, others in effect": {operatorFile, []fragment{{"route", "s", "a", "type = \"dance\"", ""}, {"route", "s", "b", "type = \"book\"", ""}},
			"own 3 -, s/b 3 5", map[int]string{0: "no traffic type \"dance\""}},
		"invalid, previous version in effect": {"", []fragment{{"route", "s", "a", "type = \"check\"\nhops = 9", "type = \"check\"\nhops = 2"}},
			"s/a 2 -", map[int]string{0: "9 attempts, but the settings allow 4"}},
		"invalid, previous version invalid too": {"", []fragment{{"route", "s", "a", "type = \"check\"\nhops = 9", "type = \"check\"\nhops = 8"}},
			"", map[int]string{0: "9 attempts, but the settings allow 4"}},
		"later of two equal routes is left out": {"", []fragment{{"route", "s", "a", "type = \"check\"", ""}, {"route", "t", "b", "type = \"check\"", ""}},
			"s/a 0 -", map[int]string{1: "route \"t/b\" and route \"s/a\" match the same requests"}},
		"route of the file stays in effect": {operatorFile, []fragment{{"route", "s", "a", "path = \"/check/own\"", ""}},
			"own 3 -", map[int]string{0: "route \"s/a\" and route \"own\" (line 8) match the same requests"}},
		"name of a route of the file": {operatorFile, []fragment{{"route", "", "own", "type = \"check\"", ""}},
			"own 3 -", map[int]string{0: "duplicate route \"own\", first defined in line 9"}},
		"a pool of the service": {operatorFile, []fragment{{"pool", "s", "quick", "sites = [\"south\"]", ""}, {"route", "s", "a", "type = \"check\"\npool = \"quick\"", ""}},
			"own 3 -, s/a 3 - s/quick", nil},
		"a pool of the file": {operatorFile, []fragment{{"route", "s", "a", "type = \"check\"\npool = \"quick\"", ""}}, "own 3 -, s/a 3 - quick", nil},
		"a pool of another service": {operatorFile, []fragment{{"pool", "t", "slow", "sites = [\"south\"]", ""}, {"route", "s", "a", "type = \"check\"\npool = \"slow\"", ""}},
			"own 3 -", map[int]string{1: "unknown pool \"slow\""}},
		"pool at an unknown site": {operatorFile, []fragment{{"pool", "s", "far", "sites = [\"moon\"]", ""}, {"route", "s", "a", "type = \"check\"\npool = \"far\"", ""}},
			"own 3 -", map[int]string{0: "unknown site \"moon\"", 1: "unknown pool \"far\""}},
		"a fallback within the service": {"", []fragment{{"route", "s", "a", "path = \"/check/a\"\nat_once = 1\nfallback = \"b\"", ""}, {"route", "s", "b", "type = \"check\"", ""}},
			"s/a 0 - >s/b, s/b 0 -", nil},
		"fallback to an invalid route": {"", []fragment{{"route", "s", "a", "path = \"/check/a\"\nfallback = \"b\"", ""}, {"route", "s", "b", "type = \"check\"\nhops = 9", ""},
			{"route", "s", "c", "type = \"book\"", ""}},
			"s/c 0 -", map[int]string{0: "falls back to \"b\", which does not exist", 1: "9 attempts"}},
		"cycle of fallbacks": {"", []fragment{{"route", "s", "a", "path = \"/check/a\"\nfallback = \"b\"", ""}, {"route", "s", "b", "type = \"check\"\nfallback = \"a\"", ""}},
			"", map[int]string{0: "form a cycle", 1: "form a cycle"}},
		"invalid TOML, previous version in effect": {"", []fragment{{"route", "s", "a", "hops = ", "type = \"check\"\nhops = 2"}}, "s/a 2 -", nil},
	} {
		t.Run(name, func(t *testing.T) {
			var operatorTable *Table
			if c.operatorFile != "" {
				var err error
				if operatorTable, err = Parse("f", []byte(c.operatorFile), testSettings()); err != nil {
					t.Fatal(err)
				}
			}
			var candidates []Candidate
			for _, f := range c.fragments {
				parse := ParseRoute
				if f.kind == "pool" {
					parse = ParsePool
				}
				candidate := Candidate{}
				candidate.Fragment, _ = parse(f.service, f.name, []byte(f.text))
				if f.previous != "" {
					previous := routeFragment(t, f.service, f.name, f.previous)
					candidate.Previous = &previous
				}
				candidates = append(candidates, candidate)
			}
			assembled, err := Assemble(operatorTable, testSettings(), candidates)
			if err != nil {
				t.Fatal(err)
			}
			if got := described(assembled.Table); got != c.routes {
				t.Errorf("got routes %q, want %q", got, c.routes)
			}
			if len(assembled.Unusable) != len(c.unusable) {
				t.Errorf("got unusable fragments %v, want those of the case", assembled.Unusable)
			}
			for i, want := range c.unusable {
				if assembled.Unusable[i] == nil || !strings.Contains(assembled.Unusable[i].Error(), want) {
					t.Errorf("fragment %d: got %v, want %q", i, assembled.Unusable[i], want)
				}
			}
			if operatorTable != nil && operatorTable.file.Err() != nil {
				t.Errorf("operator's file has new faults: %v", operatorTable.file.Err())
			}
		})
	}
}

func described(table *Table) string {
	var lines []string
	for _, r := range table.Routes {
		for trafficType, profile := range r.profileByType {
			if profile < 0 {
				continue
			}
			limits, rate := r.limitsByType[trafficType], "-"
			if limits.Rate != nil {
				rate = fmt.Sprint(*limits.Rate)
			}
			line := fmt.Sprintf("%s %d %s", r.Name, valueOr(limits.MaxAttempts, 0), rate)
			if limits.Pool != nil {
				line += " " + *limits.Pool
			}
			if r.fallback >= 0 {
				line += " >" + table.Routes[r.fallback].Name
			}
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, ", ")
}

// TestAssembleBounds checks that fragments above the bounds of a table are left out, the later ones first.
func TestAssembleBounds(t *testing.T) {
	var candidates []Candidate
	for i := range maxPools + 2 {
		candidates = append(candidates, Candidate{Fragment: poolFragment(t, "s", fmt.Sprint("p", i), "sites = [\"north\"]")})
	}
	for i := range maxProfiles + 5 {
		text := fmt.Sprintf("path = \"/check/%d\"\nkeep = %v", i, float64(i+1)/1000)
		candidates = append(candidates, Candidate{Fragment: routeFragment(t, "s", fmt.Sprint("r", i), text)})
	}
	assembled, err := Assemble(nil, testSettings(), candidates)
	if err != nil {
		t.Fatal(err)
	}
	settingsTypes := len(testSettings().TrafficTypes)
	if len(assembled.Table.Pools) != maxPools || len(assembled.Table.Profiles) != maxProfiles || len(assembled.Table.Routes) != maxProfiles-settingsTypes {
		t.Errorf("got %d pools, %d profiles, %d routes, want maxPools, maxProfiles and maxProfiles less the types of the settings", len(assembled.Table.Pools), len(assembled.Table.Profiles), len(assembled.Table.Routes))
	}
	if len(assembled.Unusable) != 2+5+settingsTypes {
		t.Errorf("got %d unusable fragments, want 7 and one for each type of the settings", len(assembled.Unusable))
	}
}

// BenchmarkAssemble measures one Assemble, which a node runs whenever one of its many routes changes.
func BenchmarkAssemble(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := testSettings()
			candidates := make([]Candidate, n)
			for i := range candidates {
				candidates[i].Fragment = routeFragment(b, fmt.Sprint("s", i%50), fmt.Sprint("r", i), fmt.Sprintf("path = \"/check/%d/**\"\nrate = 100.0", i))
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
