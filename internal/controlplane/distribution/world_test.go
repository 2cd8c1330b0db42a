package distribution

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// world is a tree of holders and their connections in virtual time. Each connection keeps the order of its messages; one
// that ends loses those under way.
type world struct {
	fail    func(format string, args ...any)
	now     time.Duration
	holders []*holder
	links   []*link
	drawn   uint64
	writes  []Entry
	pruned  map[Key]Entry // the greatest deletion of a key that somebody has forgotten
}

// holder is a control process or a node.
type holder struct {
	w        *world
	name     string
	region   string
	role     Role
	services []string
	store    *Store
	pub      *Publisher
	routes   map[SubscriptionID]route
	floor    map[Key]Entry // the greatest version of each key that it has had
	saved    []*disk
}

type route struct {
	l  *link
	up bool // the batches go from the subscriber to the server
}

// disk is what a holder has written.
type disk struct {
	entries  []Entry
	vector   Vector
	pruned   Vector
	missing  []string
	services []string
}

// link is where a subscriber may connect to a server.
type link struct {
	subscriber, server *holder
	open               bool
	down, up           direction
	toSubscriber       []message
	toServer           []message
}

// direction of batches on a link.
type direction struct {
	id       SubscriptionID
	receiver *Receiver
}

// message is one of Subscription, Batch, Acknowledgement, Digests, []string (services wanted whole) and askDigests.
type message struct {
	up   bool // of the batches from the subscriber to the server
	body any
}

type (
	follow     struct{ vector Vector } // a server asks for what it lacks
	askDigests struct{}
)

func newWorld(fail func(format string, args ...any)) *world {
	return &world{fail: fail, pruned: map[Key]Entry{}}
}

func (w *world) wall() time.Time { return wall.Add(w.now) }

func (w *world) add(name, region string, role Role, services ...string) *holder {
	h := &holder{w: w, name: name, region: region, role: role, services: services}
	h.start(nil)
	w.holders = append(w.holders, h)
	return h
}

func (w *world) connectable(subscriber *holder, servers ...*holder) {
	for _, s := range servers {
		w.links = append(w.links, &link{subscriber: subscriber, server: s})
	}
}

// chain is a root, a relay that follows it and a node of service a that follows the relay.
func chain(t *testing.T) (w *world, root, relay, node *holder) {
	w = newWorld(t.Fatalf)
	root = w.add("root", "", RoleControl)
	relay = w.add("relay", "", RoleControl)
	node = w.add("node", "", RoleNode, "a")
	w.connectable(relay, root)
	w.connectable(node, relay)
	return w, root, relay, node
}

// start begins a process on a disk, or on a new one.
func (h *holder) start(d *disk) {
	origin := Origin("")
	if h.role == RoleControl {
		h.w.drawn++
		origin = NewOrigin(h.name, h.w.drawn)
	}
	h.store = NewStore(origin, Limits{})
	h.floor = map[Key]Entry{}
	if d != nil {
		h.store.Restore(d.entries, d.vector, d.pruned)
	}
	if h.role == RoleNode {
		if d != nil {
			h.store.SetScope(d.services)
			h.store.MarkUnsynced(d.missing)
		}
		h.store.SetScope(h.services)
	}
	for _, e := range held(h.store) {
		h.floor[e.Key] = e
	}
	h.pub = NewPublisher(h.store, Budget{})
	h.routes = map[SubscriptionID]route{}
}

func (h *holder) disk() *disk {
	d := &disk{vector: h.store.Vector().Clone(), pruned: h.store.Pruned().Clone(), missing: h.store.UnsyncedServices(),
		services: slices.Clone(h.services)}
	d.entries = held(h.store)
	return d
}

// held is all entries of a store, deletions included.
func held(s *Store) (entries []Entry) {
	for _, k := range s.KeysSince(nil, nil, true) {
		e, _ := s.Entry(k)
		entries = append(entries, e)
	}
	return entries
}

func (h *holder) restart(d *disk) {
	for _, l := range h.w.links {
		if l.subscriber == h || l.server == h {
			h.w.close(l)
		}
	}
	h.start(d)
}

func (w *world) open(l *link) {
	if l.open {
		return
	}
	l.open = true
	s := l.subscriber
	l.down.receiver = NewReceiver(s.store)
	l.toServer = append(l.toServer, message{body: Subscription{Name: s.name, Role: s.role, Services: s.services, AllServices: s.role == RoleControl,
		Vector: s.store.Vector().Clone(), UnsyncedServices: s.store.UnsyncedServices()}})
}

