package dispatch

import (
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/proxy/engine"
	"fernvane/internal/route"
	"fernvane/policy"
)

// Routes returns the current route table, or nil if there is none.
func (d *Dispatcher) Routes() *route.Table { return d.activeRoutes.Load() }

// SetRoutes replaces the route table. Requests that were accepted before remain under the limits that applied then.
func (d *Dispatcher) SetRoutes(table *route.Table) {
	d.mu.Lock()
	defer d.unlock()
	d.applyRoutes(table)
}

func (d *Dispatcher) applyRoutes(table *route.Table) {
	now := d.now()
	update := d.routes.Replace(now, table)
	d.activeRoutes.Store(table)
	d.engine.TrafficTypesChanged(now, policy.Input{
		TrafficTypes:   d.cautiousTypes(update.TrafficTypes),
		LatencySources: update.LatencySources,
		RouteLimits:    update.RouteLimits,
	}, d.effects())
	if update.SelectionChanged {
		d.refreshLabels()
	}
}

// refreshLabels recomputes the protocol and the labels of every server from the routes and the cautious mode, and passes
// changed labels to the decision module.
func (d *Dispatcher) refreshLabels() {
	var changed []engine.Endpoint[string]
	for id, s := range d.servers.byID {
		d.servers.visits++
		record, _ := d.view.Get(id)
		record.ID = id
		d.updateProtocol(s, record.Endpoint)
		if labels := d.serverLabels(id, record.Zone, record.MachineKind); labels != s.announced.Labels {
			s.announced.Labels = labels
			changed = append(changed, engine.Endpoint[string]{Server: id, Info: s.announced})
		}
	}
	if len(changed) > 0 {
		d.engine.EndpointsUpdated(d.now(), policy.Incremental, changed, d.effects())
	}
}

// updateProtocol sets the protocol of a server from the routes, and closes the server's idle connections if it changes.
func (d *Dispatcher) updateProtocol(s *server, endpoint endpoints.Endpoint) {
	isFastCGI := d.routes.Table().UsesFastCGI(endpoint.ID, endpoint.Zone, endpoint.MachineKind)
	if isFastCGI != s.isFastCGI {
		d.closeIdleConns(s)
		s.isFastCGI = isFastCGI
	}
}
