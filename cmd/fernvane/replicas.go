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

var errUnderReplicated = errors.New("too few replicas of some records, or no response from some nodes")

func replicasCommand(getenv func(string) string) *cobra.Command {
	var path string
	var asJSON bool
	root := &cobra.Command{Use: "replicas", Short: "Print and verify the replicas of a tier, and wait for their repair",
		Example: "  fernvane replicas --peers peers.toml status\n  fernvane replicas --peers peers.toml repair --for 5m"}
	root.PersistentFlags().StringVar(&path, "peers", getenv("PROXY_PEERS"), "read the tier's configuration from this TOML `file`; or PROXY_PEERS")
	root.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON lines, one for each node")
	query := func(c *cobra.Command, verify bool) (*peer.Client, error) {
		if path == "" {
			return nil, errors.New("no tier named: use --peers FILE")
		}
		cfg, err := peer.LoadConfig(path)
		if err != nil {
			return nil, err
		}
		return peer.Query(c.Context(), cfg, verify), nil
	}
	var timeout time.Duration
	repair := &cobra.Command{Use: "repair", Short: "Let all nodes verify their stored records, and wait until each record has enough replicas", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			tier, err := query(c, true)
			if err != nil {
				return err
			}
			printTier(c.OutOrStdout(), tier, asJSON)
			for deadline := time.Now().Add(timeout); replicationError(tier) != nil && time.Now().Before(deadline); {
				fmt.Fprintln(c.ErrOrStderr(), tier.Shortfall())
				time.Sleep(repairPollInterval)
				if tier, err = query(c, false); err != nil {
					return err
				}
			}
			fmt.Fprintln(c.ErrOrStderr(), "whole:", replicationError(tier) == nil)
			return replicationError(tier)
		}}
	repair.Flags().DurationVar(&timeout, "for", time.Minute, "wait at most this long")
	for _, v := range []struct {
		use    string
		short  string
		verify bool
	}{{"status", "Print the condition of each node, its records and replicas, and missing replicas", false},
		{"verify", "Let all nodes verify their stored records, and print damaged ones", true}} {
		root.AddCommand(&cobra.Command{Use: v.use, Short: v.short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			tier, err := query(c, v.verify)
			if err != nil {
				return err
			}
			printTier(c.OutOrStdout(), tier, asJSON)
			return replicationError(tier)
		}})
	}
	root.AddCommand(repair)
	root.SetContext(context.Background())
	return root
}

// replicationError returns errUnderReplicated if records lack replicas or a node did not respond, and nil otherwise.
func replicationError(tier *peer.Client) error {
	if tier.Shortfall() != "" || len(tier.QueryErrors) > 0 || len(tier.Responses) == 0 {
		return errUnderReplicated
	}
	return nil
}

// printTier prints the status of each node, damaged records and records that lack replicas, or only the statuses as JSON lines.
func printTier(out io.Writer, tier *peer.Client, asJSON bool) {
	if asJSON {
		encoder := json.NewEncoder(out)
		for _, name := range slices.Sorted(maps.Keys(tier.Responses)) {
			encoder.Encode(tier.Responses[name])
		}
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "node\tcondition\tsite\tmachine\tkept of its own\theld by\tholds for others\tMB")
	for _, name := range slices.Sorted(maps.Keys(tier.Members)) {
		m := tier.Members[name]
		s := tier.Responses[name]
		if s == nil {
			reason := "not queried"
			if err := tier.QueryErrors[name]; err != nil {
				reason = err.Error()
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t-\t%s\t-\t-\n", name, m.Condition, m.Site, m.Machine, reason)
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
	for _, name := range slices.Sorted(maps.Keys(tier.QueryErrors)) {
		if _, isMember := tier.Members[name]; !isMember {
			fmt.Fprintf(out, "no response from %s: %v\n", name, tier.QueryErrors[name])
		}
	}
	for name, s := range tier.Responses {
		for _, f := range s.Damage {
			fmt.Fprintf(out, "damaged at %s: %s\n", name, f)
		}
	}
	if shortfall := tier.Shortfall(); shortfall != "" {
		fmt.Fprintln(out, "lacking:", shortfall)
	} else if len(tier.Responses) > 0 {
		fmt.Fprintln(out, "all records of these nodes have enough replicas")
	}
}
