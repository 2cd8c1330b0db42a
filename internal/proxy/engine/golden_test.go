package engine

import (
	"bufio"
	"fmt"
	"hash"
	"hash/crc32"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernvane/policy"
)

// goldenFile contains one line per seed with the hash of all effects of a random history. After an intended change of
// decisions, the test rewrites it with FERNVANE_GOLDEN=write.
const goldenFile = "effects.golden"

const (
	goldenSeeds     = 32
	goldenSteps     = 12_000
	firstSparseSeed = 24 // first seed with many traffic types and tenants and traffic for only a few of them at a time
)

// TestEffectsAreAsRecorded runs long random histories and compares the hashes of all effects with the golden file.
func TestEffectsAreAsRecorded(t *testing.T) {
	path := filepath.Join("testdata", goldenFile)
	if os.Getenv("FERNVANE_GOLDEN") == "write" {
		var b strings.Builder
		for seed := range uint64(goldenSeeds) {
			fmt.Fprintln(&b, newHistory(seed).play(goldenSteps))
		}
		if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for seed := range uint64(goldenSeeds) {
		if !lines.Scan() {
			t.Fatal("golden file has fewer lines than seeds")
		}
		want := lines.Text()
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if got := newHistory(seed).play(goldenSteps); got != want {
				t.Errorf("got effects\n%s, want\n%s", got, want)
			}
		})
	}
}

// attempt is an attempt in flight.
type attempt struct {
	request uint64
	index   int
	server  uint32
	sent    time.Duration
}

// history drives an Engine with random inputs and hashes the effects. It is both the Engine's Decider, which wraps the policy,
// and its EffectHandler. The texts that its methods hash are part of the golden hashes.
type history struct {
	rand          *rand.Rand
	settings      policy.Settings
	engine        *Engine[uint32]
	hash          hash.Hash64
	now           time.Duration
	timerAt       time.Duration
	requests      uint64
	attempts      []attempt
	attemptCounts map[uint64]int // by request
	servers       []uint32       // currently listed
	nextID        uint32
	effectCounts  [8]int // by effect kind
	decider       Decider
	rankMod       uint32
	isSparse      bool
	routeLimits   int     // number of routes with a limit
	slowdownAt    float64 // number of attempts in flight at which servers slow down
	faultyUntil   map[uint32]time.Duration
}

