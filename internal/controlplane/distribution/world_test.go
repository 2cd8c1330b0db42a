package distribution

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// simulation contains processes and their connections in virtual time. Each connection preserves the order of its messages, and
// loses those in flight when it ends.
type simulation struct {
	fail        func(format string, args ...any)
	now         time.Duration
	processes   []*process
	links       []*link
	originCount uint64 // number of origins drawn
	writes      []Entry
	pruned      map[Key]Entry // by key, the greatest deletion that any process has pruned
}

// process is a control process or a node.
type process struct {
	w          *simulation
	name       string
	region     string
	role       Role
	services   []string
	store      *Store
	pub        *Publisher
	routes     map[SubscriptionID]route
	newest     map[Key]Entry // the greatest version of each key that it has stored
	savedDisks []*disk
}

type route struct {
	l  *link
	up bool // the batches are sent from the subscriber to the server
}

// disk is the state that a process has saved.
type disk struct {
	entries  []Entry
	vector   Vector
	pruned   Vector
	missing  []string
	services []string
}

// link is a possible connection of a subscriber to a server.
type link struct {
	subscriber, server *process
	open               bool
	down, up           direction
	toSubscriber       []message
	toServer           []message
}

// direction is the state of the batches that are sent in one direction of a link.
type direction struct {
	id       SubscriptionID
	receiver *Receiver
}

// message contains a Subscription, pullRequest, Batch, Acknowledgement, Digests, []string (services to send in full) or digestRequest.
type message struct {
	up   bool // belongs to the batches that are sent from the subscriber to the server
	body any
}

type (
	pullRequest   struct{ vector Vector } // request of a server for the entries that it lacks
	digestRequest struct{}                // request for the digests of all services
)

func newSimulation(fail func(format string, args ...any)) *simulation {
	return &simulation{fail: fail, pruned: map[Key]Entry{}}
}

func (w *simulation) wall() time.Time { return wall.Add(w.now) }

func (w *simulation) add(name, region string, role Role, services ...string) *process {
	h := &process{w: w, name: name, region: region, role: role, services: services}
	h.start(nil)
	w.processes = append(w.processes, h)
	return h
}

func (w *simulation) connectable(subscriber *process, servers ...*process) {
	for _, s := range servers {
		w.links = append(w.links, &link{subscriber: subscriber, server: s})
	}
}

// chain returns a simulation of a root, a relay that subscribes to it, and a node of service a that subscribes to the relay.
func chain(t *testing.T) (w *simulation, root, relay, node *process) {
	w = newSimulation(t.Fatalf)
	root = w.add("root", "", RoleControl)
	relay = w.add("relay", "", RoleControl)
	node = w.add("node", "", RoleNode, "a")
	w.connectable(relay, root)
	w.connectable(node, relay)
	return w, root, relay, node
}

// start starts a process from a saved disk, or from an empty one.
func (h *process) start(d *disk) {
	origin := Origin("")
	if h.role == RoleControl {
		h.w.originCount++
		origin = NewOrigin(h.name, h.w.originCount)
	}
	h.store = NewStore(origin, Limits{})
	h.newest = map[Key]Entry{}
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
	for _, e := range allEntries(h.store) {
		h.newest[e.Key] = e
	}
	h.pub = NewPublisher(h.store, Budget{})
	h.routes = map[SubscriptionID]route{}
}

func (h *process) disk() *disk {
	d := &disk{vector: h.store.Vector().Clone(), pruned: h.store.Pruned().Clone(), missing: h.store.UnsyncedServices(),
		services: slices.Clone(h.services)}
	d.entries = allEntries(h.store)
	return d
}

// allEntries returns all entries of a store, deletions included.
func allEntries(s *Store) (entries []Entry) {
	for _, k := range s.KeysSince(nil, nil, true) {
		e, _ := s.Entry(k)
		entries = append(entries, e)
	}
	return entries
}

func (h *process) restart(d *disk) {
	for _, l := range h.w.links {
		if l.subscriber == h || l.server == h {
			h.w.close(l)
		}
	}
	h.start(d)
}

