package capacity

import (
	"fmt"

	"fernvane/internal/config/tomlfile"
)

// Target is the target file: the size of a deployment and the budgets of its figures.
type Target struct {
	// About are the rows of the page's first table.
	About []Line `toml:"about"`
	// Sizes are the target sizes by dimension. A figure is extrapolated to the size of the dimension that its source varies.
	Sizes map[string]float64 `toml:"sizes"`
	// Figures are the rows of the page.
	Figures []Figure `toml:"figures"`
}

// Line is a row of the page's first table.
type Line struct {
	What   string `toml:"what"`
	Target string `toml:"target"`
}

// Figure is a row of a role's table: one resource need at the target size.
type Figure struct {
	Role     string  `toml:"role"`
	Kind     string  `toml:"kind"` // state, messages, CPU, memory or time
	What     string  `toml:"what"`
	Source   string  `toml:"source"` // argument of Results.Series
	Times    float64 `toml:"times"`  // factor from the measured figure to the budgeted one, such as how often it occurs in the budget's period; by default 1
	Unit     string  `toml:"unit"`   // of the budgeted figure; by default the source's
	Budget   float64 `toml:"budget"` // 0: none
	BudgetIs string  `toml:"budget_is"`
	Carries  string  `toml:"carries"` // the mechanism that meets the need today
	Limit    string  `toml:"limit"`   // the first limit that the mechanism reaches
}

var kinds = map[string]bool{"state": true, "messages": true, "CPU": true, "memory": true, "time": true}

// LoadTarget reads a target file. Its error lists each fault with file and line.
func LoadTarget(path string) (*Target, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	t := &Target{}
	f, err := tomlfile.Parse(path, text, t)
	if err != nil {
		return nil, err
	}
	if len(t.Figures) == 0 {
		f.AddFault("figures", "no figures: want at least one")
	}
	for i := range t.Figures {
		g := &t.Figures[i]
		at := func(key string) string { return fmt.Sprintf("figures.%d.%s", i, key) }
		for _, v := range []struct{ key, value string }{{"role", g.Role}, {"what", g.What}, {"source", g.Source}, {"carries", g.Carries}} {
			if v.value == "" {
				f.AddFault(at(v.key), "figure without %s", v.key)
			}
		}
		if !kinds[g.Kind] {
			f.AddFault(at("kind"), "kind %q: want state, messages, CPU, memory or time", g.Kind)
		}
		if g.Budget < 0 || g.Times < 0 {
			f.AddFault(at("budget"), "negative budget or times: want at least 0")
		}
		if g.Budget > 0 && g.BudgetIs == "" {
			f.AddFault(at("budget_is"), "budget without budget_is")
		}
		if g.Times == 0 {
			g.Times = 1
		}
	}
	return t, f.Err()
}
