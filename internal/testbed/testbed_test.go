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

const policyVar = "LAB_TEST_POLICY"

// TestMain lets this very program run as a node, so that the tests play with processes as the command does.
func TestMain(m *testing.M) {
	if path := os.Getenv("PROXY_PLAN"); path != "" {
		cfg, err := planconfig.LoadPlanner(path)
		if err != nil {
			os.Exit(2)
		}
		os.Exit(planner.Process(cfg, os.Stderr))
	}
	if os.Getenv("PROXY_CONFIG") != "" {
		proxy.CatchSignals() // as the node's own command does
		cfg, err := proxy.LoadConfig(os.Getenv("PROXY_CONFIG"), os.Getenv)
		if err != nil {
			os.Exit(2)
		}
		cfg.Filesystem = Disk(os.Getenv)
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

// The rules hold for the node on every scenario that comes along, in a short form.
func TestRulesHold(t *testing.T) {
	for _, name := range scenario.Names() {
		if strings.HasPrefix(name, "grown") { // takes all of a machine
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Load(name)
			if err != nil {
				t.Fatal(err)
			}
			s.Scale(0.4)
			s.Rules.Slack = scenario.Span(2 * time.Second) // so that a busy machine changes no verdict
			if s.Pairings {                                // both ends; the others are played by the command
				s = s.WithFastCGI(true, true)
			}
			out := runScenario(t, s, "")
			for _, r := range out.Rules {
				if r.Violations > 0 {
					t.Errorf("%s broken %d times, first: %s", r.Name, r.Violations, r.FirstViolation)
				}
			}
			if out.Outcomes[load.Handled] == 0 {
				t.Error("nothing was handled")
			}
		})
	}
}

// Each broken policy is found out by the rule that it breaks.
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
				t.Errorf("%s is not found broken", rule)
			}
		})
	}
}
