package box

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"strconv"
	"sync"
	"time"

	"fernvane/internal/http1"
	"fernvane/internal/message"
	"fernvane/internal/standin/link"
)

const (
	idleMost  = 5 * time.Second        // a connection that stands idle for so long is closed
	worthWait = 500 * time.Microsecond // a shorter way through the network is left out: a timer is later than that
	fillBytes = 120                    // of an answer beside its first line
)

// Asked is what a box must know of a request beside what the wire says.
type Asked struct {
	Work time.Duration
	Key  int
}

// Watcher is told what a box sees. Its methods are called from many goroutines; times count since the common start.
type Watcher interface {
	// Asked finds what a request was meant to be; ok is false where no client has sent it.
	Asked(id uint64) (a Asked, ok bool)
	// Attempt tells that a request has come whole, and when its first byte came.
	Attempt(id uint64, box int, first, last time.Duration)
	// Ran tells that its work has begun.
	Ran(id uint64, box int, at time.Duration)
	// Over tells that the attempt is out no more: its answer is about to be written, or its connection has ended. unbegun:
	// by the word that it never ran.
	Over(id uint64, box int, at time.Duration, unbegun bool)
	Fell(box int, at time.Duration)
	// Idle tells that a connection on which a request was the last stood unused, until it ended or the next one came.
	Idle(id uint64, box int, from, to time.Duration)
}

// Identity of a box, the same over its restarts.
type Identity struct {
	Number int // dense, over all boxes
	Name   string
	Site   int
	Cell   int
}

// Faults are shares of requests that meet one, drawn by the request's id.
type Faults struct {
	CutBefore float64
	CutWithin float64
	CutAfter  float64
	Refuse    float64
	Err       float64
	Spoil     float64
}

// Box serves its model on a listener for each site of its callers, so that a site can be cut off from another.
type Box struct {
	Identity
	f         Figures
	start     time.Time
	watch     Watcher
	cross     func(from int) time.Duration // one way to callers of a site
	listeners []*link.Listener

	mu       sync.Mutex
	model    *Model
	attempts map[uint64]*attempt
	last     uint64
	timer    *time.Timer
	conns    int
	faults   Faults
	draining bool
	tells    []func() // to the watcher, once the lock is given back
}

type attempt struct {
	id    uint64 // of the request
	ended chan What
}

// NewBox makes a box that listens at one address for callers of each site.
func NewBox(id Identity, f Figures, start time.Time, addresses []string, cross func(from int) time.Duration, w Watcher) (*Box, error) {
	b := &Box{Identity: id, f: f, start: start, watch: w, cross: cross, model: New(f), attempts: map[uint64]*attempt{}}
	b.timer = time.AfterFunc(time.Hour, b.due)
	for site, address := range addresses {
		l, err := link.Listen(address, func(c *link.Conn) { b.lead(c, site) })
		if err != nil {
			b.Close()
			return nil, err
		}
		b.listeners = append(b.listeners, l)
	}
	return b, nil
}

// Close ends the box for good.
func (b *Box) Close() {
	b.Crash()
	b.timer.Stop()
	for _, l := range b.listeners {
		l.Close()
	}
}

// Address is where callers of a site reach the box.
func (b *Box) Address(site int) string { return b.listeners[site].Address() }

func (b *Box) now() time.Duration { return time.Since(b.start) }

// do changes the model under the lock, sets the timer for what comes next, and tells what happened afterwards.
func (b *Box) do(f func(now time.Duration)) {
	b.mu.Lock()
	now := b.now()
	f(now)
	if at, ok := b.model.Next(); ok {
		b.timer.Reset(max(at-now, 0))
	}
	tells := b.tells
	b.tells = nil
	b.mu.Unlock()
	for _, tell := range tells {
		tell()
	}
}

func (b *Box) due() { b.do(func(now time.Duration) { b.model.Advance(now, b.event) }) }

func (b *Box) event(e Event) {
	h := b.attempts[e.ID]
	if h == nil {
		return
	}
	if e.What == Began {
		b.tells = append(b.tells, func() { b.watch.Ran(h.id, b.Number, e.At) })
		return
	}
	delete(b.attempts, e.ID)
	h.ended <- e.What
}

