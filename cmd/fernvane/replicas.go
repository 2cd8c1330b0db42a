package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"fernvane/internal/cluster/peer"
)

const repairPollInterval = time.Second // between two status queries while replicas are repaired

var errUnderReplicated = errors.New("not all that the tier keeps stands as often as it should")

func replicasCommand(getenv func(string) string) *cobra.Command {
	var path string
	var lines bool
	root := &cobra.Command{Use: "replicas", Short: "Tell how often what nodes keep stands in their tier, and have it made whole",
		Example: "  fernvane replicas --peers peers.toml status\n  fernvane replicas --peers peers.toml repair --for 5m"}
	root.PersistentFlags().StringVar(&path, "peers", getenv("PROXY_PEERS"), "the tier's TOML `file`; or PROXY_PEERS")
	root.PersistentFlags().BoolVar(&lines, "json", false, "JSON lines, one for each node, for programs")
	look := func(c *cobra.Command, verify bool) (*peer.Client, error) {
		if path == "" {
			return nil, errors.New("which tier? --peers FILE")
		}
		cfg, err := peer.LoadConfig(path)
		if err != nil {
			return nil, err
		}
		return peer.Query(c.Context(), cfg, verify), nil
	}
	var most time.Duration
	repair := &cobra.Command{Use: "repair", Short: "Have all nodes read what they hold, and wait until it stands as often as it should", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			t, err := look(c, true)
			if err != nil {
				return err
			}
			printTier(c.OutOrStdout(), t, lines)
			for by := time.Now().Add(most); replicationError(t) != nil && time.Now().Before(by); {
				fmt.Fprintln(c.ErrOrStderr(), t.Shortfall())
				time.Sleep(repairPollInterval)
				if t, err = look(c, false); err != nil {
					return err
				}
			}
			fmt.Fprintln(c.ErrOrStderr(), "whole:", replicationError(t) == nil)
			return replicationError(t)
		}}
	repair.Flags().DurationVar(&most, "for", time.Minute, "how long to wait")
	for _, v := range []struct {
		use    string
		short  string
		verify bool
	}{{"status", "Tell which nodes live, what each keeps and holds, and what lacks", false},
		{"verify", "Have all nodes read what they hold, and tell what is damaged", true}} {
		root.AddCommand(&cobra.Command{Use: v.use, Short: v.short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			t, err := look(c, v.verify)
			if err != nil {
				return err
			}
			printTier(c.OutOrStdout(), t, lines)
			return replicationError(t)
		}})
	}
	root.AddCommand(repair)
	root.SetContext(context.Background())
	return root
}

// replicationError is errUnderReplicated where records lack replicas or a node did not answer, nil otherwise.
func replicationError(t *peer.Client) error {
	if t.Shortfall() != "" || len(t.Unanswered) > 0 || len(t.Answered) == 0 {
		return errUnderReplicated
	}
	return nil
}

// printTier writes the status of each node, and what lacks replicas.
func printTier(out io.Writer, t *peer.Client, lines bool) {
	if lines {
		e := json.NewEncoder(out)
		for _, name := range slices.Sorted(maps.Keys(t.Answered)) {
			e.Encode(t.Answered[name])
		}
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "node\tcondition\tsite\tmachine\tkept of its own\theld by\tholds for others\tMB")
	for _, name := range slices.Sorted(maps.Keys(t.Members)) {
		m := t.Members[name]
		s := t.Answered[name]
		if s == nil {
			why := "it was not asked"
			if err := t.Unanswered[name]; err != nil {
				why = err.Error()
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t-\t%s\t-\t-\n", name, m.Condition, m.Site, m.Machine, why)
			continue
		}
		var holders []string
		for _, h := range s.Holders {
			holders = append(holders, fmt.Sprintf("%s %s", h.Name, strings.TrimSpace(h.State+" "+h.RejectReason)))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d of %d\t%s\t%d streams\t%d of %d\n", name, m.Condition, m.Site, m.Machine, max(s.Committed, 1)-1, max(s.Next, 1)-1,
			strings.Join(holders, ", "), len(s.StoredReplicas), s.StoredBytes>>20, s.MaxBytes>>20)
	}
	w.Flush()
	for _, name := range slices.Sorted(maps.Keys(t.Unanswered)) {
		if _, known := t.Members[name]; !known {
			fmt.Fprintf(out, "nobody answers at %s: %v\n", name, t.Unanswered[name])
		}
	}
	for name, s := range t.Answered {
		for _, f := range s.Damage {
			fmt.Fprintf(out, "damaged at %s: %s\n", name, f)
		}
	}
	if why := t.Shortfall(); why != "" {
		fmt.Fprintln(out, "lacking:", why)
	} else if len(t.Answered) > 0 {
		fmt.Fprintln(out, "all that these nodes keep stands as often as it should")
	}
}
