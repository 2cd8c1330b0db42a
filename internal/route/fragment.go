package route

import (
	"bytes"
	"fmt"

	"fernvane/internal/config/tomlfile"
)

// Fragment is a route or a pool that a control process distributes in addition to the operator's file. It belongs to one
// service, or to all services if Service is empty.
type Fragment struct {
	Service string
	Name    string
	route   *Route // nil for a pool
	pool    *Pool  // nil for a route
}

// qualified returns the name of a fragment that is unique among the fragments of all services.
func qualified(service, name string) string {
	if service == "" {
		return name
	}
	return service + "/" + name
}

// ParseRoute parses the text of one route in the form of the operator's file. The [[routes]] line is optional.
func ParseRoute(service, name string, text []byte) (Fragment, error) {
	label := "route " + qualified(service, name)
	var route Route
	if !hasHeader(text, "[[routes]]") {
		if err := parseAlone(label, text, &route); err != nil {
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
			return Fragment{}, tomlfile.Faults{{File: label, Reason: fmt.Sprintf("got %d routes, want 1", len(file.Routes))}}
		}
		route = file.Routes[0]
	}
	if err := checkName(label, name, route.Name); err != nil {
		return Fragment{}, err
	}
	route.Name = qualified(service, name)
	return Fragment{Service: service, Name: name, route: &route}, nil
}

// ParsePool parses the text of one pool in the form of the operator's file. The [[pools]] line is optional.
func ParsePool(service, name string, text []byte) (Fragment, error) {
	label := "pool " + qualified(service, name)
	var pool Pool
	if !hasHeader(text, "[[pools]]") {
		if err := parseAlone(label, text, &pool); err != nil {
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
			return Fragment{}, tomlfile.Faults{{File: label, Reason: fmt.Sprintf("got %d pools, want 1", len(file.Pools))}}
		}
		pool = file.Pools[0]
	}
	if err := checkName(label, name, pool.Name); err != nil {
		return Fragment{}, err
	}
	pool.Name = qualified(service, name)
	return Fragment{Service: service, Name: name, pool: &pool}, nil
}

// hasHeader reports whether a line of the text begins with the header of an array of tables.
func hasHeader(text []byte, header string) bool {
	for line := range bytes.Lines(text) {
		if bytes.HasPrefix(bytes.TrimSpace(line), []byte(header)) {
			return true
		}
	}
	return false
}

// parseAlone parses the text of a fragment, which is invalid on any fault.
func parseAlone(label string, text []byte, into any) error {
	f, err := tomlfile.Parse(label, text, into)
	if err != nil {
		return err
	}
	return f.Err()
}

// checkName checks that a fragment has a name, and that a name in its text is the same.
func checkName(label, name, nameInText string) error {
	switch {
	case name == "":
		return tomlfile.Faults{{File: label, Reason: "fragment has no name"}}
	case nameInText != "" && nameInText != name:
		return tomlfile.Faults{{File: label, Reason: fmt.Sprintf("text defines name %q, want name of entry", nameInText)}}
	}
	return nil
}

// isPool reports whether the fragment is a pool; otherwise it is a route.
func (f Fragment) isPool() bool { return f.pool != nil }

// String returns the kind and the qualified name of the fragment, for log lines and faults.
func (f Fragment) String() string {
	if f.isPool() {
		return "pool " + qualified(f.Service, f.Name)
	}
	return "route " + qualified(f.Service, f.Name)
}
