package route

import (
	"errors"
	"fmt"
	"slices"

	"fernvane/internal/config/settings"
	"fernvane/internal/config/tomlfile"
)

// roundsMost bounds the compilations of one Assemble. Each drops what the one before has found at fault, which may leave
// others without the route that they fall back to.
const maxCompileRounds = 16

// Candidate is a part that is to hold, with the one of its name that held before, if there was one.
type Candidate struct {
	Fragment
	Previous *Fragment
}

// Assembled is what Assemble has made.
type Assembled struct {
	Table    *Table
	Used     []*Fragment   // by candidate: the part that holds; nil for none
	Unusable map[int]error // by candidate: why it is not the one that holds
}

var errUnresolved = errors.New("too many parts that rest on others which cannot be used")

// Assemble makes one set of the operator's file, nil for none, and of parts. A part that cannot be used is left out, with
// the reason, and the one that held before stays in its place. Of two parts that exclude each other the later one is
// left out.
func Assemble(own *Table, s *settings.Settings, candidates []Candidate) (Assembled, error) {
	a := Assembled{Used: make([]*Fragment, len(candidates)), Unusable: map[int]error{}}
	last := make([]*Fragment, len(candidates))
	for i := range candidates {
		a.Used[i], last[i] = &candidates[i].Fragment, candidates[i].Previous
		if candidates[i].route == nil && candidates[i].pool == nil { // could not even be read
			a.Used[i], last[i] = last[i], nil
		}
	}
	for range maxCompileRounds {
		set, faults := compileFragments(own, s, a.Used)
		if len(faults.byFragment) == 0 {
			if err := faults.file.Err(); err != nil {
				return a, err
			}
			a.Table = set
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

// partFaults finds out to which part a fault belongs. A nil one is for a file alone.
type fragmentFaults struct {
	file       *tomlfile.File
	routes     []int // candidates, by route of the set; -1: the operator's file's
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

// own turns to what belongs to no part.
func (p *fragmentFaults) selectOperatorFile() {
	if p != nil {
		p.current = -1
	}
}

// note takes a fault if it is of a part.
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

// compileParts makes a set, and tells which parts keep it from being sound.
func compileFragments(own *Table, s *settings.Settings, parts []*Fragment) (*Table, *fragmentFaults) {
	places, source := &tomlfile.File{Name: "distribution"}, &File{}
	if own != nil {
		copied, file := *own.source, *own.file
		source, places = &copied, &file
		source.Pools, source.Routes = slices.Clone(source.Pools), slices.Clone(source.Routes)
	}
	faults := &fragmentFaults{file: places, current: -1, byFragment: map[int]error{}}
	faults.pools = slices.Repeat([]int{-1}, len(source.Pools))
	faults.routes = slices.Repeat([]int{-1}, len(source.Routes))
	for i, p := range parts {
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
	resolveServiceNames(source, parts, faults)
	c := newChecker(places, source, s)
	c.fragments = faults
	set := c.compile()
	if n := len(set.Profiles); n > maxProfiles {
		for _, first := range set.firstRoute[maxProfiles:] {
			if candidate := faults.routes[first]; candidate >= 0 {
				faults.assign(candidate, fmt.Errorf("%d different sets of figures: %d at most; routes with the same figures share one", n, maxProfiles))
			}
		}
	}
	return set, faults
}

// nearest has the names that a service's routes use stand for parts of the same service, where it has them.
func resolveServiceNames(source *File, parts []*Fragment, faults *fragmentFaults) {
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
		r, service := &source.Routes[i], parts[candidate].Service
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
