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
	sim        *simulation
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

func (sim *simulation) wall() time.Time { return wall.Add(sim.now) }

func (sim *simulation) add(name, region string, role Role, services ...string) *process {
	p := &process{sim: sim, name: name, region: region, role: role, services: services}
	p.start(nil)
	sim.processes = append(sim.processes, p)
	return p
}

func (sim *simulation) addLinks(subscriber *process, servers ...*process) {
	for _, s := range servers {
		sim.links = append(sim.links, &link{subscriber: subscriber, server: s})
	}
}

// chain returns a simulation of a root, a relay that subscribes to it, and a node of service a that subscribes to the relay.
func chain(t *testing.T) (sim *simulation, root, relay, node *process) {
	sim = newSimulation(t.Fatalf)
	root = sim.add("root", "", RoleControl)
	relay = sim.add("relay", "", RoleControl)
	node = sim.add("node", "", RoleNode, "a")
	sim.addLinks(relay, root)
	sim.addLinks(node, relay)
	return sim, root, relay, node
}

// start starts a process from a saved disk, or from an empty one.
func (p *process) start(d *disk) {
	origin := Origin("")
	if p.role == RoleControl {
		p.sim.originCount++
		origin = NewOrigin(p.name, p.sim.originCount)
	}
	p.store = NewStore(origin, Limits{})
	p.newest = map[Key]Entry{}
	if d != nil {
		p.store.Restore(d.entries, d.vector, d.pruned)
	}
	if p.role == RoleNode {
		if d != nil {
			p.store.SetScope(d.services)
			p.store.MarkUnsynced(d.missing)
		}
		p.store.SetScope(p.services)
	}
	for _, e := range allEntries(p.store) {
		p.newest[e.Key] = e
	}
	p.pub = NewPublisher(p.store, Budget{})
	p.routes = map[SubscriptionID]route{}
}

