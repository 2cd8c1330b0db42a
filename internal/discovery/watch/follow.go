package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"fernvane/internal/protocol/http1"
)

const (
	// initialRetryDelay is the pause after a first failed poll. It doubles with each further one, up to maxRetryDelay, since
	// discovery has little capacity.
	initialRetryDelay = 250 * time.Millisecond
	maxRetryDelay     = 4 * time.Second
)

// Listener receives what Follow learns. Its functions are called one after another.
type Listener struct {
	// OnList receives a full list first, then changes, or a full list again if discovery counts its revisions anew. Follow
	// asks for the full list and does not check that the response is one: that stands in EndpointList.Complete.
	OnList func(http1.EndpointList)
	// OnError receives why a poll failed. It is repeated.
	OnError func(error)
}

// Follow polls the target until the context ends.
func Follow(ctx context.Context, target *Target, listener Listener) {
	w := Watcher{Target: target, WantsFullList: true}
	defer w.Close()
	for delay := initialRetryDelay; ctx.Err() == nil; {
		began := time.Now()
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
		if !list.Complete && list.Revision < w.Revision { // discovery counts its revisions anew
			w.WantsFullList = true
			continue
		}
		w.WantsFullList, w.Revision = false, list.Revision
		listener.OnList(list)
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
