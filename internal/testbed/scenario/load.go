package scenario

import (
	"embed"
	"fmt"
	"path"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"fernvane/internal/config/tomlfile"
)

//go:embed embedded/*.toml
var embedded embed.FS

// Names returns the names of the scenarios embedded in the program.
func Names() []string {
	entries, _ := embedded.ReadDir("embedded")
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = strings.TrimSuffix(e.Name(), ".toml")
	}
	return names
}

// Load reads and checks a scenario: one of Names, or a file. Errors of the content are tomlfile.Faults.
func Load(name string) (*Scenario, error) {
	if slices.Contains(Names(), name) {
		text, err := embedded.ReadFile(path.Join("embedded", name+".toml"))
		if err != nil {
			return nil, err
		}
		return Parse(name+".toml", text)
	}
	if !strings.ContainsAny(name, "./") {
		return nil, fmt.Errorf("no scenario %q: there are %s, and files", name, strings.Join(Names(), ", "))
	}
	text, err := tomlfile.Read(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse reads and checks a scenario in a text, over the base that it names. name is the file in errors.
func Parse(name string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	var b struct{ Base string }
	if toml.Unmarshal(text, &b) == nil && b.Base != "" {
		if !slices.Contains(Names(), b.Base) || b.Base+".toml" == name {
			return nil, tomlfile.Faults{{File: name, Line: 1, Why: fmt.Sprintf("no base %q: there are %s", b.Base, strings.Join(Names(), ", "))}}
		}
		base, err := Load(b.Base)
		if err != nil {
			return nil, err
		}
		s = base
		s.Name = ""
		s.About = ""
		s.Faults = nil
	}
	f, err := tomlfile.Parse(name, text, s)
	if err != nil {
		return nil, err
	}
	return s, s.check(f)
}
