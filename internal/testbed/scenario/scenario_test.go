package scenario

import (
	"strings"
	"testing"
)

func TestEmbeddedScenarios(t *testing.T) {
	for _, name := range Names() {
		s, err := Load(name)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		} else if s.Name != name {
			t.Errorf("%s is named %q", name, s.Name)
		}
	}
}

// A bad file gives an error for each mistake, with its line.
func TestBadFiles(t *testing.T) {
	const head = "name = \"x\"\nbase = \"calm\"\n"
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":                      {head + "rate = 5", "x.toml:3: unknown key \"rate\""},
		"no TOML":                          {head + "load = [", "x.toml:3: "},
		"unknown base":                     {"base = \"never\"", "x.toml:1: no base"},
		"unknown server":                   {head + "[[faults]]\nkind = \"slow\"\nat = \"1s\"\nfor = \"1s\"\nsize = 2\nboxes = [\"fast-0\", \"fast-99\"]", "x.toml:8: no box \"fast-99\""},
		"unknown fault":                    {head + "[[faults]]\nkind = \"meteor\"\nat = \"1s\"", "x.toml:4: no fault \"meteor\""},
		"line of the second fault":         {head + "[[faults]]\nkind = \"discovery-move\"\nat = \"1s\"\n[[faults]]\nkind = \"discovery-move\"\nat = \"1h\"", "x.toml:8: at 1h0m0s"},
		"shares that do not add up":        {head + "[[types]]\nname = \"a\"\nshare = 0.5\nwork = \"1ms\"\ntarget = \"1s\"\nabandon = \"1s\"", "x.toml:5: the shares of the types add up to 0.500"},
		"abandon time below the objective": {head + "[[types]]\nname = \"a\"\nshare = 1\nwork = \"1ms\"\ntarget = \"1s\"\nabandon = \"500ms\"", "x.toml:8: clients of a give up"},
		"unknown site":                     {head + "[[faults]]\nkind = \"cut-site\"\nat = \"1s\"\nfor = \"1s\"\nsite = \"moon\"", "x.toml:7: no site"},
		"unknown node":                     {head + "[[faults]]\nkind = \"kill-nodes\"\nat = \"1s\"\nfor = \"1s\"\nnodes = [4]", "x.toml:7: no node 4"},
		"fault without a duration":         {head + "[[faults]]\nkind = \"hang\"\nat = \"1s\"\nshare = 0.5", "x.toml:3: a fault \"hang\" must last"},
		"negative rate":                    {head + "[load]\nrate = -1", "x.toml:4: rate is -1"},
		"not UTF-8":                        {head + "about = \"\xff\"", "x.toml:3: not UTF-8"},
		"duration without a unit":          {head + "length = \"5\"", "x.toml"},
		"two mistakes":                     {head + "[load]\nrate = 0\nshape = \"square\"", "x.toml:5: \"square\" is none of"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("x.toml", []byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error: %v", err)
			}
		})
	}
}
