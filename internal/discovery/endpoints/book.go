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
	Saved     Source = iota // the list that the node last had before its start
	Disk                    // the same, kept by the node itself; as far as it is believed
	Discovery               // asked by this node
	Registry                // read by this node
	Planners                // they have asked

	Distribution // control processes, or what this node holds of their entries
)

func (s Source) String() string {
	return [...]string{"the saved list", "the disk", "discovery", "a registry", "planners", "the distribution"}[s]
}

// Word is what a source says of a server.
type Word struct {
	ID, Zone, Flavor string
	Address          netip.AddrPort // not valid: none is told
	Cell             int
	Size             float64
	Up               int64 // when it started, Unix time in ms; 0: not told
	Condition        incarnation.Condition
}

// Line is what a node goes by for one server.
type Line struct {
	Word
	From   Source
	Heard  time.Duration // when it was told of last
	Used   bool          // it may get something new: the last word of it is Up, and nothing else has taken it out
	Left   time.Duration // since when it is not
	Lost   bool          // another is at its address now: whatever binds, nothing may be sent there
	Ran    time.Duration // when it last answered with what it had run
	HasRun bool
}

// Update is what a list changes.
type Update struct {
	Lines []Line   // in the order in which they are to be taken in
	Idle  []string // servers that it touches, at which connections that stand idle are of no use any more
}

// Book is the list of servers of one node, from whichever source it comes.
type Book struct {
	lines     map[string]*Line
	byAddress map[netip.AddrPort][]string // servers that were last told there, in the order of ids
	visits    int                         // lines come to by lists so far, for tests that count
	from      Source
	heard     time.Duration
	lists     int
	// OnlyDraining: a server that is told gone or left out, without having been told draining, stays in use until it is
	// forgotten.
	OnlyDraining bool
}

// NewBook knows of no server.
func NewBook() *Book {
	return &Book{lines: map[string]*Line{}, byAddress: map[netip.AddrPort][]string{}}
}

// Told takes in what a source says: changes, or the whole list, of which those that it does not name have gone. A server
// that is new at another's address takes that one out, though its source may tell so only later: what is sent there
// would reach the new one, for which it was not meant.
func (b *Book) Told(now time.Duration, from Source, words []Word, whole bool) Update {
	u := Update{Lines: make([]Line, 0, len(words))}
	b.from, b.heard = from, now
	if len(words) > 0 || whole {
		b.lists++
	}
	moved := make(map[string]bool, len(words)) // by server that the list touches
	if whole {
		for id, l := range b.lines {
			b.visits++
			moved[id] = false
			if !b.OnlyDraining {
				l.leave(now)
			}
		}
	}
	for _, w := range words {
		b.visits++
		l := b.lines[w.ID]
		if l == nil && w.Condition == incarnation.Up {
			u.Lines = b.displaced(now, w.Address, u.Lines, moved)
		}
		if l == nil {
			l = &Line{}
			if w.Condition != incarnation.Gone { // one that has gone and is not known is not worth keeping
				b.lines[w.ID] = l
			}
		}
		if moved[w.ID] = moved[w.ID] || w.Address != l.Address; !w.Address.IsValid() {
			w.Address = l.Address
		}
		if b.lines[w.ID] != nil {
			b.place(w.ID, l.Address, w.Address)
		}
		l.Word, l.From, l.Heard = w, from, now
		if w.Condition == incarnation.Up {
			l.Used, l.Lost = true, false
		} else if w.Condition == incarnation.Draining || !b.OnlyDraining {
			l.leave(now)
		}
		u.Lines = append(u.Lines, *l)
	}
	for id := range moved {
		if l := b.lines[id]; l != nil && (!l.Used || moved[id]) {
			u.Idle = append(u.Idle, id)
		}
	}
	slices.Sort(u.Idle)
	return u
}

func (l *Line) leave(now time.Duration) {
	if l.Used {
		l.Used, l.Left = false, now
	}
}

// Parted tells that a server has not been used for a while, or is not known any more: what was decided before may not be
// sent to it now.
func (b *Book) Parted(now time.Duration, id string, since time.Duration) bool {
	l := b.lines[id]
	return l == nil || !l.Used && now-l.Left > since
}

// displaced takes out those that are used at an address, since another has come there. None of them is known by the
// address any more; one that a list names again is.
func (b *Book) displaced(now time.Duration, at netip.AddrPort, lines []Line, moved map[string]bool) []Line {
	ids := b.byAddress[at]
	delete(b.byAddress, at)
	slices.Sort(ids)
	for _, id := range ids {
		b.visits++
		if _, touched := moved[id]; !touched {
			moved[id] = false
		}
		if l := b.lines[id]; l.Used {
			l.leave(now)
			l.Lost = true
			gone := *l
			gone.Condition = incarnation.Gone
			lines = append(lines, gone)
		}
	}
	return lines
}

// place has a server be known by another address, or by the same again.
func (b *Book) place(id string, from, to netip.AddrPort) {
	if from != to {
		b.remove(id, from)
	}
	if ids := b.byAddress[to]; !slices.Contains(ids, id) {
		b.byAddress[to] = append(ids, id)
	}
}

func (b *Book) remove(id string, from netip.AddrPort) {
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

// Line is what is known of a server.
func (b *Book) Line(id string) (Line, bool) {
	if l := b.lines[id]; l != nil {
		return *l, true
	}
	return Line{}, false
}

// Forget lets go of a server that nothing names any more.
func (b *Book) Forget(id string) {
	if l := b.lines[id]; l != nil {
		b.remove(id, l.Address)
		delete(b.lines, id)
	}
}

// Ran tells that a server has answered with what it had run.
func (b *Book) Ran(now time.Duration, id string) {
	if l := b.lines[id]; l != nil {
		l.Ran, l.HasRun = now, true
	}
}

// Lines are all that is known, in the order of ids, with a count that changes with every list.
func (b *Book) Lines() (all []Line, lists int) {
	for _, id := range b.ids() {
		all = append(all, *b.lines[id])
	}
	return all, b.lists
}

// Heard is who told of servers last, and when.
func (b *Book) Heard() (Source, time.Duration) { return b.from, b.heard }

func (b *Book) ids() []string {
	ids := make([]string, 0, len(b.lines))
	for id := range b.lines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