func (w *world) close(l *link) {
	if !l.open {
		return
	}
	l.server.pub.Unsubscribe(l.down.id)
	l.subscriber.pub.Unsubscribe(l.up.id)
	delete(l.server.routes, l.down.id)
	delete(l.subscriber.routes, l.up.id)
	*l = link{subscriber: l.subscriber, server: l.server}
}

// write makes changes at a control process.
func (h *holder) write(changes ...Change) {
	entries, err := h.store.Write(h.w.wall(), changes)
	if err != nil {
		h.w.fail("%s: write: %v", h.name, err)
		return
	}
	h.w.writes = append(h.w.writes, entries...)
	h.took(BatchResult{Changed: entries})
}

// hasWhatItCovers looks whether the vector tells the truth: of each write that it covers the holder has that version or a
// greater one, or it covers a later deletion.
func (h *holder) hasWhatItCovers() {
	for _, e := range h.w.writes {
		if !h.store.IsInScope(e.Key.Service) || !h.store.covers(e) {
			continue
		}
		if got, ok := h.store.Entry(e.Key); ok && Compare(got, e) >= 0 || e.Deleted && !ok {
			continue
		}
		if !slices.ContainsFunc(h.w.writes, func(d Entry) bool { return d.Key == e.Key && d.Deleted && Compare(d, e) > 0 && h.store.covers(d) }) {
			h.w.fail("%s covers %+v and lacks it", h.name, e)
		}
	}
}

// took is what a process does with what has changed in its store.
func (h *holder) took(got BatchResult) {
	for _, e := range got.Changed {
		before, ok := h.floor[e.Key]
		if c := Compare(before, e); ok && (c > 0 || c == 0 && !e.Deleted) { // a pruned deletion may be received again
			h.w.fail("%s went back from %+v to %+v", h.name, before, e)
		}
		h.floor[e.Key] = e
	}
	h.pub.EntriesChanged(h.w.now, got.Changed)
	h.pub.ResyncServices(h.w.now, got.ResyncServices)
	if got.IsComplete {
		h.hasWhatItCovers()
	}
	if h.store.IsStale() {
		h.w.fail("%s: its origin was drawn at its start, and somebody knows more of it", h.name)
	}
}

// prune prunes deletions.
func (h *holder) prune(olderThan uint64) {
	before := map[Key]Entry{}
	for _, e := range held(h.store) {
		before[e.Key] = e
	}
	keys := h.store.PruneDeletions(olderThan)
	for _, k := range keys {
		if e := before[k]; Compare(h.w.pruned[k], e) < 0 {
			h.w.pruned[k] = e
		}
	}
	h.pub.DeletionsPruned(h.w.now, keys)
}

// sendDue has a holder send up to a number of batches, and its digests.
func (h *holder) sendDue(maxBatches int) (moved bool) {
	for range maxBatches {
		id, b, ok, _ := h.pub.NextBatch(h.w.now)
		if !ok {
			break
		}
		h.sendTo(id, b)
		moved = true
	}
	for {
		id, d, ok := h.pub.NextDigests(h.w.now)
		if !ok {
			return moved
		}
		h.sendTo(id, d)
		moved = true
	}
}

func (h *holder) sendTo(id SubscriptionID, body any) {
	r, ok := h.routes[id]
	if !ok {
		h.w.fail("%s: a batch for nobody", h.name)
		return
	}
	if r.up {
		r.l.toServer = append(r.l.toServer, message{true, body})
	} else {
		r.l.toSubscriber = append(r.l.toSubscriber, message{false, body})
	}
}

// deliver hands over the first message of one way of a link; again says that it comes twice.
func (w *world) deliver(l *link, toServer, again bool) (moved bool) {
	queue, at, other := &l.toSubscriber, l.subscriber, l.server
	if toServer {
		queue, at, other = &l.toServer, l.server, l.subscriber
	}
	if len(*queue) == 0 {
		return false
	}
	m := (*queue)[0]
	*queue = (*queue)[1:]
	w.handle(l, at, other, m)
	if _, isBatch := m.body.(Batch); isBatch && again && l.open {
		w.handle(l, at, other, m)
	}
	return true
}

