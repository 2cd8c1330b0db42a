package proxy

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/config/settings"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/client"
	"fernvane/internal/controlplane/distribution/value"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/route"
)

const fallbackCheckInterval = 500 * time.Millisecond // between two looks whether discovery is to be asked

// distributed puts in force what the node is told of the distribution: servers, routes and pools, tenants.
type distributionApplier struct {
	client     *client.Client
	dispatcher *dispatch.Dispatcher
	settings   *settings.Settings
	logger     zerolog.Logger

	mu                sync.Mutex // never held over a socket or the disk; may be held while the fleet's lock is taken
	incarnations      *incarnation.Table
	hasAppliedServers bool                                // the fleet has been told of servers from here
	operatorRoutes    *route.Table                        // what the operator's file says; nil for none
	fragments         []distribution.Entry                // routes and pools
	parsed            map[distribution.Key]parsedFragment // what was made of them

	tenantsInForce  map[distribution.Key]distribution.Entry // in force
	rejectedTenants map[distribution.Key]bool               // of them, those of which a newer version cannot be used
	quotas          map[string]float64                      // allowances in force, by tenant

	lastGood *lastGoodFile // what holds in place of newer versions; nil: it is not kept
}

// parts is what became of one entry.
type parsedFragment struct {
	entry         distribution.Entry
	fragment      route.Fragment
	err           error              // why it could not be read
	lastGood      *route.Fragment    // that holds, of this version or an earlier one
	lastGoodEntry distribution.Entry // that last is of
}

func newDistributionApplier(cfg Config, f *dispatch.Dispatcher, log zerolog.Logger) (*distributionApplier, error) {
	d := &distributionApplier{dispatcher: f, settings: &cfg.Settings, logger: log, incarnations: incarnation.NewTable(), operatorRoutes: cfg.Routes, parsed: map[distribution.Key]parsedFragment{},
		tenantsInForce: map[distribution.Key]distribution.Entry{}}
	config := *cfg.Distribution
	config.Name = cfg.Name
	var good []distribution.Entry
	var err error
	if d.lastGood, good, err = openLastGood(config.Directory); err != nil {
		log.Error().Err(err).Msg("distribution: what held before cannot be read")
	}
	d.restoreLastGood(good)
	d.client, err = client.New(&config, d, log)
	return d, err
}

// restore takes in what held before the start in place of newer versions.
func (d *distributionApplier) restoreLastGood(good []distribution.Entry) {
	for _, e := range good {
		if e.Key.Kind == distribution.KindTenant {
			d.tenantsInForce[e.Key] = e
			continue
		}
		if part, err := parseFragment(e); err == nil {
			d.parsed[e.Key] = parsedFragment{lastGood: &part, lastGoodEntry: e}
		}
	}
}

func parseFragment(e distribution.Entry) (route.Fragment, error) {
	if e.Key.Kind == distribution.KindPool {
		return route.ParsePool(e.Key.Service, e.Key.Name, e.Value)
	}
	return route.ParseRoute(e.Key.Service, e.Key.Name, e.Value)
}

// keep has what holds in place of newer versions on disk.
func (d *distributionApplier) saveLastGood() {
	if d.lastGood == nil {
		return
	}
	d.mu.Lock()
	var good []distribution.Entry
	for _, p := range d.parsed {
		if p.lastGood != nil && distribution.Compare(p.lastGoodEntry, p.entry) != 0 {
			good = append(good, p.lastGoodEntry)
		}
	}
	for key := range d.rejectedTenants {
		if e, holds := d.tenantsInForce[key]; holds {
			good = append(good, e)
		}
	}
	d.mu.Unlock()
	if err := d.lastGood.replace(good); err != nil {
		d.logger.Error().Err(err).Msg("distribution: what holds in place of unusable entries is not kept")
	}
}

// Servers has the fleet take servers in; one that was told to drain or to be gone does not come back by an older word.
func (d *distributionApplier) ApplyServers(changed []distribution.Entry, whole bool) (rejected []distribution.Rejection) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries, keys := make([]incarnation.Entry, 0, len(changed)), make([]distribution.Key, 0, len(changed))
	for _, e := range changed {
		server, err := value.DecodeServer(e)
		if err != nil {
			rejected = append(rejected, distribution.Rejection{Key: e.Key, Reason: err.Error()})
			continue
		}
		entries, keys = append(entries, server), append(keys, e.Key)
	}
	now := d.dispatcher.Now()
	d.incarnations.ExpireTombstones(now)
	news := d.incarnations.ApplyDiscovery(now, entries, false)
	for i, e := range entries {
		if _, known := d.incarnations.Get(e.ID); !known {
			rejected = append(rejected, distribution.Rejection{Key: keys[i], Reason: "more servers than a node takes"})
		}
	}
	if whole { // what earlier pieces have told is of the list too
		news = d.currentIncarnations(entries)
	}
	if len(news) == 0 && !whole {
		return rejected
	}
	l := watch.ListFromEntries(news)
	l.Complete = whole
	for _, err := range l.Skipped {
		d.logger.Warn().Err(err).Msg("list entry skipped")
	}
	d.dispatcher.ApplyList(l, endpoints.SourceDistribution)
	d.hasAppliedServers = true
	return rejected
}

// standing are the lives of some servers as they hold here.
func (d *distributionApplier) currentIncarnations(servers []incarnation.Entry) (all []incarnation.Entry) {
	for _, s := range servers {
		if e, known := d.incarnations.Get(s.ID); known {
			all = append(all, e)
		}
	}
	return all
}

// Routes has the fleet go by the operator's file and all routes and pools that can be used.
func (d *distributionApplier) ApplyRoutes(all []distribution.Entry) []distribution.Rejection {
	defer d.saveLastGood()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fragments = all
	return d.assembleRoutes()
}

