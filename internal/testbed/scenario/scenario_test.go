package scenario

import (
	"strings"
	"testing"
)

func TestEmbeddedScenarios(t *testing.T) {
	for _, name := range Names() {
		s, err := Load(name)
		if err != nil {
			t.Errorf("load %s: %v", name, err)
		} else if s.Name != name {
			t.Errorf("scenario in %s.toml: got name %q", name, s.Name)
		}
	}
}

// Each mistake in a file gives an error with its line number.
func TestBadFiles(t *testing.T) {
	const head = "name = \"x\"\nbase = \"calm\"\n"
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":                      {head + "rate = 5", "x.toml:3: unknown key \"rate\""},
		"no TOML":                          {head + "load = [", "x.toml:3: "},
		"unknown base":                     {"base = \"never\"", "x.toml:1: unknown base"},
		"unknown server":                   {head + "[[faults]]\nkind = \"slow\"\nat = \"1s\"\nfor = \"1s\"\nsize = 2\nboxes = [\"fast-0\", \"fast-99\"]", "x.toml:8: unknown box \"fast-99\""},
		"unknown fault":                    {head + "[[faults]]\nkind = \"meteor\"\nat = \"1s\"", "x.toml:4: unknown fault kind \"meteor\""},
		"line of the second fault":         {head + "[[faults]]\nkind = \"discovery-move\"\nat = \"1s\"\n[[faults]]\nkind = \"discovery-move\"\nat = \"1h\"", "x.toml:8: fault starts at 1h0m0s"},
		"shares that do not add up":        {head + "[[types]]\nname = \"a\"\nshare = 0.5\nwork = \"1ms\"\ntarget = \"1s\"\nabandon = \"1s\"", "x.toml:5: shares of types add up to 0.500"},
		"abandon time below the objective": {head + "[[types]]\nname = \"a\"\nshare = 1\nwork = \"1ms\"\ntarget = \"1s\"\nabandon = \"500ms\"", "x.toml:8: abandon time of type a is shorter"},
		"unknown site":                     {head + "[[faults]]\nkind = \"cut-site\"\nat = \"1s\"\nfor = \"1s\"\nsite = \"moon\"", "x.toml:7: unknown site"},
		"unknown node":                     {head + "[[faults]]\nkind = \"kill-nodes\"\nat = \"1s\"\nfor = \"1s\"\nnodes = [4]", "x.toml:7: unknown node 4"},
		"fault without a duration":         {head + "[[faults]]\nkind = \"hang\"\nat = \"1s\"\nshare = 0.5", "x.toml:3: fault \"hang\" needs a duration"},
		"negative rate":                    {head + "[load]\nrate = -1", "x.toml:4: rate is -1"},
		"not UTF-8":                        {head + "about = \"\xff\"", "x.toml:3: not UTF-8"},
		"duration without a unit":          {head + "length = \"5\"", "x.toml"},
		"two mistakes":                     {head + "[load]\nrate = 0\nshape = \"square\"", "x.toml:5: \"square\" is not one of"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("x.toml", []byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v", err)
			}
		})
	}
}
