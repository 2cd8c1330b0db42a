package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/discovery/staleness"
	"fernvane/internal/journal/wal"
)

var errDamagedGeneration = errors.New("damaged generations found")

func snapshotCommand(getenv func(string) string) *cobra.Command {
	g := &snapshotFolder{getenv: getenv}
	root := &cobra.Command{Use: "snapshot", Short: "Inspect the server lists that a node stores on disk; safe while a node writes them",
		Example: "  fernvane snapshot show --dir DIR\n  fernvane snapshot verify --dir DIR"}
	root.PersistentFlags().StringVar(&g.dir, "dir", "", "read the lists in this `folder`; default: the folder that the PROXY_SNAPSHOT file names")
	root.AddCommand(snapshotShow(g), snapshotVerify(g), snapshotDiff(g), snapshotPrune(g))
	return root
}

// snapshotFolder is the folder of snapshots that a command reads.
type snapshotFolder struct {
	getenv func(string) string
	dir    string
}

// read opens the folder and reads all generations, newest first. It returns an error for a folder without generations.
func (g *snapshotFolder) read() (*snapshot.Store, []snapshot.Generation, error) {
	if g.dir == "" {
		path := g.getenv("PROXY_SNAPSHOT")
		if path == "" {
			return nil, nil, errors.New("no folder of lists named: use --dir FOLDER or set PROXY_SNAPSHOT")
		}
		cfg, err := snapshot.Load(path)
		if err != nil {
			return nil, nil, err
		}
		g.dir = cfg.Dir
	}
	store, err := snapshot.Open(g.dir, 1, wal.OSFileSystem{})
	if err != nil {
		return nil, nil, err
	}
	all, err := store.All()
	if err == nil && len(all) == 0 {
		err = fmt.Errorf("read lists in %s: no list found", g.dir)
	}
	return store, all, err
}

func snapshotShow(g *snapshotFolder) *cobra.Command {
	var asJSON bool
	show := &cobra.Command{Use: "show", Short: "Print the newest complete generation, and the staleness level that a start would assign to it", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, all, err := g.read()
			if err != nil {
				return err
			}
			i := slices.IndexFunc(all, func(generation snapshot.Generation) bool { return generation.Snapshot != nil })
			if i < 0 {
				return fmt.Errorf("%s: %w", all[0].Path, all[0].Err)
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(newListJSON(all[i].Snapshot))
			}
			printList(c.OutOrStdout(), all[i].Snapshot, time.Now())
			return nil
		}}
	show.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return show
}

func snapshotVerify(g *snapshotFolder) *cobra.Command {
	return &cobra.Command{Use: "verify", Short: "Read every generation and print damaged ones", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, all, err := g.read()
			if err != nil {
				return err
			}
			damaged := 0
			for _, generation := range all {
				if generation.Err != nil {
					damaged++
					fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", generation.Path, generation.Err)
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "%d generations, %d whole\n", len(all), len(all)-damaged)
			if damaged > 0 {
				return errDamagedGeneration
			}
			return nil
		}}
}

func snapshotDiff(g *snapshotFolder) *cobra.Command {
	return &cobra.Command{Use: "diff", Short: "Print the changes between the two newest complete generations", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, all, err := g.read()
			if err != nil {
				return err
			}
			var complete []*snapshot.Snapshot
			for _, generation := range all {
				if generation.Snapshot != nil && len(complete) < 2 {
					complete = append(complete, generation.Snapshot)
				}
			}
			if len(complete) < 2 {
				return errors.New("compare generations: expected two complete ones, found fewer")
			}
			printChanges(c.OutOrStdout(), complete[1], complete[0])
			return nil
		}}
}

func snapshotPrune(g *snapshotFolder) *cobra.Command {
	var keep int
	prune := &cobra.Command{Use: "prune", Short: "Remove all but the newest generations; unsafe while a node writes to the folder", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			store, all, err := g.read()
			if err != nil {
				return err
			}
			if keep < 1 {
				return fmt.Errorf("--keep %d: expected at least 1", keep)
			}
			err = store.Prune(keep)
			fmt.Fprintf(c.OutOrStdout(), "%d generations removed\n", max(len(all)-keep, 0))
			return err
		}}
	prune.Flags().IntVar(&keep, "keep", 3, "keep this many generations")
	return prune
}

