package policy

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/policy/internal/failures"
	"fernvane/policy/internal/readiness"
)

const (
	initialEjection = 500 * time.Millisecond // doubles with each further failure
	maxDoublings    = 3                      // of the initial ejection: 4 s, before randomization
	ejectionSpread  = 0.5                    // of the ejection time, half in either direction, so that servers do not return simultaneously

	overloadSlowness = 4.0 // ratio to the typical latency that a rejection by an overloaded server counts as

	minConsecutiveFailures = 2    // a single one may be caused by an expensive request
	minTypeFailures        = 3    // of one traffic type, each sent after the previous one ended
	minSoftFailures        = 5    // client errors and broken connections, which servers seldom cause
	maxEjectedShare        = 0.5  // of the ready servers: more ejections would only overload the others
	maxTypeEjectedShare    = 0.75 // for one traffic type: the servers still get the other types

	// minRestartSilence is the shortest time without a response after which a success makes an unreachable server
	// count as restarted. It is measured from the server's last response, or from the sending of its last attempt
	// while it was idle.
	minRestartSilence = 1 * time.Second
)

// outliers counts failures of servers and ejects servers that fail. While a server has a failure count it gets one
// attempt at a time, as a trial, unless every other allowed server is skipped too (strictnessRules).
type outliers struct {
	ejections   failures.Table // for one traffic type or all
	consecutive []int          // consecutive failures
	soft        []int          // consecutive soft failures
	overloads   []int          // consecutive Overloaded outcomes
	unreachable []bool         // failed to connect and has not succeeded since
}

func (o *outliers) addServer(s int) {
	o.ejections.Add(s)
	columns.Put(s, 0, &o.consecutive, &o.soft, &o.overloads)
	columns.Put(s, false, &o.unreachable)
}

// reset ends a server's ejection for all types and clears its consecutive failures.
func (o *outliers) reset(s int) {
	o.consecutive[s], o.soft[s], o.unreachable[s] = 0, 0, false
	o.ejections.ClearEjection(s)
}

func (o *outliers) clone() outliers {
	c := outliers{ejections: o.ejections.Clone(), unreachable: slices.Clone(o.unreachable)}
	c.consecutive = slices.Clone(o.consecutive)
	c.soft = slices.Clone(o.soft)
	c.overloads = slices.Clone(o.overloads)
	return c
}

// isUnhealthy reports whether a server is ejected for a request, or on trial with an attempt in flight. Servers on
// trial get no non-idempotent requests, unless every other allowed server is skipped too (strictnessRules).
func (p *Policy) isUnhealthy(s int, r *request) bool {
	isNonIdempotent := p.settings.TrafficTypes[r.trafficType].Idempotency == NonIdempotent
	isOnTrial := p.outliers.consecutive[s] > 0 && (p.load.inFlight[s] > 0 || isNonIdempotent)
	ejections := &p.outliers.ejections
	return isOnTrial || p.now < max(ejections.EjectedUntil(s, failures.AllTypes), ejections.Get(s, r.trafficType).EjectedUntil)
}

// isEjected reports whether a server is ejected for all traffic types.
func (p *Policy) isEjected(s int) bool {
	return p.now < p.outliers.ejections.EjectedUntil(s, failures.AllTypes)
}

// recordRecovery ends a server's ejection after a success. A server that was unreachable may have restarted before
// the endpoint list reports it, so it goes through slow start if it was silent for longer than minRestartSilence.
func (p *Policy) recordRecovery(s int) {
	if p.outliers.unreachable[s] && p.now-p.load.lastResponseAt[s] > minRestartSilence {
		p.startSlowStart(s, p.now)
	}
	p.load.lastResponseAt[s] = p.now
	p.outliers.reset(s)
	p.suspicion.lower(s, p.now)
}

// recordFailure counts a failure, raises the suspicion of an unlisted server, and ejects the server once it has threshold
// consecutive failures.
func (p *Policy) recordFailure(s, threshold int) {
	p.outliers.consecutive[s]++
	if !p.readiness.Listed(s) {
		p.suspicion.raise(s)
	}
	if p.outliers.consecutive[s] >= threshold && !p.isEjected(s) {
		p.eject(s, failures.AllTypes, p.outliers.consecutive[s]-threshold, maxEjectedShare)
	}
}

// recordSoftFailure counts a failure that may also be caused by bad clients or single connections.
func (p *Policy) recordSoftFailure(s int) {
	if p.outliers.soft[s]++; p.outliers.soft[s] >= minSoftFailures {
		p.recordFailure(s, 1)
	}
}

