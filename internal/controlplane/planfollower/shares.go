package planfollower

import (
	"math"
	"time"
)

const (
	maxMovePerSecond = 0.25 // max share of a forwarder's requests that moves between servers per second
	minShare         = 1e-4 // share of requests; smaller shares are removed
)

// moveShares moves the shares towards those of the plan by at most maxMovePerSecond. It immediately removes the shares of unusable
// servers and increases the other shares in proportion.
func (f *Follower) moveShares(elapsed time.Duration, isUp func(id string) bool) {
	target := f.targetShares(isUp)
	remaining := f.removeDown(isUp)
	switch {
	case len(target) == 0:
		f.normalize(remaining)
		return
	case remaining < minShare:
		f.shares = target
		return
	}
	f.normalize(remaining)
	distance := 0.0
	for id := range union(f.shares, target) {
		distance += math.Abs(target[id]-f.shares[id]) / 2
	}
	step := 1.0
	if maxMove := maxMovePerSecond * elapsed.Seconds(); distance > maxMove {
		step = maxMove / distance
	}
	for id := range union(f.shares, target) {
		share := f.shares[id] + step*(target[id]-f.shares[id])
		if share < minShare {
			delete(f.shares, id)
		} else {
			f.shares[id] = share
		}
	}
}

// targetShares returns the plan's shares of the usable servers, normalized to a sum of 1. While the plan is fresh, it omits ejected
// servers even after the ejection's end, because a later plan assigns them a share again.
func (f *Follower) targetShares(isUp func(id string) bool) map[string]float64 {
	target, sum := map[string]float64{}, 0.0
	for _, s := range f.inEffect.Servers {
		if s.Share > 0 && isUp(s.ID) && (!f.isFollowing() || s.EjectionRemaining == 0) {
			target[s.ID] = s.Share
			sum += s.Share
		}
	}
	for id := range target {
		target[id] /= sum
	}
	return target
}

// removeDown removes the shares of unusable servers and returns the sum of the remaining shares.
func (f *Follower) removeDown(isUp func(id string) bool) (remaining float64) {
	for id, share := range f.shares {
		if !isUp(id) {
			delete(f.shares, id)
		} else {
			remaining += share
		}
	}
	return remaining
}

// normalize divides the shares by their sum.
func (f *Follower) normalize(sum float64) {
	for id := range f.shares {
		f.shares[id] /= max(sum, minShare)
	}
}

// union returns the set of keys that are in at least one of two maps.
func union(a, b map[string]float64) map[string]struct{} {
	keys := make(map[string]struct{}, len(a)+len(b))
	for id := range a {
		keys[id] = struct{}{}
	}
	for id := range b {
		keys[id] = struct{}{}
	}
	return keys
}
