package distribution

import (
	"hash/crc32"
	"strconv"
	"time"
)

const (
	initialBackoff      = 250 * time.Millisecond // doubled once per round of attempts at all upstreams: 500 ms after the first
	maxBackoffDoublings = 6
	stableConnection    = 30 * time.Second // a connection that lasted so long resets the backoff
	maxCRC32            = float64(1<<32) - 1
)

// backoff is the wait between rounds of attempts at all upstreams.
type backoff struct {
	failures int // attempts since a connection that was stable
	retryAt  time.Duration
}

// scheduleRetry sets when the next upstream is tried: at once, or after a backoff if each has been tried.
func (s *Subscriber) scheduleRetry(now time.Duration) {
	s.backoff.failures++
	s.backoff.retryAt = now
	if s.backoff.failures%s.options.UpstreamCount == 0 {
		s.backoff.retryAt = now + s.backoffAfter(s.backoff.failures/s.options.UpstreamCount)
	}
}

// backoffAfter returns the backoff after so many rounds, spread by chance over its upper half.
func (s *Subscriber) backoffAfter(rounds int) time.Duration {
	longest := min(initialBackoff<<min(rounds, maxBackoffDoublings), s.options.MaxBackoff)
	return longest/2 + time.Duration(s.draw()*float64(longest/2))
}

// draw returns the next random number from 0 to 1, by the seed.
func (s *Subscriber) draw() float64 {
	s.drawCount++
	return float64(crc32.ChecksumIEEE([]byte(s.options.JitterSeed+" "+strconv.Itoa(s.drawCount)))) / maxCRC32
}
