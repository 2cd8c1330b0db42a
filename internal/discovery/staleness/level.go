package staleness

import (
	"math"
	"slices"
	"time"
)

// maxClockSkew is the tolerated difference between clocks. A list confirmed further in the future indicates that a clock was
// set back.
const maxClockSkew = 5 * time.Second

// CachedList describes the age of a cached list.
type CachedList struct {
	Age             time.Duration // time since a source confirmed the list, by the clock; negative if the confirmation is in the future
	IsCleanShutdown bool          // the list was written during a graceful shutdown
}

// level contains the limits on trials for lists up to a certain age.
type level struct {
	maxAge           time.Duration // of the lists to which the level applies, inclusive
	trialShare       float64       // share of the servers that are up that may be on trial concurrently
	minInitialTrials int           // minimum number of concurrent trials at the start, regardless of trialShare
	// trialsPerProven is the number of concurrent trials added each time a server becomes proven. They are not withdrawn when
	// the server becomes suspected.
	trialsPerProven int
}

// levels are ordered from the freshest list to the oldest. The first level puts all servers on trial, because a running node
// whose source fails also uses its list for some seconds. Within minutes a part of a fleet may be replaced, within hours most
// of it.
var levels = [LevelCount]level{
	{maxAge: 10 * time.Second, trialShare: 1, minInitialTrials: 1, trialsPerProven: 1},
	{maxAge: 2 * time.Minute, trialShare: 0.5, minInitialTrials: 4, trialsPerProven: 2},
	{maxAge: 20 * time.Minute, trialShare: 0.25, minInitialTrials: 3, trialsPerProven: 2},
	{maxAge: 6 * time.Hour, trialShare: 0.1, minInitialTrials: 2, trialsPerProven: 1},
	{maxAge: math.MaxInt64, trialShare: 0.05, minInitialTrials: 1, trialsPerProven: 1},
}

// LevelCount is the number of staleness levels.
const LevelCount = 5

// Level returns the staleness level of the list, from 0 to LevelCount-1. The level depends on the age of the list, is one
// higher after a crash, and is the highest if the confirmation is in the future.
func (l CachedList) Level() int {
	if l.Age < -maxClockSkew {
		return len(levels) - 1
	}
	i := slices.IndexFunc(levels[:], func(candidate level) bool { return l.Age <= candidate.maxAge })
	if !l.IsCleanShutdown {
		i++
	}
	return min(i, len(levels)-1)
}
