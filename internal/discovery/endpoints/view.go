package endpoints

import (
	"net/netip"
	"slices"
	"time"

	"fernvane/internal/discovery/incarnation"
)

// View is the merged endpoint list of one node: the last announcement of each server, from whichever source.
type View struct {
	records         map[string]*Record
	byAddress       map[netip.AddrPort][]string // IDs of servers that were last announced there
	lastSource      Source
	lastAnnouncedAt time.Duration
	listCount       int
	recordVisits    int // records walked over by announcements, counted for tests

	// IgnoreRemovals keeps a server usable that is announced as gone, or left out, without having drained before, until
	// Forget is called for it.
	IgnoreRemovals bool
}

// addressChange says whether an announcement names another address of a server than the last one, or none.
type addressChange uint8

const (
	addressKept addressChange = iota
	addressChanged
)

// NewView returns an empty view.
func NewView() *View {
	return &View{records: map[string]*Record{}, byAddress: map[netip.AddrPort][]string{}}
}

// Apply takes over an announcement. Servers that a full list does not name have left. A new server at the address of a
// known one replaces that one, even if its own source says so only later: requests sent there would reach the new server.
func (v *View) Apply(now time.Duration, source Source, announced []Endpoint, isFullList bool) Update {
	update := Update{Changed: make([]Record, 0, len(announced))}
	v.lastSource, v.lastAnnouncedAt = source, now
	if len(announced) > 0 || isFullList {
		v.listCount++
	}
	touched := make(map[string]addressChange, len(announced))
	if isFullList {
		v.removeAll(now, touched)
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

// removeAll marks all servers as left, before a full list names those that have not.
func (v *View) removeAll(now time.Duration, touched map[string]addressChange) {
	for id, record := range v.records {
		v.recordVisits++
		touched[id] = addressKept
		if !v.IgnoreRemovals {
			record.markLeft(now)
		}
	}
}

// applyOne takes over what is announced of one server. A server that is announced as gone and was not known is not kept.
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
		touched[endpoint.ID] = addressKept
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
		record.IsUsable, record.IsReplaced = true, false
	case endpoint.Condition == incarnation.Draining || !v.IgnoreRemovals:
		record.markLeft(now)
	}
	return *record
}

// replaceAt takes the usable servers at an address out of use, since another server has come there, and appends their
// records, as gone, to changed. Those that had left before, such as draining ones, stay as they are. None of them is known
// by the address any more, unless it is announced there again.
func (v *View) replaceAt(now time.Duration, address netip.AddrPort, changed []Record, touched map[string]addressChange) []Record {
	ids := v.byAddress[address]
	delete(v.byAddress, address)
	slices.Sort(ids)
	for _, id := range ids {
		v.recordVisits++
		if _, isTouched := touched[id]; !isTouched {
			touched[id] = addressKept
		}
		record := v.records[id]
		if !record.IsUsable {
			continue
		}
		record.markLeft(now)
		record.IsReplaced = true
		gone := *record
		gone.Condition = incarnation.Gone
		changed = append(changed, gone)
	}
	return changed
}

func (r *Record) markLeft(now time.Duration) {
	if r.IsUsable {
		r.IsUsable, r.LeftAt = false, now
	}
}

// HasLeft reports whether a server has not been usable for more than grace, or is not known.
func (v *View) HasLeft(now time.Duration, id string, grace time.Duration) bool {
	record := v.records[id]
	return record == nil || !record.IsUsable && now-record.LeftAt > grace
}

// Get returns the record of a server.
func (v *View) Get(id string) (record Record, ok bool) {
	if r := v.records[id]; r != nil {
		return *r, true
	}
	return Record{}, false
}

// All returns all records in the order of their IDs, and a count that grows with every list but empty lists of changes.
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

// MarkExecuted records that a server has answered a request that it had executed.
func (v *View) MarkExecuted(now time.Duration, id string) {
	if record := v.records[id]; record != nil {
		record.ExecutedAt, record.HasExecuted = now, true
	}
}

// Forget removes a server. The caller has nothing in flight there any more.
func (v *View) Forget(id string) {
	if record := v.records[id]; record != nil {
		v.removeAddress(id, record.Address)
		delete(v.records, id)
	}
}

// setAddress has a server be known by an address, which may be the one that it had.
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
