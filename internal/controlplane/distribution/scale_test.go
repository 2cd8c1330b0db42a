package distribution

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	withinZone    = 1 * time.Millisecond  // one way
	betweenRegion = 40 * time.Millisecond // one way
	applyDelay    = 20 * time.Millisecond // at a node or relay, before it acknowledges
	maxApplyDelay = 6 * time.Second       // the operators' figure
)

// fleet is the tree in virtual time: publishers, stores of control processes and receivers of these are the real ones;
// nodes only count what they are sent and acknowledge.
type fleet struct {
	t             *testing.T
	now           time.Duration
	events        events
	order         int
	controls      []*control
	nodes         []*countingNode
	pendingWrites map[uint64]*pendingWrite // by sequence of the root that writes
}

// pendingWrite is a change that nodes are to apply.
type pendingWrite struct {
	at    time.Duration
	need  int
	times []time.Duration
}

type control struct {
	f         *fleet
	store     *Store
	pub       *Publisher
	receive   map[SubscriptionID]func(SubscriptionID, Batch)
	out       []int // bytes by second
	sendAt    time.Duration
	isSendSet bool
	receiver  *Receiver
}

type countingNode struct {
	services []string
	in       map[int]int // bytes by second
	current  time.Duration
	entries  int
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (f *fleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.events, event{f.now + d, f.order, do})
}

