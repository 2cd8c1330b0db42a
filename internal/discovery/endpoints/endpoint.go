package endpoints

import (
	"net/netip"
	"time"

	"fernvane/internal/discovery/incarnation"
)

// Source identifies the origin of an announcement. Its numeric values are stored in list snapshots.
type Source uint8

// The sources. New sources are added at the end because the numeric values are stored.
const (
	SourceConfig       Source = iota // the list in the configuration, whose age is unknown
	SourceSnapshot                   // the node's own list snapshot, to the extent that it is trusted
	SourceDiscovery                  // polled by this node
	SourceRegistry                   // read by this node
	SourcePlanners                   // received from planners, which poll discovery
	SourceDistribution               // received from control processes, or loaded from this node's copy of their entries
)

var sourceNames = [...]string{
	SourceConfig:       "configuration",
	SourceSnapshot:     "snapshot",
	SourceDiscovery:    "discovery",
	SourceRegistry:     "registry",
	SourcePlanners:     "planners",
	SourceDistribution: "distribution",
}

// String returns the name of the source as it is logged.
func (s Source) String() string { return sourceNames[s] }

// Endpoint describes one server as announced by a source.
type Endpoint struct {
	ID            string
	Zone          string
	MachineKind   string
	Address       netip.AddrPort // invalid if the source omits it
	Cell          int            // failure domain inside the zone
	Weight        float64        // capacity relative to other servers
	StartedUnixMS int64          // 0 if the source omits it
	Condition     incarnation.Condition
}

// Record is the state of one server in a View.
type Record struct {
	Endpoint
	Source        Source        // source of the last announcement
	AnnouncedAt   time.Duration // time of the last announcement
	IsUsable      bool          // may receive new requests: announced as up, and not removed or replaced since
	UnusableSince time.Duration // when the server became unusable; valid only if IsUsable is false
	IsReplaced    bool          // the server was usable until another server was announced at its address, so it has terminated
	// IsAddressTaken reports that another server was announced at its address since it was last announced as up. Unlike IsReplaced it is set
	// for a draining server too.
	IsAddressTaken bool
	ExecutedAt     time.Duration // time of its last response to a request that it had executed
	HasExecuted    bool          // whether ExecutedAt is set; see Observation.HasExecuted
}

// Update lists the changes caused by an announcement.
type Update struct {
	Changed   []Record // in the order in which the caller applies them
	CloseIdle []string // IDs of servers whose idle connections are obsolete, sorted
}

// Observation is the result of an attempt as evidence about a server. If none of its flags is set, the request was not
// delivered: the connection could not be established, or a new connection broke before the last byte was written.
type Observation struct {
	Server        string
	HasResponded  bool // Server itself responded
	HasExecuted   bool // the response is a success, or a client error (4xx except 408 and 429)
	IsOtherServer bool // another server responded at the address, as its response states; the other flags are not set
}
