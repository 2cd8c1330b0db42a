package endpoints

import (
	"net/netip"
	"time"

	"fernvane/internal/discovery/incarnation"
)

// Source is who announces endpoints. Its numbers are stored in list snapshots.
type Source uint8

// The sources. New ones are added at the end, since the numbers are stored.
const (
	SourceConfig       Source = iota // the list in the configuration, of unknown age
	SourceSnapshot                   // the node's own list snapshot, as far as it is trusted
	SourceDiscovery                  // polled by this node
	SourceRegistry                   // read by this node
	SourcePlanners                   // who have polled discovery
	SourceDistribution               // control processes, or this node's copy of their entries
)

var sourceNames = [...]string{
	SourceConfig:       "configuration",
	SourceSnapshot:     "snapshot",
	SourceDiscovery:    "discovery",
	SourceRegistry:     "registry",
	SourcePlanners:     "planners",
	SourceDistribution: "distribution",
}

// String returns the source's name in the log.
func (s Source) String() string { return sourceNames[s] }

// Endpoint is what a source announces of one server.
type Endpoint struct {
	ID            string
	Zone          string
	MachineKind   string
	Address       netip.AddrPort // not valid if the source does not say
	Cell          int            // the failure domain inside the zone
	Weight        float64        // capacity relative to other servers
	StartedUnixMS int64          // 0 if the source does not say
	Condition     incarnation.Condition
}

// Record is what a View holds of one server.
type Record struct {
	Endpoint
	Source      Source        // of the last announcement
	AnnouncedAt time.Duration // the last announcement
	IsUsable    bool          // may get new requests: announced as up, and not removed or replaced since
	LeftAt      time.Duration // since when it is not usable; valid only if IsUsable is false
	IsReplaced  bool          // it was usable until another server came to its address, so it is certainly gone
	ExecutedAt  time.Duration // when it last answered a request that it had executed
	HasExecuted bool          // whether it ever did; see Observation.HasExecuted
}

// Update is what an announcement changes.
type Update struct {
	Changed   []Record // in the order in which they are to be applied
	CloseIdle []string // servers whose idle connections are of no use any more, in the order of their IDs
}

// Observation is what an attempt shows about a server. Without any of its bools, the request could not be delivered: no
// connection was made, or a new one broke before the last byte was written.
type Observation struct {
	Server        string
	HasResponded  bool
	HasExecuted   bool // the response is a success, or finds the request itself faulty (4xx but 408 and 429)
	IsOtherServer bool // the response names another server
}
