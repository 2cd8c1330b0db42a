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

const maxEntryRead = distribution.MaxValueBytes + 1 // bytes that are read of one entry's text

// errNoSuchEntry: the entry to be deleted does not exist.
var errNoSuchEntry = errors.New("nothing of that name is held")

// configAccess is how the commands of config reach a control process.
type configAccess struct {
	path string
}

func (a *configAccess) load() (*client.Config, error) {
	if a.path == "" {
		return nil, errors.New("which control processes? --file FILE")
	}
	config, err := client.LoadAccess(a.path)
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
	root := &cobra.Command{Use: "config", Short: "Change what control processes distribute, and tell which nodes have it in force",
		Long: `config writes routes, pools, tenants and servers at a control process, from where they spread to all others and to the nodes
of their service, and tells how nodes stand. The file names control processes, the preferred one first, and the keys: that of a
node will do. Exit codes: 0 done, or all nodes current; 1 refused, or some node behind, unreachable or rejecting; 2 the command
line or a file is of no use, or no control process answers.`,
		Example: "  fernvane config --file distribution.toml status"}
	root.PersistentFlags().StringVar(&a.path, "file", getenv("PROXY_DISTRIBUTION"), "the control processes' TOML `file`; or PROXY_DISTRIBUTION")
	root.AddCommand(configPut(a), configDelete(a), configApply(a), configStatus(a))
	root.SetContext(context.Background())
	return root
}

// entryFlags name one entry.
type entryFlags struct {
	service string
	kind    string
	name    string
}

func (f *entryFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.service, "service", "", "the `service` that it is of; none for what is for every node")
	c.Flags().StringVar(&f.kind, "kind", "", "server, route, tenant or pool")
	c.Flags().StringVar(&f.name, "name", "", "its `name`")
}

func (f *entryFlags) key() (distribution.Key, error) {
	kind, err := distribution.ParseKind(f.kind)
	if err != nil {
		return distribution.Key{}, fmt.Errorf("--kind: %w", err)
	}
	key := distribution.Key{Service: f.service, Kind: kind, Name: f.name}
	if f.name == "" {
		return key, errors.New("which entry? --name NAME")
	}
	return key, key.Validate()
}

func configPut(a *configAccess) *cobra.Command {
	var entry entryFlags
	c := &cobra.Command{Use: "put FILE", Short: "Write one entry from a file, - for the standard input", Args: exactArgs("put wants one FILE", 1),
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
	c := &cobra.Command{Use: "delete", Short: "Delete one entry", Args: exactArgs("delete takes flags alone", 0),
		Example: "  fernvane config --file distribution.toml delete --service hire --kind route --name checks",
		RunE: func(c *cobra.Command, _ []string) error {
			key, err := entry.key()
			if err != nil {
				return err
			}
			held, err := readEntries(c.Context(), a, []string{key.Service})
			if err != nil {
				return err
			}
			if !slices.ContainsFunc(held, func(e distribution.Entry) bool { return e.Key == key }) {
				return fmt.Errorf("%w: %s", errNoSuchEntry, key)
			}
			return writeChanges(c, a, []distribution.Change{{Key: key, Deleted: true}})
		}}
	entry.add(c)
	return c
}

func configApply(a *configAccess) *cobra.Command {
	var dry bool
	var kinds []string
	c := &cobra.Command{Use: "apply DIR|FILE", Short: "Make the entries of services equal to files", Args: exactArgs("apply wants one DIR or FILE", 1),
		Long: `apply reads a file of a service, or all files of a folder, and writes what differs from what is held; what the files do not name of
their services is deleted. It prints each difference. Servers are left alone unless a file names some, or --kinds does: where a
control process takes them from discovery or a registry, they are not the files'.`,
		Example: "  fernvane config --file distribution.toml apply --dry-run services",
		RunE: func(c *cobra.Command, args []string) error {
			files, err := tree.Load(args[0])
			if err != nil {
				return err
			}
			of, err := kindsOf(kinds, files)
			if err != nil {
				return err
			}
			held, err := readEntries(c.Context(), a, files.Services)
			if err != nil {
				return err
			}
			all := files.Differences(held, of)
			out := c.OutOrStdout()
			for _, d := range all {
				fmt.Fprint(out, d)
			}
			switch {
			case len(all) == 0:
				fmt.Fprintln(out, "nothing differs")
				return nil
			case dry:
				fmt.Fprintf(out, "%d entries differ; nothing was written\n", len(all))
				return nil
			}
			return writeChanges(c, a, tree.Changes(all))
		}}
	c.Flags().BoolVar(&dry, "dry-run", false, "print what differs and write nothing")
	c.Flags().StringSliceVar(&kinds, "kinds", nil, "of these `kinds` alone; by default routes, pools and tenants, and servers where files name them")
	return c
}

// kindsOf are the kinds of entries that files are to be equal in.
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

// exactArgs accepts n arguments, and otherwise fails with the message what.
func exactArgs(what string, n int) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return errors.New(what)
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
		err = fmt.Errorf("%s: larger than %d bytes", path, distribution.MaxValueBytes)
	}
	return text, err
}

// readEntries reads what a control process holds of services.
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
	what := changes[0].Key.String()
	if n := len(changes); n > 1 {
		what = fmt.Sprintf("%d entries", n)
	}
	fmt.Fprintf(c.OutOrStdout(), "written at %s: %s, up to %s %d\n", s.Control, what, strings.TrimSpace(string(written.Origin)), written.Sequence)
	return nil
}
