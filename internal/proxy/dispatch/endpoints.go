package dispatch

import (
	"hash/crc32"
	"math"
	"net/netip"
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

const (
	// maxLateWrite limits how long an attempt may still be written to a server that started draining or was removed after the
	// attempt was decided.
	maxLateWrite = 300 * time.Millisecond
	// lateWriteShare is the share of Settings.DrainGrace within which such an attempt must be written. The rest is reserved
	// for network delay.
	lateWriteShare = 0.6
)

// firstUnnamedIndex is the first index of zones and machine kinds that the settings do not name. The settings may bind
// traffic types to any lower index, named or not.
const firstUnnamedIndex = math.MaxInt32 + 1

// serverTable contains the known servers.
type serverTable struct {
	byID     map[string]*server
	withIdle map[*server]struct{} // superset of the servers with idle connections
	visits   int                  // servers visited by operations on many servers, counted for tests
}

// server is the state of an upstream server beside its endpoint record.
type server struct {
	announced policy.Endpoint // last value passed to the decision module
	isFastCGI bool            // the server's protocol is FastCGI, otherwise HTTP
	idle      []idleConn      // least recently used first
}

func newServerTable() serverTable {
	return serverTable{byID: map[string]*server{}, withIdle: map[*server]struct{}{}}
}

var policyConditions = [...]policy.Condition{
	incarnation.Up:       policy.Up,
	incarnation.Draining: policy.Draining,
	incarnation.Gone:     policy.Removed,
}

var incarnationConditions = [...]incarnation.Condition{
	http1.Serving:  incarnation.Up,
	http1.Draining: incarnation.Draining,
	http1.Deleted:  incarnation.Gone,
}

// PollRequested returns the channel that receives a value when the decision module requests a poll of discovery.
func (d *Dispatcher) PollRequested() <-chan struct{} { return d.pollRequested }

// DiscoveryFailed reports that a poll of discovery failed. The decision module then schedules the next poll.
func (d *Dispatcher) DiscoveryFailed() {
	d.mu.Lock()
	defer d.unlock()
	d.engine.EndpointsUpdated(d.now(), policy.Unavailable, nil, d.effects())
}

// ApplyList applies an endpoint list, full or incremental, from a source.
func (d *Dispatcher) ApplyList(list http1.EndpointList, source endpoints.Source) {
	announced := make([]endpoints.Endpoint, 0, len(list.Endpoints))
	for _, listed := range list.Endpoints {
		announced = append(announced, endpoints.Endpoint{
			ID:            listed.ID,
			Address:       listed.Address,
			Zone:          listed.Zone,
			MachineKind:   listed.MachineKind,
			Cell:          listed.Cell,
			Weight:        listed.Weight,
			StartedUnixMS: listed.StartedUnixMS,
			Condition:     incarnationConditions[listed.Condition],
		})
	}
	d.mu.Lock()
	defer d.unlock()
	d.applyEndpoints(announced, source, list.IsComplete)
}

// applyEndpoints merges the endpoints that a source announced into the view and passes the resulting changes to the
// decision module.
func (d *Dispatcher) applyEndpoints(announced []endpoints.Endpoint, source endpoints.Source, isFullList bool) {
	scope := policy.Incremental
	if source == endpoints.SourceConfig || source == endpoints.SourceSnapshot {
		scope = policy.Cached
	} else if isFullList {
		scope = policy.Full
	}
	now, unixMS := d.now(), time.Now().UnixMilli()
	update := d.view.Apply(now, source, announced, scope != policy.Incremental)
	changed := make([]engine.Endpoint[string], 0, len(update.Changed))
	for _, record := range update.Changed {
		info := d.policyEndpoint(record, now, unixMS)
		d.recordServer(record.Endpoint, info)
		changed = append(changed, engine.Endpoint[string]{Server: record.ID, Info: info})
	}
	for _, id := range update.CloseIdle {
		d.closeIdleConns(d.servers.byID[id])
	}
	d.engine.EndpointsUpdated(now, scope, changed, d.effects())
}

// policyEndpoint converts an endpoint record to the decision module's representation.
func (d *Dispatcher) policyEndpoint(record endpoints.Record, now time.Duration, unixMS int64) policy.Endpoint {
	info := policy.Endpoint{
		Rank:              crc32.ChecksumIEEE([]byte(record.ID)),
		Zone:              d.zoneIndex(record.Zone),
		MachineKind:       indexOrAdd(d.names.machineKinds, record.MachineKind),
		Cell:              cellNumber(record.Cell),
		Condition:         policyConditions[record.Condition],
		Weight:            record.Weight,
		HasStartTime:      record.StartedUnixMS > 0,
		Labels:            d.serverLabels(record.ID, record.Zone, record.MachineKind),
		AddressReassigned: record.IsReplaced,
	}
	if info.HasStartTime {
		info.StartedAt = now + time.Duration(record.StartedUnixMS-unixMS)*time.Millisecond
	}
	return info
}

// recordServer stores the endpoint that the decision module receives for a server, unless the server is unknown and already
// removed.
func (d *Dispatcher) recordServer(endpoint endpoints.Endpoint, info policy.Endpoint) {
	s := d.servers.byID[endpoint.ID]
	if s == nil {
		if endpoint.Condition == incarnation.Gone {
			return
		}
		s = &server{}
		d.servers.byID[endpoint.ID] = s
	}
	s.announced = info
	d.updateProtocol(s, endpoint)
}

// Endpoints returns all endpoint records, the source and the time (by Now) of the last announcement, and a counter that
// every list increments, except empty incremental ones.
func (d *Dispatcher) Endpoints() (
	all []endpoints.Record, source endpoints.Source, announcedAt time.Duration, listCount int,
) {
	d.mu.Lock()
	defer d.unlock()
	all, listCount = d.view.All()
	source, announcedAt = d.view.LastAnnouncement()
	return all, source, announcedAt, listCount
}

// LastAnnouncement returns the source and the age of the last announcement of endpoints.
func (d *Dispatcher) LastAnnouncement() (source endpoints.Source, age time.Duration) {
	d.mu.Lock()
	defer d.unlock()
	source, announcedAt := d.view.LastAnnouncement()
	return source, d.now() - announcedAt
}

// IsReady reports whether at least one known server is usable.
func (d *Dispatcher) IsReady() bool {
	d.mu.Lock()
	defer d.unlock()
	for id := range d.servers.byID {
		if record, ok := d.view.Get(id); ok && record.IsUsable {
			return true
		}
	}
	return false
}

// IsTooLateToWrite reports whether a server may no longer receive attempts: it is unknown, or it has been draining or removed
// for more than maxWriteDelay, which ends before Settings.DrainGrace. The time of the decision does not matter.
// Callers check it directly before they write an attempt, since a connect or the journal may have taken long.
func (d *Dispatcher) IsTooLateToWrite(server string) bool {
	d.mu.Lock()
	defer d.unlock()
	return d.view.HasLeft(d.now(), server, d.maxWriteDelay())
}

// IsAt reports whether a server is still announced at the address of a decision. Otherwise the address may belong to another server.
func (d *Dispatcher) IsAt(server string, address netip.AddrPort) bool {
	d.mu.Lock()
	defer d.unlock()
	return d.view.IsAt(server, address)
}

// maxWriteDelay returns how long an attempt may be written to a server after the server started draining or was removed.
func (d *Dispatcher) maxWriteDelay() time.Duration {
	if d.settings.DrainGrace < 0 { // not set
		return maxLateWrite
	}
	return min(maxLateWrite, time.Duration(lateWriteShare*float64(d.settings.DrainGrace)))
}

// zoneIndex returns the index of a zone, or policy.UnknownDomain for a server whose entry names none.
func (d *Dispatcher) zoneIndex(zone string) int {
	if zone == "" {
		return policy.UnknownDomain
	}
	return indexOrAdd(d.names.zones, zone)
}

// cellNumber returns the number of a cell for the decision module.
func cellNumber(cell int) int {
	if cell == incarnation.UnknownCell {
		return policy.UnknownDomain
	}
	return cell
}

// indexOrAdd returns the index of a zone or machine kind. A name that is not in the settings is assigned the next free index
// when it first appears.
func indexOrAdd(index map[string]int, name string) int {
	i, ok := index[name]
	if !ok {
		i = firstUnnamedIndex + len(index)
		index[name] = i
	}
	return i
}
