package endpoints

import (
	"net/netip"
	"slices"
	"time"

	"fernvane/internal/discovery/incarnation"
)

// Source is who tells of servers.
type Source uint8

const (
	SourceConfig    Source = iota // the list that the node last had before its start
	SourceSnapshot                // the same, kept by the node itself; as far as it is believed
	SourceDiscovery               // asked by this node
	SourceRegistry                // read by this node
	SourcePlanners                // they have asked

	SourceDistribution // control processes, or what this node holds of their entries
)

func (s Source) String() string {
	return [...]string{"the saved list", "the disk", "discovery", "a registry", "planners", "the distribution"}[s]
}

// Endpoint is what a source says of a server.
type Endpoint struct {
	ID, Zone, MachineKind string
	Address               netip.AddrPort // not valid: none is told
	Cell                  int
	Weight                float64
	StartedUnixMS         int64 // when it started, Unix time in ms; 0: not told
	Condition             incarnation.Condition
}

// Record is what a node goes by for one server.
type Record struct {
	Endpoint
	Source      Source
	AnnouncedAt time.Duration // when it was told of last
	IsUsable    bool          // it may get something new: the last word of it is Up, and nothing else has taken it out
	LeftAt      time.Duration // since when it is not
	IsReplaced  bool          // another is at its address now: whatever binds, nothing may be sent there
	ExecutedAt  time.Duration // when it last answered with what it had run
	HasExecuted bool
}

// Update is what a list changes.
type Update struct {
	Changed   []Record // in the order in which they are to be taken in
	CloseIdle []string // servers that it touches, at which connections that stand idle are of no use any more
}

// View is the list of servers of one node, from whichever source it comes.
type View struct {
	records         map[string]*Record
	byAddress       map[netip.AddrPort][]string // servers that were last told there, in the order of ids
	recordVisits    int                         // lines come to by lists so far, for tests that count
	lastSource      Source
	lastAnnouncedAt time.Duration
	listCount       int
	// OnlyDraining: a server that is told gone or left out, without having been told draining, stays in use until it is
	// forgotten.
	IgnoreRemovals bool
}

// NewView knows of no server.
func NewView() *View {
	return &View{records: map[string]*Record{}, byAddress: map[netip.AddrPort][]string{}}
}

// Apply takes in what a source says: changes, or the whole list, of which those that it does not name have gone. A server
// that is new at another's address takes that one out, though its source may tell so only later: what is sent there
// would reach the new one, for which it was not meant.
func (b *View) Apply(now time.Duration, from Source, words []Endpoint, whole bool) Update {
	u := Update{Changed: make([]Record, 0, len(words))}
	b.lastSource, b.lastAnnouncedAt = from, now
	if len(words) > 0 || whole {
		b.listCount++
	}
	moved := make(map[string]bool, len(words)) // by server that the list touches
	if whole {
		for id, l := range b.records {
			b.recordVisits++
			moved[id] = false
			if !b.IgnoreRemovals {
				l.markLeft(now)
			}
		}
	}
	for _, w := range words {
		b.recordVisits++
		l := b.records[w.ID]
		if l == nil && w.Condition == incarnation.Up {
			u.Changed = b.replaceAt(now, w.Address, u.Changed, moved)
		}
		if l == nil {
			l = &Record{}
			if w.Condition != incarnation.Gone { // one that has gone and is not known is not worth keeping
				b.records[w.ID] = l
			}
		}
		if moved[w.ID] = moved[w.ID] || w.Address != l.Address; !w.Address.IsValid() {
			w.Address = l.Address
		}
		if b.records[w.ID] != nil {
			b.setAddress(w.ID, l.Address, w.Address)
		}
		l.Endpoint, l.Source, l.AnnouncedAt = w, from, now
		if w.Condition == incarnation.Up {
			l.IsUsable, l.IsReplaced = true, false
		} else if w.Condition == incarnation.Draining || !b.IgnoreRemovals {
			l.markLeft(now)
		}
		u.Changed = append(u.Changed, *l)
	}
	for id := range moved {
		if l := b.records[id]; l != nil && (!l.IsUsable || moved[id]) {
			u.CloseIdle = append(u.CloseIdle, id)
		}
	}
	slices.Sort(u.CloseIdle)
	return u
}

func (l *Record) markLeft(now time.Duration) {
	if l.IsUsable {
		l.IsUsable, l.LeftAt = false, now
	}
}

// HasLeft tells that a server has not been used for a while, or is not known any more: what was decided before may not be
// sent to it now.
func (b *View) HasLeft(now time.Duration, id string, since time.Duration) bool {
	l := b.records[id]
	return l == nil || !l.IsUsable && now-l.LeftAt > since
}

// displaced takes out those that are used at an address, since another has come there. None of them is known by the
// address any more; one that a list names again is.
func (b *View) replaceAt(now time.Duration, at netip.AddrPort, lines []Record, moved map[string]bool) []Record {
	ids := b.byAddress[at]
	delete(b.byAddress, at)
	slices.Sort(ids)
	for _, id := range ids {
		b.recordVisits++
		if _, touched := moved[id]; !touched {
			moved[id] = false
		}
		if l := b.records[id]; l.IsUsable {
			l.markLeft(now)
			l.IsReplaced = true
			gone := *l
			gone.Condition = incarnation.Gone
			lines = append(lines, gone)
		}
	}
	return lines
}

// place has a server be known by another address, or by the same again.
func (b *View) setAddress(id string, from, to netip.AddrPort) {
	if from != to {
		b.removeAddress(id, from)
	}
	if ids := b.byAddress[to]; !slices.Contains(ids, id) {
		b.byAddress[to] = append(ids, id)
	}
}

func (b *View) removeAddress(id string, from netip.AddrPort) {
	ids := b.byAddress[from]
	if i := slices.Index(ids, id); i >= 0 {
		ids = slices.Delete(ids, i, i+1)
	}
	if len(ids) == 0 {
		delete(b.byAddress, from)
		return
	}
	b.byAddress[from] = ids
}

// Get is what is known of a server.
func (b *View) Get(id string) (Record, bool) {
	if l := b.records[id]; l != nil {
		return *l, true
	}
	return Record{}, false
}

// Forget lets go of a server that nothing names any more.
func (b *View) Forget(id string) {
	if l := b.records[id]; l != nil {
		b.removeAddress(id, l.Address)
		delete(b.records, id)
	}
}

// MarkExecuted tells that a server has answered with what it had run.
func (b *View) MarkExecuted(now time.Duration, id string) {
	if l := b.records[id]; l != nil {
		l.ExecutedAt, l.HasExecuted = now, true
	}
}

// All are all that is known, in the order of ids, with a count that changes with every list.
func (b *View) All() (all []Record, lists int) {
	for _, id := range b.sortedIDs() {
		all = append(all, *b.records[id])
	}
	return all, b.listCount
}

// LastAnnouncement is who told of servers last, and when.
func (b *View) LastAnnouncement() (Source, time.Duration) { return b.lastSource, b.lastAnnouncedAt }

func (b *View) sortedIDs() []string {
	ids := make([]string, 0, len(b.records))
	for id := range b.records {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
