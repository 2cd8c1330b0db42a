// Command fernvane runs a node of the proxy (serve), a planner (plan) or a control process (control), and has commands that
// check configuration and read what these processes store.
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

const exitUsage = 2 // bad command line or unusable file

func main() {
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		proxy.CatchSignals() // ahead of all else, or a reload that is asked for as the node starts would end it
	}
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr, os.Getenv))
}

// exitCode is the error of a command that has already printed its reason; the program ends with this code.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit %d", int(e)) }

// configError wraps the fault of a configuration that cannot be used; the program ends with exitUsage.
type configError struct{ error }

func run(args []string, out, errs io.Writer, getenv func(string) string) int {
	root := &cobra.Command{
		Use:   "fernvane",
		Short: "One node of a load-balancing proxy for fleets of HTTP and FastCGI servers",
		Long: `fernvane is one node of a load-balancing proxy. It takes requests from clients, sends each to one of the servers that
discovery or a registry names, and tells the client how it ended.

Files are named by flags or by the environment: PROXY_CONFIG, PROXY_OPERATOR, PROXY_PLANNERS, PROXY_BINDINGS, PROXY_REGISTRY,
PROXY_SNAPSHOT, PROXY_PEERS, PROXY_DISTRIBUTION, PROXY_PLAN, PROXY_CONTROL. Exit codes: 0 done, 1 it could not serve, a journal or a cached list
is damaged, a node is behind, or too few nodes answer or hold replicas, 2 a file or the command line cannot be used.`,
		Example: `  fernvane serve --config config.json
  fernvane check --operator deploy/operator.example.toml
  fernvane explain --operator deploy/operator.example.toml POST /hire-book/baler --tenant dorset-dairy
  fernvane bindings --dir /var/lib/fernvane/bindings find --state possibly-sent --since 2h`,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetArgs(withDoubleDashes(args))
	root.SetOut(out)
	root.SetErr(errs)
	root.AddCommand(serveCommand(errs, getenv), checkCommand(errs, getenv), explainCommand(getenv), planCommand(errs, getenv), controlCommand(errs, getenv),
		bindingsCommand(getenv), snapshotCommand(getenv), replicasCommand(getenv), configCommand(getenv), versionCommand())
	if len(args) == 0 {
		root.SetOut(errs)
		root.SetArgs([]string{"--help"})
		root.Execute()
		return exitUsage
	}
	err := root.Execute()
	var code exitCode
	var faults tomlfile.Faults
	var bad configError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	case errors.Is(err, errJournalDamaged), errors.Is(err, errUnusableGeneration), errors.Is(err, errTooFewAnswers), errors.Is(err, errUnderReplicated),
		errors.Is(err, errNodesBehind), errors.Is(err, errNoSuchEntry), errors.As(err, new(*client.WriteRejectedError)):
		fmt.Fprintf(errs, "fernvane: %v\n", err)
		return 1
	case errors.As(err, &faults): // each with its own file and line
		fmt.Fprintln(errs, faults)
	case errors.As(err, &bad):
		fmt.Fprintf(errs, "fernvane: the configuration cannot be used: %v\n", err)
	default:
		fmt.Fprintf(errs, "fernvane: %v\n", err)
	}
	return exitUsage
}

var singleDashFlag = regexp.MustCompile(`^-[a-z][a-z]`)

// withDoubleDashes rewrites -flag to --flag: deploy lines of earlier versions have one dash.
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

// headers is a flag of header fields, each given as NAME=VALUE.
type headers map[string]string

func (h headers) String() string { return "" }
func (h headers) Type() string   { return "NAME=VALUE" }

func (h headers) Set(s string) error {
	name, value, ok := strings.Cut(s, "=")
	if !ok || name == "" {
		return errors.New("a field is given as NAME=VALUE")
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
