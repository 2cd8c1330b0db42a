package shadow

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/policy"
)

const ms = time.Millisecond

func testSettings() policy.Settings {
	return policy.Settings{NodeCount: 4, TimerGranularity: 5 * ms, MaxAttempts: 4, MaxRetryAfter: time.Second, TrafficTypes: []policy.TrafficType{
		{Idempotency: policy.Idempotent, LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second, PriorityWeight: 1},
		{Idempotency: policy.NonIdempotent, LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second, PriorityWeight: 1}}}
}

// playRequests plays requests with slow responses, errors and timeouts to a module, slowly enough that all decisions are
// compared.
func playRequests(module interface {
	Handle(time.Duration, *policy.Input, []policy.Effect) []policy.Effect
}) (all []policy.Effect) {
	at := func(now time.Duration, in policy.Input) {
		all = append(all, module.Handle(now, &in, nil)...)
	}
	var list []policy.Endpoint
	for s := range 8 {
		list = append(list, policy.Endpoint{Server: s, Rank: uint32(s), Weight: 1})
	}
	at(0, policy.Input{Kind: policy.EndpointsUpdated, Scope: policy.Cached, Endpoints: list})
	outcomes := []policy.Outcome{policy.Success, policy.Failure, policy.Success, policy.TimedOut, policy.Overloaded, policy.Success}
	for i := range 400 {
		now := time.Duration(i) * 50 * ms
		at(now, policy.Input{Kind: policy.RequestArrived, Request: i, TrafficType: i % 2, Key: uint32(1 + i%5), Timeout: time.Second})
		at(now+20*ms, policy.Input{Kind: policy.TimerFired})
		if outcome := outcomes[i%len(outcomes)]; i%7 > 0 {
			at(now+30*ms, policy.Input{Kind: policy.AttemptEnded, Request: i, Outcome: outcome, ClientAnswered: outcome == policy.Success})
		}
	}
	return all
}

func TestCountsByDifference(t *testing.T) {
	alone := playRequests(policy.New(testSettings(), 7))
	for name, c := range map[string]struct {
		change func(*policy.Settings)
		want   []Difference // all must be counted; if there are none, nothing may be
		never  []Difference
	}{
		"the same settings":                      {func(*policy.Settings) {}, nil, nil},
		"late answers count":                     {func(s *policy.Settings) { s.TrafficTypes[1].LateWeightShare = 0.5 }, []Difference{TimeoutDiffers}, []Difference{ServerDiffers, WouldReject, WouldFail}},
		"servers cache keys":                     {func(s *policy.Settings) { s.ServersCacheKeys = true }, []Difference{ServerDiffers}, []Difference{WouldFail, RetryAfterDiffers}},
		"no Retry-After":                         {func(s *policy.Settings) { s.MaxRetryAfter = 0 }, []Difference{RetryAfterDiffers}, []Difference{ServerDiffers, WouldFail}},
		"one attempt only":                       {func(s *policy.Settings) { s.MaxAttempts = 1 }, []Difference{WouldReject}, []Difference{WouldRetry}},
		"idempotent type becomes non-idempotent": {func(s *policy.Settings) { s.TrafficTypes[0].Idempotency = policy.NonIdempotent }, []Difference{WouldFail}, []Difference{WouldRetry}},
		"non-idempotent type becomes idempotent": {func(s *policy.Settings) { s.TrafficTypes[1].Idempotency = policy.Idempotent }, []Difference{WouldRetry}, []Difference{WouldFail}},
	} {
		t.Run(name, func(t *testing.T) {
			candidate := testSettings()
			c.change(&candidate)
			evaluated := NewCandidate(&settings.Settings{Settings: candidate})
			if got := playRequests(NewModule(policy.New(testSettings(), 7), evaluated)); !reflect.DeepEqual(got, alone) {
				t.Error("decisions differ because of the evaluation")
			}
			counts := evaluated.TakeCounts()
			if counts.Compared < 1000 || counts.HasFailed {
				t.Errorf("%d compared", counts.Compared)
			}
			counts.Each(func(difference Difference, n int) {
				if n > 0 && (len(c.want) == 0 || slices.Contains(c.never, difference)) || n == 0 && slices.Contains(c.want, difference) {
					t.Errorf("%s: %d", difference, n)
				}
			})
			if again := evaluated.TakeCounts(); again != (Counts{}) {
				t.Errorf("counted twice: %+v", again)
			}
		})
	}
}

// No more decisions are compared than allowed, and settings that the decision module cannot use end the evaluation only.
func TestComparisonsAreLimited(t *testing.T) {
	for name, c := range map[string]struct {
		shares      []float64
		maxCompared int
		failed      bool
	}{
		"at one moment":     {[]float64{1}, maxComparisonsPerSecond, false},
		"unusable settings": {nil, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, evaluated := testSettings(), new(Candidate)
			s.TenantQuotas = []float64{1}
			module := NewModule(policy.New(s, 7), evaluated)
			s.TenantQuotas = c.shares
			evaluated.SetSettings(&settings.Settings{Settings: s})
			for i := range 10 * maxComparisonsPerSecond {
				module.Handle(0, &policy.Input{Kind: policy.RequestArrived, Request: i, Timeout: time.Second}, nil)
			}
			if counts := evaluated.TakeCounts(); counts.Compared > c.maxCompared || counts.HasFailed != c.failed {
				t.Errorf("%d compared, failed %v", counts.Compared, counts.HasFailed)
			}
		})
	}
}

// With more servers fewer decisions are compared, but still some.
func TestComparisonsWithManyServers(t *testing.T) {
	for _, c := range []struct {
		servers     int
		minCompared int
		maxCompared int
	}{{1_000, 200, 300}, {20_000, 10, 15}, {200_000, 1, 1}} {
		t.Run(fmt.Sprint(c.servers), func(t *testing.T) {
			evaluated := NewCandidate(&settings.Settings{Settings: testSettings()})
			module := NewModule(policy.New(testSettings(), 7), evaluated)
			list := make([]policy.Endpoint, c.servers)
			for i := range list {
				list[i] = policy.Endpoint{Server: i, Rank: uint32(i), Weight: 1}
			}
			module.Handle(0, &policy.Input{Kind: policy.EndpointsUpdated, Scope: policy.Full, Endpoints: list}, nil)
			for i := range 1_000 { // over two seconds
				module.Handle(time.Duration(i)*2*time.Millisecond, &policy.Input{Kind: policy.RequestArrived, Request: i, Timeout: time.Second}, nil)
			}
			if got := evaluated.TakeCounts().Compared; got < c.minCompared || got > c.maxCompared {
				t.Errorf("%d compared in two seconds", got)
			}
		})
	}
}
