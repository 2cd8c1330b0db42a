package endpoints

import (
	"net/netip"
	"slices"
	"time"

	"fernvane/internal/discovery/incarnation"
)

// View is the merged endpoint list of one node. It contains the last announcement of each server from any source.
type View struct {
	records         map[string]*Record
	byAddress       map[netip.AddrPort][]string // IDs of the servers whose last announced address is the key
	lastSource      Source
	lastAnnouncedAt time.Duration
	listCount       int
	recordVisits    int // number of records that announcements visited, counted for tests

	// IgnoreRemovals keeps a server usable until Remove is called for it, even if the server is announced as gone or omitted
	// from a full list without having drained before. A server that drains or is replaced still becomes unusable.
	IgnoreRemovals bool
}

// addressChange reports whether an announcement contains a different address of a server than the previous one, or none.
type addressChange uint8

const (
	addressUnchanged addressChange = iota
	addressChanged
)

// NewView returns an empty view.
func NewView() *View {
	return &View{records: map[string]*Record{}, byAddress: map[netip.AddrPort][]string{}}
}

// Apply applies an announcement. Servers that a full list omits become unusable. A new server at the address of a known
// server replaces it, even before the source of the known server announces its end, because requests sent to the address
// would reach the new server.
func (v *View) Apply(now time.Duration, source Source, announced []Endpoint, isFullList bool) Update {
	update := Update{Changed: make([]Record, 0, len(announced))}
	v.lastSource, v.lastAnnouncedAt = source, now
	if len(announced) > 0 || isFullList {
		v.listCount++
	}
	touched := make(map[string]addressChange, len(announced))
	if isFullList {
		v.markAllUnusable(now, touched)
	}
	for _, endpoint := range announced {
		v.recordVisits++
		if v.records[endpoint.ID] == nil && endpoint.Condition == incarnation.Up {
			update.Changed = v.replaceAt(now, endpoint.Address, update.Changed, touched)
		}
		update.Changed = append(update.Changed, v.applyOne(now, source, endpoint, touched))
	}
	for id, change := range touched {
		if record := v.records[id]; record != nil && (!record.IsUsable || change == addressChanged) {
			update.CloseIdle = append(update.CloseIdle, id)
		}
	}
	slices.Sort(update.CloseIdle)
	return update
}

// markAllUnusable marks all servers as unusable before a full list is applied, which marks the listed servers as usable again.
func (v *View) markAllUnusable(now time.Duration, touched map[string]addressChange) {
	for id, record := range v.records {
		v.recordVisits++
		touched[id] = addressUnchanged
		if !v.IgnoreRemovals {
			record.markUnusable(now)
		}
	}
}

// applyOne applies the announcement of one server. An unknown server that is announced as gone is not stored.
func (v *View) applyOne(now time.Duration, source Source, endpoint Endpoint, touched map[string]addressChange) Record {
	record := v.records[endpoint.ID]
	if record == nil {
		record = &Record{}
		if endpoint.Condition != incarnation.Gone {
			v.records[endpoint.ID] = record
		}
	}
	if endpoint.Address != record.Address {
		touched[endpoint.ID] = addressChanged
	} else if _, isTouched := touched[endpoint.ID]; !isTouched {
		touched[endpoint.ID] = addressUnchanged
	}
	if !endpoint.Address.IsValid() {
		endpoint.Address = record.Address
	}
	if v.records[endpoint.ID] != nil {
		v.setAddress(endpoint.ID, record.Address, endpoint.Address)
	}
	record.Endpoint, record.Source, record.AnnouncedAt = endpoint, source, now
	switch {
	case endpoint.Condition == incarnation.Up:
		record.IsUsable, record.IsReplaced, record.IsAddressTaken = true, false, false
	case endpoint.Condition == incarnation.Draining || !v.IgnoreRemovals:
		record.markUnusable(now)
	}
	return *record
}

// replaceAt marks the usable servers at an address as replaced, because a new server was announced there, and appends their
// records, with the condition Gone, to changed. Servers that were already unusable, such as draining ones, only lose their address. All
// of them are removed from the address index until they are announced at the address again.
func (v *View) replaceAt(now time.Duration, address netip.AddrPort, changed []Record, touched map[string]addressChange) []Record {
	ids := v.byAddress[address]
	delete(v.byAddress, address)
	slices.Sort(ids)
	for _, id := range ids {
		v.recordVisits++
		if _, isTouched := touched[id]; !isTouched {
			touched[id] = addressUnchanged
		}
		record := v.records[id]
		record.IsAddressTaken = true
		if !record.IsUsable {
			continue
		}
		record.markUnusable(now)
		record.IsReplaced = true
		replaced := *record
		replaced.Condition = incarnation.Gone
		changed = append(changed, replaced)
	}
	return changed
}

func (r *Record) markUnusable(now time.Duration) {
	if r.IsUsable {
		r.IsUsable, r.UnusableSince = false, now
	}
}

// HasLeft reports whether a server has been unusable for longer than grace, is unknown, or has lost its address to another server, which
// would receive what is sent there.
func (v *View) HasLeft(now time.Duration, id string, grace time.Duration) bool {
	record := v.records[id]
	return record == nil || record.IsAddressTaken || !record.IsUsable && now-record.UnusableSince > grace
}

// IsAt reports whether a server is announced at an address.
func (v *View) IsAt(id string, address netip.AddrPort) bool {
	record := v.records[id]
	return record != nil && record.Address == address
}

// Get returns the record of a server; ok is false if the server is unknown.
func (v *View) Get(id string) (record Record, ok bool) {
	if r := v.records[id]; r != nil {
		return *r, true
	}
	return Record{}, false
}

// All returns all records sorted by ID, and the number of applied lists except empty lists of changes.
func (v *View) All() (all []Record, listCount int) {
	for _, id := range v.sortedIDs() {
		all = append(all, *v.records[id])
	}
	return all, v.listCount
}

// LastAnnouncement returns the source and the time of the last announcement.
func (v *View) LastAnnouncement() (source Source, at time.Duration) {
	return v.lastSource, v.lastAnnouncedAt
}

// MarkExecuted records that a server has responded to a request that it had executed.
func (v *View) MarkExecuted(now time.Duration, id string) {
	if record := v.records[id]; record != nil {
		record.ExecutedAt, record.HasExecuted = now, true
	}
}

// Remove deletes the record of a server. The caller must have no requests in flight to it.
func (v *View) Remove(id string) {
	if record := v.records[id]; record != nil {
		v.removeAddress(id, record.Address)
		delete(v.records, id)
	}
}

// setAddress moves a server from one address to another in the address index. The two may be equal.
func (v *View) setAddress(id string, from, to netip.AddrPort) {
	if from != to {
		v.removeAddress(id, from)
	}
	if ids := v.byAddress[to]; !slices.Contains(ids, id) {
		v.byAddress[to] = append(ids, id)
	}
}

func (v *View) removeAddress(id string, address netip.AddrPort) {
	ids := v.byAddress[address]
	if i := slices.Index(ids, id); i >= 0 {
		ids = slices.Delete(ids, i, i+1)
	}
	if len(ids) == 0 {
		delete(v.byAddress, address)
		return
	}
	v.byAddress[address] = ids
}

func (v *View) sortedIDs() []string {
	ids := make([]string, 0, len(v.records))
	for id := range v.records {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
