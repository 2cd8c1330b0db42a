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
	withinZone    = 1 * time.Millisecond  // one-way latency
	betweenRegion = 40 * time.Millisecond // one-way latency
	applyDelay    = 20 * time.Millisecond // before a node or relay acknowledges
	maxApplyDelay = 6 * time.Second       // target for a change to take effect on all nodes
)

// fleet simulates control processes and nodes in virtual time. Control processes use real stores, publishers and receivers;
// nodes only count received bytes and acknowledge.
type fleet struct {
	t             *testing.T
	now           time.Duration
	events        events
	order         int
	controls      []*control
	nodes         []*countingNode
	pendingWrites map[uint64]*pendingWrite // by sequence of the writing root
}

// pendingWrite is a change that nodes must apply.
type pendingWrite struct {
	at    time.Duration
	need  int             // number of nodes that must apply it
	times []time.Duration // from the write to the application by each node
}

type control struct {
	f         *fleet
	store     *Store
	pub       *Publisher
	receive   map[SubscriptionID]func(SubscriptionID, Batch)
	out       []int // sent bytes, by second
	sendAt    time.Duration
	isSendSet bool
	receiver  *Receiver
}

type countingNode struct {
	services []string
	in       map[int]int   // received bytes, by second
	current  time.Duration // time of the first complete batch
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

// sendDue sends all batches that may be sent now, and schedules the next call at the time that the publisher returns.
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

// follow subscribes one control process to another.
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
			f.after(applyDelay, func() { n.applyBatch(f, b) })
			f.after(applyDelay+withinZone, func() {
				up.pub.BatchAcknowledged(f.now, id, Acknowledgement{BatchNumber: b.Number})
				up.sendDue()
			})
		})
	}
	up.sendDue()
}

func (n *countingNode) applyBatch(f *fleet, b Batch) {
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

// fleetSize is the size of a simulated fleet.
type fleetSize struct {
	nodes, services, perService, ofNode int
}

const zones = 6

func newFleet(t *testing.T, size fleetSize, rng *rand.Rand) *fleet {
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

// times returns the sorted delays with which each node applied each change. A change that was not applied by all its nodes fails
// the test.
func (f *fleet) times() (all []time.Duration) {
	for sequence, w := range f.pendingWrites {
		if len(w.times) < w.need {
			f.t.Errorf("change %d was applied by %d of %d nodes, want all", sequence, len(w.times), w.need)
		}
		all = append(all, w.times...)
	}
	slices.Sort(all)
	clear(f.pendingWrites)
	return all
}

func (f *fleet) report(what string, from, to time.Duration) {
	all := f.times()
	if len(all) == 0 {
		f.t.Fatalf("%s: no change was applied by any node", what)
	}
	nodeMax, sum, controlMax := 0, 0, 0
	for _, n := range f.nodes {
		for second := int(from / time.Second); second < int(to/time.Second); second++ {
			nodeMax = max(nodeMax, n.in[second])
			sum += n.in[second]
		}
	}
	for _, c := range f.controls {
		for second := int(from / time.Second); second < min(int(to/time.Second), len(c.out)); second++ {
			controlMax = max(controlMax, c.out[second])
		}
	}
	last := all[len(all)-1]
	f.t.Logf("%s: bytes per second to a node: mean %.0f, maximum %d; from a control process: maximum %d; delay of changes: p50 %v, p99 %v, maximum %v (%d samples)",
		what, float64(sum)/float64(len(f.nodes))/(to-from).Seconds(), nodeMax, controlMax, all[len(all)/2], all[len(all)*99/100], last, len(all))
	if last > maxApplyDelay {
		f.t.Errorf("%s: got a maximum delay of %v, want at most %v", what, last, maxApplyDelay)
	}
	if nodeMax > 3*defaultNodeBytes+defaultNodeBytes/2 { // a second's budget, the burst, the overdraft of fresh changes, and a catch-up batch
		f.t.Errorf("%s: got %d bytes to a node in one second, above the limit", what, nodeMax)
	}
	if controlMax > defaultTotalBytes*5/4+maxBatchBytes { // a second's budget, the burst, and one batch
		f.t.Errorf("%s: got %d bytes from a control process in one second, above the limit", what, controlMax)
	}
}

// TestFleetInVirtualTime starts all nodes simultaneously with empty disks during ongoing changes, then applies changes at
// the rate of a day, and a burst. Each change must be applied by its last node within maxApplyDelay.
func TestFleetInVirtualTime(t *testing.T) {
	size := fleetSize{nodes: 5800, services: 6000, perService: 33, ofNode: 8}
	if raceEnabled { // a tenth of the size: the full test takes minutes under the race detector
		size = fleetSize{nodes: 580, services: 600, perService: 33, ofNode: 8}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	f := newFleet(t, size, rng)
	f.run(time.Second)
	for i, n := range f.nodes {
		n.follow(f, f.controls[3+i%zones], nil)
	}
	change := func(service string) {
		f.write(key(service, fmt.Sprintf("server-%d", rng.IntN(size.perService))), fmt.Sprint(f.now))
	}
	service := func() string { return fmt.Sprintf("service-%d", rng.IntN(size.services)) }
	for second := 1; second <= 10; second++ { // each second one change for all nodes, and five for the nodes of one service
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
			t.Fatal("node has not received a complete batch within 30s")
		}
		current = append(current, n.current-time.Second)
	}
	slices.Sort(current)
	t.Logf("start of %d nodes with empty disks: time until current p50 %v, p99 %v, maximum %v", size.nodes, current[len(current)/2],
		current[len(current)*99/100], current[len(current)-1])
	f.report("start of all", time.Second, 30*time.Second)
	const day = 8500
	for i := range 60 * day / 86400 { // one minute at the rate of a day
		f.after(time.Duration(i)*86400*time.Second/day, func() { change(service()) })
	}
	f.run(95 * time.Second)
	f.report("a day's rate", 30*time.Second, 95*time.Second)
	for range day / 20 { // a twentieth of a day's changes in one second, about one in twenty of them for all nodes
		f.after(time.Duration(rng.IntN(1000))*time.Millisecond, func() {
			if rng.IntN(20) == 0 {
				change("")
			} else {
				change(service())
			}
		})
	}
	f.run(120 * time.Second)
	f.report("a twentieth of a day's changes in a second", 95*time.Second, 120*time.Second)
}
