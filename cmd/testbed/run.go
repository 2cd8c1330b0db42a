package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"fernvane/internal/testbed"
	"fernvane/internal/testbed/baseline"
	"fernvane/internal/testbed/load"
	"fernvane/internal/testbed/report"
	"fernvane/internal/testbed/scenario"
)

type runFlags struct {
	json      string
	plot      string
	node      string
	trace     string
	keep      string
	policy    string
	operator  string
	baselines []string
	seed      uint64
	quiet     bool
	pairings  bool
	alone     bool
	seconds   bool
}

func runCommand() *cobra.Command {
	var f runFlags
	c := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Run a scenario of `testbed list`, or of a TOML file",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			if c.Flags().Changed("seed") {
				s.Seed = f.seed
			}
			switch {
			case f.operator == "none":
				s.Operators = nil
			case f.operator != "":
				text, err := os.ReadFile(f.operator)
				if err != nil {
					return err
				}
				s.Operators = []string{string(text)}
			}
			if !c.Flags().Changed("baselines") {
				f.baselines = s.Baselines
			}
			s.Pairings = s.Pairings || f.pairings
			return runScenario(c.Context(), c.OutOrStdout(), c.ErrOrStderr(), s, f)
		},
	}
	fl := c.Flags()
	fl.StringVar(&f.json, "json", "", "write the report to a `file` as JSON")
	fl.StringVar(&f.plot, "plot", "", "draw service, rejections and latency over time to an SVG `file`")
	fl.StringVar(&f.node, "node", "", "run this `binary` with the argument serve as the node, such as an earlier build")
	fl.StringVar(&f.policy, "policy", "", "run the nodes with this policy: fernvane, or the name of a baseline")
	fl.StringVar(&f.trace, "trace", "", "send the requests of a trace `file` (CSV or JSON lines) instead of the scenario's load")
	fl.StringVar(&f.operator, "operator", "", "run the nodes with this operator's `file` instead of the scenario's; none: without one")
	fl.StringVar(&f.keep, "keep", "", "store the configurations and logs of the nodes in this `folder`")
	fl.StringSliceVar(&f.baselines, "baselines", nil, "also run these baseline policies: all, none, or some of "+strings.Join(baseline.Names, ","))
	fl.Uint64Var(&f.seed, "seed", 0, "use this `seed` instead of the scenario's")
	fl.BoolVar(&f.pairings, "pairings", false, "run each combination of HTTP and FastCGI for clients and servers")
	fl.BoolVar(&f.alone, "alone", false, "run the scenario only once, without its variants such as single-level")
	fl.BoolVar(&f.seconds, "seconds", false, "print the counts of tries and attempts of each second")
	fl.BoolVar(&f.quiet, "quiet", false, "print no progress")
	return c
}

// chosenBaselines returns the baselines that the flag names.
func chosenBaselines(names []string) ([]string, error) {
	if len(names) == 1 && names[0] == "all" {
		return baseline.Names, nil
	}
	if len(names) == 1 && names[0] == "none" {
		return nil, nil
	}
	for _, n := range names {
		if !slices.Contains(baseline.Names, n) {
			return nil, fmt.Errorf("unknown baseline %q: want all, none, or some of %s", n, strings.Join(baseline.Names, ", "))
		}
	}
	return names, nil
}

// runScenario runs the node alone, then its pairings and variants, and then the baselines concurrently, all on the same schedule.
func runScenario(ctx context.Context, out, errs io.Writer, s *scenario.Scenario, f runFlags) error {
	others, err := chosenBaselines(f.baselines)
	if err != nil {
		return err
	}
	o, name, err := f.options(s)
	if err != nil {
		return err
	}
	if !f.quiet {
		fmt.Fprintf(errs, "%s: starting %d nodes and %d servers\n", s.Name, s.Nodes.Count, len(s.ServerNames()))
		o.Progress = progress(errs, s.Length.Std())
	}
	r, err := runOnce(ctx, o, name)
	if err != nil {
		return err
	}
	if s.Pairings {
		r.Policy = "HTTP to HTTP"
		if err := pairings(ctx, o, &r); err != nil {
			return err
		}
	}
	if !f.alone {
		if err := variants(ctx, o, &r); err != nil {
			return err
		}
	}
	if len(others) > 0 {
		if !f.quiet {
			fmt.Fprintf(errs, "\nrunning baselines concurrently: %s\n", strings.Join(others, ", "))
		}
		o := o
		o.Scenario = s.WithoutPlanners()
		more, err := runPolicies(ctx, o, others)
		if err != nil {
			return err
		}
		r.Baselines = append(r.Baselines, more...)
	}
	if !f.quiet {
		fmt.Fprintln(errs)
	}
	if err := f.write(out, &r); err != nil {
		return err
	}
	return verdict(&r, s.Pairings)
}

