// Package tree reads the files that operators write of configuration to be distributed, one of each service, as entries, and
// finds how these differ from what is held. The commands below "fernvane config" are its callers. Nothing of it is shared
// between goroutines.
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
	ID       string    `toml:"id"`
	Address  string    `toml:"address"`
	Zone     string    `toml:"zone"`
	Flavor   string    `toml:"flavor"`
	Cell     int       `toml:"cell"`
	Size     float64   `toml:"size"`     // 1 if it is left out
	Started  time.Time `toml:"started"`  // of its process
	Draining bool      `toml:"draining"` // gets nothing new
}

// Tenant is the text of a single tenant.
type Tenant struct {
	Allowance float64 `toml:"allowance"` // requests per second
}

// File is the configuration of one service.
type File struct {
	Service string             `toml:"service"` // "" for what is for every node; by default the file's name
	Tenants map[string]float64 `toml:"tenants"` // allowances, requests per second
	Servers []Server           `toml:"servers"`
	Pools   []route.Pool       `toml:"pools"`
	Routes  []route.Route      `toml:"routes"`
}

// Values are the values of entries by their keys.
type Values map[distribution.Key][]byte

// Tree is the content of all files.
type Tree struct {
	Services   []string // of the files, in order
	Values     Values
	HasServers bool // some file names servers
}

const fileSuffix = ".toml"

// Load reads a file, or all files of a directory that end in .toml. The error names each fault by file and line; if a file is
// wrong it is a tomlfile.Faults.
func Load(path string) (*Tree, error) {
	st, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	paths := []string{path}
	if st.IsDir() {
		if paths, err = filepath.Glob(filepath.Join(path, "*"+fileSuffix)); err != nil {
			return nil, err
		}
		if len(paths) == 0 {
			return nil, fmt.Errorf("%s: no file in it ends in %s", path, fileSuffix)
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

// addFile reads the file of one service.
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
		f.Wrong("service", "service %q stands in another file too", service)
	}
	t.Services = append(t.Services, service)
	t.HasServers = t.HasServers || f.Has("servers.0")
	if err := f.Err(); err != nil {
		return err
	}
	return t.addEntries(f, text, service, &file)
}
