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

// playRequests passes requests with slow responses, errors and timeouts to a module and returns all effects. The rate is low
// enough that all decisions are compared.
func playRequests(module interface {
	Handle(time.Duration, *policy.Input, []policy.Effect) []policy.Effect
}) (all []policy.Effect) {
	handle := func(now time.Duration, in policy.Input) {
		all = append(all, module.Handle(now, &in, nil)...)
	}
	var list []policy.Endpoint
	for s := range 8 {
		list = append(list, policy.Endpoint{Server: s, Rank: uint32(s), Weight: 1})
	}
	handle(0, policy.Input{Kind: policy.EndpointsUpdated, Scope: policy.Cached, Endpoints: list})
	outcomes := []policy.Outcome{policy.Success, policy.Failure, policy.Success, policy.TimedOut, policy.Overloaded, policy.Success}
	for i := range 400 {
		now := time.Duration(i) * 50 * ms
		handle(now, policy.Input{Kind: policy.RequestArrived, Request: i, TrafficType: i % 2, Key: uint32(1 + i%5), Timeout: time.Second})
		handle(now+20*ms, policy.Input{Kind: policy.TimerFired})
		if outcome := outcomes[i%len(outcomes)]; i%7 > 0 {
			handle(now+30*ms, policy.Input{Kind: policy.AttemptEnded, Request: i, Outcome: outcome, IsSettled: outcome == policy.Success})
		}
	}
	return all
}

// TestCountsByDifference checks which differences are counted for a change of settings, and that the evaluation does not
// change the live decisions.
func TestCountsByDifference(t *testing.T) {
	unevaluated := playRequests(policy.New(testSettings(), 7))
	for name, c := range map[string]struct {
		change func(*policy.Settings)
		want   []Difference // each must be counted; if empty, no difference may be counted
		never  []Difference // none may be counted
	}{
		"the same settings":                      {func(*policy.Settings) {}, nil, nil},
		"late responses count":                   {func(s *policy.Settings) { s.TrafficTypes[1].LateWeightShare = 0.5 }, []Difference{TimeoutDiffers}, []Difference{ServerDiffers, WouldReject, WouldFail}},
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
			if got := playRequests(NewModule(policy.New(testSettings(), 7), evaluated)); !reflect.DeepEqual(got, unevaluated) {
				t.Error("live decisions with evaluation differ from those without")
			}
			counts := evaluated.TakeCounts()
			if counts.Compared < 1000 || counts.HasFailed {
				t.Errorf("got %d comparisons, want at least 1000 and no panic", counts.Compared)
			}
			counts.Each(func(difference Difference, n int) {
				if n > 0 && (len(c.want) == 0 || slices.Contains(c.never, difference)) || n == 0 && slices.Contains(c.want, difference) {
					t.Errorf("difference %s: got unexpected count %d", difference, n)
				}
			})
			if again := evaluated.TakeCounts(); again != (Counts{}) {
				t.Errorf("second TakeCounts: got %+v, want no counts", again)
			}
		})
	}
}

// TestComparisonsAreLimited checks the limit of comparisons, and that settings under which the decision module panics only
// disable the evaluation.
func TestComparisonsAreLimited(t *testing.T) {
	for name, c := range map[string]struct {
		quotas      []float64 // of the candidate settings
		maxCompared int
		failed      bool
	}{
		"same time":                   {[]float64{1}, maxComparisonsPerSecond, false},
		"settings that cause a panic": {nil, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, evaluated := testSettings(), new(Candidate)
			s.TenantQuotas = []float64{1}
			module := NewModule(policy.New(s, 7), evaluated)
			s.TenantQuotas = c.quotas
			evaluated.SetSettings(&settings.Settings{Settings: s})
			for i := range 10 * maxComparisonsPerSecond {
				module.Handle(0, &policy.Input{Kind: policy.RequestArrived, Request: i, Timeout: time.Second}, nil)
			}
			if counts := evaluated.TakeCounts(); counts.Compared > c.maxCompared || counts.HasFailed != c.failed {
				t.Errorf("got %d comparisons and failed %v", counts.Compared, counts.HasFailed)
			}
		})
	}
}

// TestComparisonsWithManyServers checks that the number of comparisons decreases with the number of servers, but not to 0.
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
				t.Errorf("got %d comparisons in 2 s", got)
			}
		})
	}
}