// Model gives a look at the model, or changes it.
func (b *Box) Model(f func(m *Model, now time.Duration, tell func(Event))) {
	b.do(func(now time.Duration) { f(b.model, now, b.event) })
}

// Set has requests meet faults from now on.
func (b *Box) Set(change func(*Faults)) { b.do(func(time.Duration) { change(&b.faults) }) }

// Drain has the box turn away what is new.
func (b *Box) Drain(is bool) { b.do(func(time.Duration) { b.draining = is }) }

// Crash ends the process: connections are reset, and new ones refused.
func (b *Box) Crash() {
	b.do(func(now time.Duration) { b.model.Crash(now, b.event) })
	for _, l := range b.listeners {
		l.Leave()
	}
}

// Vanish ends it without a word, as when its machine loses power.
func (b *Box) Vanish() {
	for _, l := range b.listeners {
		l.Hush()
	}
	b.do(func(now time.Duration) { b.model.Crash(now, b.event) })
}

// Start brings it back, cold; what hung on it is reset.
func (b *Box) Start() (ok bool, err error) {
	for _, l := range b.listeners {
		l.Leave()
	}
	b.do(func(now time.Duration) { ok = b.model.Start(now) })
	if !ok {
		return false, nil
	}
	for _, l := range b.listeners {
		if err = l.Return(); err != nil {
			return false, err
		}
	}
	return true, nil
}

// Hush cuts the box off from callers of a site, Speak ends that.
func (b *Box) Hush(site int) { b.listeners[site].Hush() }

// Speak ends a silence.
func (b *Box) Speak(site int) { b.listeners[site].Speak() }

// Stop has the process stand still as a whole: its connections take what comes and bring nothing.
func (b *Box) Stop(still bool) {
	b.Model(func(m *Model, now time.Duration, tell func(Event)) {
		if still {
			m.Pause(now, tell)
		} else {
			m.Resume(now, tell)
		}
	})
	for _, l := range b.listeners {
		if still {
			l.Hush()
		} else {
			l.Speak()
		}
	}
}

// lead is the life of one connection.
func (b *Box) lead(nc *link.Conn, site int) {
	b.mu.Lock()
	b.conns++
	full := b.f.Connections > 0 && b.conns > b.f.Connections
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.conns--
		b.mu.Unlock()
	}()
	way := b.cross(site)
	if b.f.FastCGI {
		b.leadCGI(nc, way, full)
		return
	}
	c := http1.NewConn(nc)
	var req http1.Request
	last := uint64(0) // request on it
	for fresh := true; ; fresh = false {
		c.SetReadDeadline(time.Now().Add(idleMost))
		idle := b.now()
		err := c.Await()
		b.idle(last, idle)
		if err != nil {
			return
		}
		first := nc.Came().Sub(b.start) // what a silence holds back was sent before it
		if err := c.ReadRequest(&req); err != nil {
			if bad, ok := err.(*http1.Malformed); ok {
				c.Send(http1.AppendAnswer(nil, http1.Answer{Status: bad.Status, Close: true}))
			}
			return
		}
		last = idOf(&req)
		if !b.request(httpPeer{nc, c}, &req, first, nc.Came().Sub(b.start), way, fresh, full) || full {
			return
		}
	}
}

// idOf is the id of a request, 0 for one without.
func idOf(r *message.Request) uint64 {
	id, err := strconv.ParseUint(string(r.Get(http1.RequestID)), 16, 64)
	if err != nil {
		return 0
	}
	return id
}

// idle tells for how long a connection has stood unused since its last request was answered, if it had one.
func (b *Box) idle(last uint64, from time.Duration) {
	if _, known := b.watch.Asked(last); known && last != 0 {
		b.watch.Idle(last, b.Number, from, b.now())
	}
}

