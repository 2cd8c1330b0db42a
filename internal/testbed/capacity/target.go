package capacity

import (
	"fmt"

	"fernvane/internal/config/tomlfile"
)

// Target is the size that the deployment is to carry, and what it may cost there.
type Target struct {
	// About are the operators' words, for the page.
	About []Line `toml:"about"`
	// Sizes are the target's dimensions by name.
	Sizes map[string]float64 `toml:"sizes"`
	// Figures are the rows of the page.
	Figures []Figure `toml:"figures"`
}

// Line is one of the target's own table.
type Line struct {
	What   string `toml:"what"`
	Target string `toml:"target"`
}

// Figure is one row: what a role pays at the target.
type Figure struct {
	Role     string  `toml:"role"`
	Kind     string  `toml:"kind"` // state, messages, CPU, memory or time
	What     string  `toml:"what"`
	Source   string  `toml:"source"` // as Results.Series takes it
	Times    float64 `toml:"times"`  // of the measured figure, as when it is paid so often in the budget's time; by default 1
	Unit     string  `toml:"unit"`   // after Times; by default the source's
	Budget   float64 `toml:"budget"` // 0: none is stated
	BudgetIs string  `toml:"budget_is"`
	Carries  string  `toml:"carries"` // the mechanism
	Limit    string  `toml:"limit"`   // the first that it meets
}

var kinds = map[string]bool{"state": true, "messages": true, "CPU": true, "memory": true, "time": true}

// LoadTarget reads a target file; each fault is named by file and line.
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
		f.Wrong("figures", "there are no figures")
	}
	for i := range t.Figures {
		g := &t.Figures[i]
		at := func(key string) string { return fmt.Sprintf("figures.%d.%s", i, key) }
		for _, v := range []struct{ key, value string }{{"role", g.Role}, {"what", g.What}, {"source", g.Source}, {"carries", g.Carries}} {
			if v.value == "" {
				f.Wrong(at(v.key), "a figure without %s", v.key)
			}
		}
		if !kinds[g.Kind] {
			f.Wrong(at("kind"), "kind %q: state, messages, CPU, memory or time", g.Kind)
		}
		if g.Budget < 0 || g.Times < 0 {
			f.Wrong(at("budget"), "budget and times are not below 0")
		}
		if g.Budget > 0 && g.BudgetIs == "" {
			f.Wrong(at("budget_is"), "a budget without its reason")
		}
		if g.Times == 0 {
			g.Times = 1
		}
	}
	return t, f.Err()
}
