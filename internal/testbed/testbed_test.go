package testbed

import (
	"context"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/controlplane/planner"
	"fernvane/internal/proxy"
	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/baseline"
	"fernvane/internal/testbed/load"
	"fernvane/internal/testbed/scenario"
)

// policyVar is the environment variable with the policy of a node.
const policyVar = "LAB_TEST_POLICY"

// TestMain lets the test binary also run as a node or planner process, so that the tests run the same processes as the command.
func TestMain(m *testing.M) {
	if path := os.Getenv("PROXY_PLAN"); path != "" {
		cfg, err := planconfig.LoadPlanner(path)
		if err != nil {
			os.Exit(2)
		}
		os.Exit(planner.Process(cfg, os.Stderr))
	}
	if os.Getenv("PROXY_CONFIG") != "" {
		proxy.CatchSignals() // like the node's command
		cfg, err := proxy.LoadConfig(os.Getenv("PROXY_CONFIG"), os.Getenv)
		if err != nil {
			os.Exit(2)
		}
		cfg.Filesystem = NodeFileSystem(os.Getenv)
		Configure(&cfg, os.Getenv(policyVar))
		os.Exit(proxy.RunProcess(cfg, os.Stderr, zerolog.InfoLevel))
	}
	goleak.VerifyTestMain(m)
}

func runScenario(t *testing.T, s *scenario.Scenario, policy string) *Outcome {
	t.Helper()
	out, err := Run(context.Background(), Options{Scenario: s, Requests: load.Plan(s), Command: []string{os.Args[0]}, Planner: []string{os.Args[0]}, Env: []string{policyVar + "=" + policy}})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// The node violates no rule in any embedded scenario, in a shortened form.
func TestRulesHold(t *testing.T) {
	for _, name := range scenario.Names() {
		if strings.HasPrefix(name, "grown") { // needs a whole machine
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Load(name)
			if err != nil {
				t.Fatal(err)
			}
			s.Scale(0.4)
			s.Rules.Slack = scenario.Duration(2 * time.Second) // allows for scheduling delays on a busy machine
			if s.Pairings {                                    // FastCGI at both ends; the command runs the other combinations
				s = s.WithFastCGI(true, true)
			}
			out := runScenario(t, s, "")
			for _, r := range out.Rules {
				if r.Violations > 0 {
					t.Errorf("rule %s violated %d times, first: %s", r.Name, r.Violations, r.FirstViolation)
				}
			}
			if out.Outcomes[load.Handled] == 0 {
				t.Error("got no handled requests")
			}
		})
	}
}

// The audit reports the expected violation for each broken policy.
func TestBrokenPoliciesAreFound(t *testing.T) {
	for name, rule := range baseline.Broken {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Load("proof")
			if err != nil {
				t.Fatal(err)
			}
			s.Scale(0.6)
			if !slices.ContainsFunc(runScenario(t, s, name).Rules, func(r audit.Rule) bool { return r.Name == rule && r.Violations > 0 }) {
				t.Errorf("got no violation of rule %s", rule)
			}
		})
	}
}
