package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/client"
	"fernvane/internal/controlplane/distribution/tree"
)

const maxEntryRead = distribution.MaxValueBytes + 1 // bytes of an entry that are read: one more than allowed, to detect a longer entry

// errNoSuchEntry is returned for the deletion of an entry that does not exist.
var errNoSuchEntry = errors.New("entry does not exist")

// configAccess opens sessions with control processes for the subcommands of config.
type configAccess struct {
	path string
}

func (a *configAccess) load() (*client.Config, error) {
	if a.path == "" {
		return nil, errors.New("no control processes named: use --file FILE")
	}
	config, err := client.LoadForCommand(a.path)
	if err != nil {
		return nil, configError{err}
	}
	return config, nil
}

func (a *configAccess) open(ctx context.Context) (*client.Session, error) {
	config, err := a.load()
	if err != nil {
		return nil, err
	}
	return client.Open(ctx, config)
}

func configCommand(getenv func(string) string) *cobra.Command {
	a := &configAccess{}
	root := &cobra.Command{Use: "config", Short: "Change the configuration that control processes distribute, and print which nodes have applied it",
		Long: `config writes routes, pools, tenants and servers to a control process, which distributes them to the other control processes and
to the nodes of each service, and prints the status of nodes. The file names the control processes, the preferred one first, and
the TLS keys; a node's file is accepted too. Exit codes: 0 done, or all nodes current; 1 write rejected, entry to delete not found,
or some node behind, unreachable or rejecting; 2 command line or file invalid, or no control process responds.`,
		Example: "  fernvane config --file distribution.toml status"}
	root.PersistentFlags().StringVar(&a.path, "file", getenv("PROXY_DISTRIBUTION"), "read the addresses of control processes from this TOML `file`; or PROXY_DISTRIBUTION")
	root.AddCommand(configPut(a), configDelete(a), configApply(a), configStatus(a))
	root.SetContext(context.Background())
	return root
}

// entryFlags are the flags that identify one entry.
type entryFlags struct {
	service string
	kind    string
	name    string
}

func (f *entryFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.service, "service", "", "select the `service` of the entry; empty for an entry of all nodes")
	c.Flags().StringVar(&f.kind, "kind", "", "select the kind of the entry: server, route, tenant or pool")
	c.Flags().StringVar(&f.name, "name", "", "select the `name` of the entry")
}

func (f *entryFlags) key() (distribution.Key, error) {
	kind, err := distribution.ParseKind(f.kind)
	if err != nil {
		return distribution.Key{}, fmt.Errorf("--kind: %w", err)
	}
	key := distribution.Key{Service: f.service, Kind: kind, Name: f.name}
	if f.name == "" {
		return key, errors.New("no entry named: use --name NAME")
	}
	return key, key.Validate()
}

