package proxy

import (
	"net/netip"
	"time"

	"fernvane/internal/cluster/peer"
	"fernvane/internal/config/settings"
	"fernvane/internal/controlplane/distribution/client"
	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/discovery/zookeeper"
	"fernvane/internal/journal/wal"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
	"fernvane/internal/proxy/shadow"
	"fernvane/internal/route"
	"fernvane/policy"
)

// Config is what a node is given at its start. Parts that are nil are off.
type Config struct {
	Name         string
	Listen       netip.AddrPort // where clients that speak HTTP connect to
	Discovery    netip.AddrPort
	Seed         uint32  // of the policy's random draws
	Cores        float64 // that the node may use; 0: all
	Limits       dispatch.Limits
	SavedList    http1.EndpointList // that the configuration brings
	SavedListErr error              // why that list cannot be used; the node starts without it
	Settings     settings.Settings
	OperatorFile string // path of the file with routes; "": none
	Routes       *route.Table
	Planners     *planconfig.Forwarder // nil: the node decides by itself
	Journal      *wal.Config           // of requests that must not be executed twice
	Registry     *zookeeper.Config     // in place of discovery
	Snapshot     *snapshot.Config      // of the endpoint list on disk
	Peers        *peer.Config          // the other nodes of the tier
	Distribution *client.Config        // control processes, for servers, routes and quotas
	Shadow       *shadow.Candidate     // other settings, whose decisions are compared with the node's own
	Filesystem   wal.FileSystem        // nil: the system's

	// The project's own parts, which may be replaced to compare the node with others.

	NewPolicy             engine.DeciderFactory                     // nil: package policy
	DrainGuard            DrainGuard                                // nil: the dispatcher's
	WrapDisconnectWatcher func(DisconnectWatcher) DisconnectWatcher // nil: clients' connections are watched as they are
	Retention             dispatch.IdleRetention                    // which idle connections to servers are kept; nil: the dispatcher's rule

	path           string              // of the file that the configuration was read from
	getenv         func(string) string // of the start
	fileDiscovery  string              // discovery's address as the file names it
	shutdownDelays shutdownDelays
}

// shutdownDelays are added to the durations of a shutdown. The zero value adds nothing.
type shutdownDelays struct {
	awaitArrivals func()        // returns when new connections are not waited for any more; nil: after arrivalDuration
	extraTime     time.Duration // until the node accepts nothing more, and until all must be answered
	extraQuiet    time.Duration // without a new connection, until listening ends
	extraLinger   time.Duration // for a client to read its last answer
}

// newDecider is the factory of what decides for the node.
func (c Config) newDecider() engine.DeciderFactory {
	switch {
	case c.NewPolicy != nil:
		return c.NewPolicy
	case c.Shadow != nil:
		return func(s policy.Settings, seed uint32) engine.Decider {
			return shadow.NewModule(policy.New(s, seed), c.Shadow)
		}
	}
	return engine.NewPolicy
}
