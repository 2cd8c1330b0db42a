package route

import (
	"bytes"
	"fmt"

	"fernvane/internal/config/tomlfile"
)

// Fragment is a route or a pool that a control process distributes, outside the operator's file. It belongs to a
// service, or to all services where Service is empty.
type Fragment struct {
	Service string
	Name    string
	route   *Route // nil for a pool
	pool    *Pool  // nil for a route
}

// qualified is the name of a service's fragment among those of all services.
func qualified(service, name string) string {
	if service == "" {
		return name
	}
	return service + "/" + name
}

// ParseRoute reads the text of one route, as it stands in the operator's file; its [[routes]] line may be left out.
func ParseRoute(service, name string, text []byte) (Fragment, error) {
	label := "route " + qualified(service, name)
	var one Route
	if !hasHeader(text, "[[routes]]") {
		if err := parseAlone(label, text, &one); err != nil {
			return Fragment{}, err
		}
	} else {
		var file struct {
			Routes []Route `toml:"routes"`
		}
		if err := parseAlone(label, text, &file); err != nil {
			return Fragment{}, err
		}
		if len(file.Routes) != 1 {
			return Fragment{}, tomlfile.Faults{{File: label, Why: fmt.Sprintf("%d routes: one is wanted", len(file.Routes))}}
		}
		one = file.Routes[0]
	}
	if err := named(label, name, one.Name); err != nil {
		return Fragment{}, err
	}
	one.Name = qualified(service, name)
	return Fragment{Service: service, Name: name, route: &one}, nil
}

// ParsePool reads the text of one pool, as it stands in the operator's file; its [[pools]] line may be left out.
func ParsePool(service, name string, text []byte) (Fragment, error) {
	label := "pool " + qualified(service, name)
	var one Pool
	if !hasHeader(text, "[[pools]]") {
		if err := parseAlone(label, text, &one); err != nil {
			return Fragment{}, err
		}
	} else {
		var file struct {
			Pools []Pool `toml:"pools"`
		}
		if err := parseAlone(label, text, &file); err != nil {
			return Fragment{}, err
		}
		if len(file.Pools) != 1 {
			return Fragment{}, tomlfile.Faults{{File: label, Why: fmt.Sprintf("%d pools: one is wanted", len(file.Pools))}}
		}
		one = file.Pools[0]
	}
	if err := named(label, name, one.Name); err != nil {
		return Fragment{}, err
	}
	one.Name = qualified(service, name)
	return Fragment{Service: service, Name: name, pool: &one}, nil
}

// hasHeader reports whether a line of the text begins an entry of an array of tables.
func hasHeader(text []byte, header string) bool {
	for line := range bytes.Lines(text) {
		if bytes.HasPrefix(bytes.TrimSpace(line), []byte(header)) {
			return true
		}
	}
	return false
}

func parseAlone(label string, text []byte, into any) error {
	f, err := tomlfile.Parse(label, text, into)
	if err != nil {
		return err
	}
	return f.Err()
}

// named checks that a text which names its fragment gives it the name of its key.
func named(label, key, text string) error {
	switch {
	case key == "":
		return tomlfile.Faults{{File: label, Why: "a part without a name"}}
	case text != "" && text != key:
		return tomlfile.Faults{{File: label, Why: fmt.Sprintf("its text names it %q", text)}}
	}
	return nil
}

// isPool reports whether the fragment is a pool; otherwise it is a route.
func (p Fragment) isPool() bool { return p.pool != nil }

// String names the fragment for logs and faults.
func (p Fragment) String() string {
	if p.isPool() {
		return "pool " + qualified(p.Service, p.Name)
	}
	return "route " + qualified(p.Service, p.Name)
}
