package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"time"

	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/scenario"
	"fernvane/internal/testbed/standin/plannerproxy"
)

// plannerAddress returns the listen address of a planner.
func (env *environment) plannerAddress(n int) string {
	return env.network.Address(220, n+1, plannerPort)
}

// plannerProxyAddress returns the address at which one half of the nodes reaches a planner.
func (env *environment) plannerProxyAddress(n, half int) string {
	return env.network.Address(221, n+1, plannerPort+half)
}

// startPlanners starts the planners, each behind one proxy for each half of the nodes, and configures the nodes to use
// these proxies.
func (env *environment) startPlanners() error {
	s := env.Scenario
	if s.Planners.Count == 0 {
		return nil
	}
	var addresses [2][]string // by half of the nodes, quoted
	for n := range s.Planners.Count {
		var halves [2]*plannerproxy.Proxy
		for half := range halves {
			proxy, err := plannerproxy.Listen(env.plannerProxyAddress(n, half), env.plannerAddress(n), env.observer)
			if err != nil {
				return err
			}
			halves[half] = proxy
			addresses[half] = append(addresses[half], fmt.Sprintf("%q", proxy.Address()))
		}
		env.plannerProxies = append(env.plannerProxies, halves)
		p := &process{filePrefix: "planner-", number: n, command: env.Planner, env: env.Env, dir: env.Directory}
		env.planners = append(env.planners, p)
		text := fmt.Sprintf("name = \"p%d\"\nlisten = %q\ndiscovery = %q\nevery = %q\nplaintext = true\n",
			n, env.plannerAddress(n), env.discoveryAddress(s.Nodes.Count+n, 0), s.Planners.Interval.Std())
		if err := os.WriteFile(p.planPath(), []byte(text), 0o644); err != nil {
			return err
		}
		if err := env.startPlanner(n); err != nil {
			return err
		}
	}
	for n, p := range env.nodes {
		text := fmt.Sprintf("planners = [%s]\nplaintext = true\n", strings.Join(addresses[n%2], ", "))
		if err := os.WriteFile(p.plannersPath(), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func (env *environment) startPlanner(n int) error {
	return env.planners[n].start(env.processes, func(reason string) {
		env.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(n, "planner: "+reason) })
	})
}

// stopPlanners stops the planners gracefully and returns their resource usage and the bytes that they sent to nodes.
func (env *environment) stopPlanners() (usage resourceUsage, bytes int) {
	for n, p := range env.planners {
		p.signal(syscall.SIGCONT)
		if err := p.stop(syscall.SIGTERM); err != nil {
			env.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(n, "planner: "+err.Error()) })
		}
		p.mu.Lock()
		usage.CPU += p.usage.CPU
		usage.RSSMB = max(usage.RSSMB, p.usage.RSSMB)
		p.mu.Unlock()
		for _, proxy := range env.plannerProxies[n] {
			bytes += proxy.Bytes()
		}
	}
	return usage, bytes
}

// chosenPlanners returns the numbers of the planners that a fault names, or of all planners.
func (env *environment) chosenPlanners(f *scenario.Fault) []int {
	if len(f.Planners) > 0 {
		return f.Planners
	}
	all := make([]int, len(env.planners))
	for n := range all {
		all[n] = n
	}
	return all
}

// eachPlanner returns a fault that calls begin for each chosen planner, and end when the fault's duration has passed.
func eachPlanner(begin, end func(env *environment, f *scenario.Fault, n int)) faultFunc {
	return func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		for _, n := range env.chosenPlanners(f) {
			begin(env, f, n)
			env.after(f.For.Std(), func() { end(env, f, n) })
		}
	}
}

func killPlanner(env *environment, _ *scenario.Fault, n int) { env.planners[n].stop(syscall.SIGKILL) }

// restartPlanner starts a planner again after killPlanner.
func restartPlanner(env *environment, _ *scenario.Fault, n int) {
	if err := env.startPlanner(n); err != nil {
		env.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(n, err.Error()) })
	}
}

// delayPlanner delays all data between a planner and the nodes by d.
func delayPlanner(env *environment, n int, d time.Duration) {
	for _, proxy := range env.plannerProxies[n] {
		proxy.Delay(d)
	}
}

// plannerFaults are the faults of planners and the links to them, by name.
var plannerFaults = map[string]faultFunc{
	"kill-planners": eachPlanner(killPlanner, restartPlanner),
	"stop-planners": eachPlanner(
		func(env *environment, _ *scenario.Fault, n int) { env.planners[n].signal(syscall.SIGSTOP) },
		func(env *environment, _ *scenario.Fault, n int) { env.planners[n].signal(syscall.SIGCONT) }),
	"cut-planners": eachPlanner(
		func(env *environment, f *scenario.Fault, n int) { env.plannerProxies[n][f.Half].Cut(true) },
		func(env *environment, f *scenario.Fault, n int) { env.plannerProxies[n][f.Half].Cut(false) }),
	"slow-planners": eachPlanner(
		func(env *environment, f *scenario.Fault, n int) {
			delayPlanner(env, n, time.Duration(f.Size*float64(time.Second)))
		},
		func(env *environment, _ *scenario.Fault, n int) { delayPlanner(env, n, 0) }),
}