// request is the life of one request; it tells whether its connection can be used again.
func (b *Box) request(p peer, req *message.Request, first, last, way time.Duration, fresh, full bool) bool {
	text := string(req.Get(http1.RequestID))
	if text == "" {
		return p.answer(message.Answer{Status: 404, Body: []byte("no id")})
	}
	id, err := strconv.ParseUint(text, 16, 64)
	asked, known := b.watch.Asked(id)
	b.watch.Attempt(id, b.Number, first, last)
	if err != nil || len(text) != 16 || !known {
		return p.answer(message.Answer{Status: 400, Body: []byte("nobody has sent this request")})
	}
	wait(way)
	b.mu.Lock()
	faults, draining := b.faults, b.draining
	b.mu.Unlock()
	if meets(id, "cut-before", faults.CutBefore) {
		b.watch.Over(id, b.Number, b.now(), false)
		p.reset()
		return false
	}
	if full || draining || meets(id, "refuse", faults.Refuse) {
		return b.turnAway(p, id, 503)
	}
	left, err := strconv.ParseFloat(string(req.Get(http1.RequestTimeout)), 64)
	if err != nil {
		left = 3600
	}
	work := asked.Work
	if fresh {
		work += b.f.Handshake
	}
	h := &attempt{id: id, ended: make(chan What, 1)}
	switch b.offer(h, Job{Work: work, Key: asked.Key, Until: last + time.Duration(left*float64(time.Second))}) {
	case Full:
		return b.turnAway(p, id, 503)
	case Down:
		p.reset()
		return false
	}
	what, told := b.work(p, h)
	switch what {
	case Expired:
		return b.turnAway(p, id, 504)
	case Lost:
		if !told {
			b.watch.Over(id, b.Number, b.now(), false)
		}
		p.reset()
		return false
	}
	wait(way)
	if !told {
		b.watch.Over(id, b.Number, b.now(), false)
	}
	return b.reply(p, id, text, faults)
}

// offer gives the model an attempt; a box that falls under it leaves its addresses.
func (b *Box) offer(h *attempt, j Job) (verdict Verdict) {
	fell := false
	b.do(func(now time.Duration) {
		b.last++
		b.attempts[b.last] = h
		j.ID = b.last
		verdict = b.model.Offer(now, j, b.event)
		if verdict != Taken {
			delete(b.attempts, b.last)
		}
		fell = verdict == Down && b.model.Fallen()
	})
	if verdict == Down {
		b.watch.Over(h.id, b.Number, b.now(), false)
	}
	if fell {
		b.watch.Fell(b.Number, b.now())
		for _, l := range b.listeners {
			l.Leave()
		}
	}
	return verdict
}

// work waits for the end of an attempt, which its caller's leaving does not change; gone tells that it has left, and that
// the watcher was told that the attempt is over.
func (b *Box) work(p peer, h *attempt) (what What, gone bool) {
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if gone = p.gone(); gone {
			b.watch.Over(h.id, b.Number, b.now(), false)
		}
	}()
	what = <-h.ended
	p.look(time.Unix(1, 0))
	<-watched
	return what, gone
}

func wait(d time.Duration) {
	if d >= worthWait {
		time.Sleep(d)
	}
}

// meets draws by the request's id whether it meets a fault, the same in each run.
func meets(id uint64, fault string, share float64) bool {
	if share <= 0 {
		return false
	}
	return float64(crc32.ChecksumIEEE(fmt.Append(nil, id, fault)))/(1<<32) < share
}

func (b *Box) turnAway(p peer, id uint64, status int) bool {
	b.watch.Over(id, b.Number, b.now(), true)
	return p.answer(message.Answer{Status: status, Fields: []message.Field{{Name: []byte(message.NotStarted), Value: []byte("1")}}})
}

var fill = bytes.Repeat([]byte{'.'}, fillBytes)

// reply answers a request whose work is over, with the id that it was made for at the beginning of the body.
func (b *Box) reply(p peer, id uint64, text string, f Faults) bool {
	if meets(id, "error", f.Err) {
		return p.answer(message.Answer{Status: 500, Body: []byte("it failed")})
	}
	a := message.Answer{Status: 200, Body: fmt.Appendf(nil, "%s %s\n%s\n", text, b.Name, fill)}
	switch {
	case meets(id, "cut-within", f.CutWithin):
		whole := p.encode(a)
		p.raw(whole[:len(whole)/2])
		return false
	case meets(id, "spoil", f.Spoil):
		p.raw(p.garbled(id, a))
		p.look(time.Now().Add(idleMost)) // it stays open and is of no further use
		p.gone()
		return false
	}
	return p.answer(a) && !meets(id, "cut-after", f.CutAfter)
}