func (p *process) disk() *disk {
	d := &disk{vector: p.store.Vector().Clone(), pruned: p.store.Pruned().Clone(), missing: p.store.UnsyncedServices(),
		services: slices.Clone(p.services)}
	d.entries = allEntries(p.store)
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

func (p *process) restart(d *disk) {
	for _, l := range p.sim.links {
		if l.subscriber == p || l.server == p {
			p.sim.close(l)
		}
	}
	p.start(d)
}

func (sim *simulation) open(l *link) {
	if l.open {
		return
	}
	l.open = true
	s := l.subscriber
	l.down.receiver = NewReceiver(s.store)
	l.toServer = append(l.toServer, message{body: Subscription{Name: s.name, Role: s.role, Services: s.services, AllServices: s.role == RoleControl,
		Vector: s.store.Vector().Clone(), UnsyncedServices: s.store.UnsyncedServices()}})
}

func (sim *simulation) close(l *link) {
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
func (p *process) write(changes ...Change) {
	entries, err := p.store.Write(p.sim.wall(), changes)
	if err != nil {
		p.sim.fail("%s: write: %v", p.name, err)
		return
	}
	p.sim.writes = append(p.sim.writes, entries...)
	p.applyResult(BatchResult{Changed: entries})
}

// checkCoverage verifies the vector: for each covered write the store must have that version of the key or a greater one, or
// cover a later deletion.
func (p *process) checkCoverage() {
	for _, e := range p.sim.writes {
		if !p.store.IsInScope(e.Key.Service) || !p.store.covers(e) {
			continue
		}
		if got, ok := p.store.Entry(e.Key); ok && Compare(got, e) >= 0 || e.Deleted && !ok {
			continue
		}
		if !slices.ContainsFunc(p.sim.writes, func(d Entry) bool { return d.Key == e.Key && d.Deleted && Compare(d, e) > 0 && p.store.covers(d) }) {
			p.sim.fail("%s: vector covers %+v, but the store lacks it", p.name, e)
		}
	}
}

// applyResult publishes the changes of a store, and verifies the invariants of the process.
func (p *process) applyResult(got BatchResult) {
	for _, e := range got.Changed {
		before, ok := p.newest[e.Key]
		if c := Compare(before, e); ok && (c > 0 || c == 0 && !e.Deleted) { // a pruned deletion may be received again
			p.sim.fail("%s: replaced %+v by the older %+v", p.name, before, e)
		}
		p.newest[e.Key] = e
	}
	p.pub.EntriesChanged(p.sim.now, got.Changed)
	p.pub.ResyncServices(p.sim.now, got.ResyncServices)
	if got.IsComplete {
		p.checkCoverage()
	}
	if p.store.IsStale() {
		p.sim.fail("%s: origin is stale although it was drawn at the start", p.name)
	}
}

func (p *process) prune(olderThan uint64) {
	before := map[Key]Entry{}
	for _, e := range allEntries(p.store) {
		before[e.Key] = e
	}
	keys := p.store.PruneDeletions(olderThan)
	for _, k := range keys {
		if e := before[k]; Compare(p.sim.pruned[k], e) < 0 {
			p.sim.pruned[k] = e
		}
	}
	p.pub.DeletionsPruned(p.sim.now, keys)
}

// sendDue sends up to maxBatches batches and the digests that are due, and reports whether it sent any message.
func (p *process) sendDue(maxBatches int) (moved bool) {
	for range maxBatches {
		id, b, ok, _ := p.pub.NextBatch(p.sim.now)
		if !ok {
			break
		}
		p.sendTo(id, b)
		moved = true
	}
	for {
		id, d, ok := p.pub.NextDigests(p.sim.now)
		if !ok {
			return moved
		}
		p.sendTo(id, d)
		moved = true
	}
}

func (p *process) sendTo(id SubscriptionID, body any) {
	r, ok := p.routes[id]
	if !ok {
		p.sim.fail("%s: message for an unknown subscription", p.name)
		return
	}
	if r.up {
		r.l.toServer = append(r.l.toServer, message{true, body})
	} else {
		r.l.toSubscriber = append(r.l.toSubscriber, message{false, body})
	}
}

// deliver delivers the first message in one direction of a link, a batch twice if isDuplicated. It reports whether there was one.
func (sim *simulation) deliver(l *link, toServer, isDuplicated bool) (moved bool) {
	queue, at, other := &l.toSubscriber, l.subscriber, l.server
	if toServer {
		queue, at, other = &l.toServer, l.server, l.subscriber
	}
	if len(*queue) == 0 {
		return false
	}
	m := (*queue)[0]
	*queue = (*queue)[1:]
	sim.handle(l, at, other, m)
	if _, isBatch := m.body.(Batch); isBatch && isDuplicated && l.open {
		sim.handle(l, at, other, m)
	}
	return true
}

func (sim *simulation) handle(l *link, at, other *process, m message) {
	side := &l.down
	if m.up {
		side = &l.up
	}
	respond := func(body any) {
		if at == l.server {
			l.toSubscriber = append(l.toSubscriber, message{m.up, body})
		} else {
			l.toServer = append(l.toServer, message{m.up, body})
		}
	}
	switch body := m.body.(type) {
	case Subscription:
		sim.handleSubscription(l, at, other, body)
	case pullRequest:
		sim.handlePull(l, at, other, body)
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
		respond(Acknowledgement{BatchNumber: body.Number, Applied: at.store.Vector().Clone()})
	case Acknowledgement:
		at.pub.BatchAcknowledged(sim.now, side.id, body)
		at.applyResult(BatchResult{})
	case Digests:
		services, total, _ := side.receiver.CompareDigests(body)
		at.applyResult(BatchResult{})
		if total {
			respond(digestRequest{})
		} else if len(services) > 0 {
			respond(services)
		}
	case []string:
		at.pub.ResyncSubscriber(sim.now, side.id, body)
	case digestRequest:
		respond(Digests{Services: at.pub.ServiceDigests()})
	}
}

func (sim *simulation) handleSubscription(l *link, at, other *process, request Subscription) {
	l.down.id = at.pub.Subscribe(sim.now, request)
	at.routes[l.down.id] = route{l, false}
	at.applyResult(BatchResult{})
	if request.Role == RoleNode && !at.store.IsBehind(request.Vector) {
		return
	}
	l.up.receiver = NewReceiver(at.store)
	l.toSubscriber = append(l.toSubscriber, message{true, pullRequest{at.store.Vector().Clone()}})
}

func (sim *simulation) handlePull(l *link, at, other *process, request pullRequest) {
	s := Subscription{Name: other.name, Role: RoleControl, AllServices: true, Vector: request.vector}
	if at.role == RoleNode {
		l.up.id = at.pub.SubscribePartial(sim.now, s)
	} else {
		l.up.id = at.pub.Subscribe(sim.now, s)
	}
	at.routes[l.up.id] = route{l, true}
	at.applyResult(BatchResult{})
}

// converge opens all links and runs until no message is sent and no store changes over several digest intervals.
func (sim *simulation) converge() {
	for _, l := range sim.links {
		sim.open(l)
	}
	idleRounds := 0
	for round := 0; idleRounds < 4; round++ {
		if round > 3000 {
			sim.fail("stores have not converged after 3000 rounds")
			return
		}
		moved := false
		for _, p := range sim.processes {
			moved = p.sendDue(100) || moved
		}
		if !moved {
			sim.now += time.Second
		}
		before := sim.fingerprint()
		for _, l := range sim.links {
			for sim.deliver(l, true, false) || sim.deliver(l, false, false) {
			}
		}
		if sim.fingerprint() != before || sim.hasPending() {
			idleRounds = 0
			continue
		}
		sim.now += digestInterval
		idleRounds++
	}
}

func (sim *simulation) hasPending() bool {
	for _, p := range sim.processes {
		for _, s := range p.pub.subscriptions {
			if s.hasPending(freshLane) || s.hasPending(catchUpLane) || len(s.inFlight.batches) > 0 {
				return true
			}
		}
	}
	return false
}

func (sim *simulation) fingerprint() string {
	text := ""
	for _, p := range sim.processes {
		text += fmt.Sprintf("%x %d ", p.store.TotalDigest(), p.store.Vector().Total())
	}
	return text
}

// winners returns the greatest version of each key that any process has stored, or that was pruned as a deletion while a control
// process still covers it.
func (sim *simulation) winners() map[Key]Entry {
	best := map[Key]Entry{}
	for k, e := range sim.pruned {
		if sim.isCovered(e) {
			best[k] = e
		}
	}
	for _, p := range sim.processes {
		for _, e := range allEntries(p.store) {
			if Compare(best[e.Key], e) < 0 {
				best[e.Key] = e
			}
		}
	}
	return best
}

func (sim *simulation) isCovered(e Entry) bool {
	return slices.ContainsFunc(sim.processes, func(p *process) bool { return p.role == RoleControl && p.store.Vector().Covers(e) })
}

// check verifies that each process has exactly the winning entries of its services.
func (sim *simulation) check(expected map[Key]Entry) {
	for _, p := range sim.processes {
		for k, e := range expected {
			if p.role == RoleNode && !slices.Contains(p.services, k.Service) {
				continue
			}
			got, ok := p.store.Entry(k)
			if e.Deleted {
				if ok && !got.Deleted {
					sim.fail("%s: %s: got %+v after the deletion %+v", p.name, k, got, e)
				}
				continue
			}
			if !ok || got.Deleted || Compare(got, e) < 0 || string(got.Value) != string(e.Value) {
				sim.fail("%s: %s: got (stored %v) %+v, want %+v", p.name, k, ok, got, e)
			}
		}
		for _, e := range allEntries(p.store) {
			if p.role == RoleNode && !slices.Contains(p.services, e.Key.Service) {
				sim.fail("%s: stores %s of a service that it does not subscribe to", p.name, e.Key)
			}
			if _, ok := expected[e.Key]; !ok {
				sim.fail("%s: stores %+v, which no process has written", p.name, e)
			}
		}
	}
}
