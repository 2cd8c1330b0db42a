// Package tree reads what operators write of configuration to be distributed, files of a service each, as entries, and
// tells how these differ from what is held.
package tree

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/value"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/route"
)

// Server is an entry of [[servers]].
type Server struct {
	ID       string    `toml:"id"`
	Address  string    `toml:"address"`
	Zone     string    `toml:"zone"`
	Flavor   string    `toml:"flavor"`
	Cell     int       `toml:"cell"`
	Size     float64   `toml:"size"`     // 1 if it is left out
	Started  time.Time `toml:"started"`  // of its process
	Draining bool      `toml:"draining"` // gets nothing new
}

// Tenant is what a file of one tenant says.
type Tenant struct {
	Allowance float64 `toml:"allowance"` // requests a second
}

// File is what is distributed of one service.
type File struct {
	Service string             `toml:"service"` // "" for what is for every node; by default the file's name
	Tenants map[string]float64 `toml:"tenants"` // allowances, requests a second
	Servers []Server           `toml:"servers"`
	Pools   []route.Pool       `toml:"pools"`
	Routes  []route.Route      `toml:"routes"`
}

// Values are the values of entries by their keys.
type Values map[distribution.Key][]byte

// Tree is what files say in all.
type Tree struct {
	Services   []string // that the files are of, in order
	Values     Values
	HasServers bool // some file names servers
}

const suffix = ".toml"

// Load reads a file, or all files of a folder that end in .toml. Each fault is named by file and line.
func Load(path string) (*Tree, error) {
	st, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	paths := []string{path}
	if st.IsDir() {
		if paths, err = filepath.Glob(filepath.Join(path, "*"+suffix)); err != nil {
			return nil, err
		}
		if len(paths) == 0 {
			return nil, fmt.Errorf("%s: no file in it ends in %s", path, suffix)
		}
	}
	t := &Tree{Values: Values{}}
	var faults tomlfile.Faults
	for _, p := range paths {
		err := t.add(p)
		var some tomlfile.Faults
		switch {
		case errors.As(err, &some):
			faults = append(faults, some...)
		case err != nil:
			return nil, err
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	slices.Sort(t.Services)
	return t, nil
}

// add reads one file of a service.
func (t *Tree) add(path string) error {
	text, err := tomlfile.Read(path)
	if err != nil {
		return err
	}
	var file File
	f, err := tomlfile.Parse(path, text, &file)
	if err != nil {
		return err
	}
	service := file.Service
	if !f.Has("service") {
		service = strings.TrimSuffix(filepath.Base(path), suffix)
	}
	if slices.Contains(t.Services, service) {
		f.Wrong("service", "service %q stands in another file too", service)
	}
	t.Services = append(t.Services, service)
	t.HasServers = t.HasServers || f.Has("servers.0")
	if err := f.Err(); err != nil {
		return err
	}
	return t.entries(f, text, service, &file)
}

// entries takes in what a file of a service holds.
func (t *Tree) entries(f *tomlfile.File, text []byte, service string, file *File) error {
	var raw struct {
		Pools, Routes []map[string]any
	}
	if err := toml.Unmarshal(text, &raw); err != nil {
		return tomlfile.Faults{{File: f.Name, Why: err.Error()}}
	}
	put := func(at string, kind distribution.Kind, name string, value []byte, err error) {
		t.put(f, at, distribution.Change{Key: distribution.Key{Service: service, Kind: kind, Name: name}, Value: value}, err)
	}
	for i, s := range file.Servers {
		at := "servers." + strconv.Itoa(i)
		v, err := s.encode(f.Has(at + ".size"))
		put(at, distribution.KindServer, s.ID, v, err)
	}
	for i, p := range file.Pools {
		v, err := canonical(raw.Pools[i])
		if err == nil {
			_, err = route.ParsePool(service, p.Name, v)
		}
		put("pools."+strconv.Itoa(i), distribution.KindPool, p.Name, v, err)
	}
	for i, r := range file.Routes {
		v, err := canonical(raw.Routes[i])
		if err == nil {
			_, err = route.ParseRoute(service, r.Name, v)
		}
		put("routes."+strconv.Itoa(i), distribution.KindRoute, r.Name, v, err)
	}
	for _, name := range slices.Sorted(maps.Keys(file.Tenants)) {
		v, err := value.EncodeTenant(value.Tenant{Allowance: file.Tenants[name]})
		put("tenants."+name, distribution.KindTenant, name, v, err)
	}
	return f.Err()
}

// put takes in one entry that was read from a place of a file.
func (t *Tree) put(f *tomlfile.File, at string, change distribution.Change, err error) {
	_, twice := t.Values[change.Key]
	switch {
	case err != nil:
		f.Wrong(at, "%v", err)
	case twice:
		f.Wrong(at, "a second %s %q", change.Key.Kind, change.Key.Name)
	case change.Validate() != nil:
		f.Wrong(at, "%v", change.Validate())
	default:
		t.Values[change.Key] = change.Value
	}
}

// encode is the server's value.
func (s Server) encode(sized bool) ([]byte, error) {
	e := incarnation.Entry{ID: s.ID, Address: s.Address, Zone: s.Zone, MachineKind: s.Flavor, Cell: s.Cell, Weight: s.Size}
	if !sized {
		e.Weight = 1
	}
	if !s.Started.IsZero() {
		e.StartedUnixMS = s.Started.UnixMilli()
	}
	if s.Draining {
		e.Condition = incarnation.Draining
	}
	return value.EncodeServer(e)
}

// canonical is the text of a route or a pool in one form, whatever the order and the spacing in which it was written, so that
// what says the same is the same. Its name is the key's.
func canonical(table map[string]any) ([]byte, error) {
	table = maps.Clone(table)
	delete(table, "name")
	return toml.Marshal(table)
}

// ParseEntry reads the text of one entry.
func ParseEntry(path string, text []byte, key distribution.Key) ([]byte, error) {
	switch key.Kind {
	case distribution.KindServer:
		s := Server{Size: 1}
		f, err := tomlfile.Parse(path, text, &s)
		if err != nil {
			return nil, err
		}
		if f.Has("id") && s.ID != key.Name {
			f.Wrong("id", "the text is of server %q, not %q", s.ID, key.Name)
		}
		s.ID = key.Name
		v, err := s.encode(true)
		if err != nil {
			f.Wrong("", "%v", err)
		}
		return v, f.Err()
	case distribution.KindTenant:
		var t Tenant
		f, err := tomlfile.Parse(path, text, &t)
		if err != nil {
			return nil, err
		}
		if !f.Has("allowance") {
			f.Wrong("", "allowance is missing")
		}
		v, err := value.EncodeTenant(value.Tenant{Allowance: t.Allowance})
		if err != nil {
			f.Wrong("allowance", "%v", err)
		}
		return v, f.Err()
	}
	return oneText(path, text, key)
}

// oneText reads the text of one route or pool.
func oneText(path string, text []byte, key distribution.Key) ([]byte, error) {
	parse, list := route.ParseRoute, "routes"
	if key.Kind == distribution.KindPool {
		parse, list = route.ParsePool, "pools"
	}
	if _, err := parse(key.Service, key.Name, text); err != nil {
		return nil, renamed(err, path)
	}
	var table map[string]any
	if err := toml.Unmarshal(text, &table); err != nil {
		return nil, err
	}
	if entries, headed := table[list].([]any); headed {
		table, _ = entries[0].(map[string]any)
	}
	return canonical(table)
}

// renamed has faults tell the file that they are in.
func renamed(err error, path string) error {
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
