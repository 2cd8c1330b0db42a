// Command testbed plays scenarios with real nodes on loopback sockets against stand-ins, and says how the nodes did.
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
	exitInvalid  = 3 // the generator fell behind: the run does not count
)

// What the testbed tells a process of itself that it runs as a node.
const (
	nodeCommand = "node"
	planCommand = "planner"
	policyVar   = "FERNLAB_POLICY"
	profileVar  = "FERNLAB_CPUPROFILE"
)

// exit ends a command with a code, after what it had to say.
type exit int

func (e exit) Error() string { return fmt.Sprintf("exit %d", int(e)) }

func main() {
	if len(os.Args) == 2 && os.Args[1] == nodeCommand {
		os.Exit(node(os.Stderr, os.Getenv))
	}
	if len(os.Args) == 2 && os.Args[1] == planCommand {
		os.Exit(plans(os.Stderr, os.Getenv))
	}
	if len(os.Args) == 2 && os.Args[1] == scale.WorkerCommand {
		os.Exit(scale.Worker(os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// node is what `fernvane serve` is, in this binary, so that the testbed needs no build beside it; the policy may be another.
func node(errs io.Writer, getenv func(string) string) int {
	proxy.CatchSignals() // as the node's own command does
	cfg, err := proxy.LoadConfig(getenv("PROXY_CONFIG"), getenv)
	if err != nil {
		fmt.Fprintf(errs, "the configuration cannot be used: %v\n", err)
		return exitBadInput
	}
	if !testbed.Configure(&cfg, getenv(policyVar)) {
		fmt.Fprintf(errs, "no policy %q\n", getenv(policyVar))
		return exitBadInput
	}
	cfg.Filesystem = testbed.Disk(getenv)
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

// plans is what `fernvane plan` is.
func plans(errs io.Writer, getenv func(string) string) int {
	cfg, err := planconfig.LoadPlanner(getenv("PROXY_PLAN"))
	if err != nil {
		fmt.Fprintf(errs, "the planner's file cannot be used: %v\n", err)
		return exitBadInput
	}
	return planner.Process(cfg, errs)
}

func run(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:   "testbed",
		Short: "Plays deployments on loopback with real nodes and stand-ins, and audits the four rules",
		Long: `testbed starts real node processes on loopback sockets, with stand-ins for servers, discovery, the front and
clients, sends them a load whose moments are fixed ahead, and brings troubles at stated times. It reports service
and latency beside plain policies in the same world, and whether the rules were kept.

Exit codes: 0 all kept, 1 a rule was broken, 2 bad input, 3 the generator fell behind and the run does not count.`,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	root.AddCommand(runCommand(), distributionCommand(), listCommand(), checkCommand(), faultsCommand(), scheduleCommand(), compareCommand(), loadCommand(),
		benchCommand(), proveCommand(), killsCommand(), promisesCommand(), lossesCommand(), stepsCommand(), repairCommand(), scaleCommand(), capacityCommand())
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
