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

func (w *world) plannerAddress(n int) string {
	return fmt.Sprintf("%s.220.%d:%d", w.net, n+1, plannerPort)
}

func (w *world) relayAddress(n, half int) string {
	return fmt.Sprintf("%s.221.%d:%d", w.net, n+1, plannerPort+half)
}

// plan starts the planners, each behind a relay for either half of the nodes, and has the nodes know of them.
func (w *world) plan() error {
	s := w.Scenario
	if s.Planners.Count == 0 {
		return nil
	}
	var through [2][]string
	for n := range s.Planners.Count {
		var halves [2]*plannerproxy.Proxy
		for half := range halves {
			r, err := plannerproxy.Listen(w.relayAddress(n, half), w.plannerAddress(n), w.observer)
			if err != nil {
				return err
			}
			halves[half] = r
			through[half] = append(through[half], fmt.Sprintf("%q", r.Address()))
		}
		w.relays = append(w.relays, halves)
		p := &process{kind: "planner-", number: n, command: w.Planner, env: w.Env, dir: w.Keep}
		w.planners = append(w.planners, p)
		text := fmt.Sprintf("name = \"p%d\"\nlisten = %q\ndiscovery = %q\nevery = %q\nplaintext = true\n",
			n, w.plannerAddress(n), w.discoveryAddress(s.Nodes.Count+n, 0), s.Planners.Every.Std())
		if err := os.WriteFile(p.plan(), []byte(text), 0o644); err != nil {
			return err
		}
		if err := w.startPlanner(n); err != nil {
			return err
		}
	}
	for n, p := range w.nodes {
		text := fmt.Sprintf("planners = [%s]\nplaintext = true\n", strings.Join(through[n%2], ", "))
		if err := os.WriteFile(p.planners(), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) startPlanner(n int) error {
	return w.planners[n].start(w.processes, func(why string) {
		w.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(n, "planner: "+why) })
	})
}

// stopPlanners ends them in good order and tells what they used.
func (w *world) stopPlanners() (all usage, bytes int) {
	for n, p := range w.planners {
		p.signal(syscall.SIGCONT)
		if err := p.end(syscall.SIGTERM); err != nil {
			w.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(n, "planner: "+err.Error()) })
		}
		p.mu.Lock()
		all.CPU, all.RSSMB = all.CPU+p.use.CPU, max(all.RSSMB, p.use.RSSMB)
		p.mu.Unlock()
		for _, r := range w.relays[n] {
			bytes += r.Bytes()
		}
	}
	return all, bytes
}

// chosenPlanners are those that a fault names, or all.
func (w *world) chosenPlanners(f *scenario.Fault) []int {
	if len(f.Planners) > 0 {
		return f.Planners
	}
	all := make([]int, len(w.planners))
	for n := range all {
		all[n] = n
	}
	return all
}

// eachPlanner has something befall each of the chosen, and end after the fault's time.
func eachPlanner(begin, end func(w *world, f *scenario.Fault, n int)) func(*world, context.Context, *scenario.Fault, *rand.Rand) {
	return func(w *world, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		for _, n := range w.chosenPlanners(f) {
			begin(w, f, n)
			w.after(f.For.Std(), func() { end(w, f, n) })
		}
	}
}

func killPlanner(w *world, _ *scenario.Fault, n int) { w.planners[n].end(syscall.SIGKILL) }

func returnPlanner(w *world, _ *scenario.Fault, n int) {
	if err := w.startPlanner(n); err != nil {
		w.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(n, err.Error()) })
	}
}

func delayPlanner(w *world, n int, d time.Duration) {
	for _, r := range w.relays[n] {
		r.Delay(d)
	}
}