// reroute has another operator's file beneath the entries, nil for none.
func (d *distributionApplier) setOperatorRoutes(own *route.Table) {
	defer d.saveLastGood()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.operatorRoutes = own
	for _, r := range d.assembleRoutes() {
		d.logger.Error().Err(errors.New(r.Reason)).Stringer("entry", r.Key).Msg("distribution: entry does not fit the operator's file")
	}
}

// assemble makes one set of all and puts it in force. It costs what all routes of the node's services cost, 11 ms for a
// thousand, and is therefore asked for at most every 200 ms. Texts that have not changed are not read again.
func (d *distributionApplier) assembleRoutes() (rejected []distribution.Rejection) {
	next := make(map[distribution.Key]parsedFragment, len(d.fragments))
	candidates := make([]route.Candidate, len(d.fragments))
	for i, e := range d.fragments {
		p := d.parsed[e.Key]
		if distribution.Compare(p.entry, e) != 0 {
			p.entry = e
			p.fragment, p.err = parseFragment(e)
		}
		next[e.Key] = p
		candidates[i] = route.Candidate{Fragment: p.fragment, Previous: p.lastGood}
	}
	assembled, err := route.Assemble(d.operatorRoutes, d.settings, candidates)
	if err != nil {
		d.logger.Error().Err(err).Msg("distribution: routes cannot be put together: those before hold")
	}
	for i, e := range d.fragments {
		p := next[e.Key]
		why := p.err
		if why == nil {
			why = assembled.Unusable[i]
		}
		if why == nil && err != nil {
			why = err
		}
		if why != nil {
			rejected = append(rejected, distribution.Rejection{Key: e.Key, Reason: why.Error()})
		}
		if err == nil {
			switch p.lastGood = assembled.Used[i]; {
			case p.lastGood == nil:
				p.lastGoodEntry = distribution.Entry{}
			case why == nil:
				p.lastGoodEntry = e
			}
			next[e.Key] = p
		}
	}
	d.parsed = next
	if err == nil {
		d.dispatcher.SetRoutes(assembled.Table)
	}
	return rejected
}

// Tenants has the fleet go by the allowances that are told beside those of the settings. One that several services name
// may use the sum.
func (d *distributionApplier) ApplyTenants(all []distribution.Entry) (rejected []distribution.Rejection) {
	defer d.saveLastGood()
	d.mu.Lock()
	defer d.mu.Unlock()
	next, newer, sums := make(map[distribution.Key]distribution.Entry, len(all)), map[distribution.Key]bool{}, map[string]float64{}
	for _, e := range all {
		tenant, err := value.DecodeTenant(e)
		if err != nil {
			rejected = append(rejected, distribution.Rejection{Key: e.Key, Reason: err.Error()})
			newer[e.Key] = true
			before, held := d.tenantsInForce[e.Key]
			if tenant, err = value.DecodeTenant(before); !held || err != nil {
				continue
			}
			e = before
		}
		next[e.Key] = e
		sums[e.Key.Name] += tenant.Allowance
	}
	d.tenantsInForce, d.rejectedTenants = next, newer
	d.applyQuotas(sums)
	return rejected
}

// allow tells the fleet what has changed. A tenant of whom nothing is told any more has again what the settings say.
func (d *distributionApplier) applyQuotas(sums map[string]float64) {
	changed := map[string]float64{}
	for name, allowance := range sums {
		if before, told := d.quotas[name]; !told || before != allowance {
			changed[name] = allowance
		}
	}
	for name := range d.quotas {
		if _, stays := sums[name]; !stays {
			changed[name] = d.settingsQuota(name)
		}
	}
	d.quotas = sums
	if len(changed) > 0 {
		d.dispatcher.SetQuotas(changed)
	}
}

// settled is a tenant's allowance by the settings, 0 where they do not name it.
func (d *distributionApplier) settingsQuota(name string) float64 {
	if i := slices.Index(d.settings.TenantNames, name); i >= 0 {
		return d.settings.TenantQuotas[i]
	}
	return 0
}

// lacks tells whether discovery is to be asked in place of control processes: none could be reached for a while, and no
// server is held of an earlier time.
func (d *distributionApplier) needsDiscovery() bool {
	d.mu.Lock()
	told := d.hasAppliedServers
	d.mu.Unlock()
	return !told && d.client.Status().State == distribution.StateIsolated
}

// discovered takes in what discovery has told, unless control processes have told of servers meanwhile.
func (d *distributionApplier) applyDiscoveryList(l http1.EndpointList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.hasAppliedServers {
		d.dispatcher.ApplyList(l, endpoints.SourceDiscovery)
	}
}

// await returns when discovery is to be asked.
func (d *distributionApplier) awaitDiscoveryNeeded(ctx context.Context) bool {
	look := time.NewTicker(fallbackCheckInterval)
	defer look.Stop()
	for !d.needsDiscovery() {
		select {
		case <-ctx.Done():
			return false
		case <-look.C:
		}
	}
	return true
}

// awaitStart waits until the node may serve, or is told to stop.
func (d *distributionApplier) awaitStart(ctx context.Context, stop <-chan struct{}) {
	select {
	case <-d.client.Started():
	case <-ctx.Done():
	case <-stop:
	}
}

// report adds to a line of counts how the node stands.
func (d *distributionApplier) addStatus(line *zerolog.Event) {
	s := d.client.Status()
	of := zerolog.Dict().Stringer("state", s.State).Uint64("revision", s.Revision).Int("rejected", len(s.Rejected))
	if s.IsStalenessKnown {
		of.Float64("lag_s", s.Staleness.Round(time.Second/10).Seconds())
	}
	line.Dict("distribution", of)
}
