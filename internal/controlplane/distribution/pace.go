package distribution

import (
	"cmp"
	"container/heap"
	"time"
)

// What leaves a control process is paced in two lanes: fresh changes, and catch-ups. While both wait, fresh changes take
// freshShare bytes for each that catch-ups take; one lane alone takes all. Within a lane those that wait take turns, each of
// equal bytes. A subscriber's catch-up keeps to its own budget, and goes out in pieces of half a second of that; a fresh
// change may go out up to a second of budget earlier, so that a catch-up under way does not hold it back.
const (
	freshShare   = 3
	turnBytes    = 4 << 10                // of a subscriber's turn
	totalDepth   = 250 * time.Millisecond // of the whole budget may be saved up
	nodeDepth    = 1 * time.Second        // of a subscriber's
	freshAhead   = 1 * time.Second        // of a subscriber's budget that a fresh change may take in advance
	pieceFor     = 500 * time.Millisecond // of a subscriber's budget is a piece of its catch-up
	pieceLeast   = 4 << 10                // bytes
	outBytes     = 8 << 20                // a second, unless the budget says otherwise
	nodeBytes    = 16 << 10               // a second, the operators' figure
	controlBytes = 4 << 20                // a second, to another control process
)

// Budget is what may leave a control process, in bytes a second; a zero one is the default.
type Budget struct {
	TotalBytesPerSecond   int // in all
	NodeBytesPerSecond    int // to one node
	ControlBytesPerSecond int // to one control process, or a command that reads
}

func (b Budget) withDefaults() Budget {
	b.TotalBytesPerSecond = cmp.Or(b.TotalBytesPerSecond, outBytes)
	b.NodeBytesPerSecond = cmp.Or(b.NodeBytesPerSecond, nodeBytes)
	b.ControlBytesPerSecond = cmp.Or(b.ControlBytesPerSecond, controlBytes)
	return b
}

func (b Budget) of(r Role) int {
	if r == RoleControl || r == RoleReader {
		return b.ControlBytesPerSecond
	}
	return b.NodeBytesPerSecond
}

// bucket holds a budget that time fills. It may be overdrawn by one batch.
type bucket struct {
	rate   float64 // bytes a second
	depth  float64 // bytes
	tokens float64
	at     time.Duration
}

func newBucket(rate int, depth time.Duration) bucket {
	b := bucket{rate: float64(rate), depth: float64(rate) * depth.Seconds()}
	b.tokens = b.depth
	return b
}

func (b *bucket) fill(now time.Duration) {
	if now > b.at {
		b.tokens = min(b.depth, b.tokens+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// wait is how long until the bucket holds more than a least.
func (b *bucket) wait(now time.Duration, least float64) time.Duration {
	b.fill(now)
	if b.tokens > least {
		return 0
	}
	return time.Duration((least-b.tokens)/b.rate*float64(time.Second)) + time.Microsecond
}

const (
	freshLane = iota
	catchUpLane
	lanes
)

// lane is those that wait and are within their own budgets, in turns.
type lane struct {
	turns []*subscription
	head  int
	taken int // bytes while the other lane waited too
}

func (l *lane) push(s *subscription) { l.turns = append(l.turns, s) }

func (l *lane) front() *subscription { return l.turns[l.head] }

func (l *lane) pop() {
	l.turns[l.head] = nil
	if l.head++; l.head*2 >= len(l.turns) {
		l.turns = append(l.turns[:0], l.turns[l.head:]...)
		l.head = 0
	}
}

func (l *lane) empty() bool { return l.head == len(l.turns) }

// sleeper is a subscription that waits for its own budget.
type sleeper struct {
	s    *subscription
	lane int
	at   time.Duration
}

type sleepers []sleeper

func (h sleepers) Len() int           { return len(h) }
func (h sleepers) Less(i, j int) bool { return h[i].at < h[j].at }
func (h sleepers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *sleepers) Push(x any)        { *h = append(*h, x.(sleeper)) }
func (h *sleepers) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// waits tells whether something waits for a subscriber in a lane.
func (s *subscription) waits(lane int) bool {
	if lane == freshLane {
		return len(s.fresh) > 0
	}
	return s.owed && (len(s.keys) > 0 || len(s.scan) > 0 || len(s.fresh) == 0)
}

// least is what a subscriber's bucket has to hold more than for a lane.
func (s *subscription) least(lane int) float64 {
	if lane == freshLane {
		return -s.bucket.rate * freshAhead.Seconds()
	}
	return 0
}

// place has a subscription take turns in those lanes in which something waits for it.
func (p *Publisher) place(now time.Duration, s *subscription) {
	for lane := range lanes {
		if s.queued[lane] || s.sleeping[lane] || !s.waits(lane) || s.inFlight >= windowBytes {
			continue
		}
		if wait := s.bucket.wait(now, s.least(lane)); wait > 0 {
			s.sleeping[lane] = true
			heap.Push(&p.asleep, sleeper{s, lane, now + wait})
			continue
		}
		s.queued[lane] = true
		p.lanes[lane].push(s)
	}
}

// wake places those whose own budgets have filled.
func (p *Publisher) wake(now time.Duration) {
	for len(p.asleep) > 0 && p.asleep[0].at <= now {
		due := heap.Pop(&p.asleep).(sleeper)
		due.s.sleeping[due.lane] = false
		if p.subscriptions[due.s.id] == due.s {
			p.place(now, due.s)
		}
	}
}

// choose is the lane whose turn it is, by the bytes taken while both waited.
func (p *Publisher) choose() (lane int, ok bool) {
	fresh, catchUp := &p.lanes[freshLane], &p.lanes[catchUpLane]
	switch {
	case fresh.empty() && catchUp.empty():
		return 0, false
	case catchUp.empty():
		fresh.taken, catchUp.taken = 0, 0
		return freshLane, true
	case fresh.empty():
		fresh.taken, catchUp.taken = 0, 0
		return catchUpLane, true
	case fresh.taken <= freshShare*catchUp.taken:
		return freshLane, true
	}
	return catchUpLane, true
}
