package proxy

import (
	"errors"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/route"
)

// parsedFragment is what became of the entry of a route or pool.
type parsedFragment struct {
	entry         distribution.Entry
	fragment      route.Fragment
	err           error              // why it could not be parsed
	lastGood      *route.Fragment    // in force, of this version or an earlier one; nil: none
	lastGoodEntry distribution.Entry // that lastGood was parsed from
}

func parseFragment(e distribution.Entry) (route.Fragment, error) {
	if e.Key.Kind == distribution.KindPool {
		return route.ParsePool(e.Key.Service, e.Key.Name, e.Value)
	}
	return route.ParseRoute(e.Key.Service, e.Key.Name, e.Value)
}

// ApplyRoutes puts the operator's file and all routes and pools in force that can be used.
func (a *distributionApplier) ApplyRoutes(all []distribution.Entry) []distribution.Rejection {
	defer a.saveLastGood()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fragments = all
	return a.assembleRoutes()
}

// setOperatorRoutes puts another operator's file in force beneath the entries; nil: none.
func (a *distributionApplier) setOperatorRoutes(routes *route.Table) {
	defer a.saveLastGood()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.operatorRoutes = routes
	for _, r := range a.assembleRoutes() {
		a.logger.Error().Err(errors.New(r.Reason)).Stringer("entry", r.Key).Msg("distributed entry does not fit the operator's file")
	}
}

// assembleRoutes makes one table of the operator's file and all entries, and puts it in force. It costs as much as all routes together, so the
// client calls for it at most every 200 ms. Entries that have not changed are not parsed again. mu is held.
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
		a.logger.Error().Err(err).Msg("distributed routes cannot be assembled, keeping the last ones")
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

// withLastGood is a fragment after its table was put in force. isCurrent: the version in force is the entry's own.
func (p parsedFragment) withLastGood(inForce *route.Fragment, isCurrent bool) parsedFragment {
	p.lastGood = inForce
	switch {
	case inForce == nil:
		p.lastGoodEntry = distribution.Entry{}
	case isCurrent:
		p.lastGoodEntry = p.entry
	}
	return p
}
