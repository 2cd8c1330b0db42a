package planfollower

import (
	"math"
	"time"
)

const (
	maxMovePerSecond = 0.25 // of a forwarder's requests that may move between servers
	minShare         = 1e-4 // of the requests; less is none
)

// moveShares moves the shares towards the plan's by at most maxMovePerSecond. The share of a server that must not be used is
// removed at once, and the others grow in proportion.
func (f *Follower) moveShares(passed time.Duration, isUp func(id string) bool) {
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
	if maxMove := maxMovePerSecond * passed.Seconds(); distance > maxMove {
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

// targetShares are the plan's shares of the servers that may be used, which add up to 1. While the plan is fresh, a server that
// it ejects has none, also after the ejection has run out: a later plan gives it a share again.
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

// removeDown removes the shares of servers that must not be used, and returns the sum of the others.
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

// normalize makes shares with a sum add up to 1.
func (f *Follower) normalize(sum float64) {
	for id := range f.shares {
		f.shares[id] /= max(sum, minShare)
	}
}

// union returns the keys of both maps.
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