func configPut(a *configAccess) *cobra.Command {
	var entry entryFlags
	c := &cobra.Command{Use: "put FILE", Short: "Write one entry from a file, or from standard input for -", Args: exactArgs("put: expected one FILE", 1),
		Example: "  fernvane config --file distribution.toml put --service hire --kind route --name checks route.toml",
		RunE: func(c *cobra.Command, args []string) error {
			key, err := entry.key()
			if err != nil {
				return err
			}
			text, err := readEntry(c.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			value, err := tree.ParseEntry(args[0], text, key)
			if err != nil {
				return err
			}
			change := distribution.Change{Key: key, Value: value}
			if err := change.Validate(); err != nil {
				return err
			}
			return writeChanges(c, a, []distribution.Change{change})
		}}
	entry.add(c)
	return c
}

func configDelete(a *configAccess) *cobra.Command {
	var entry entryFlags
	c := &cobra.Command{Use: "delete", Short: "Delete one entry", Args: exactArgs("delete: expected flags only", 0),
		Example: "  fernvane config --file distribution.toml delete --service hire --kind route --name checks",
		RunE: func(c *cobra.Command, _ []string) error {
			key, err := entry.key()
			if err != nil {
				return err
			}
			stored, err := readEntries(c.Context(), a, []string{key.Service})
			if err != nil {
				return err
			}
			if !slices.ContainsFunc(stored, func(e distribution.Entry) bool { return e.Key == key }) {
				return fmt.Errorf("delete: %w: %s", errNoSuchEntry, key)
			}
			return writeChanges(c, a, []distribution.Change{{Key: key, Deleted: true}})
		}}
	entry.add(c)
	return c
}

func configApply(a *configAccess) *cobra.Command {
	var dryRun bool
	var kinds []string
	c := &cobra.Command{Use: "apply DIR|FILE", Short: "Write and delete entries so that services match their files", Args: exactArgs("apply: expected one DIR or FILE", 1),
		Long: `apply reads the file of one service, or all files of a folder, and writes the entries that differ from those of a control process.
Entries of these services that the files do not name are deleted. It prints each difference. Servers are compared only if a file
names some or --kinds includes them, because a control process may take servers from discovery or a registry.`,
		Example: "  fernvane config --file distribution.toml apply --dry-run services",
		RunE: func(c *cobra.Command, args []string) error {
			files, err := tree.Load(args[0])
			if err != nil {
				return err
			}
			selected, err := kindsOf(kinds, files)
			if err != nil {
				return err
			}
			stored, err := readEntries(c.Context(), a, files.Services)
			if err != nil {
				return err
			}
			differences := files.Differences(stored, selected)
			out := c.OutOrStdout()
			for _, d := range differences {
				fmt.Fprint(out, d)
			}
			switch {
			case len(differences) == 0:
				fmt.Fprintln(out, "nothing differs")
				return nil
			case dryRun:
				fmt.Fprintf(out, "%d entries differ; nothing was written\n", len(differences))
				return nil
			}
			return writeChanges(c, a, tree.Changes(differences))
		}}
	c.Flags().BoolVar(&dryRun, "dry-run", false, "print the differences and write nothing")
	c.Flags().StringSliceVar(&kinds, "kinds", nil, "compare only entries of these `kinds`; default: routes, pools and tenants, and servers if a file names any")
	return c
}

// kindsOf returns the named kinds of entries, or by default those that apply compares for the files.
func kindsOf(named []string, files *tree.Tree) ([]distribution.Kind, error) {
	if len(named) == 0 {
		kinds := []distribution.Kind{distribution.KindRoute, distribution.KindPool, distribution.KindTenant}
		if files.HasServers {
			kinds = append(kinds, distribution.KindServer)
		}
		return kinds, nil
	}
	var kinds []distribution.Kind
	for _, name := range named {
		kind, err := distribution.ParseKind(name)
		if err != nil {
			return nil, fmt.Errorf("--kinds: %w", err)
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}

// exactArgs accepts exactly n arguments, and fails with the given message for any other number.
func exactArgs(message string, n int) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return errors.New(message)
		}
		return nil
	}
}

func readEntry(in io.Reader, path string) ([]byte, error) {
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, maxEntryRead))
	if err == nil && len(text) == maxEntryRead {
		err = fmt.Errorf("read entry %s: larger than %d bytes", path, distribution.MaxValueBytes)
	}
	return text, err
}

// readEntries returns the entries of services that a control process stores.
func readEntries(ctx context.Context, a *configAccess, services []string) ([]distribution.Entry, error) {
	s, err := a.open(ctx)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	return s.Read(services)
}

func writeChanges(c *cobra.Command, a *configAccess, changes []distribution.Change) error {
	s, err := a.open(c.Context())
	if err != nil {
		return err
	}
	defer s.Close()
	written, err := s.Write(changes)
	if err != nil {
		return err
	}
	summary := changes[0].Key.String()
	if n := len(changes); n > 1 {
		summary = fmt.Sprintf("%d entries", n)
	}
	fmt.Fprintf(c.OutOrStdout(), "written at %s: %s, up to %s %d\n", s.Control, summary, strings.TrimSpace(string(written.Origin)), written.Sequence)
	return nil
}