func (w *simulation) open(l *link) {
	if l.open {
		return
	}
	l.open = true
	s := l.subscriber
	l.down.receiver = NewReceiver(s.store)
	l.toServer = append(l.toServer, message{body: Subscription{Name: s.name, Role: s.role, Services: s.services, AllServices: s.role == RoleControl,
		Vector: s.store.Vector().Clone(), UnsyncedServices: s.store.UnsyncedServices()}})
}

func (w *simulation) close(l *link) {
	if !l.open {
		return
	}
	l.server.pub.Unsubscribe(l.down.id)
	l.subscriber.pub.Unsubscribe(l.up.id)
	delete(l.server.routes, l.down.id)
	delete(l.subscriber.routes, l.up.id)
	*l = link{subscriber: l.subscriber, server: l.server}
}

// write applies changes at a control process.
func (h *process) write(changes ...Change) {
	entries, err := h.store.Write(h.w.wall(), changes)
	if err != nil {
		h.w.fail("%s: write: %v", h.name, err)
		return
	}
	h.w.writes = append(h.w.writes, entries...)
	h.applyResult(BatchResult{Changed: entries})
}

// checkCoverage verifies the vector: for each covered write the store must have that version of the key or a greater one, or
// cover a later deletion.
func (h *process) checkCoverage() {
	for _, e := range h.w.writes {
		if !h.store.IsInScope(e.Key.Service) || !h.store.covers(e) {
			continue
		}
		if got, ok := h.store.Entry(e.Key); ok && Compare(got, e) >= 0 || e.Deleted && !ok {
			continue
		}
		if !slices.ContainsFunc(h.w.writes, func(d Entry) bool { return d.Key == e.Key && d.Deleted && Compare(d, e) > 0 && h.store.covers(d) }) {
			h.w.fail("%s: vector covers %+v, but the store lacks it", h.name, e)
		}
	}
}

// applyResult publishes the changes of a store, and verifies the invariants of the process.
func (h *process) applyResult(got BatchResult) {
	for _, e := range got.Changed {
		before, ok := h.newest[e.Key]
		if c := Compare(before, e); ok && (c > 0 || c == 0 && !e.Deleted) { // a pruned deletion may be received again
			h.w.fail("%s: replaced %+v by the older %+v", h.name, before, e)
		}
		h.newest[e.Key] = e
	}
	h.pub.EntriesChanged(h.w.now, got.Changed)
	h.pub.ResyncServices(h.w.now, got.ResyncServices)
	if got.IsComplete {
		h.checkCoverage()
	}
	if h.store.IsStale() {
		h.w.fail("%s: origin is stale although it was drawn at the start", h.name)
	}
}

