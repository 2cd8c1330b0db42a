// Command testbed runs scenarios with real node processes on loopback sockets against stand-ins (package testbed) and
// reports the outcome. It starts itself as node, planner, scale worker and busy process, so that no other binary is
// needed.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/controlplane/planner"
	"fernvane/internal/proxy"
	"fernvane/internal/testbed"
	"fernvane/internal/testbed/scale"
)

// Exit codes.
const (
	exitBroken   = 1 // a rule was broken
	exitBadInput = 2
	exitInvalid  = 3 // the load generator fell behind its schedule: the result is invalid
)

// Arguments and environment variables of processes that the testbed starts from its own binary.
const (
	nodeCommand = "node"
	planCommand = "planner"
	policyVar   = "FERNLAB_POLICY"
	profileVar  = "FERNLAB_CPUPROFILE"
)

// exit is the error of a command that has printed its result. Its value is the exit code.
type exit int

func (e exit) Error() string { return fmt.Sprintf("exit %d", int(e)) }

func main() {
	if len(os.Args) == 2 && os.Args[1] == nodeCommand {
		os.Exit(runNode(os.Stderr, os.Getenv))
	}
	if len(os.Args) == 2 && os.Args[1] == planCommand {
		os.Exit(runPlanner(os.Stderr, os.Getenv))
	}
	if len(os.Args) == 2 && os.Args[1] == scale.WorkerCommand {
		os.Exit(scale.Worker(os.Stdin, os.Stdout, os.Stderr))
	}
	if len(os.Args) == 2 && os.Args[1] == busyCommand {
		busy(os.Stdin)
		os.Exit(0)
	}
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// runNode runs `fernvane serve` in this binary, with the policy that the environment names, and returns the exit code.
func runNode(errs io.Writer, getenv func(string) string) int {
	proxy.CatchSignals() // as the node's own command does
	cfg, err := proxy.LoadConfig(getenv("PROXY_CONFIG"), getenv)
	if err != nil {
		fmt.Fprintf(errs, "load node configuration: %v\n", err)
		return exitBadInput
	}
	if !testbed.Configure(&cfg, getenv(policyVar)) {
		fmt.Fprintf(errs, "unknown policy %q\n", getenv(policyVar))
		return exitBadInput
	}
	cfg.Filesystem = testbed.NodeFileSystem(getenv)
	if path := getenv(profileVar); path != "" {
		f, err := os.Create(path)
		if err == nil {
			err = pprof.StartCPUProfile(f)
		}
		if err != nil {
			fmt.Fprintln(errs, err)
			return exitBadInput
		}
		defer f.Close()
		defer pprof.StopCPUProfile()
	}
	return proxy.RunProcess(cfg, errs, zerolog.InfoLevel)
}

// runPlanner runs `fernvane plan` in this binary and returns the exit code.
func runPlanner(errs io.Writer, getenv func(string) string) int {
	cfg, err := planconfig.LoadPlanner(getenv("PROXY_PLAN"))
	if err != nil {
		fmt.Fprintf(errs, "load planner configuration: %v\n", err)
		return exitBadInput
	}
	return planner.Process(cfg, errs)
}

// run runs a command line and returns the exit code.
func run(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:   "testbed",
		Short: "Run deployments on loopback with real nodes and stand-ins, and audit the rules",
		Long: `testbed starts real node processes on loopback sockets, with stand-ins for servers, discovery, the connection balancer and
clients. It sends load on a fixed schedule and injects faults at given times. It reports service and latency of the nodes and
of baseline policies under the same conditions, and which rules were broken.

Exit codes: 0 no rule was broken, 1 a rule was broken, 2 invalid input, 3 the load generator fell behind its schedule and the
result is invalid.`,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	root.AddCommand(runCommand(), distributionCommand(), listCommand(), checkCommand(), faultsCommand(), scheduleCommand(), compareCommand(), loadCommand(),
		benchCommand(), proveCommand(), killsCommand(), promisesCommand(), lossesCommand(), stepsCommand(), repairCommand(), scaleCommand(), capacityCommand(), soakCommand())
	err := root.ExecuteContext(ctx)
	var code exit
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	}
	fmt.Fprintln(errs, err)
	return exitBadInput
}
