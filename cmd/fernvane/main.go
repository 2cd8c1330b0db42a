// Command fernvane runs a node of the proxy (serve), a planner (plan) or a control process (control). Its other commands check
// configuration, change distributed entries, and inspect the files and the status of these processes.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/controlplane/distribution/client"
	"fernvane/internal/proxy"
)

const exitUsage = 2 // exit code for an invalid command line or file

func main() {
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		proxy.CatchSignals() // first, because a SIGHUP during the start would otherwise terminate the process
	}
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr, os.Getenv))
}

// exitCode is the error of a command that has already reported its failure. The process exits with this code.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit %d", int(e)) }

// configError wraps the fault of an invalid configuration. The process exits with exitUsage.
type configError struct{ error }

func run(args []string, stdout, stderr io.Writer, getenv func(string) string) int {
	root := &cobra.Command{
		Use:   "fernvane",
		Short: "Run and inspect a load-balancing proxy for HTTP and FastCGI servers",
		Long: `fernvane runs one node of a load-balancing proxy. A node receives requests from clients, forwards each to one of the servers
that discovery or a registry lists, and returns the response to the client.

Files are named by flags or by environment variables: PROXY_CONFIG, PROXY_OPERATOR, PROXY_PLANNERS, PROXY_BINDINGS, PROXY_REGISTRY,
PROXY_SNAPSHOT, PROXY_PEERS, PROXY_DISTRIBUTION, PROXY_WATCH, PROXY_PLAN, PROXY_CONTROL. Exit codes: 0 done; 1 serving failed, a
write was rejected, an entry to delete does not exist, a journal or cached list is damaged, a node is behind, or too few nodes
respond or store replicas; 2 a file or the command line is invalid.`,
		Example: `  fernvane serve --config config.json
  fernvane check --operator deploy/operator.example.toml
  fernvane explain --operator deploy/operator.example.toml POST /hire-book/baler --tenant dorset-dairy
  fernvane bindings --dir /var/lib/fernvane/bindings find --state possibly-sent --since 2h`,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetArgs(withDoubleDashes(args))
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(serveCommand(stderr, getenv), checkCommand(stderr, getenv), explainCommand(getenv), planCommand(stderr, getenv), controlCommand(stderr, getenv),
		bindingsCommand(getenv), snapshotCommand(getenv), replicasCommand(getenv), configCommand(getenv), versionCommand())
	if len(args) == 0 {
		root.SetOut(stderr)
		root.SetArgs([]string{"--help"})
		root.Execute()
		return exitUsage
	}
	err := root.Execute()
	var code exitCode
	var faults tomlfile.Faults
	var invalid configError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	case errors.Is(err, errJournalDamaged), errors.Is(err, errDamagedGeneration), errors.Is(err, errTooFewResponses), errors.Is(err, errUnderReplicated),
		errors.Is(err, errNodesBehind), errors.Is(err, errNoSuchEntry), errors.As(err, new(*client.WriteRejectedError)):
		fmt.Fprintf(stderr, "fernvane: %v\n", err)
		return 1
	case errors.As(err, &faults): // each names its file and line
		fmt.Fprintln(stderr, faults)
	case errors.As(err, &invalid):
		fmt.Fprintf(stderr, "fernvane: invalid configuration: %v\n", err)
	default:
		fmt.Fprintf(stderr, "fernvane: %v\n", err)
	}
	return exitUsage
}

var singleDashFlag = regexp.MustCompile(`^-[a-z][a-z]`)

// withDoubleDashes rewrites -flag to --flag, because command lines for earlier versions have one dash.
func withDoubleDashes(args []string) []string {
	out := make([]string, 0, len(args))
	for i, a := range args {
		if a == "--" {
			return append(out, args[i:]...)
		}
		if singleDashFlag.MatchString(a) {
			a = "-" + a
		}
		out = append(out, a)
	}
	return out
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) {
		fmt.Fprintln(c.OutOrStdout(), "fernvane", version())
	}}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(unknown)"
	}
	return info.Main.Version
}

// headers is a flag that collects header fields, each given as NAME=VALUE.
type headers map[string]string

func (h headers) String() string { return "" }
func (h headers) Type() string   { return "NAME=VALUE" }

func (h headers) Set(s string) error {
	name, value, ok := strings.Cut(s, "=")
	if !ok || name == "" {
		return errors.New("header field: expected NAME=VALUE")
	}
	h[strings.ToLower(name)] = value
	return nil
}

func (h headers) Get(name string) []byte {
	if v, ok := h[strings.ToLower(name)]; ok {
		return []byte(v)
	}
	return nil
}
