// Command fernvane is one node of the proxy.
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

const exitUsage = 2 // also for a configuration of no use

func main() {
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		proxy.CatchSignals() // ahead of all else, or a reload that is asked for as the node starts would end it
	}
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr, os.Getenv))
}

// exit ends a command with a code, after what it had to say.
type exit int

func (e exit) Error() string { return fmt.Sprintf("exit %d", int(e)) }

// unusable is a configuration that a command cannot go by.
type unusable struct{ error }

func run(args []string, out, errs io.Writer, getenv func(string) string) int {
	root := &cobra.Command{
		Use:   "fernvane",
		Short: "One node of a load-balancing proxy for fleets of HTTP and FastCGI servers",
		Long: `fernvane is one node of a load-balancing proxy. It takes operations from clients, sends each to one of the servers that
discovery or a registry names, and tells the client how it ended.

Files are named by flags or by the environment: PROXY_CONFIG, PROXY_OPERATOR, PROXY_PLANNERS, PROXY_BINDINGS, PROXY_REGISTRY,
PROXY_SNAPSHOT, PROXY_PEERS, PROXY_DISTRIBUTION, PROXY_PLAN, PROXY_CONTROL. Exit codes: 0 done, 1 it could not serve, a journal or a kept list is
damaged, a node is behind, or too few nodes answer or hold what is kept, 2 a file or the command line is of no use.`,
		Example: `  fernvane serve --config config.json
  fernvane check --operator deploy/operator.example.toml
  fernvane explain --operator deploy/operator.example.toml POST /hire-book/baler --tenant dorset-dairy
  fernvane bindings --dir /var/lib/fernvane/bindings find --state possibly-sent --since 2h`,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetArgs(doubled(args))
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
	var code exit
	var faults tomlfile.Faults
	var bad unusable
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	case errors.Is(err, errDamaged), errors.Is(err, errSpoilt), errors.Is(err, errTooFew), errors.Is(err, errLacking),
		errors.Is(err, errBehind), errors.Is(err, errNotHeld), errors.As(err, new(*client.WriteRefusedError)):
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

var single = regexp.MustCompile(`^-[a-z][a-z]`)

// doubled writes flags of one dash, as deploy lines of earlier versions have them, with two.
func doubled(args []string) []string {
	out := make([]string, 0, len(args))
	for i, a := range args {
		if a == "--" {
			return append(out, args[i:]...)
		}
		if single.MatchString(a) {
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

// headers are the fields of a request to be explained, given as name=value.
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
