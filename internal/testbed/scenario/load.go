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

// Names returns the names of the embedded scenarios.
func Names() []string {
	entries, _ := embedded.ReadDir("embedded")
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = strings.TrimSuffix(e.Name(), ".toml")
	}
	return names
}

// Load reads and checks a scenario. name is one of Names, or the path of a file. Errors in the content are returned as
// tomlfile.Faults.
func Load(name string) (*Scenario, error) {
	if slices.Contains(Names(), name) {
		text, err := embedded.ReadFile(path.Join("embedded", name+".toml"))
		if err != nil {
			return nil, err
		}
		return Parse(name+".toml", text)
	}
	if !strings.ContainsAny(name, "./") {
		return nil, fmt.Errorf("no scenario %q: want one of %s, or the path of a file", name, strings.Join(Names(), ", "))
	}
	text, err := tomlfile.Read(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse reads and checks a scenario from a text. Settings that the text omits are taken from its base scenario, if it names
// one. name is the file name in errors.
func Parse(name string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	var header struct{ Base string }
	if toml.Unmarshal(text, &header) == nil && header.Base != "" {
		if !slices.Contains(Names(), header.Base) || header.Base+".toml" == name {
			return nil, tomlfile.Faults{{File: name, Line: 1, Reason: fmt.Sprintf("unknown base %q: want one of %s", header.Base, strings.Join(Names(), ", "))}}
		}
		base, err := Load(header.Base)
		if err != nil {
			return nil, err
		}
		s = base
		s.Name = ""
		s.Description = ""
		s.Faults = nil
	}
	f, err := tomlfile.Parse(name, text, s)
	if err != nil {
		return nil, err
	}
	return s, s.check(f)
}
