package policy

import (
	"cmp"
	"slices"

	"fernvane/internal/collections/columns"
)

// serverTable holds the attributes of each server from the endpoint list.
type serverTable struct {
	rank         []int
	zone         []failureDomain
	machineKind  []int
	cell         []failureDomain
	listedWeight []float64
}

// failureDomain is the zone or cell of a server. It cannot be compared with ==, because unknown domains are never the same.
type failureDomain struct {
	_      [0]func()
	number int
}

// is reports whether the domain is known and has a number.
func (d failureDomain) is(number int) bool { return d.number != UnknownDomain && d.number == number }

// isSame reports whether both domains are known and the same.
func (d failureDomain) isSame(other failureDomain) bool { return d.is(other.number) }

func (t *serverTable) addServer(s int) {
	columns.Put(s, 0, &t.rank, &t.machineKind)
	columns.Put(s, failureDomain{number: UnknownDomain}, &t.zone, &t.cell)
	columns.Put(s, 1.0, &t.listedWeight)
}

// shareKeys reports whether two servers share the idempotency keys of a scope: whether one of them drops a repeat of what the
// other has run.
func (t *serverTable) shareKeys(scope KeyScope, s, other int) bool {
	switch {
	case s == other:
		return true
	case scope == KeyScopeZone:
		return t.zone[s].isSame(t.zone[other])
	case scope == KeyScopeCell:
		return t.cell[s].isSame(t.cell[other])
	}
	return true
}

func (t *serverTable) clone() serverTable {
	c := *t
	columns.Clone(&c.rank, &c.machineKind)
	columns.Clone(&c.zone, &c.cell)
	c.listedWeight = slices.Clone(t.listedWeight)
	return c
}

// endpointsUpdated applies an endpoint list, or the report that none is available.
func (p *Policy) endpointsUpdated(in *Input) {
	if in.Scope == Unavailable {
		p.backOffPolling()
		return
	}
	if in.Scope != Cached {
		p.poll.backoff = initialPollBackoff
	}
	isFirst := p.readiness.Len() == 0
	p.readiness.BeginUpdate()
	if in.Scope != Incremental {
		p.readiness.UnlistAll()
	}
	for i := range in.Endpoints {
		p.updateEndpoint(&in.Endpoints[i], in.Scope, isFirst)
	}
	for s := range p.readiness.ReadyUnlisted().All() {
		p.handleUnlisted(s, p.readiness.WasListed(s))
	}
	p.suspicion.maxListed = max(p.suspicion.maxListed, p.readiness.ListedCount())
	p.removeUnready()
	p.updateWeights()
	p.initLimit()
	p.dequeue()
}

// updateEndpoint applies one entry of a list; isFirst means that no list came before.
func (p *Policy) updateEndpoint(e *Endpoint, scope UpdateScope, isFirst bool) {
	s := e.Server
	isNew, wasListed := e.IndexReused || s == p.readiness.Len(), p.readiness.WasListed(s)
	if isNew {
		p.addServer(s)
	}
	if !p.subset.rotation.Has(s) {
		p.servers.rank[s] = int(e.Rank)
		p.subset.insertIntoRotation(s, int(e.Rank))
	}
	p.servers.zone[s], p.servers.cell[s] = failureDomain{number: e.Zone}, failureDomain{number: e.Cell}
	p.servers.machineKind[s] = e.MachineKind
	p.servers.listedWeight[s] = cmp.Or(max(e.Weight, 0), 1)
	p.updatePlacements(s)
	p.readiness.SetLabels(s, e.Labels)
	isStillUsed := e.Condition == Removed && p.readiness.Ready(s) && !e.AddressReassigned // until handleUnlisted decides
	p.setReady(s, e.Condition == Up || isStillUsed)
	if e.Condition == Up && !wasListed && !isFirst {
		p.addToSubsetByChance(s)
	}
	p.readiness.SetListed(s, e.Condition != Removed)
	appeared := !isFirst && !wasListed && scope != Cached && p.readiness.Ready(s) && (isNew || !p.settings.UnlistedUsable)
	switch {
	case e.HasStartTime && p.now-e.StartedAt < p.settings.SlowStartDuration:
		if !p.slowStart.servers.Has(s) || e.StartedAt > p.slowStart.since[s] {
			p.startSlowStart(s, e.StartedAt)
		}
	case !e.HasStartTime && appeared:
		p.startSlowStart(s, p.now)
	}
}

// addToSubsetByChance adds a newly listed server to the subset with the same probability with which the subset contains
// any other, so that the server is neither left out nor added by all nodes simultaneously.
func (p *Policy) addToSubsetByChance(s int) {
	if p.subset.contains[s] || p.randomFloat()*float64(p.subset.readyCount+1) >= float64(len(p.subset.members)) {
		return
	}
	p.addToSubset(s)
	p.subset.readyCount = p.readiness.ReadyCount()
}

// addServer initializes the state of a server. The index may have belonged to another server.
func (p *Policy) addServer(s int) {
	p.readiness.Add(s)
	p.servers.addServer(s)
	p.subset.addServer(s)
	p.picker.addServer(s)
	p.pauses.addServer(s)
	p.outliers.addServer(s)
	p.suspicion.addServer(s)
	p.attribution.servers.Reset(s)
	p.latency.addServer(s)
	p.load.addServer(s, p.now)
	p.slowStart.addServer(s)
	p.drain.addServer(s)
	p.plan.addServer(s)
}

// updatePlacements computes the placements that a server matches. It runs when a list contains the server (and in WhatIf),
// not at each attempt.
func (p *Policy) updatePlacements(s int) {
	matches := uint64(0)
	for i, placement := range p.settings.Placements {
		isZoneAllowed := placement.Zones == nil || slices.ContainsFunc(placement.Zones, p.servers.zone[s].is)
		isKindAllowed := placement.MachineKinds == nil || slices.Contains(placement.MachineKinds, p.servers.machineKind[s])
		if isZoneAllowed && isKindAllowed {
			matches |= 1 << i
		}
	}
	p.readiness.SetPlacements(s, matches)
}

// setReady sets whether a server may get new requests.
func (p *Policy) setReady(s int, ready bool) {
	wasReady := p.readiness.SetReady(s, ready)
	if ready {
		p.drain.closing.Remove(s)
	} else if wasReady {
		p.closeIdleConnections(s)
	}
}
