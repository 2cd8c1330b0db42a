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

const fallbackCheckInterval = 500 * time.Millisecond // between two looks whether discovery is needed

// distributionApplier puts in force what control processes distribute to the node: servers, routes and pools, tenants' quotas. The client
// calls its Apply methods from one goroutine; entries that cannot be used are returned with the reason, and their last good versions hold.
type distributionApplier struct {
	client     *client.Client
	dispatcher *dispatch.Dispatcher
	settings   *settings.Settings
	logger     zerolog.Logger
	lastGood   *lastGoodFile // nil: last good versions are not kept on disk

	mu sync.Mutex // never held over a socket or the disk; may be held while the dispatcher's lock is taken

	// Servers.
	incarnations      *incarnation.Table
	hasAppliedServers bool

	// Routes and pools.
	operatorRoutes *route.Table // of the operator's file; nil: none
	fragments      []distribution.Entry
	parsed         map[distribution.Key]parsedFragment

	// Tenants.
	tenantsInForce  map[distribution.Key]distribution.Entry
	rejectedTenants map[distribution.Key]bool // a newer version cannot be used; the one in force may be missing
	quotas          map[string]float64        // in force, requests a second by tenant
}

// newDistributionApplier starts on the last good versions of the node's disk. The client does not run yet.
func newDistributionApplier(cfg Config, d *dispatch.Dispatcher, log zerolog.Logger) (*distributionApplier, error) {
	a := &distributionApplier{dispatcher: d, settings: &cfg.Settings, logger: log, incarnations: incarnation.NewTable(), operatorRoutes: cfg.Routes,
		parsed: map[distribution.Key]parsedFragment{}, tenantsInForce: map[distribution.Key]distribution.Entry{}}
	config := *cfg.Distribution
	config.Name = cfg.Name
	file, entries, err := openLastGood(config.Directory)
	if err != nil {
		log.Error().Err(err).Msg("last good entries unreadable")
	}
	a.lastGood = file
	a.restoreLastGood(entries)
	a.client, err = client.New(&config, a, log)
	return a, err
}

// awaitStart waits until the node may serve, or is told to stop.
func (a *distributionApplier) awaitStart(ctx context.Context, stop <-chan struct{}) {
	select {
	case <-a.client.Started():
	case <-ctx.Done():
	case <-stop:
	}
}

// needsDiscovery reports whether discovery is to be polled in place of control processes: none could be reached for a while, and none has
// announced servers earlier.
func (a *distributionApplier) needsDiscovery() bool {
	a.mu.Lock()
	hasAppliedServers := a.hasAppliedServers
	a.mu.Unlock()
	return !hasAppliedServers && a.client.Status().State == distribution.StateIsolated
}

// awaitDiscoveryNeeded returns when discovery is to be polled. It is false when ctx has ended before.
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

// applyDiscoveryList hands over what discovery has announced, unless control processes have announced servers meanwhile.
func (a *distributionApplier) applyDiscoveryList(l http1.EndpointList) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.hasAppliedServers {
		a.dispatcher.ApplyList(l, endpoints.SourceDiscovery)
	}
}

// addStatus adds the client's status to the log line with counts.
func (a *distributionApplier) addStatus(line *zerolog.Event) {
	s := a.client.Status()
	status := zerolog.Dict().Stringer("state", s.State).Uint64("revision", s.Revision).Int("rejected", len(s.Rejected))
	if s.IsStalenessKnown {
		status.Float64("lag_s", s.Staleness.Round(time.Second/10).Seconds())
	}
	line.Dict("distribution", status)
}
