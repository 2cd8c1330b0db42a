package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"fernvane/internal/protocol/http1"
)

const (
	// initialRetryDelay is the mean pause after the first failed poll. It doubles with each consecutive failure, up to
	// maxRetryDelay, because discovery has little capacity.
	initialRetryDelay = 250 * time.Millisecond
	maxRetryDelay     = 4 * time.Second
)

// Listener receives the results of Follow. Its functions are called sequentially.
type Listener struct {
	// OnList receives a full list first and lists of changes afterwards. It receives a full list again if discovery has reset
	// its revisions. Follow requests the full list but does not verify that the response is one: the receiver must check
	// EndpointList.IsComplete.
	OnList func(http1.EndpointList)
	// OnError receives the error of a failed poll. Follow retries the poll.
	OnError func(error)
}

// Follow polls the target until the context ends.
func Follow(ctx context.Context, target *Target, listener Listener) {
	w := Watcher{Target: target, WantsFullList: true}
	defer w.Close()
	for delay := initialRetryDelay; ctx.Err() == nil; {
		startedAt := time.Now()
		list, err := w.Poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			listener.OnError(err)
			sleep(ctx, time.Duration((0.5+rand.Float64())*float64(delay)))
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = initialRetryDelay
		if !list.IsComplete && list.Revision < w.Revision { // discovery has reset its revisions
			w.WantsFullList = true
			continue
		}
		w.WantsFullList, w.Revision = false, list.Revision
		listener.OnList(list)
		sleep(ctx, MinPollInterval-time.Since(startedAt))
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
