package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"fernvane/internal/testbed/soak"
)

// busyCommand is the argument with which the testbed starts itself as a process that only uses a core.
const busyCommand = "busy"

// soakFlags are the flags of `testbed soak`.
type soakFlags struct {
	seeds, first uint64
	concurrency  int
	maxTime      time.Duration
	keep         string
	busy         int
	node         string
}

// soakCommand stops nodes that clients use, once for each seed.
func soakCommand() *cobra.Command {
	var f soakFlags
	c := &cobra.Command{Use: "soak", Short: "Stop nodes repeatedly while clients use them, and check each stop",
		Long: `soak starts a node with stand-ins for servers and discovery, sends requests of clients to it, and stops it by signals. Clients
continue to use their connections until the node is killed, which happens as early as the protocol allows. A seed determines
settings, clients, faults and signals. --node runs another build: a command that runs one node with the configuration file
that PROXY_CONFIG names.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return f.run(c.Context(), c.OutOrStdout(), c.ErrOrStderr()) }}
	c.Flags().Uint64Var(&f.seeds, "seeds", 50, "run this number of seeds")
	c.Flags().Uint64Var(&f.first, "first", 1, "begin with this seed")
	c.Flags().IntVar(&f.concurrency, "at-once", 8, "do this number of runs concurrently")
	c.Flags().DurationVar(&f.maxTime, "time", 0, "start no run after this time; 0: no limit")
	c.Flags().StringVar(&f.keep, "keep", "", "store the files and logs of each run in this directory")
	c.Flags().IntVar(&f.busy, "busy", 0, "start this number of processes that use a core each during the runs")
	c.Flags().StringVar(&f.node, "node", "", "run this command as the node; by default this build")
	return c
}

// run runs all seeds and prints their sums. It returns an error if a rule was broken.
func (f *soakFlags) run(ctx context.Context, out, progress io.Writer) error {
	command, err := self()
	if err != nil {
		return err
	}
	stopBusy, err := startBusy(f.busy)
	if err != nil {
		return err
	}
	defer stopBusy()
	if f.node != "" {
		command = strings.Fields(f.node)
	}
	sum := soakSum{broken: map[soak.Rule]int{}, out: progress}
	began := time.Now()
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(f.concurrency)
	for seed := f.first; seed < f.first+f.seeds; seed++ {
		if f.maxTime > 0 && time.Since(began) > f.maxTime {
			break
		}
		g.Go(func() error {
			o := soak.Options{Command: command}
			if f.keep != "" {
				o.Directory = filepath.Join(f.keep, fmt.Sprint("seed-", seed))
			}
			result, err := soak.Run(ctx, soak.NewPlan(seed), o)
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			sum.add(result)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return sum.print(out)
}

// soakSum is the sum of the results of runs. It is safe for concurrent use.
type soakSum struct {
	out io.Writer // receives the details of each run with a broken rule

	mu                                    sync.Mutex
	runs, brokenRuns, requests, responses int
	idleCloseRaces, fastCGICloseRaces     int
	shortestIdle                          time.Duration
	broken                                map[soak.Rule]int
}

func (s *soakSum) add(r soak.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.requests += r.Requests
	s.responses += r.Answers
	s.fastCGICloseRaces += r.FastCGICloseRaces
	if r.IdleCloseRaces > 0 && (s.idleCloseRaces == 0 || r.ShortestIdle < s.shortestIdle) {
		s.shortestIdle = r.ShortestIdle
	}
	s.idleCloseRaces += r.IdleCloseRaces
	for rule, n := range r.Violations {
		s.broken[rule] += n
	}
	if !r.HasViolations() {
		return
	}
	s.brokenRuns++
	fmt.Fprintf(s.out, "seed %d: rule broken, node ended %s after the stop: %s\n", r.Plan.Seed, r.StopDuration.Round(time.Millisecond), r.Plan.String())
	for _, detail := range r.Details {
		fmt.Fprintf(s.out, "  %s\n", detail)
	}
}

func (s *soakSum) print(out io.Writer) error {
	fmt.Fprintf(out, "%d stops, %d with a broken rule; %d requests, %d responses; closes of idle connections that crossed a request: %d HTTP (idle for at least %s), %d FastCGI\n",
		s.runs, s.brokenRuns, s.requests, s.responses, s.idleCloseRaces, s.shortestIdle.Round(time.Millisecond), s.fastCGICloseRaces)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, rule := range soak.Rules {
		fmt.Fprintf(t, "%s\t%d\n", rule, s.broken[rule])
	}
	t.Flush()
	if s.brokenRuns > 0 {
		return exit(exitBroken)
	}
	return nil
}

// startBusy starts n processes that use a core each, until stop is called or this process ends.
func startBusy(n int) (stop func(), err error) {
	var processes []*exec.Cmd
	var inputs []io.Closer
	stop = func() {
		for i, p := range processes {
			inputs[i].Close()
			p.Wait()
		}
	}
	for range n {
		path, err := os.Executable()
		if err != nil {
			return stop, err
		}
		p := exec.Command(path, busyCommand)
		input, err := p.StdinPipe()
		if err == nil {
			err = p.Start()
		}
		if err != nil {
			stop()
			return nil, err
		}
		processes, inputs = append(processes, p), append(inputs, input)
	}
	return stop, nil
}

// busy uses a core until its standard input ends.
func busy(in io.Reader) {
	var hasEnded atomic.Bool
	go func() {
		io.Copy(io.Discard, in)
		hasEnded.Store(true)
	}()
	for !hasEnded.Load() {
	}
}