func (h *history) Handle(now time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect {
	from := len(effects)
	effects = h.decider.Handle(now, in, effects)
	for _, e := range effects[from:] {
		h.effectCounts[e.Kind]++
		fmt.Fprintln(h.hash, e.Kind, e.Request, e.Server, int64(e.Duration))
	}
	return effects
}

func (h *history) SendAttempt(request uint64, server uint32, _ time.Duration) {
	fmt.Fprintln(h.hash, "forward", request, server)
	h.attempts = append(h.attempts, attempt{request, h.attemptCounts[request], server, h.now})
	h.attemptCounts[request]++
}
func (h *history) Reject(request uint64, _ time.Duration) { fmt.Fprintln(h.hash, "reject", request) }
func (h *history) Fail(request uint64)                    { fmt.Fprintln(h.hash, "abandon", request) }
func (h *history) SetTimer(after time.Duration)           { h.timerAt = h.now + after }
func (h *history) Subscribe()                             { fmt.Fprintln(h.hash, "listen") }
func (h *history) CloseIdle(server uint32)                { fmt.Fprintln(h.hash, "release", server) }
func (h *history) ReleaseServer(server uint32)            { fmt.Fprintln(h.hash, "forget", server) }

func newHistory(seed uint64) *history {
	r := rand.New(rand.NewPCG(seed, 47))
	h := &history{rand: r, hash: fnv.New64a(), attemptCounts: map[uint64]int{}, faultyUntil: map[uint32]time.Duration{}}
	ms := time.Millisecond
	h.settings = policy.Settings{NodeCount: 1 + r.IntN(6), NodeIndex: r.IntN(3), Zone: r.IntN(3), TimerGranularity: time.Duration(r.IntN(3)) * 10 * ms,
		MaxAttempts: 1 + r.IntN(4), SlowStartDuration: time.Duration(2+r.IntN(8)) * time.Second, SlowStartInitialCapacity: 0.2, CrashLoadFactor: 3,
		RequestEndpointsWithin: 10 * time.Second, OverQuotaWeightShare: 0.1, MustRequestEndpoints: seed%2 == 0, UnlistedUsable: seed%3 == 0,
		ServersCacheKeys: seed%4 == 1, HedgingAllowed: seed%5 < 3, MaxRetryAfter: time.Duration(seed%2) * time.Second, ConnectTimeout: 100 * ms}
	for k := range 3 + r.IntN(4) {
		h.settings.TrafficTypes = append(h.settings.TrafficTypes, h.trafficType(k))
	}
	for range int(seed%7) * 6 {
		h.settings.TenantQuotas = append(h.settings.TenantQuotas, float64(r.IntN(12)))
	}
	if seed >= firstSparseSeed {
		for len(h.settings.TrafficTypes) < 150 {
			h.settings.TrafficTypes = append(h.settings.TrafficTypes, h.trafficType(len(h.settings.TrafficTypes)))
		}
		for range 500 {
			h.settings.TenantQuotas = append(h.settings.TenantQuotas, float64(r.IntN(12)))
		}
		h.isSparse = true
	}
	h.rankMod = []uint32{1 << 31, 16}[seed%2] // few ranks, so that some are equal
	h.slowdownAt = 10 + float64(r.IntN(60))
	h.decider = policy.New(h.settings, uint32(seed))
	h.engine = New[uint32](0, h, h)
	h.updateEndpoints(policy.Cached, h.newEndpoints(5+r.IntN(20)*int(1+seed%4)))
	return h
}

func (h *history) trafficType(k int) policy.TrafficType {
	r, ms := h.rand, time.Millisecond
	t := policy.TrafficType{Idempotency: policy.Idempotency(k % 3), KeyScope: policy.KeyScope(r.IntN(3)), LatencyObjective: time.Duration(200+r.IntN(400)) * ms,
		ClientTimeout: 2 * time.Second, KeyRetention: time.Second, PriorityWeight: float64(1 + r.IntN(9))}
	if r.IntN(3) == 0 {
		t.RetryRatio, t.MinRetriesPerSecond = 0.2, float64(r.IntN(2))
	}
	if r.IntN(3) == 0 {
		t.HedgeDelay, t.HedgeRatio = 60*ms, 0.1
	}
	if r.IntN(4) == 0 {
		t.PoolLabels = 1 << r.IntN(3)
	}
	if r.IntN(4) == 0 {
		t.LateWeightShare = 0.3
	}
	return t
}

// newEndpoints lists n new servers and returns their entries.
func (h *history) newEndpoints(n int) (endpoints []Endpoint[uint32]) {
	for range n {
		h.nextID++
		h.servers = append(h.servers, h.nextID)
		endpoints = append(endpoints, h.endpoint(h.nextID, policy.Up))
	}
	return endpoints
}

func (h *history) endpoint(id uint32, condition policy.Condition) Endpoint[uint32] {
	sum := crc32.ChecksumIEEE([]byte(fmt.Sprint(id)))
	entry := policy.Endpoint{Rank: sum % h.rankMod, Zone: int(sum>>3) % 3, Cell: int(sum>>5) % 6, Condition: condition,
		Weight: float64(1 + sum>>7%3), Labels: uint64(sum >> 9 % 8)}
	switch h.rand.IntN(4) {
	case 0:
		entry.HasStartTime, entry.StartedAt = true, h.now-time.Duration(h.rand.IntN(12))*time.Second
	case 1:
		entry.HasStartTime, entry.StartedAt = true, -time.Hour
	}
	return Endpoint[uint32]{Server: id, Info: entry}
}

func (h *history) updateEndpoints(scope policy.UpdateScope, endpoints []Endpoint[uint32]) {
	h.engine.EndpointsUpdated(h.now, scope, endpoints, h)
}

func (h *history) changeEndpoints() {
	switch r := h.rand.IntN(20); {
	case r < 6:
		h.updateEndpoints(policy.Incremental, h.newEndpoints(1+h.rand.IntN(3)))
	case r < 12 && len(h.servers) > 3:
		i := h.rand.IntN(len(h.servers))
		id := h.servers[i]
		h.servers = append(h.servers[:i], h.servers[i+1:]...)
		entry := h.endpoint(id, policy.Condition(1+h.rand.IntN(2)))
		entry.Info.AddressReassigned = h.rand.IntN(3) == 0
		endpoints := []Endpoint[uint32]{entry}
		if h.rand.IntN(2) == 0 {
			endpoints = append(endpoints, h.newEndpoints(1)...)
		}
		h.updateEndpoints(policy.Incremental, endpoints)
	case r < 15:
		id := h.servers[h.rand.IntN(len(h.servers))]
		h.updateEndpoints(policy.Incremental, []Endpoint[uint32]{h.endpoint(id, policy.Draining), h.endpoint(id, policy.Up)})
	case r < 18:
		var endpoints []Endpoint[uint32]
		remaining := h.servers[:0:0]
		removalShare := h.rand.Float64() * 0.5
		for _, id := range h.servers {
			if len(remaining) < 2 || h.rand.Float64() > removalShare {
				remaining = append(remaining, id)
				endpoints = append(endpoints, h.endpoint(id, policy.Up))
			}
		}
		h.servers = remaining
		h.updateEndpoints(policy.Full, append(endpoints, h.newEndpoints(h.rand.IntN(4))...))
	default:
		h.updateEndpoints(policy.Unavailable, nil)
	}
}

func (h *history) changePlan() {
	in := policy.Input{NodeCount: 1 + h.rand.IntN(6)}
	if h.rand.IntN(3) == 0 {
		in.MaxAdmittedShare = 0.5 + h.rand.Float64()/2
	}
	if h.rand.IntN(2) == 0 {
		for range h.settings.TenantQuotas {
			in.WithinQuotaShares = append(in.WithinQuotaShares, h.rand.Float64()*1.5)
		}
	}
	var assignments []Assignment[uint32]
	for _, id := range h.servers {
		if h.rand.IntN(3) == 0 {
			s := policy.Assignment{Preference: float64(h.rand.IntN(4)-1) / 2, SlowStartRate: float64(h.rand.IntN(3))}
			if h.rand.IntN(8) == 0 {
				s.EjectFor = time.Second
			}
			assignments = append(assignments, Assignment[uint32]{Server: id, Info: s})
		}
	}
	h.engine.PlanChanged(h.now, in, assignments, h)
}

func (h *history) changeTrafficTypes() {
	latencySources := make([]int, len(h.settings.TrafficTypes))
	for k := range latencySources {
		latencySources[k] = k
	}
	types := append([]policy.TrafficType(nil), h.settings.TrafficTypes...)
	if len(types) < 9 {
		latencySources = append(latencySources, h.rand.IntN(len(types)+1)-1)
		types = append(types, h.trafficType(len(types)))
	}
	h.settings.TrafficTypes, h.routeLimits = types, 1
	h.engine.TrafficTypesChanged(h.now, policy.Input{TrafficTypes: types, LatencySources: latencySources, RouteLimits: []int{0, 5 + h.rand.IntN(30)}}, h)
}

// endAttempt ends an attempt with an outcome that depends on whether its server is currently faulty.
func (h *history) endAttempt(i int) {
	a := h.attempts[i]
	h.attempts[i] = h.attempts[len(h.attempts)-1]
	h.attempts = h.attempts[:len(h.attempts)-1]
	outcome := policy.Success
	if h.now < h.faultyUntil[a.server] {
		outcome = []policy.Outcome{policy.Failure, policy.Overloaded, policy.TimedOut, policy.Unreachable, policy.ConnectionBroken}[int(a.server)%5]
	} else if h.rand.IntN(40) == 0 {
		outcome = policy.Outcome(h.rand.IntN(9))
	}
	h.engine.AttemptEnded(h.now, a.request, a.server, policy.Input{Attempt: a.index, Outcome: outcome, IsSettled: outcome == policy.Success}, h)
}

func (h *history) step() {
	r := h.rand
	h.now += time.Duration(r.IntN(int(6 * time.Millisecond)))
	if r.IntN(400) == 0 || h.isSparse && r.IntN(40) == 0 {
		h.now += time.Duration(r.IntN(int(2 * time.Second)))
	}
	if h.now >= h.timerAt {
		h.engine.TimerFired(h.now, h)
	}
	for range 2 {
		if len(h.attempts) > 0 && r.Float64() < 0.2+float64(len(h.attempts))/h.slowdownAt {
			h.endAttempt(r.IntN(len(h.attempts)))
		}
	}
	switch n := r.IntN(1000); {
	case n < 4:
		h.changeEndpoints()
	case n < 6:
		h.changePlan()
	case n < 7:
		h.changeTrafficTypes()
	case n < 10 && len(h.servers) > 0:
		h.faultyUntil[h.servers[r.IntN(len(h.servers))]] = h.now + time.Duration(r.IntN(int(6*time.Second)))
	case n < 20 && h.requests > 0:
		h.engine.ClientLeft(h.now, h.requests-uint64(r.IntN(int(min(h.requests, 20)))), h)
	case n < 500:
		h.requests++
		h.engine.RequestArrived(h.now, h.requests, policy.Input{TrafficType: h.drawIndex(len(h.settings.TrafficTypes)), Tenant: h.drawIndex(len(h.settings.TenantQuotas) + 1),
			RouteLimit: r.IntN(1 + h.routeLimits), Key: uint32(r.IntN(40)), IsClientRetry: r.IntN(10) == 0,
			Timeout: time.Duration(300+r.IntN(2000)) * time.Millisecond}, h)
	}
}

// drawIndex returns a random index below n. In a sparse history, most draws are from six indices, which change over time.
func (h *history) drawIndex(n int) int {
	if !h.isSparse || h.rand.IntN(100) == 0 {
		return h.rand.IntN(n)
	}
	return (int(h.now/(20*time.Second))*6 + h.rand.IntN(6)) % n
}

func (h *history) play(steps int) string {
	for range steps {
		h.step()
	}
	return fmt.Sprintf("%016x %v of %d requests in %v", h.hash.Sum64(), h.effectCounts, h.requests, h.now.Round(time.Second))
}