var conditionNames = [...]string{incarnation.Up: "up", incarnation.Draining: "draining", incarnation.Gone: "gone"}

func conditionName(c uint8) string {
	if int(c) < len(conditionNames) {
		return conditionNames[c]
	}
	return fmt.Sprintf("unknown (%d)", c)
}

func printList(out io.Writer, s *snapshot.Snapshot, now time.Time) {
	cached := staleness.CachedList{Age: now.Sub(time.UnixMilli(s.ConfirmedUnixMS)), IsCleanShutdown: s.IsCleanShutdown}
	fmt.Fprintf(out, "node %s of %s, revision %d, %d servers, written %s, confirmed %s ago, clean shutdown: %v\n", s.Node, s.Deployment, s.Revision,
		len(s.Servers), formatTime(s.WrittenUnixMS*1e6), cached.Age.Round(time.Second), s.IsCleanShutdown)
	fmt.Fprintf(out, "staleness level at a start now: %d of %d\n", cached.Level(), staleness.LevelCount-1)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "server\taddress\tzone\tcondition\theard\tran")
	for _, server := range s.Servers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", server.ID, server.Address, server.Zone, conditionName(server.Condition),
			formatTime(server.AnnouncedUnixMS*1e6), formatTime(server.ExecutedUnixMS*1e6))
	}
	table.Flush()
}

func printChanges(out io.Writer, before, after *snapshot.Snapshot) {
	previous := map[string]snapshot.Server{}
	for _, s := range before.Servers {
		previous[s.ID] = s
	}
	var lines []string
	for _, s := range after.Servers {
		old, known := previous[s.ID]
		delete(previous, s.ID)
		switch {
		case !known:
			lines = append(lines, fmt.Sprintf("+ %s %s %s", s.ID, s.Address, conditionName(s.Condition)))
		case old.Condition != s.Condition || old.Address != s.Address || old.StartedUnixMS != s.StartedUnixMS:
			lines = append(lines, fmt.Sprintf("~ %s %s %s, was %s %s", s.ID, s.Address, conditionName(s.Condition), old.Address, conditionName(old.Condition)))
		}
	}
	for id, old := range previous {
		lines = append(lines, fmt.Sprintf("- %s %s %s", id, old.Address, conditionName(old.Condition)))
	}
	slices.SortFunc(lines, func(a, b string) int { return cmp.Compare(a[2:], b[2:]) })
	for _, l := range lines {
		fmt.Fprintln(out, l)
	}
	fmt.Fprintf(out, "%d changes from revision %d to %d\n", len(lines), before.Revision, after.Revision)
}

// listJSON is a snapshot as show --json prints it.
type listJSON struct {
	Node       string       `json:"node"`
	Deployment string       `json:"deployment"`
	Revision   uint64       `json:"revision"`
	Written    string       `json:"written"`
	Confirmed  string       `json:"confirmed"`
	Clean      bool         `json:"clean"`
	Servers    []serverJSON `json:"servers"`
}

// serverJSON is a server of a listJSON.
type serverJSON struct {
	ID        string `json:"id"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	Condition string `json:"condition"`
	Heard     string `json:"heard"`
	Ran       string `json:"ran"`
}

func newListJSON(s *snapshot.Snapshot) listJSON {
	l := listJSON{s.Node, s.Deployment, s.Revision, formatTime(s.WrittenUnixMS * 1e6), formatTime(s.ConfirmedUnixMS * 1e6), s.IsCleanShutdown, []serverJSON{}}
	for _, server := range s.Servers {
		l.Servers = append(l.Servers, serverJSON{server.ID, server.Address, server.Zone, conditionName(server.Condition),
			formatTime(server.AnnouncedUnixMS * 1e6), formatTime(server.ExecutedUnixMS * 1e6)})
	}
	return l
}
