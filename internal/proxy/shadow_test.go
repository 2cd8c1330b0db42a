package proxy

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"fernvane/internal/proxy/shadow"
	"fernvane/policy"
)

// A node with shadow settings answers like a node without them, also after errors, rejections and closed connections. It counts the decisions
// in which the shadow settings differ, and counts none if they equal its own settings.
func TestShadowSettings(t *testing.T) {
	t.Parallel()
	const failed = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
	script := []string{okResponse, failed, okResponse, notStartedResponse, okResponse, closeMark, okResponse, failed, failed, okResponse}
	run := func(t *testing.T, candidate *shadow.Candidate) (got []int) {
		serverEndpoints, _ := servers(t, 1, slices.Concat(script, script, script)...)
		cfg := config(serverEndpoints...)
		cfg.Shadow = candidate
		at, _ := startNode(t, cfg)
		for i := range 12 {
			conn := dial(t, at)
			fmt.Fprintf(conn, "PUT /%s/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\nContent-Length: 0\r\n\r\n", []string{"check", "book"}[i%2], ids.Add(1))
			got = append(got, readReply(t, conn).Status)
		}
		return got
	}
	alone := run(t, nil)
	for name, c := range map[string]struct {
		change func(*policy.TrafficType)
		want   shadow.Difference
		none   bool
	}{
		"equal settings":     {func(*policy.TrafficType) {}, 0, true},
		"late answers count": {func(k *policy.TrafficType) { k.LateWeightShare = 0.5 }, shadow.TimeoutDiffers, false},
		"was non-idempotent": {func(k *policy.TrafficType) { k.Idempotency = policy.Idempotent }, shadow.WouldRetry, false},
		"was idempotent":     {func(k *policy.TrafficType) { k.Idempotency = policy.NonIdempotent }, shadow.WouldFail, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := config().Settings
			for i := range s.TrafficTypes {
				c.change(&s.TrafficTypes[i])
			}
			candidate := shadow.NewCandidate(&s)
			if got := run(t, candidate); !slices.Equal(got, alone) {
				t.Errorf("got statuses %v, want %v as without shadow settings", got, alone)
			}
			counts := candidate.TakeCounts()
			if counts.Compared == 0 || counts.HasFailed {
				t.Errorf("got %d comparisons, failed %v, want some and no failure", counts.Compared, counts.HasFailed)
			}
			if c.none && counts.ByDifference != (shadow.Counts{}).ByDifference || !c.none && counts.ByDifference[c.want] == 0 {
				t.Errorf("unexpected differences %v", counts.ByDifference)
			}
		})
	}
}

// A reload reads the shadow settings again. Invalid settings leave the old ones in effect.
func TestShadowSettingsReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "watch.json")
	cfg := config()
	cfg.getenv = func(string) string { return path }
	cfg.Shadow = shadow.NewCandidate(&cfg.Settings)
	s := &Server{cfg: cfg, logger: zerolog.Nop()}
	const text = `{"limits":{"mostHops":%d},"trafficTypes":[{"name":"check","targetTime":5,"idempotency":"safe"},{"name":"%s","targetTime":5,"idempotency":"safe"}]}`
	for _, c := range []struct {
		text        string
		maxAttempts int
	}{{fmt.Sprintf(text, 3, "book"), 3}, {fmt.Sprintf(text, 2, "other"), 3}, {"{", 3}, {fmt.Sprintf(text, 2, "book"), 2}} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.reloadShadow()
		if got := cfg.Shadow.Settings(); got.MaxAttempts != c.maxAttempts {
			t.Errorf("after %s: unexpected maximum of %d attempts", c.text, got.MaxAttempts)
		}
	}
}