// options returns the options of the node's run and the node's name in the report.
func (f *runFlags) options(s *scenario.Scenario) (o testbed.Options, name string, err error) {
	if _, ok := baseline.Find(f.policy); !ok {
		return o, "", fmt.Errorf("unknown policy %q", f.policy)
	}
	ops := load.Plan(s)
	if f.trace != "" {
		if ops, err = load.LoadTrace(f.trace, s); err != nil {
			return o, "", err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return o, "", err
	}
	command, name := []string{self, nodeCommand}, "fernvane"
	if f.node != "" {
		command, name = []string{f.node, "serve"}, f.node
	}
	if f.policy != "" {
		name = f.policy
	}
	return testbed.Options{Scenario: s, Requests: ops, Command: command, Planner: []string{self, planCommand}, Directory: f.keep,
		Env: []string{policyVar + "=" + f.policy}}, name, nil
}

// variants runs the scenario again without its planners, registry or stored endpoint list, if it has them, and adds the reports
// to the baselines of r.
func variants(ctx context.Context, o testbed.Options, r *report.Report) error {
	s := o.Scenario
	runVariant := func(other *scenario.Scenario, suffix, name string) error {
		o := o
		if o.Scenario = other; o.Directory != "" {
			o.Directory += "-" + suffix
		}
		one, err := runOnce(ctx, o, name)
		if err == nil {
			r.Baselines = append(r.Baselines, one)
		}
		return err
	}
	switch {
	case s.Registry.Addresses > 0:
		r.Policy = "registry"
		if err := runVariant(s.WithDiscovery(), "discovery", "discovery"); err != nil {
			return err
		}
	case s.Planners.Count > 0:
		r.Policy = "with planners"
		if err := runVariant(s.WithoutPlanners(), "single-level", "single-level"); err != nil {
			return err
		}
	}
	if s.Lists.Start != "kept" {
		return nil
	}
	r.Policy = "kept list"
	if err := runVariant(s.WithStartLists("known"), "known", "fresh list"); err != nil {
		return err
	}
	return runVariant(s.WithStartLists("none"), "none", "no list")
}

// write writes the report to out and to the files that the flags name.
func (f *runFlags) write(out io.Writer, r *report.Report) error {
	if r.Text(out); f.seconds {
		r.Table(out)
	}
	if f.json != "" {
		if err := r.Save(f.json); err != nil {
			return err
		}
	}
	if f.plot != "" {
		return r.Plot(f.plot)
	}
	return nil
}

// verdict returns the exit code for a report as an error.
func verdict(r *report.Report, pairings bool) error {
	switch {
	case r.Generator.IsBehind:
		return exit(exitInvalid)
	case r.Broken() > 0:
		return exit(exitBroken)
	}
	if !pairings {
		return nil
	}
	for _, p := range r.Baselines {
		if p.Broken() > 0 {
			return exit(exitBroken)
		}
	}
	return nil
}

// pairings runs the scenario with the other pairs of protocols concurrently.
func pairings(ctx context.Context, o testbed.Options, r *report.Report) error {
	names := []string{"FastCGI to HTTP", "HTTP to FastCGI", "FastCGI to FastCGI"}
	reports, errs := make([]report.Report, len(names)), make([]error, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		o := o
		o.Scenario, o.Progress = o.Scenario.WithFastCGI(i != 1, i != 0), nil
		if o.Directory != "" {
			o.Directory = fmt.Sprint(o.Directory, "-", i+1)
		}
		wg.Go(func() { reports[i], errs[i] = runOnce(ctx, o, name) })
	}
	wg.Wait()
	r.Baselines = append(r.Baselines, reports...)
	return errors.Join(errs...)
}

// runOnce runs a scenario once.
func runOnce(ctx context.Context, o testbed.Options, name string) (report.Report, error) {
	out, err := testbed.Run(ctx, o)
	if err != nil {
		return report.Report{}, err
	}
	return report.New(o.Scenario, name, o.Requests, out), nil
}

// runPolicies runs the scenario with each policy concurrently, each in an environment of its own.
func runPolicies(ctx context.Context, o testbed.Options, policies []string) ([]report.Report, error) {
	reports, errs := make([]report.Report, len(policies)), make([]error, len(policies))
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	for i, name := range policies {
		o := o
		o.Command, o.Env, o.Directory = []string{self, nodeCommand}, []string{policyVar + "=" + name}, ""
		if i > 0 {
			o.Progress = nil
		}
		wg.Go(func() { reports[i], errs[i] = runOnce(ctx, o, name) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return reports, nil
}

// progress returns a function that rewrites a line on a terminal and writes a line per second elsewhere.
func progress(errs io.Writer, length time.Duration) func(time.Duration, int, int) {
	terminal := false
	if f, ok := errs.(*os.File); ok {
		if st, err := f.Stat(); err == nil {
			terminal = st.Mode()&os.ModeCharDevice != 0
		}
	}
	last := time.Duration(-time.Second)
	return func(at time.Duration, started, open int) {
		switch {
		case terminal:
			fmt.Fprintf(errs, "\r%5.1f s of %.0f s: %d requests started, %d open   ", at.Seconds(), length.Seconds(), started, open)
		case at-last >= time.Second:
			last = at
			fmt.Fprintf(errs, "%5.1f s of %.0f s: %d requests started, %d open\n", at.Seconds(), length.Seconds(), started, open)
		}
	}
}