// recordTypeFailure counts a failure of one traffic type; responses to other types do not clear the count. After the
// first failure the server gets one attempt of the type at a time, and after enough failures it is ejected for the
// type. Of attempts that were in flight together only one counts.
func (p *Policy) recordTypeFailure(s, trafficType int, sentAt time.Duration) {
	if sentAt < p.outliers.ejections.Get(s, trafficType).LastAt {
		return
	}
	e := p.outliers.ejections.GetOrCreate(s, trafficType)
	e.LastAt = p.now
	if e.Consecutive++; e.Consecutive >= minTypeFailures {
		p.eject(s, trafficType, e.Consecutive-minTypeFailures, maxTypeEjectedShare)
	}
}

// recordOverload ejects a server for the rejected type, since it may serve others, and for all types after
// consecutive rejections.
func (p *Policy) recordOverload(s, trafficType int) {
	p.load.lastResponseAt[s] = p.now
	p.outliers.ejections.SetEjectedUntil(s, trafficType, p.now+initialEjection)
	p.admission.overloaded.Failed++
	p.latency.recordSlowness(s, overloadSlowness)
	p.outliers.overloads[s]++
	if p.outliers.overloads[s] >= minConsecutiveFailures && !p.isEjected(s) {
		p.eject(s, failures.AllTypes, p.outliers.overloads[s]-minConsecutiveFailures, maxEjectedShare)
	}
}

// recordUnreachable counts a failure to connect. A connection that is refused immediately costs no time, and the
// server may only have run out of connections, so two such failures are needed to eject; the server leaves the subset
// if the remaining members suffice.
func (p *Policy) recordUnreachable(s int, elapsed time.Duration) {
	threshold := 1
	if elapsed < p.settings.ConnectTimeout/2 { // refused
		threshold = minConsecutiveFailures
		p.subset.refusedConnects.Failed++
		if i := slices.Index(p.subset.members, s); i >= 0 && float64(len(p.subset.members)) > p.subset.peakInFlight+subsetSlack {
			p.removeFromSubset(i)
		}
	}
	p.recordFailure(s, threshold)
	p.outliers.unreachable[s] = p.outliers.unreachable[s] || p.outliers.consecutive[s] >= threshold
}

// eject ejects a server for one traffic type or failures.AllTypes. The ejection lasts for initialEjection, doubled
// doublings times (at most maxDoublings) and randomized. The server is not ejected if more than maxShare of the ready
// servers, or of the servers of one placement, would then be ejected, unless the endpoint list omits the server.
func (p *Policy) eject(s, trafficType, doublings int, maxShare float64) {
	if !p.pruneAndCheckEjection(s, trafficType, maxShare) && p.readiness.Listed(s) {
		return
	}
	duration := float64(initialEjection << min(doublings, maxDoublings))
	until := p.now + time.Duration(duration*(1-ejectionSpread/2+ejectionSpread*p.randomFloat()))
	p.outliers.ejections.SetEjectedUntil(s, trafficType, until)
}

// pruneAndCheckEjection reports whether one more server may be ejected: together with it, at most maxShare of the
// ready servers, and of those of each of its placements, would be ejected. It prunes the ejections that it visits. An
// ejection for one traffic type with a placement is limited only by the placement.
func (p *Policy) pruneAndCheckEjection(s, trafficType int, maxShare float64) bool {
	placements := p.readiness.Placements(s)
	if trafficType != failures.AllTypes {
		placements = p.settings.TrafficTypes[trafficType].PlacementBit
	}
	ejected, ejectedByPlacement := 1.0, [2 * MaxPlacements]int{}
	for other := range p.outliers.ejections.Active().All() {
		if p.readiness.Ready(other) && p.readiness.Listed(other) && p.now < p.outliers.ejections.EjectedUntil(other, trafficType) {
			ejected++
			readiness.AddToBits(&ejectedByPlacement, placements&p.readiness.Placements(other), 1)
		}
		p.pruneEjections(other)
	}
	canEject := ejected <= maxShare*float64(p.subset.readyCount) || trafficType != failures.AllTypes && placements != 0
	for bit, count := range ejectedByPlacement {
		ready := p.readiness.ReadyWithPlacements(1 << bit)
		canEject = canEject && (placements>>bit&1 == 0 || float64(count+1) <= maxShare*float64(ready))
	}
	return canEject
}

// pruneEjections deletes a server's entries that no longer have an effect. The time of the last failure matters only
// to attempts that were in flight at that time.
func (p *Policy) pruneEjections(s int) {
	if p.load.inFlight[s] == 0 {
		p.outliers.ejections.DeleteFunc(s, func(e failures.Entry) bool { return e.Consecutive == 0 && p.now >= e.EjectedUntil })
	}
	if p.outliers.ejections.EntryCount(s) == 0 && !p.isEjected(s) {
		p.outliers.ejections.Deactivate(s)
	}
}
