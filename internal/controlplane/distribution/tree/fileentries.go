package tree

import (
	"maps"
	"slices"
	"strconv"

	"github.com/pelletier/go-toml/v2"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/value"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/route"
)

// addEntries adds the entries of one service's file.
func (t *Tree) addEntries(f *tomlfile.File, text []byte, service string, file *File) error {
	var raw struct {
		Pools  []map[string]any `toml:"pools"`
		Routes []map[string]any `toml:"routes"`
	}
	if err := toml.Unmarshal(text, &raw); err != nil {
		return tomlfile.Faults{{File: f.Name, Reason: err.Error()}}
	}
	add := func(keyPath string, kind distribution.Kind, name string, value []byte, err error) {
		t.addEntry(f, keyPath, distribution.Change{Key: distribution.Key{Service: service, Kind: kind, Name: name}, Value: value}, err)
	}
	for i, s := range file.Servers {
		keyPath := "servers." + strconv.Itoa(i)
		v, err := s.encode(f.Has(keyPath + ".size"))
		add(keyPath, distribution.KindServer, s.ID, v, err)
	}
	for i, p := range file.Pools {
		v, err := canonical(raw.Pools[i])
		if err == nil {
			_, err = route.ParsePool(service, p.Name, v)
		}
		add("pools."+strconv.Itoa(i), distribution.KindPool, p.Name, v, err)
	}
	for i, r := range file.Routes {
		v, err := canonical(raw.Routes[i])
		if err == nil {
			_, err = route.ParseRoute(service, r.Name, v)
		}
		add("routes."+strconv.Itoa(i), distribution.KindRoute, r.Name, v, err)
	}
	for _, name := range slices.Sorted(maps.Keys(file.Tenants)) {
		v, err := value.EncodeTenant(value.Tenant{Allowance: file.Tenants[name]})
		add("tenants."+name, distribution.KindTenant, name, v, err)
	}
	return f.Err()
}

// addEntry adds one entry, or records a fault at the entry's key path in the file.
func (t *Tree) addEntry(f *tomlfile.File, keyPath string, change distribution.Change, err error) {
	_, isDuplicate := t.Values[change.Key]
	switch {
	case err != nil:
		f.AddFault(keyPath, "%v", err)
	case isDuplicate:
		f.AddFault(keyPath, "duplicate %s %q", change.Key.Kind, change.Key.Name)
	case change.Validate() != nil:
		f.AddFault(keyPath, "%v", change.Validate())
	default:
		t.Values[change.Key] = change.Value
	}
}

// encode returns the server's value. Without hasWeight, the weight is 1.
func (s Server) encode(hasWeight bool) ([]byte, error) {
	e := incarnation.Entry{ID: s.ID, Address: s.Address, Zone: s.Zone, MachineKind: s.MachineKind, Cell: incarnation.UnknownCell, Weight: s.Weight}
	if s.Cell != nil {
		e.Cell = *s.Cell
	}
	if !hasWeight {
		e.Weight = 1
	}
	if !s.StartedAt.IsZero() {
		e.StartedUnixMS = s.StartedAt.UnixMilli()
	}
	if s.Draining {
		e.Condition = incarnation.Draining
	}
	return value.EncodeServer(e)
}

// canonical returns the canonical TOML text of a route or a pool, so that equal content gives equal text regardless of key order
// and spacing. It omits the name, which is part of the entry's key.
func canonical(table map[string]any) ([]byte, error) {
	table = maps.Clone(table)
	delete(table, "name")
	return toml.Marshal(table)
}
