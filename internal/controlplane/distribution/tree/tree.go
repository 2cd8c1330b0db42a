// Package tree parses operators' configuration files, one file per service, into entries for distribution, and computes the
// differences between these entries and those stored at a control process. The subcommands of "fernvane config" use it. Its
// types are not safe for concurrent use.
package tree

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/route"
)

// Server is an entry of [[servers]].
type Server struct {
	ID          string    `toml:"id"`
	Address     string    `toml:"address"`
	Zone        string    `toml:"zone"`
	MachineKind string    `toml:"flavor"`
	Cell        *int      `toml:"cell"`     // nil: unknown
	Weight      float64   `toml:"size"`     // relative capacity; 1 by default
	StartedAt   time.Time `toml:"started"`  // start of the server's process
	Draining    bool      `toml:"draining"` // receives no new requests
}

// Tenant is the content of a file for a single tenant.
type Tenant struct {
	Allowance float64 `toml:"allowance"` // requests per second
}

// File is the configuration of one service.
type File struct {
	Service string             `toml:"service"` // "" for entries of every node; by default the base name of the file
	Tenants map[string]float64 `toml:"tenants"` // allowances, requests per second
	Servers []Server           `toml:"servers"`
	Pools   []route.Pool       `toml:"pools"`
	Routes  []route.Route      `toml:"routes"`
}

// Values maps the keys of entries to their values.
type Values map[distribution.Key][]byte

// Tree is the combined content of all files.
type Tree struct {
	Services   []string // one per file, sorted
	Values     Values
	HasServers bool // whether any file lists servers
}

const fileSuffix = ".toml"

// Load reads a single file, or all files of a directory whose names end in .toml. The error of an invalid file is a
// tomlfile.Faults, which lists each fault with its file and line.
func Load(path string) (*Tree, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	paths := []string{path}
	if info.IsDir() {
		if paths, err = filepath.Glob(filepath.Join(path, "*"+fileSuffix)); err != nil {
			return nil, err
		}
		if len(paths) == 0 {
			return nil, fmt.Errorf("%s: directory contains no %s files", path, fileSuffix)
		}
	}
	t := &Tree{Values: Values{}}
	var faults tomlfile.Faults
	for _, p := range paths {
		err := t.addFile(p)
		var fileFaults tomlfile.Faults
		switch {
		case errors.As(err, &fileFaults):
			faults = append(faults, fileFaults...)
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

// addFile parses the file of one service and adds its entries.
func (t *Tree) addFile(path string) error {
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
		service = strings.TrimSuffix(filepath.Base(path), fileSuffix)
	}
	if slices.Contains(t.Services, service) {
		f.AddFault("service", "service %q also defined in another file", service)
	}
	t.Services = append(t.Services, service)
	t.HasServers = t.HasServers || f.Has("servers.0")
	if err := f.Err(); err != nil {
		return err
	}
	return t.addEntries(f, text, service, &file)
}