func (w *world) handle(l *link, at, other *holder, m message) {
	way := &l.down
	if m.up {
		way = &l.up
	}
	answer := func(body any) {
		if at == l.server {
			l.toSubscriber = append(l.toSubscriber, message{m.up, body})
		} else {
			l.toServer = append(l.toServer, message{m.up, body})
		}
	}
	switch body := m.body.(type) {
	case Subscription:
		w.subscribed(l, at, other, body)
	case follow:
		w.followed(l, at, other, body)
	case Batch:
		got := way.receiver.ReceiveBatch(body)
		if body.IsComplete {
			back := l.up.id
			if m.up {
				back = l.down.id
			}
			at.pub.VectorLearned(back, body.Through)
		}
		at.took(got)
		answer(Acknowledgement{BatchNumber: body.Number, Applied: at.store.Vector().Clone()})
	case Acknowledgement:
		at.pub.BatchAcknowledged(w.now, way.id, body)
		at.took(BatchResult{})
	case Digests:
		services, total, _ := way.receiver.CompareDigests(body)
		at.took(BatchResult{})
		if total {
			answer(askDigests{})
		} else if len(services) > 0 {
			answer(services)
		}
	case []string:
		at.pub.ResyncSubscriber(w.now, way.id, body)
	case askDigests:
		answer(Digests{Services: at.pub.ServiceDigests()})
	}
}

func (w *world) subscribed(l *link, at, other *holder, asked Subscription) {
	l.down.id = at.pub.Subscribe(w.now, asked)
	at.routes[l.down.id] = route{l, false}
	at.took(BatchResult{})
	if asked.Role == RoleNode && !at.store.IsBehind(asked.Vector) {
		return
	}
	l.up.receiver = NewReceiver(at.store)
	l.toSubscriber = append(l.toSubscriber, message{true, follow{at.store.Vector().Clone()}})
}

func (w *world) followed(l *link, at, other *holder, asked follow) {
	s := Subscription{Name: other.name, Role: RoleControl, AllServices: true, Vector: asked.vector}
	if at.role == RoleNode {
		l.up.id = at.pub.SubscribePartial(w.now, s)
	} else {
		l.up.id = at.pub.Subscribe(w.now, s)
	}
	at.routes[l.up.id] = route{l, true}
	at.took(BatchResult{})
}

// converge connects all and runs until nothing is sent any more and all digests agree.
func (w *world) converge() {
	for _, l := range w.links {
		w.open(l)
	}
	quiet := 0
	for round := 0; quiet < 4; round++ {
		if round > 3000 {
			w.fail("it does not converge")
			return
		}
		moved := false
		for _, h := range w.holders {
			moved = h.sendDue(100) || moved
		}
		if !moved {
			w.now += time.Second
		}
		before := w.sum()
		for _, l := range w.links {
			for w.deliver(l, true, false) || w.deliver(l, false, false) {
			}
		}
		if w.sum() != before || w.busy() {
			quiet = 0
			continue
		}
		w.now += digestInterval
		quiet++
	}
}

func (w *world) busy() bool {
	for _, h := range w.holders {
		for _, s := range h.pub.subscriptions {
			if s.hasPending(freshLane) || s.hasPending(catchUpLane) || len(s.inFlight.batches) > 0 {
				return true
			}
		}
	}
	return false
}

func (w *world) sum() string {
	text := ""
	for _, h := range w.holders {
		text += fmt.Sprintf("%x %d ", h.store.TotalDigest(), h.store.Vector().Total())
	}
	return text
}

// winners returns the greatest version of each key that anybody holds, or that was forgotten as deleted while there is still a
// control process that covers it.
func (w *world) winners() map[Key]Entry {
	best := map[Key]Entry{}
	for k, e := range w.pruned {
		if w.covered(e) {
			best[k] = e
		}
	}
	for _, h := range w.holders {
		for _, e := range held(h.store) {
			if Compare(best[e.Key], e) < 0 {
				best[e.Key] = e
			}
		}
	}
	return best
}

func (w *world) covered(e Entry) bool {
	return slices.ContainsFunc(w.holders, func(h *holder) bool { return h.role == RoleControl && h.store.Vector().Covers(e) })
}

// check has each holder hold just the winners of its services.
func (w *world) check(expected map[Key]Entry) {
	for _, h := range w.holders {
		for k, e := range expected {
			if h.role == RoleNode && !slices.Contains(h.services, k.Service) {
				continue
			}
			got, ok := h.store.Entry(k)
			if e.Deleted {
				if ok && !got.Deleted {
					w.fail("%s: %s is back: holds %+v after %+v", h.name, k, got, e)
				}
				continue
			}
			if !ok || got.Deleted || Compare(got, e) < 0 || string(got.Value) != string(e.Value) {
				w.fail("%s: %s: holds %v %+v, want %+v", h.name, k, ok, got, e)
			}
		}
		for _, e := range held(h.store) {
			if h.role == RoleNode && !slices.Contains(h.services, e.Key.Service) {
				w.fail("%s: holds %s of another's", h.name, e.Key)
			}
			if _, ok := expected[e.Key]; !ok {
				w.fail("%s: holds %+v that nobody pendingWrites", h.name, e)
			}
		}
	}
}
