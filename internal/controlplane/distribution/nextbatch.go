package distribution

import (
	"math"
	"time"
)

// WaitForever is the wait that NextBatch returns if nothing is pending.
const WaitForever = time.Duration(math.MaxInt64)

const (
	maxBatchBytes          = 32 << 10               // size from which a batch receives no further entry; the last entry may exceed it
	maxUnacknowledgedBytes = 4 * maxBatchBytes      // of a subscriber; at this limit sending pauses
	minPieceBytes          = 4 << 10                // lower bound of the batch size for small budgets
	catchUpPiece           = 500 * time.Millisecond // of the subscriber's budget in one catch-up batch
)

// NextBatch returns the next batch to send and its subscription. If ok is false, the caller calls again after wait, or earlier
// after another input to the publisher. A wait of WaitForever means that nothing is pending.
func (p *Publisher) NextBatch(now time.Duration) (id SubscriptionID, b Batch, ok bool, wait time.Duration) {
	p.wakeSleepers(now)
	for {
		lane, hasLane := p.selectLane()
		if !hasLane {
			return 0, Batch{}, false, p.nextWake(now)
		}
		if wait := p.bucket.wait(now, 0); wait > 0 {
			return 0, Batch{}, false, wait
		}
		if s, bytes := p.takeTurn(now, lane, &b); s != nil {
			p.bucket.tokens -= float64(bytes)
			return s.id, b, true, 0
		}
	}
}

// takeTurn makes a batch for the first subscription of a lane. If this subscription may not send, takeTurn removes it from the
// head of the lane and returns nil.
func (p *Publisher) takeTurn(now time.Duration, index laneIndex, b *Batch) (*subscription, int) {
	lane := &p.lanes[index]
	s := lane.front()
	turn := &s.turns[index]
	if !p.maySend(now, s, index) {
		lane.pop()
		turn.isQueued, turn.deficit = false, min(turn.deficit, 0)
		if p.isSubscribed(s) {
			p.enqueue(now, s)
		}
		return nil, 0
	}
	if turn.deficit <= 0 { // start of the turn
		turn.deficit += turnBytes
		if turn.deficit <= 0 {
			lane.pop()
			lane.push(s)
			return nil, 0
		}
	}
	bytes := p.makeBatch(now, s, index, b)
	s.bucket.tokens -= float64(bytes)
	turn.deficit -= bytes
	lane.sentBytes += bytes
	if turn.deficit <= 0 || !s.hasPending(index) {
		lane.pop()
		turn.isQueued = false
		if !s.hasPending(index) {
			turn.deficit = 0
		}
		p.enqueue(now, s)
	}
	return s, bytes
}

// maySend reports whether a subscription in a lane's queue may still send.
func (p *Publisher) maySend(now time.Duration, s *subscription, lane laneIndex) bool {
	return p.isSubscribed(s) && s.hasPending(lane) && s.inFlight.bytes < maxUnacknowledgedBytes &&
		s.bucket.wait(now, s.minTokens(lane)) == 0
}

// makeBatch builds a subscriber's next batch of a lane and returns its size in bytes.
func (p *Publisher) makeBatch(now time.Duration, s *subscription, lane laneIndex, b *Batch) (bytes int) {
	s.batchNumber++
	*b = Batch{Number: s.batchNumber}
	sent := sentBatch{number: s.batchNumber, oldestSince: now, bytes: batchWireBytes}
	if lane == freshLane {
		p.addFreshEntries(s, b, &sent)
	} else {
		p.addCatchUpEntries(s, b, &sent)
	}
	if s.reset.isAllPending {
		b.ResetsAll = true
		s.reset.isAllPending, s.reset.isAllUnderWay = false, true
	}
	if len(s.fresh.keys) == 0 && len(s.catchUp.keys) == 0 && len(s.catchUp.services) == 0 && !p.resetIfPruned(s) {
		p.completeBatch(s, b, &sent)
	}
	if len(s.inFlight.batches) == 0 {
		s.inFlight.lastProgress = now
	}
	s.inFlight.batches = append(s.inFlight.batches, sent)
	s.inFlight.bytes += sent.bytes
	return sent.bytes
}

func (p *Publisher) addFreshEntries(s *subscription, b *Batch, sent *sentBatch) {
	maxBytes := min(maxBatchBytes, max(minPieceBytes, int(s.bucket.rate)))
	n := 0
	for n < len(s.fresh.keys) && (n == 0 || sent.bytes < maxBytes) {
		k := s.fresh.keys[n]
		n++
		sent.oldestSince = min(sent.oldestSince, s.fresh.since[k])
		delete(s.fresh.since, k)
		p.addEntry(k, b, sent)
	}
	s.fresh.keys = s.fresh.keys[n:]
	if len(s.fresh.keys) == 0 {
		s.fresh.keys = nil
	}
}

func (p *Publisher) addCatchUpEntries(s *subscription, b *Batch, sent *sentBatch) {
	maxBytes := min(maxBatchBytes, max(minPieceBytes, int(s.bucket.rate*catchUpPiece.Seconds())))
	sent.oldestSince = s.catchUp.since
	for sent.bytes < maxBytes {
		if len(s.catchUp.keys) == 0 {
			if len(s.catchUp.services) == 0 {
				return
			}
			p.collectKeys(s, b, sent)
			continue
		}
		k := s.catchUp.keys[0]
		s.catchUp.keys = s.catchUp.keys[1:]
		p.addEntry(k, b, sent)
	}
}

// collectKeys collects the keys to send for the next service of the catch-up: those that the subscriber lacks, or all in a
// reset.
func (p *Publisher) collectKeys(s *subscription, b *Batch, sent *sentBatch) {
	name := s.catchUp.services[0]
	s.catchUp.services = s.catchUp.services[1:]
	delete(s.catchUp.isQueued, name)
	covered := s.Vector
	if s.isReset(name) {
		covered = nil
		b.ResetServices = append(b.ResetServices, name)
		sent.bytes += serviceNameWireBytes + len(name)
	}
	s.catchUp.keys = p.store.serviceKeysSince(covered, name)
}

// addEntry adds the winning entry of a key to a batch. If there is none, the key's deletion was pruned or the key was removed;
// in these cases resetIfPruned or ResyncServices starts a full sync of the service.
func (p *Publisher) addEntry(k Key, b *Batch, sent *sentBatch) {
	e, ok := p.store.Entry(k)
	if !ok {
		return
	}
	b.Entries = append(b.Entries, e)
	sent.bytes += e.wireBytes()
	sent.newestClock = max(sent.newestClock, e.Clock)
}

// completeBatch marks a batch as complete. The first complete batch, and each one that ends a reset, contains the whole vector.
func (p *Publisher) completeBatch(s *subscription, b *Batch, sent *sentBatch) {
	s.catchUp.needsComplete = false
	if s.isPartial {
		return
	}
	b.IsComplete = true
	b.Through = p.store.Vector().AheadOf(s.sentVector)
	if len(s.reset.services) > 0 || s.reset.isAllUnderWay {
		b.Through = p.store.Vector().Clone()
	}
	b.Pruned = p.store.Pruned().AheadOf(s.sentPruned)
	s.sentVector.Join(b.Through)
	s.sentPruned.Join(b.Pruned)
	sent.bytes += b.Through.wireBytes() + b.Pruned.wireBytes()
	s.reset.isAllUnderWay = false
	if p.store.Vector().CoversAll(s.Vector) { // otherwise entries that the subscriber covers may still arrive at this store and must be forwarded
		clear(s.reset.services)
	}
}
