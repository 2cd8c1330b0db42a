package soak

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"fernvane/internal/proxy"
)

// brokenVar is the environment variable that makes this program run as a brokenNode with the fault that it names.
const brokenVar = "SOAK_BROKEN_NODE"

// TestMain lets the test binary also run as a node process.
func TestMain(m *testing.M) {
	path := os.Getenv("PROXY_CONFIG")
	switch {
	case os.Getenv(brokenVar) != "":
		os.Exit(runBrokenNode(path, brokenFault(os.Getenv(brokenVar))))
	case path != "":
		proxy.CatchSignals() // like the node's command
		cfg, err := proxy.LoadConfig(path, os.Getenv)
		if err != nil {
			os.Exit(2)
		}
		os.Exit(proxy.RunProcess(cfg, os.Stderr, zerolog.InfoLevel))
	}
	goleak.VerifyTestMain(m)
}

// Guards against a node that loses requests when it is stopped: no rule is violated on a fixed set of seeds.
func TestStops(t *testing.T) {
	const seeds, atOnce = 64, 6
	var g errgroup.Group
	g.SetLimit(atOnce)
	for seed := uint64(1); seed <= seeds; seed++ {
		g.Go(func() error {
			result, err := Run(context.Background(), NewPlan(seed), Options{Command: []string{os.Args[0]}})
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			if result.HasViolations() {
				t.Errorf("seed %d, node exited %s after the stop: %s\n%v", seed, result.StopDuration, result.Plan.String(), result.Details)
			}
			return nil
		})
	}
	g.Wait()
}

// calmPlan returns a plan without faults and idle clients.
func calmPlan() Plan {
	return Plan{Seed: 1, Deadline: time.Second, Clients: 8, MaxPause: 5 * time.Millisecond, Servers: 2, MaxWork: time.Millisecond,
		Signals: []timedSignal{{0, syscall.SIGTERM}}}
}

// The audit reports the expected violation for each broken node, and none for a node without a fault.
func TestBrokenNodesAreFound(t *testing.T) {
	for fault, rule := range brokenRules {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			plan := calmPlan()
			plan.HasJournal = rule == JournalComplete
			if rule == LastAnswerComplete {
				plan.PipelineRate = 0.5
			}
			command := []string{"/usr/bin/env", brokenVar + "=" + string(fault), os.Args[0]}
			result, err := Run(context.Background(), plan, Options{Command: command})
			if err != nil {
				t.Fatal(err)
			}
			if rule == "" && result.HasViolations() || rule != "" && result.Violations[rule] == 0 {
				t.Errorf("got violations %v, want %q: %v", result.Violations, rule, result.Details)
			}
			if result.Answers == 0 && fault != isSilent && fault != cutsAnswers {
				t.Error("got no answers")
			}
		})
	}
}

// A plan depends only on its seed, and every kind of run is drawn often enough.
func TestPlans(t *testing.T) {
	kinds := map[string]int{}
	for seed := uint64(1); seed <= 200; seed++ {
		p, again := NewPlan(seed), NewPlan(seed)
		if p.String() != again.String() {
			t.Fatalf("seed %d: got plans %s and %s", seed, p.String(), again.String())
		}
		for kind, isDrawn := range map[string]bool{"idle clients": p.HasIdleClients, "journal": p.HasJournal, "FastCGI": p.FastCGIShare > 0, "pipelined": p.PipelineRate > 0,
			"hanging": p.HangRate > 0, "drain": p.DrainServer, "discovery": p.DiscoveryDown, "moves": p.MovesDiscovery, "signals": len(p.Signals) > 3} {
			if isDrawn {
				kinds[kind]++
			}
		}
	}
	for kind, n := range kinds {
		if n < 20 {
			t.Errorf("%s: got %d of 200 plans, want at least 20", kind, n)
		}
	}
	if len(kinds) != 9 {
		t.Errorf("got kinds %v, want 9", kinds)
	}
}
