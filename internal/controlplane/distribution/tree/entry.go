package tree

import (
	"errors"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/value"
	"fernvane/internal/route"
)

// ParseEntry parses the TOML text of a single entry and returns the entry's value. Errors are tomlfile.Faults that name path as
// the file.
func ParseEntry(path string, text []byte, key distribution.Key) ([]byte, error) {
	switch key.Kind {
	case distribution.KindServer:
		return parseServer(path, text, key)
	case distribution.KindTenant:
		return parseTenant(path, text)
	}
	return parseRouteOrPool(path, text, key)
}

func parseServer(path string, text []byte, key distribution.Key) ([]byte, error) {
	s := Server{Weight: 1}
	f, err := tomlfile.Parse(path, text, &s)
	if err != nil {
		return nil, err
	}
	if f.Has("id") && s.ID != key.Name {
		f.AddFault("id", "file defines server %q, want %q", s.ID, key.Name)
	}
	s.ID = key.Name
	v, err := s.encode(true)
	if err != nil {
		f.AddFault("", "%v", err)
	}
	return v, f.Err()
}

func parseTenant(path string, text []byte) ([]byte, error) {
	var t Tenant
	f, err := tomlfile.Parse(path, text, &t)
	if err != nil {
		return nil, err
	}
	if !f.Has("allowance") {
		f.AddFault("", "allowance is missing")
	}
	v, err := value.EncodeTenant(value.Tenant{Allowance: t.Allowance})
	if err != nil {
		f.AddFault("allowance", "%v", err)
	}
	return v, f.Err()
}

// parseRouteOrPool parses the text of a single route or pool, with or without its table header.
func parseRouteOrPool(path string, text []byte, key distribution.Key) ([]byte, error) {
	parse, list := route.ParseRoute, "routes"
	if key.Kind == distribution.KindPool {
		parse, list = route.ParsePool, "pools"
	}
	if _, err := parse(key.Service, key.Name, text); err != nil {
		return nil, withPath(err, path)
	}
	var table map[string]any
	if err := toml.Unmarshal(text, &table); err != nil {
		return nil, err
	}
	if entries, hasHeader := table[list].([]any); hasHeader {
		table, _ = entries[0].(map[string]any)
	}
	return canonical(table)
}

// withPath returns the faults of err with path as their file.
func withPath(err error, path string) error {
	var faults tomlfile.Faults
	if !errors.As(err, &faults) {
		return err
	}
	faults = slices.Clone(faults)
	for i := range faults {
		faults[i].File = path
	}
	return faults
}
