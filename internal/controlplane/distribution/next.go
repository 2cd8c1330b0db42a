package distribution

import (
	"time"
)

// NextBatch is a batch to be sent now and to whom, or how long to wait: until then, or until the publisher was told something
// else. Never means that nothing waits.
func (p *Publisher) NextBatch(now time.Duration) (id SubscriptionID, b Batch, ok bool, wait time.Duration) {
	p.wake(now)
	for {
		lane, some := p.choose()
		if !some {
			return 0, Batch{}, false, p.sleep(now)
		}
		if wait := p.total.wait(now, 0); wait > 0 {
			return 0, Batch{}, false, wait
		}
		if s, size := p.take(now, lane, &b); s != nil {
			p.total.tokens -= float64(size)
			return s.id, b, true, 0
		}
	}
}

func (p *Publisher) sleep(now time.Duration) time.Duration {
	if len(p.asleep) == 0 {
		return WaitForever
	}
	return p.asleep[0].at - now
}

// take looks at the first of a lane and, when it may, makes its batch.
func (p *Publisher) take(now time.Duration, lane int, b *Batch) (*subscription, int) {
	of := &p.lanes[lane]
	s := of.front()
	if p.subscriptions[s.id] != s || !s.waits(lane) || s.inFlight >= windowBytes || s.bucket.wait(now, s.least(lane)) > 0 {
		of.pop()
		s.queued[lane], s.deficit[lane] = false, min(s.deficit[lane], 0)
		if p.subscriptions[s.id] == s {
			p.place(now, s)
		}
		return nil, 0
	}
	if s.deficit[lane] <= 0 { // its turn begins
		s.deficit[lane] += turnBytes
		if s.deficit[lane] <= 0 {
			of.pop()
			of.push(s)
			return nil, 0
		}
	}
	size := p.batch(now, s, lane, b)
	s.bucket.tokens -= float64(size)
	s.deficit[lane] -= size
	of.taken += size
	if s.deficit[lane] <= 0 || !s.waits(lane) {
		of.pop()
		s.queued[lane] = false
		if !s.waits(lane) {
			s.deficit[lane] = 0
		}
		p.place(now, s)
	}
	return s, size
}

// batch makes a subscriber's next batch of a lane.
func (p *Publisher) batch(now time.Duration, s *subscription, lane int, b *Batch) (size int) {
	s.number++
	*b = Batch{Number: s.number}
	sent := sentBatch{number: s.number, since: now, size: batchOnWire}
	if lane == freshLane {
		p.takeFresh(now, s, b, &sent)
	} else {
		p.takeCatchUp(s, b, &sent)
	}
	if s.resetAll {
		b.ResetsAll, s.resetAll, s.resetting = true, false, true
	}
	if len(s.fresh) == 0 && len(s.keys) == 0 && len(s.scan) == 0 && !p.resetForgotten(s) {
		p.complete(s, b, &sent)
	}
	if len(s.sent) == 0 {
		s.moved = now // from now on it is awaited
	}
	s.sent = append(s.sent, sent)
	s.inFlight += sent.size
	return sent.size
}

func (p *Publisher) takeFresh(now time.Duration, s *subscription, b *Batch, sent *sentBatch) {
	most := min(batchBytes, max(pieceLeast, int(s.bucket.rate)))
	n := 0
	for n < len(s.fresh) && (n == 0 || sent.size < most) {
		k := s.fresh[n]
		n++
		sent.since = min(sent.since, s.freshSince[k])
		delete(s.freshSince, k)
		p.add(k, b, sent)
	}
	if s.fresh = s.fresh[n:]; len(s.fresh) == 0 {
		s.fresh = nil
	}
}

func (p *Publisher) takeCatchUp(s *subscription, b *Batch, sent *sentBatch) {
	most := min(batchBytes, max(pieceLeast, int(s.bucket.rate*pieceFor.Seconds())))
	sent.since = s.since
	for sent.size < most {
		if len(s.keys) == 0 {
			if len(s.scan) == 0 {
				return
			}
			p.lookThrough(s, b, sent)
			continue
		}
		k := s.keys[0]
		s.keys = s.keys[1:]
		p.add(k, b, sent)
	}
}

// lookThrough looks through the next service.
func (p *Publisher) lookThrough(s *subscription, b *Batch, sent *sentBatch) {
	name := s.scan[0]
	s.scan = s.scan[1:]
	delete(s.scanning, name)
	lacks := s.Vector
	if s.sendsWhole(name) {
		lacks = nil
		b.ResetServices = append(b.ResetServices, name)
		sent.size += nameOnWire + len(name)
	}
	s.keys = p.store.sinceOf(lacks, name)
}

// add puts a key's winner into a batch. Where there is none its deletion was forgotten, or the key was removed: complete and
// Resync see to that.
func (p *Publisher) add(k Key, b *Batch, sent *sentBatch) {
	e, ok := p.store.Entry(k)
	if !ok {
		return
	}
	b.Entries = append(b.Entries, e)
	sent.size += e.size()
	sent.clock = max(sent.clock, e.Clock)
}

// complete says with a batch that all was sent. The first such and one after a reset name the whole vector.
func (p *Publisher) complete(s *subscription, b *Batch, sent *sentBatch) {
	s.owed = false
	if s.partial {
		return
	}
	b.IsComplete = true
	b.Through = p.store.Vector().AheadOf(s.told)
	if len(s.whole) > 0 || s.resetting {
		b.Through = p.store.Vector().Clone()
	}
	b.Pruned = p.store.Pruned().AheadOf(s.pruned)
	s.told.Join(b.Through)
	s.pruned.Join(b.Pruned)
	sent.size += b.Through.size() + b.Pruned.size()
	s.resetting = false
	if p.store.Vector().CoversAll(s.Vector) { // else what the vector tells may still come here, and is to be sent on
		clear(s.whole)
	}
}
