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

// Config is the configuration of a node at its start. Optional components that are nil are disabled.
type Config struct {
	Name         string
	Listen       netip.AddrPort // for HTTP clients
	Discovery    netip.AddrPort
	Seed         uint32  // of the policy's random draws
	Cores        float64 // CPU cores that the node may use; 0: all
	Limits       dispatch.Limits
	SavedList    http1.EndpointList // endpoint list in the configuration
	SavedListErr error              // why SavedList is invalid; the node starts without it
	Settings     settings.Settings
	OperatorFile string // path of the operator's file with the routes; "": none
	Routes       *route.Table
	Planners     *planconfig.Forwarder // nil: the node decides without plans
	Journal      *wal.Config           // for non-idempotent requests
	Registry     *zookeeper.Config     // replaces discovery
	Snapshot     *snapshot.Config      // for the endpoint list on disk
	Peers        *peer.Config          // the other nodes of the cluster
	Distribution *client.Config        // control processes that supply servers, routes and quotas
	Shadow       *shadow.Candidate     // other settings, whose decisions are compared with the node's own
	Filesystem   wal.FileSystem        // nil: that of the operating system

	// Replacements for components of the node, for comparison with other implementations.

	NewPolicy             engine.DeciderFactory                     // nil: package policy
	DrainGuard            DrainGuard                                // nil: the dispatcher's
	WrapDisconnectWatcher func(DisconnectWatcher) DisconnectWatcher // nil: the client connection is the watcher
	Retention             dispatch.IdleRetention                    // which idle server connections stay open; nil: the dispatcher's rule

	path           string              // of the platform's file
	getenv         func(string) string // environment variables at the start
	fileDiscovery  string              // discovery address in the file, before it is overridden
	shutdownDelays shutdownDelays
}

// shutdownDelays changes the durations of a shutdown. Only tests set it. The zero value changes nothing.
type shutdownDelays struct {
	awaitArrivals func()        // returns when clients open no more connections; nil: drain sleeps for arrivalDuration
	extraTime     time.Duration // added to acceptDeadline and answerDeadline
	extraQuiet    time.Duration // added to acceptQuietDuration
	extraLinger   time.Duration // added to lingerDuration
}

// newDecider returns the factory of the component that makes the decisions of the node.
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
