package proxy

import (
	"errors"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/route"
)

// parsedFragment is the parsed entry of a route or pool, with its last good version.
type parsedFragment struct {
	entry         distribution.Entry
	fragment      route.Fragment
	err           error              // why the entry could not be parsed
	lastGood      *route.Fragment    // in effect, parsed from this version or an earlier one; nil: none
	lastGoodEntry distribution.Entry // entry that lastGood was parsed from
}

func parseFragment(e distribution.Entry) (route.Fragment, error) {
	if e.Key.Kind == distribution.KindPool {
		return route.ParsePool(e.Key.Service, e.Key.Name, e.Value)
	}
	return route.ParseRoute(e.Key.Service, e.Key.Name, e.Value)
}

// ApplyRoutes puts the operator's file and all valid routes and pools in effect. It returns the invalid entries, whose last good versions
// stay in effect.
func (a *distributionApplier) ApplyRoutes(all []distribution.Entry) []distribution.Rejection {
	defer a.saveLastGood()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fragments = all
	return a.assembleRoutes()
}

// setOperatorRoutes replaces the routes of the operator's file, on which the entries build; nil: none.
func (a *distributionApplier) setOperatorRoutes(routes *route.Table) {
	defer a.saveLastGood()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.operatorRoutes = routes
	for _, r := range a.assembleRoutes() {
		a.logger.Error().Err(errors.New(r.Reason)).Stringer("entry", r.Key).Msg("distributed entry conflicts with operator file")
	}
}

// assembleRoutes assembles one table from the operator's file and all entries, and puts it in effect. Its cost grows with the number of all
// routes, so the client triggers it at most every 200 ms. Unchanged entries are not parsed again. The caller holds mu.
func (a *distributionApplier) assembleRoutes() (rejected []distribution.Rejection) {
	next := make(map[distribution.Key]parsedFragment, len(a.fragments))
	candidates := make([]route.Candidate, len(a.fragments))
	for i, e := range a.fragments {
		p := a.parsed[e.Key]
		if distribution.Compare(p.entry, e) != 0 {
			p.entry = e
			p.fragment, p.err = parseFragment(e)
		}
		next[e.Key] = p
		candidates[i] = route.Candidate{Fragment: p.fragment, Previous: p.lastGood}
	}
	assembled, err := route.Assemble(a.operatorRoutes, a.settings, candidates)
	if err != nil {
		a.logger.Error().Err(err).Msg("distributed routes not assembled, previous routes stay in effect")
	}
	for i, e := range a.fragments {
		p := next[e.Key]
		fault := p.err
		if fault == nil {
			fault = assembled.Unusable[i]
		}
		if fault == nil {
			fault = err
		}
		if fault != nil {
			rejected = append(rejected, distribution.Rejection{Key: e.Key, Reason: fault.Error()})
		}
		if err == nil {
			next[e.Key] = p.withLastGood(assembled.Used[i], fault == nil)
		}
	}
	a.parsed = next
	if err == nil {
		a.dispatcher.SetRoutes(assembled.Table)
	}
	return rejected
}

// withLastGood returns the fragment after its table was put in effect. effective is the fragment in that table, and isCurrent reports
// whether it is that of the current entry.
func (p parsedFragment) withLastGood(effective *route.Fragment, isCurrent bool) parsedFragment {
	p.lastGood = effective
	switch {
	case effective == nil:
		p.lastGoodEntry = distribution.Entry{}
	case isCurrent:
		p.lastGoodEntry = p.entry
	}
	return p
}