func (h *process) prune(olderThan uint64) {
	before := map[Key]Entry{}
	for _, e := range allEntries(h.store) {
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

// sendDue sends up to maxBatches batches and the digests that are due, and reports whether it sent any message.
func (h *process) sendDue(maxBatches int) (moved bool) {
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

func (h *process) sendTo(id SubscriptionID, body any) {
	r, ok := h.routes[id]
	if !ok {
		h.w.fail("%s: message for an unknown subscription", h.name)
		return
	}
	if r.up {
		r.l.toServer = append(r.l.toServer, message{true, body})
	} else {
		r.l.toSubscriber = append(r.l.toSubscriber, message{false, body})
	}
}

// deliver delivers the first message in one direction of a link, a batch twice if again is set. It reports whether there was one.
func (w *simulation) deliver(l *link, toServer, again bool) (moved bool) {
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

func (w *simulation) handle(l *link, at, other *process, m message) {
	side := &l.down
	if m.up {
		side = &l.up
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
		w.handleSubscription(l, at, other, body)
	case pullRequest:
		w.handlePull(l, at, other, body)
	case Batch:
		got := side.receiver.ReceiveBatch(body)
		if body.IsComplete {
			back := l.up.id
			if m.up {
				back = l.down.id
			}
			at.pub.VectorLearned(back, body.Through)
		}
		at.applyResult(got)
		answer(Acknowledgement{BatchNumber: body.Number, Applied: at.store.Vector().Clone()})
	case Acknowledgement:
		at.pub.BatchAcknowledged(w.now, side.id, body)
		at.applyResult(BatchResult{})
	case Digests:
		services, total, _ := side.receiver.CompareDigests(body)
		at.applyResult(BatchResult{})
		if total {
			answer(digestRequest{})
		} else if len(services) > 0 {
			answer(services)
		}
	case []string:
		at.pub.ResyncSubscriber(w.now, side.id, body)
	case digestRequest:
		answer(Digests{Services: at.pub.ServiceDigests()})
	}
}

func (w *simulation) handleSubscription(l *link, at, other *process, request Subscription) {
	l.down.id = at.pub.Subscribe(w.now, request)
	at.routes[l.down.id] = route{l, false}
	at.applyResult(BatchResult{})
	if request.Role == RoleNode && !at.store.IsBehind(request.Vector) {
		return
	}
	l.up.receiver = NewReceiver(at.store)
	l.toSubscriber = append(l.toSubscriber, message{true, pullRequest{at.store.Vector().Clone()}})
}

func (w *simulation) handlePull(l *link, at, other *process, request pullRequest) {
	s := Subscription{Name: other.name, Role: RoleControl, AllServices: true, Vector: request.vector}
	if at.role == RoleNode {
		l.up.id = at.pub.SubscribePartial(w.now, s)
	} else {
		l.up.id = at.pub.Subscribe(w.now, s)
	}
	at.routes[l.up.id] = route{l, true}
	at.applyResult(BatchResult{})
}

// converge opens all links and runs until no message is sent and no store changes over several digest intervals.
func (w *simulation) converge() {
	for _, l := range w.links {
		w.open(l)
	}
	idleRounds := 0
	for round := 0; idleRounds < 4; round++ {
		if round > 3000 {
			w.fail("stores have not converged after 3000 rounds")
			return
		}
		moved := false
		for _, h := range w.processes {
			moved = h.sendDue(100) || moved
		}
		if !moved {
			w.now += time.Second
		}
		before := w.fingerprint()
		for _, l := range w.links {
			for w.deliver(l, true, false) || w.deliver(l, false, false) {
			}
		}
		if w.fingerprint() != before || w.busy() {
			idleRounds = 0
			continue
		}
		w.now += digestInterval
		idleRounds++
	}
}

func (w *simulation) busy() bool {
	for _, h := range w.processes {
		for _, s := range h.pub.subscriptions {
			if s.hasPending(freshLane) || s.hasPending(catchUpLane) || len(s.inFlight.batches) > 0 {
				return true
			}
		}
	}
	return false
}

func (w *simulation) fingerprint() string {
	text := ""
	for _, h := range w.processes {
		text += fmt.Sprintf("%x %d ", h.store.TotalDigest(), h.store.Vector().Total())
	}
	return text
}

// winners returns the greatest version of each key that any process has stored, or that was pruned as a deletion while a control
// process still covers it.
func (w *simulation) winners() map[Key]Entry {
	best := map[Key]Entry{}
	for k, e := range w.pruned {
		if w.covered(e) {
			best[k] = e
		}
	}
	for _, h := range w.processes {
		for _, e := range allEntries(h.store) {
			if Compare(best[e.Key], e) < 0 {
				best[e.Key] = e
			}
		}
	}
	return best
}

func (w *simulation) covered(e Entry) bool {
	return slices.ContainsFunc(w.processes, func(h *process) bool { return h.role == RoleControl && h.store.Vector().Covers(e) })
}

// check verifies that each process has exactly the winning entries of its services.
func (w *simulation) check(expected map[Key]Entry) {
	for _, h := range w.processes {
		for k, e := range expected {
			if h.role == RoleNode && !slices.Contains(h.services, k.Service) {
				continue
			}
			got, ok := h.store.Entry(k)
			if e.Deleted {
				if ok && !got.Deleted {
					w.fail("%s: %s: got %+v after the deletion %+v", h.name, k, got, e)
				}
				continue
			}
			if !ok || got.Deleted || Compare(got, e) < 0 || string(got.Value) != string(e.Value) {
				w.fail("%s: %s: got (stored %v) %+v, want %+v", h.name, k, ok, got, e)
			}
		}
		for _, e := range allEntries(h.store) {
			if h.role == RoleNode && !slices.Contains(h.services, e.Key.Service) {
				w.fail("%s: stores %s of a service that it does not subscribe to", h.name, e.Key)
			}
			if _, ok := expected[e.Key]; !ok {
				w.fail("%s: stores %+v, which no process has written", h.name, e)
			}
		}
	}
}
