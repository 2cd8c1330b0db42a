package staleness

import (
	"math"
	"slices"
	"time"
)

// maxClockSkew is how far clocks may differ. A list that was confirmed later than that in the future shows that a clock
// was set back.
const maxClockSkew = 5 * time.Second

// CachedList is what is known of the age of a cached list.
type CachedList struct {
	Age             time.Duration // since a source confirmed it, by the clock; below 0 if that lies in the future
	IsCleanShutdown bool          // the node that wrote it stopped in good order
}

// level says what may be done with a list of a certain age.
type level struct {
	maxAge           time.Duration
	trialShare       float64 // of the servers that are up, on trial at once
	minInitialTrials int     // on trial at once at the start, whatever the share
	// trialsPerProven are further ones on trial at once each time that a server becomes proven. They are not taken back when
	// it becomes suspected.
	trialsPerProven int
}

// levels are ordered from the freshest list. A running node keeps its list for some seconds too when its source fails;
// within minutes a part of a fleet may be replaced, within hours most of it.
var levels = [LevelCount]level{
	{maxAge: 10 * time.Second, trialShare: 1, minInitialTrials: 1, trialsPerProven: 1},
	{maxAge: 2 * time.Minute, trialShare: 0.5, minInitialTrials: 4, trialsPerProven: 2},
	{maxAge: 20 * time.Minute, trialShare: 0.25, minInitialTrials: 3, trialsPerProven: 2},
	{maxAge: 6 * time.Hour, trialShare: 0.1, minInitialTrials: 2, trialsPerProven: 1},
	{maxAge: math.MaxInt64, trialShare: 0.05, minInitialTrials: 1, trialsPerProven: 1},
}

// LevelCount is the number of staleness levels.
const LevelCount = 5

// Level returns the list's staleness level, from 0 to LevelCount-1: by its age, one more after a crash, and the highest if
// it comes from the future.
func (l CachedList) Level() int {
	if l.Age < -maxClockSkew {
		return len(levels) - 1
	}
	i := slices.IndexFunc(levels[:], func(one level) bool { return l.Age <= one.maxAge })
	if !l.IsCleanShutdown {
		i++
	}
	return min(i, len(levels)-1)
}
