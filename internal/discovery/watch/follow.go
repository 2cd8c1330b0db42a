package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"fernvane/internal/protocol/http1"
)

const (
	initialRetryDelay = 250 * time.Millisecond // after the first call that failed; doubles, for discovery has little capacity
	maxRetryDelay     = 4 * time.Second        // between two tries to reach it
)

// Listener is told what following discovery brings. Its functions are called one after another.
type Listener struct {
	OnList  func(http1.EndpointList) // a whole list at first, then changes, or a whole list where discovery counts anew
	OnError func(error)              // a call failed and is made again
}

// Follow watches discovery's list for processes that ask it by themselves, as control processes and planners do, until the
// context ends. Nodes have their decision module say when to ask.
func Follow(ctx context.Context, place *Target, tell Listener) {
	w := Watcher{Target: place, WantsFullList: true}
	defer w.Close()
	for wait := initialRetryDelay; ctx.Err() == nil; {
		began := time.Now()
		list, err := w.Poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			tell.OnError(err)
			sleep(ctx, time.Duration((0.5+rand.Float64())*float64(wait)))
			wait = min(2*wait, maxRetryDelay)
			continue
		}
		wait = initialRetryDelay
		if !list.Complete && list.Revision < w.Revision { // it counts from elsewhere now
			w.WantsFullList = true
			continue
		}
		w.WantsFullList, w.Revision = false, list.Revision
		tell.OnList(list)
		sleep(ctx, MinPollInterval-time.Since(began))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
