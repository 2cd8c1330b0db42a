package distribution

import (
	"container/heap"
	"time"
)

// A publisher schedules batches in two lanes: fresh changes and catch-ups. While both lanes have work, fresh changes receive
// freshShare bytes for each byte of catch-ups; a lane without competition uses the whole budget. Within a lane, deficit round
// robin gives subscribers equal shares. The catch-up of a subscriber stays within the subscriber's budget, and is sent in
// batches of about half a second of it. Fresh changes may overdraw the subscriber's budget by one second, so that
// a catch-up in progress does not delay them.
const (
	freshShare   = 3
	turnBytes    = 4 << 10 // quantum of the deficit round robin
	maxOverdraft = 1 * time.Second
)

// laneIndex identifies a lane.
type laneIndex int

const (
	freshLane laneIndex = iota
	catchUpLane
	laneCount
)

// lane is the queue of subscribers with pending changes whose budgets permit sending.
type lane struct {
	queue     []*subscription
	head      int
	sentBytes int // bytes sent while the other lane was not empty
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

// turn is a subscriber's scheduling state in one lane.
type turn struct {
	isQueued   bool
	isSleeping bool // until the subscriber's budget has refilled
	deficit    int  // remaining bytes of the turn; negative after a larger batch
}

// sleeper is a subscription that waits until its budget has refilled.
type sleeper struct {
	subscription *subscription
	lane         laneIndex
	wakeAt       time.Duration
}

// sleepers is a min-heap ordered by wakeAt.
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

// hasPending reports whether a subscriber has pending work in a lane. After its last entry, a catch-up still has to send
// a complete batch, which must also follow the pending fresh changes.
func (s *subscription) hasPending(lane laneIndex) bool {
	if lane == freshLane {
		return len(s.fresh.keys) > 0
	}
	return s.catchUp.needsComplete && (len(s.catchUp.keys) > 0 || len(s.catchUp.services) > 0 || len(s.fresh.keys) == 0)
}

// minTokens returns the number of tokens that the subscriber's bucket must exceed before a lane may send.
func (s *subscription) minTokens(lane laneIndex) float64 {
	if lane == freshLane {
		return -s.bucket.rate * maxOverdraft.Seconds()
	}
	return 0
}

// enqueue adds a subscription to the lanes in which it has pending work, or suspends it until its budget permits sending.
func (p *Publisher) enqueue(now time.Duration, s *subscription) {
	for lane := range laneCount {
		turn := &s.turns[lane]
		if turn.isQueued || turn.isSleeping || !s.hasPending(lane) || s.inFlight.bytes >= maxUnacknowledgedBytes {
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

// wakeSleepers enqueues the subscriptions whose budgets have refilled.
func (p *Publisher) wakeSleepers(now time.Duration) {
	for len(p.asleep) > 0 && p.asleep[0].wakeAt <= now {
		due := heap.Pop(&p.asleep).(sleeper)
		due.subscription.turns[due.lane].isSleeping = false
		if p.isSubscribed(due.subscription) {
			p.enqueue(now, due.subscription)
		}
	}
}

// nextWake returns the time until the next sleeper wakes, or WaitForever if there is none.
func (p *Publisher) nextWake(now time.Duration) time.Duration {
	if len(p.asleep) == 0 {
		return WaitForever
	}
	return p.asleep[0].wakeAt - now
}

// selectLane returns the lane to serve next, by the bytes that each has sent while both were not empty.
func (p *Publisher) selectLane() (lane laneIndex, ok bool) {
	fresh, catchUp := &p.lanes[freshLane], &p.lanes[catchUpLane]
	switch {
	case fresh.isEmpty() && catchUp.isEmpty():
		return 0, false
	case catchUp.isEmpty():
		fresh.sentBytes, catchUp.sentBytes = 0, 0
		return freshLane, true
	case fresh.isEmpty():
		fresh.sentBytes, catchUp.sentBytes = 0, 0
		return catchUpLane, true
	case fresh.sentBytes <= freshShare*catchUp.sentBytes:
		return freshLane, true
	}
	return catchUpLane, true
}
