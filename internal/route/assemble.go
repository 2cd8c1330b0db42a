package route

import (
	"errors"
	"fmt"
	"slices"

	"fernvane/internal/config/settings"
	"fernvane/internal/config/tomlfile"
)

// maxCompileRounds bounds the compilations of one Assemble. Each drops the fragments that the one
// before found at fault, which may leave others without the route that they fall back to.
const maxCompileRounds = 16

// Candidate is a fragment to put in force, with the one of its name that was in force before, if any.
type Candidate struct {
	Fragment
	Previous *Fragment
}

// Assembled is the result of Assemble.
type Assembled struct {
	Table    *Table
	Used     []*Fragment   // by candidate: the fragment in force; nil: none
	Unusable map[int]error // by candidate: why it is not in force
}

var errUnresolved = errors.New("too many fragments depend on others that cannot be used")

// Assemble compiles one table of the operator's file, nil for none, and the candidates. A candidate that cannot be used is
// left out and its reason returned in Unusable; its previous fragment stays in its place. Of two that match the
// same requests the later one is left out; of a cycle of fallbacks all are. The error is of the operator's file itself, or that no table was found in
// maxCompileRounds.
func Assemble(own *Table, s *settings.Settings, candidates []Candidate) (Assembled, error) {
	a := Assembled{Used: make([]*Fragment, len(candidates)), Unusable: map[int]error{}}
	last := make([]*Fragment, len(candidates))
	for i := range candidates {
		a.Used[i], last[i] = &candidates[i].Fragment, candidates[i].Previous
		if candidates[i].route == nil && candidates[i].pool == nil { // could not be parsed
			a.Used[i], last[i] = last[i], nil
		}
	}
	for range maxCompileRounds {
		table, faults := compileFragments(own, s, a.Used)
		if len(faults.byFragment) == 0 {
			if err := faults.file.Err(); err != nil {
				return a, err
			}
			a.Table = table
			return a, nil
		}
		for i, why := range faults.byFragment {
			if a.Unusable[i] == nil {
				a.Unusable[i] = why
			}
			a.Used[i], last[i] = last[i], nil
		}
	}
	return a, errUnresolved
}

// fragmentFaults attributes faults to fragments. It is nil where only the operator's file is checked.
type fragmentFaults struct {
	file       *tomlfile.File
	routes     []int // candidates by route of the table; -1: of the operator's file
	pools      []int // likewise
	current    int   // candidate, or -1
	byFragment map[int]error
}

func (p *fragmentFaults) selectRoute(i int) {
	if p != nil {
		p.current = p.routes[i]
	}
}

func (p *fragmentFaults) selectPool(i int) {
	if p != nil {
		p.current = p.pools[i]
	}
}

// selectOperatorFile attributes the faults that follow to the operator's file.
func (p *fragmentFaults) selectOperatorFile() {
	if p != nil {
		p.current = -1
	}
}

// record notes a fault where a fragment is selected, and reports whether it did.
func (p *fragmentFaults) record(format string, args ...any) bool {
	if p == nil || p.current < 0 {
		return false
	}
	p.assign(p.current, fmt.Errorf(format, args...))
	return true
}

func (p *fragmentFaults) assign(candidate int, why error) {
	if p.byFragment[candidate] == nil {
		p.byFragment[candidate] = why
	}
}

// compileFragments compiles a table, and returns which fragments are at fault.
func compileFragments(own *Table, s *settings.Settings, fragments []*Fragment) (*Table, *fragmentFaults) {
	base, source := &tomlfile.File{Name: "distribution"}, &File{}
	if own != nil {
		copied, file := *own.source, *own.file
		source, base = &copied, &file
		source.Pools, source.Routes = slices.Clone(source.Pools), slices.Clone(source.Routes)
	}
	faults := &fragmentFaults{file: base, current: -1, byFragment: map[int]error{}}
	faults.pools = slices.Repeat([]int{-1}, len(source.Pools))
	faults.routes = slices.Repeat([]int{-1}, len(source.Routes))
	for i, p := range fragments {
		switch {
		case p == nil:
		case p.isPool():
			if len(source.Pools) >= maxPools {
				faults.assign(i, fmt.Errorf("%d pools at most", maxPools))
				continue
			}
			source.Pools, faults.pools = append(source.Pools, *p.pool), append(faults.pools, i)
		default:
			if len(source.Routes) >= maxRoutes {
				faults.assign(i, fmt.Errorf("%d routes at most", maxRoutes))
				continue
			}
			source.Routes, faults.routes = append(source.Routes, *p.route), append(faults.routes, i)
		}
	}
	resolveServiceNames(source, fragments, faults)
	c := newChecker(base, source, s)
	c.fragments = faults
	table := c.compile()
	if n := len(table.Profiles); n > maxProfiles {
		for _, first := range table.firstRoute[maxProfiles:] {
			if candidate := faults.routes[first]; candidate >= 0 {
				faults.assign(candidate, fmt.Errorf("%d different sets of figures: %d at most; routes with the same figures share one", n, maxProfiles))
			}
		}
	}
	return table, faults
}

// resolveServiceNames has names in a service's routes stand for fragments of the same service, where there are such.
func resolveServiceNames(source *File, fragments []*Fragment, faults *fragmentFaults) {
	pools, routes := map[string]bool{}, map[string]bool{}
	for _, p := range source.Pools {
		pools[p.Name] = true
	}
	for _, r := range source.Routes {
		routes[r.Name] = true
	}
	for i, candidate := range faults.routes {
		if candidate < 0 {
			continue
		}
		r, service := &source.Routes[i], fragments[candidate].Service
		r.Pool = qualifyOwn(r.Pool, service, pools)
		r.Fallback = qualifyOwn(r.Fallback, service, routes)
	}
}

func qualifyOwn(name *string, service string, known map[string]bool) *string {
	if name == nil {
		return nil
	}
	if own := qualified(service, *name); known[own] {
		return &own
	}
	return name
}
