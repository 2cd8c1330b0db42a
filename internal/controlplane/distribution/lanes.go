package distribution

import (
	"container/heap"
	"time"
)

// What a publisher sends is scheduled in two lanes: fresh changes and catch-ups. While both wait, fresh changes take freshShare
// bytes for each byte of catch-ups; one lane alone takes all. Within a lane subscribers take turns of equal bytes, by deficit
// round robin. A subscriber's catch-up keeps to its own budget, and goes out in pieces of half a second of it; a fresh change
// may overdraw the subscriber's budget by a second, so that a catch-up under way does not delay it.
const (
	freshShare   = 3
	turnBytes    = 4 << 10 // of a subscriber's turn
	maxOverdraft = 1 * time.Second
)

// laneIndex identifies a lane.
type laneIndex int

const (
	freshLane laneIndex = iota
	catchUpLane
	laneCount
)

// lane is the queue of subscribers for which something waits, and whose own budgets allow it to be sent.
type lane struct {
	queue []*subscription
	head  int
	taken int // bytes while the other lane waited too
}

func (l *lane) push(s *subscription) { l.queue = append(l.queue, s) }

func (l *lane) front() *subscription { return l.queue[l.head] }

func (l *lane) pop() {
	l.queue[l.head] = nil
	l.head++
	if l.head*2 >= len(l.queue) {
		l.queue = append(l.queue[:0], l.queue[l.head:]...)
		l.head = 0
	}
}

func (l *lane) isEmpty() bool { return l.head == len(l.queue) }

// turn is a subscriber's place in one lane.
type turn struct {
	isQueued   bool
	isSleeping bool // until the subscriber's budget has filled
	deficit    int  // bytes that it may still send in this turn; negative after a larger batch
}

// sleeper is a subscription that waits for its own budget.
type sleeper struct {
	subscription *subscription
	lane         laneIndex
	wakeAt       time.Duration
}

// sleepers is a heap by wakeAt.
type sleepers []sleeper

func (h sleepers) Len() int           { return len(h) }
func (h sleepers) Less(i, j int) bool { return h[i].wakeAt < h[j].wakeAt }
func (h sleepers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *sleepers) Push(x any)        { *h = append(*h, x.(sleeper)) }
func (h *sleepers) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// hasWaiting reports whether something waits for a subscriber in a lane.
func (s *subscription) hasWaiting(lane laneIndex) bool {
	if lane == freshLane {
		return len(s.fresh.keys) > 0
	}
	return s.catchUp.isOwed && (len(s.catchUp.keys) > 0 || len(s.catchUp.services) > 0 || len(s.fresh.keys) == 0)
}

// minTokens is what a subscriber's bucket must hold more than for a lane.
func (s *subscription) minTokens(lane laneIndex) float64 {
	if lane == freshLane {
		return -s.bucket.rate * maxOverdraft.Seconds()
	}
	return 0
}

// enqueue puts a subscription into those lanes in which something waits for it, or lets it sleep until its budget allows that.
func (p *Publisher) enqueue(now time.Duration, s *subscription) {
	for lane := range laneCount {
		turn := &s.turns[lane]
		if turn.isQueued || turn.isSleeping || !s.hasWaiting(lane) || s.inFlight.bytes >= maxUnacknowledgedBytes {
			continue
		}
		if wait := s.bucket.wait(now, s.minTokens(lane)); wait > 0 {
			turn.isSleeping = true
			heap.Push(&p.asleep, sleeper{s, lane, now + wait})
			continue
		}
		turn.isQueued = true
		p.lanes[lane].push(s)
	}
}

// wakeSleepers enqueues the subscriptions whose own budgets have filled.
func (p *Publisher) wakeSleepers(now time.Duration) {
	for len(p.asleep) > 0 && p.asleep[0].wakeAt <= now {
		due := heap.Pop(&p.asleep).(sleeper)
		due.subscription.turns[due.lane].isSleeping = false
		if p.isSubscribed(due.subscription) {
			p.enqueue(now, due.subscription)
		}
	}
}

// nextWake returns how long it takes until a sleeper wakes; WaitForever for none.
func (p *Publisher) nextWake(now time.Duration) time.Duration {
	if len(p.asleep) == 0 {
		return WaitForever
	}
	return p.asleep[0].wakeAt - now
}

// selectLane returns the lane whose turn it is, by the bytes taken while both waited.
func (p *Publisher) selectLane() (lane laneIndex, ok bool) {
	fresh, catchUp := &p.lanes[freshLane], &p.lanes[catchUpLane]
	switch {
	case fresh.isEmpty() && catchUp.isEmpty():
		return 0, false
	case catchUp.isEmpty():
		fresh.taken, catchUp.taken = 0, 0
		return freshLane, true
	case fresh.isEmpty():
		fresh.taken, catchUp.taken = 0, 0
		return catchUpLane, true
	case fresh.taken <= freshShare*catchUp.taken:
		return freshLane, true
	}
	return catchUpLane, true
}
