package watch

import (
	"testing"
	"time"

	"fernvane/internal/http1"
)

// What a silent watch has missed counts as told 6 s after it fell silent, and there is a grace of some hundred ms. By then
// the silence must be noticed, the next call made (the module waits for up to 0.38 s) and answered.
func TestSilenceIsNoticedInTime(t *testing.T) {
	for name, c := range map[string]struct {
		w    Watcher
		most time.Duration
	}{
		"a watch that went on":                 {Watcher{conn: &http1.Conn{}}, 4 * time.Second},
		"a new one":                            {Watcher{}, 4500 * time.Millisecond},
		"a new one, of an agent with no queue": {Watcher{Pushed: true}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			if wait, slack := c.w.patience(); wait <= 0 || slack <= 0 || wait+slack > c.most {
				t.Errorf("waits %v and %v more", wait, slack)
			}
		})
	}
}
