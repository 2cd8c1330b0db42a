package route

import (
	"errors"
	"fmt"
	"slices"

	"fernvane/internal/config/settings"
	"fernvane/internal/config/tomlfile"
)

// maxCompileRounds is the maximum number of compilations in one Assemble. Each compilation leaves out the fragments that
// the previous one found invalid, which may remove the fallback of other fragments.
const maxCompileRounds = 16

// Candidate is a fragment to put into effect, with the fragment of the same name that is in effect now.
type Candidate struct {
	Fragment
	Previous *Fragment // nil: none
}

// Assembled is the result of Assemble.
type Assembled struct {
	Table    *Table
	Used     []*Fragment   // by candidate: the fragment in effect; nil: none
	Unusable map[int]error // by candidate: the reason why it is not in effect
}

var errUnresolved = errors.New("assemble routes: too many fragments depend on invalid fragments")

// Assemble compiles the operator's file, nil for none, and the candidates to one table. An invalid candidate is replaced by
// its previous fragment, or left out if there is none or it is invalid too, and the reason is returned in Unusable. Of two
// candidates that match the same requests the later one is invalid; of a cycle of fallbacks all are. The error is that of
// the operator's file itself, or reports that maxCompileRounds compilations have not led to a valid table.
func Assemble(operatorTable *Table, s *settings.Settings, candidates []Candidate) (Assembled, error) {
	result := Assembled{Used: make([]*Fragment, len(candidates)), Unusable: map[int]error{}}
	previous := make([]*Fragment, len(candidates))
	for i := range candidates {
		result.Used[i], previous[i] = &candidates[i].Fragment, candidates[i].Previous
		if candidates[i].route == nil && candidates[i].pool == nil { // text of the candidate could not be parsed
			result.Used[i], previous[i] = previous[i], nil
		}
	}
	for range maxCompileRounds {
		table, faults := compileFragments(operatorTable, s, result.Used)
		if len(faults.byFragment) == 0 {
			if err := faults.file.Err(); err != nil {
				return result, err
			}
			result.Table = table
			return result, nil
		}
		for i, reason := range faults.byFragment {
			if result.Unusable[i] == nil {
				result.Unusable[i] = reason
			}
			result.Used[i], previous[i] = previous[i], nil
		}
	}
	return result, errUnresolved
}

// fragmentFaults attributes faults to fragments. A nil *fragmentFaults attributes all faults to the operator's file.
type fragmentFaults struct {
	file       *tomlfile.File
	routes     []int         // candidate by route of the table; -1: a route of the operator's file
	pools      []int         // candidate by pool of the table; -1: a pool of the operator's file
	current    int           // selected candidate; -1: the operator's file
	byFragment map[int]error // first fault by candidate
}

// selectRoute attributes the faults that follow to the fragment of a route.
func (f *fragmentFaults) selectRoute(i int) {
	if f != nil {
		f.current = f.routes[i]
	}
}

// selectPool attributes the faults that follow to the fragment of a pool.
func (f *fragmentFaults) selectPool(i int) {
	if f != nil {
		f.current = f.pools[i]
	}
}

// selectOperatorFile attributes the faults that follow to the operator's file.
func (f *fragmentFaults) selectOperatorFile() {
	if f != nil {
		f.current = -1
	}
}

// record records a fault of the selected fragment. It returns false if no fragment is selected.
func (f *fragmentFaults) record(format string, args ...any) bool {
	if f == nil || f.current < 0 {
		return false
	}
	f.assign(f.current, fmt.Errorf(format, args...))
	return true
}

// assign records a fault of a candidate, unless the candidate already has one.
func (f *fragmentFaults) assign(candidate int, cause error) {
	if f.byFragment[candidate] == nil {
		f.byFragment[candidate] = cause
	}
}

// compileFragments compiles the operator's file and fragments to one table, and returns the faults of the fragments.
func compileFragments(operatorTable *Table, s *settings.Settings, fragments []*Fragment) (*Table, *fragmentFaults) {
	base, source := &tomlfile.File{Name: "distribution"}, &File{}
	if operatorTable != nil {
		sourceCopy, fileCopy := *operatorTable.source, *operatorTable.file
		source, base = &sourceCopy, &fileCopy
		source.Pools, source.Routes = slices.Clone(source.Pools), slices.Clone(source.Routes)
	}
	faults := &fragmentFaults{file: base, current: -1, byFragment: map[int]error{}}
	faults.pools = slices.Repeat([]int{-1}, len(source.Pools))
	faults.routes = slices.Repeat([]int{-1}, len(source.Routes))
	for i, fragment := range fragments {
		switch {
		case fragment == nil:
		case fragment.isPool():
			if len(source.Pools) >= maxPools {
				faults.assign(i, fmt.Errorf("more than %d pools", maxPools))
				continue
			}
			source.Pools, faults.pools = append(source.Pools, *fragment.pool), append(faults.pools, i)
		default:
			if len(source.Routes) >= maxRoutes {
				faults.assign(i, fmt.Errorf("more than %d routes", maxRoutes))
				continue
			}
			source.Routes, faults.routes = append(source.Routes, *fragment.route), append(faults.routes, i)
		}
	}
	resolveServiceNames(source, fragments, faults)
	c := newChecker(base, source, s)
	c.fragments = faults
	table := c.compile()
	if n := len(table.Profiles); n > maxProfiles {
		for _, first := range table.firstRoute[maxProfiles:] {
			if candidate := faults.routes[first]; candidate >= 0 {
				faults.assign(candidate, fmt.Errorf("%d distinct sets of limits, at most %d allowed; routes with equal limits share one", n, maxProfiles))
			}
		}
	}
	return table, faults
}

// resolveServiceNames qualifies the names of pools and fallbacks in routes of a service, if the same service has a fragment
// with that name.
func resolveServiceNames(source *File, fragments []*Fragment, faults *fragmentFaults) {
	pools, routes := map[string]bool{}, map[string]bool{}
	for _, pool := range source.Pools {
		pools[pool.Name] = true
	}
	for _, r := range source.Routes {
		routes[r.Name] = true
	}
	for i, candidate := range faults.routes {
		if candidate < 0 {
			continue
		}
		r, service := &source.Routes[i], fragments[candidate].Service
		r.Pool = qualifyIfKnown(r.Pool, service, pools)
		r.Fallback = qualifyIfKnown(r.Fallback, service, routes)
	}
}

// qualifyIfKnown returns the qualified name if it is known, otherwise name itself.
func qualifyIfKnown(name *string, service string, known map[string]bool) *string {
	if name == nil {
		return nil
	}
	if qualifiedName := qualified(service, *name); known[qualifiedName] {
		return &qualifiedName
	}
	return name
}
