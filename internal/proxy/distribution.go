package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/config/settings"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/client"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/route"
)

const fallbackCheckInterval = 500 * time.Millisecond // between two checks whether discovery is needed

// distributionApplier puts entries of the distribution in effect: servers, routes and pools, quotas of tenants. The client calls its Apply
// methods from one goroutine. They return invalid entries with the reason; the last good versions of those stay in effect, but a complete
// list of servers removes a server whose entry is invalid.
type distributionApplier struct {
	client     *client.Client
	dispatcher *dispatch.Dispatcher
	settings   *settings.Settings
	logger     zerolog.Logger
	lastGood   *lastGoodFile // nil: last good versions are not stored on disk

	mu sync.Mutex // not held during socket or disk I/O; may be held while the dispatcher's lock is acquired

	// Servers.
	incarnations      *incarnation.Table
	hasAppliedServers bool

	// Routes and pools.
	operatorRoutes *route.Table // from the operator's file; nil: none
	fragments      []distribution.Entry
	parsed         map[distribution.Key]parsedFragment

	// Tenants.
	effectiveTenants map[distribution.Key]distribution.Entry // newest valid versions
	rejectedTenants  map[distribution.Key]bool               // newest version is invalid; effectiveTenants has an earlier one or none
	quotas           map[string]float64                      // in effect, in requests per second, by tenant
}

// newDistributionApplier reads the last good versions from disk and creates the client, which does not run yet.
func newDistributionApplier(cfg Config, d *dispatch.Dispatcher, log zerolog.Logger) (*distributionApplier, error) {
	a := &distributionApplier{dispatcher: d, settings: &cfg.Settings, logger: log, incarnations: incarnation.NewTable(), operatorRoutes: cfg.Routes,
		parsed: map[distribution.Key]parsedFragment{}, effectiveTenants: map[distribution.Key]distribution.Entry{}}
	config := *cfg.Distribution
	config.Name = cfg.Name
	file, entries, err := openLastGood(config.Directory)
	if err != nil {
		log.Error().Err(err).Msg("last good entries unreadable, starting without them")
	}
	a.lastGood = file
	a.restoreLastGood(entries)
	a.client, err = client.New(&config, a, log)
	return a, err
}

// awaitStart waits until the node may serve, or until stop is closed or ctx has ended.
func (a *distributionApplier) awaitStart(ctx context.Context, stop <-chan struct{}) {
	select {
	case <-a.client.Started():
	case <-ctx.Done():
	case <-stop:
	}
}

// needsDiscovery reports whether discovery must be polled in place of control processes: none has been reachable for a while, and none has
// announced servers since the start.
func (a *distributionApplier) needsDiscovery() bool {
	a.mu.Lock()
	hasAppliedServers := a.hasAppliedServers
	a.mu.Unlock()
	return !hasAppliedServers && a.client.Status().State == distribution.StateIsolated
}

// awaitDiscoveryNeeded returns true when discovery must be polled, and false when ctx has ended before.
func (a *distributionApplier) awaitDiscoveryNeeded(ctx context.Context) bool {
	tick := time.NewTicker(fallbackCheckInterval)
	defer tick.Stop()
	for !a.needsDiscovery() {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
	return true
}

// applyDiscoveryList applies a list of discovery, unless control processes have announced servers meanwhile.
func (a *distributionApplier) applyDiscoveryList(l http1.EndpointList) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.hasAppliedServers {
		a.dispatcher.ApplyList(l, endpoints.SourceDiscovery)
	}
}

// addStatus adds the status of the distribution client to the log line with counts.
func (a *distributionApplier) addStatus(line *zerolog.Event) {
	s := a.client.Status()
	status := zerolog.Dict().Stringer("state", s.State).Uint64("revision", s.Revision).Int("rejected", len(s.Rejected))
	if s.IsStalenessKnown {
		status.Float64("lag_s", s.Staleness.Round(time.Second/10).Seconds())
	}
	line.Dict("distribution", status)
}