func (f *fleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

func (f *fleet) control(entries []Entry, vector Vector, name string) *control {
	c := &control{f: f, store: NewStore(NewOrigin(name, 1), Limits{}), receive: map[SubscriptionID]func(SubscriptionID, Batch){}}
	c.store.Restore(entries, vector, nil)
	c.pub = NewPublisher(c.store, Budget{})
	f.controls = append(f.controls, c)
	return c
}

// sendDue sends all that may be sent now, and runs again when the publisher says.
func (c *control) sendDue() {
	for {
		id, b, ok, wait := c.pub.NextBatch(c.f.now)
		if ok {
			second := int(c.f.now / time.Second)
			for len(c.out) <= second {
				c.out = append(c.out, 0)
			}
			c.out[second] += b.Size()
			c.receive[id](id, b)
			continue
		}
		if wait == WaitForever || c.isSendSet && c.sendAt <= c.f.now+wait {
			return
		}
		at := c.f.now + wait
		c.sendAt, c.isSendSet = at, true
		c.f.after(wait, func() {
			if c.isSendSet && c.sendAt == at {
				c.isSendSet = false
				c.sendDue()
			}
		})
		return
	}
}

// follow has one control process subscribe to another.
func (c *control) follow(up *control, latency time.Duration) {
	c.receiver = NewReceiver(c.store)
	id := up.pub.Subscribe(c.f.now, Subscription{Name: string(c.store.Origin()), Role: RoleControl, AllServices: true, Vector: c.store.Vector().Clone()})
	up.receive[id] = func(id SubscriptionID, b Batch) {
		c.f.after(latency, func() {
			got := c.receiver.ReceiveBatch(b)
			c.pub.EntriesChanged(c.f.now, got.Changed)
			c.sendDue()
			vector := c.store.Vector().Clone()
			c.f.after(latency+applyDelay, func() {
				up.pub.BatchAcknowledged(c.f.now, id, Acknowledgement{BatchNumber: b.Number, Applied: vector})
				up.sendDue()
			})
		})
	}
	up.sendDue()
}

func (n *countingNode) follow(f *fleet, up *control, vector Vector) {
	id := up.pub.Subscribe(f.now, Subscription{Name: fmt.Sprintf("node %p", n), Role: RoleNode, Services: n.services, Vector: vector})
	up.receive[id] = func(id SubscriptionID, b Batch) {
		f.after(withinZone, func() {
			n.in[int(f.now/time.Second)] += b.Size()
			n.entries += len(b.Entries)
			f.after(applyDelay, func() { n.inForce(f, b) })
			f.after(applyDelay+withinZone, func() {
				up.pub.BatchAcknowledged(f.now, id, Acknowledgement{BatchNumber: b.Number})
				up.sendDue()
			})
		})
	}
	up.sendDue()
}

func (n *countingNode) inForce(f *fleet, b Batch) {
	if b.IsComplete && n.current == 0 {
		n.current = f.now
	}
	for _, e := range b.Entries {
		if w := f.pendingWrites[e.Sequence]; w != nil && e.Origin == f.controls[0].store.Origin() {
			w.times = append(w.times, f.now-w.at)
		}
	}
}

// write changes one entry at the first root.
func (f *fleet) write(k Key, value string) {
	root := f.controls[0]
	e := writeOne(f.t, root.store, wall.Add(f.now), k, value)
	w := &pendingWrite{at: f.now}
	for _, n := range f.nodes {
		if slices.Contains(n.services, k.Service) {
			w.need++
		}
	}
	f.pendingWrites[e.Sequence] = w
	root.pub.EntriesChanged(f.now, []Entry{e})
	root.sendDue()
}

// size of a fleet to be simulated.
type fleetSize struct {
	nodes, services, perService, ofNode int
}

const zones = 6

func playedFleet(t *testing.T, size fleetSize, rng *rand.Rand) *fleet {
	f := &fleet{t: t, pendingWrites: map[uint64]*pendingWrite{}}
	origin := NewOrigin("writer", 7)
	var entries []Entry
	value := make([]byte, 60)
	for s := range size.services {
		for i := range size.perService {
			entries = append(entries, Entry{Key: key(fmt.Sprintf("service-%d", s), fmt.Sprintf("server-%d", i)), Clock: ClockAt(wall), Origin: origin,
				Sequence: uint64(len(entries) + 1), Value: value})
		}
	}
	vector := Vector{origin: uint64(len(entries))}
	for i := range 3 {
		f.control(entries, vector, fmt.Sprintf("root-%d", i))
	}
	for i := range 3 {
		if i > 0 {
			f.controls[i].follow(f.controls[0], betweenRegion)
		}
	}
	for i := range zones {
		f.control(entries, vector, fmt.Sprintf("relay-%d", i)).follow(f.controls[i%3], withinZone)
	}
	for range size.nodes {
		n := &countingNode{services: []string{""}, in: map[int]int{}}
		for range size.ofNode {
			n.services = append(n.services, fmt.Sprintf("service-%d", rng.IntN(size.services)))
		}
		f.nodes = append(f.nodes, n)
	}
	return f
}

// times returns when each node applied each change, in order; a change that is not applied everywhere fails.
func (f *fleet) times() (all []time.Duration) {
	for sequence, w := range f.pendingWrites {
		if len(w.times) < w.need {
			f.t.Errorf("change %d is in force at %d of %d nodes", sequence, len(w.times), w.need)
		}
		all = append(all, w.times...)
	}
	slices.Sort(all)
	clear(f.pendingWrites)
	return all
}

func (f *fleet) say(what string, from, to time.Duration) {
	all := f.times()
	if len(all) == 0 {
		f.t.Fatalf("%s: no change came anywhere", what)
	}
	most, sum, outMost := 0, 0, 0
	for _, n := range f.nodes {
		for second := int(from / time.Second); second < int(to/time.Second); second++ {
			most = max(most, n.in[second])
			sum += n.in[second]
		}
	}
	for _, c := range f.controls {
		for second := int(from / time.Second); second < min(int(to/time.Second), len(c.out)); second++ {
			outMost = max(outMost, c.out[second])
		}
	}
	last := all[len(all)-1]
	f.t.Logf("%s: to a node %.0f bytes a second in the mean, %d in the worst second; from a control process %d in its worst second; in force p50 %v, p99 %v, last %v (%d)",
		what, float64(sum)/float64(len(f.nodes))/(to-from).Seconds(), most, outMost, all[len(all)/2], all[len(all)*99/100], last, len(all))
	if last > maxApplyDelay {
		f.t.Errorf("%s: the last change came after %v, must %v", what, last, maxApplyDelay)
	}
	if most > 3*defaultNodeBytes+defaultNodeBytes/2 { // a second's budget, what was saved up, what a fresh change may take in advance, a piece
		f.t.Errorf("%s: a node was sent %d bytes in a second", what, most)
	}
	if outMost > defaultTotalBytes*5/4+maxBatchBytes { // and what was saved up, and one batch
		f.t.Errorf("%s: a control process sent %d bytes in a second", what, outMost)
	}
}

// TestFleetInVirtualTime starts all nodes at once with empty disks while changes go on, then plays a day's rate of changes
// and a burst. Each change must be applied at the last node in time.
func TestFleetInVirtualTime(t *testing.T) {
	size := fleetSize{nodes: 5800, services: 6000, perService: 33, ofNode: 8}
	if raceEnabled { // a tenth: it takes minutes there
		size = fleetSize{nodes: 580, services: 600, perService: 33, ofNode: 8}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	f := playedFleet(t, size, rng)
	f.run(time.Second)
	for i, n := range f.nodes {
		n.follow(f, f.controls[3+i%zones], nil)
	}
	change := func(service string) {
		f.write(key(service, fmt.Sprintf("server-%d", rng.IntN(size.perService))), fmt.Sprint(f.now))
	}
	service := func() string { return fmt.Sprintf("service-%d", rng.IntN(size.services)) }
	for second := 1; second <= 10; second++ { // one for all nodes and five for some, each second
		f.after(time.Duration(second)*time.Second-f.now, func() {
			change("")
			for range 5 {
				change(service())
			}
		})
	}
	f.run(30 * time.Second)
	var current []time.Duration
	for _, n := range f.nodes {
		if n.current == 0 {
			t.Fatal("a node is never current")
		}
		current = append(current, n.current-time.Second)
	}
	slices.Sort(current)
	t.Logf("start of %d nodes with empty disks: current p50 %v, p99 %v, last %v", size.nodes, current[len(current)/2],
		current[len(current)*99/100], current[len(current)-1])
	f.say("start of all", time.Second, 30*time.Second)
	const day = 8500
	for i := range 60 * day / 86400 { // a minute of a day's rate
		f.after(time.Duration(i)*86400*time.Second/day, func() { change(service()) })
	}
	f.run(95 * time.Second)
	f.say("a day's rate", 30*time.Second, 95*time.Second)
	for range day / 20 { // a twentieth of a day's changes in one second, every twentieth of them for all nodes
		f.after(time.Duration(rng.IntN(1000))*time.Millisecond, func() {
			if rng.IntN(20) == 0 {
				change("")
			} else {
				change(service())
			}
		})
	}
	f.run(120 * time.Second)
	f.say("a twentieth of a day's changes in a second", 95*time.Second, 120*time.Second)
}
