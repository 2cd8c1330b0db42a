package distribution

import (
	"hash/crc32"
	"strconv"
	"time"
)

const (
	initialBackoff      = 250 * time.Millisecond // doubled after each round of attempts at all upstreams: 500 ms after the first
	maxBackoffDoublings = 6
	stableConnection    = 30 * time.Second // duration of a connection that resets the backoff
	maxCRC32            = float64(1<<32) - 1
)

// backoff is the state of the delay between rounds of attempts at all upstreams.
type backoff struct {
	failures int // ended attempts and connections since the last stable connection
	retryAt  time.Duration
}

// scheduleRetry sets the time of the next attempt: immediately, or after a backoff if all upstreams were attempted.
func (s *Subscriber) scheduleRetry(now time.Duration) {
	s.backoff.failures++
	s.backoff.retryAt = now
	if s.backoff.failures%s.options.UpstreamCount == 0 {
		s.backoff.retryAt = now + s.backoffAfter(s.backoff.failures/s.options.UpstreamCount)
	}
}

// backoffAfter returns the backoff after a number of rounds, with random jitter over its upper half.
func (s *Subscriber) backoffAfter(rounds int) time.Duration {
	longest := min(initialBackoff<<min(rounds, maxBackoffDoublings), s.options.MaxBackoff)
	return longest/2 + time.Duration(s.draw()*float64(longest/2))
}

// draw returns the next pseudo-random number from 0 to 1 of the sequence that JitterSeed determines.
func (s *Subscriber) draw() float64 {
	s.drawCount++
	return float64(crc32.ChecksumIEEE([]byte(s.options.JitterSeed+" "+strconv.Itoa(s.drawCount)))) / maxCRC32
}
