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

var errUnusableGeneration = errors.New("a generation cannot be gone by")

func snapshotCommand(getenv func(string) string) *cobra.Command {
	g := &snapshotFolder{getenv: getenv}
	root := &cobra.Command{Use: "snapshot", Short: "Look at the lists of servers that a node keeps on disk, also while it writes them",
		Example: "  fernvane snapshot show --dir DIR\n  fernvane snapshot verify --dir DIR"}
	root.PersistentFlags().StringVar(&g.dir, "dir", "", "the node's `folder`; by default that of the file in PROXY_SNAPSHOT")
	root.AddCommand(snapshotShow(g), snapshotVerify(g), snapshotDiff(g), snapshotPrune(g))
	return root
}

// snapshotFolder is the folder of snapshots that the command is about.
type snapshotFolder struct {
	getenv func(string) string
	dir    string
}

// read opens the folder and reads all generations, newest first. A folder without any is an error.
func (g *snapshotFolder) read() (*snapshot.Store, []snapshot.Generation, error) {
	if g.dir == "" {
		path := g.getenv("PROXY_SNAPSHOT")
		if path == "" {
			return nil, nil, errors.New("which lists? --dir FOLDER")
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
		err = fmt.Errorf("%s holds no list", g.dir)
	}
	return store, all, err
}

func snapshotShow(g *snapshotFolder) *cobra.Command {
	var lines bool
	show := &cobra.Command{Use: "show", Short: "Print the newest complete generation, and how far a start would believe it", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, all, err := g.read()
			if err != nil {
				return err
			}
			i := slices.IndexFunc(all, func(g snapshot.Generation) bool { return g.Snapshot != nil })
			if i < 0 {
				return fmt.Errorf("%s: %w", all[0].Path, all[0].Err)
			}
			if lines {
				return json.NewEncoder(c.OutOrStdout()).Encode(newListJSON(all[i].Snapshot))
			}
			printList(c.OutOrStdout(), all[i].Snapshot, time.Now())
			return nil
		}}
	show.Flags().BoolVar(&lines, "json", false, "for programs")
	return show
}

func snapshotVerify(g *snapshotFolder) *cobra.Command {
	return &cobra.Command{Use: "verify", Short: "Read every generation and name what is wrong", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, all, err := g.read()
			if err != nil {
				return err
			}
			bad := 0
			for _, one := range all {
				if one.Err != nil {
					bad++
					fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", one.Path, one.Err)
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "%d generations, %d whole\n", len(all), len(all)-bad)
			if bad > 0 {
				return errUnusableGeneration
			}
			return nil
		}}
}

func snapshotDiff(g *snapshotFolder) *cobra.Command {
	return &cobra.Command{Use: "diff", Short: "Tell what changed between the two newest whole generations", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, all, err := g.read()
			if err != nil {
				return err
			}
			var whole []*snapshot.Snapshot
			for _, one := range all {
				if one.Snapshot != nil && len(whole) < 2 {
					whole = append(whole, one.Snapshot)
				}
			}
			if len(whole) < 2 {
				return errors.New("there are no two whole generations")
			}
			printChanges(c.OutOrStdout(), whole[1], whole[0])
			return nil
		}}
}

func snapshotPrune(g *snapshotFolder) *cobra.Command {
	var keep int
	prune := &cobra.Command{Use: "prune", Short: "Remove all but the newest generations; only while no node writes there", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			store, all, err := g.read()
			if err != nil {
				return err
			}
			if keep < 1 {
				return fmt.Errorf("--keep %d: one at least", keep)
			}
			err = store.Prune(keep)
			fmt.Fprintf(c.OutOrStdout(), "%d generations removed\n", max(len(all)-keep, 0))
			return err
		}}
	prune.Flags().IntVar(&keep, "keep", 3, "how many stay")
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
	k := staleness.CachedList{Age: now.Sub(time.UnixMilli(s.ConfirmedUnixMS)), IsCleanShutdown: s.IsCleanShutdown}
	fmt.Fprintf(out, "node %s of %s, revision %d, %d servers, written %s, confirmed %s ago, ended in good order: %v\n", s.Node, s.Deployment, s.Revision,
		len(s.Servers), formatTime(s.WrittenUnixMS*1e6), k.Age.Round(time.Second), s.IsCleanShutdown)
	fmt.Fprintf(out, "a start now would take it with suspicion %d of %d\n", k.Level(), staleness.LevelCount-1)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "server\taddress\tzone\tcondition\theard\tran")
	for _, one := range s.Servers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", one.ID, one.Address, one.Zone, conditionName(one.Condition), formatTime(one.AnnouncedUnixMS*1e6), formatTime(one.ExecutedUnixMS*1e6))
	}
	t.Flush()
}

func printChanges(out io.Writer, before, after *snapshot.Snapshot) {
	was := map[string]snapshot.Server{}
	for _, s := range before.Servers {
		was[s.ID] = s
	}
	var lines []string
	for _, s := range after.Servers {
		b, known := was[s.ID]
		delete(was, s.ID)
		switch {
		case !known:
			lines = append(lines, fmt.Sprintf("+ %s %s %s", s.ID, s.Address, conditionName(s.Condition)))
		case b.Condition != s.Condition || b.Address != s.Address || b.StartedUnixMS != s.StartedUnixMS:
			lines = append(lines, fmt.Sprintf("~ %s %s %s, was %s %s", s.ID, s.Address, conditionName(s.Condition), b.Address, conditionName(b.Condition)))
		}
	}
	for id, b := range was {
		lines = append(lines, fmt.Sprintf("- %s %s %s", id, b.Address, conditionName(b.Condition)))
	}
	slices.SortFunc(lines, func(a, b string) int { return cmp.Compare(a[2:], b[2:]) })
	for _, l := range lines {
		fmt.Fprintln(out, l)
	}
	fmt.Fprintf(out, "%d changes from revision %d to %d\n", len(lines), before.Revision, after.Revision)
}

// listJSON is a snapshot as show prints it for programs.
type listJSON struct {
	Node       string       `json:"node"`
	Deployment string       `json:"deployment"`
	Revision   uint64       `json:"revision"`
	Written    string       `json:"written"`
	Confirmed  string       `json:"confirmed"`
	Clean      bool         `json:"clean"`
	Servers    []serverJSON `json:"servers"`
}

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
	for _, one := range s.Servers {
		l.Servers = append(l.Servers, serverJSON{one.ID, one.Address, one.Zone, conditionName(one.Condition), formatTime(one.AnnouncedUnixMS * 1e6), formatTime(one.ExecutedUnixMS * 1e6)})
	}
	return l
}
