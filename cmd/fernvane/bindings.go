package main

import (
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"fernvane/internal/journal/execution"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
)

var errJournalDamaged = errors.New("journal damaged: unreadable records found")

func bindingsCommand(getenv func(string) string) *cobra.Command {
	var from journalSource
	root := &cobra.Command{Use: "bindings", Short: "Query, verify and reconcile the journal of bindings; safe while a node writes it",
		Example: "  fernvane bindings --dir DIR find --state possibly-sent --since 2h\n  fernvane bindings --tier --peers peers.toml show ID\n  fernvane bindings --dir DIR reconcile --against dockets.jsonl"}
	f := root.PersistentFlags()
	f.StringVar(&from.dir, "dir", "", "read the journal in this `folder`, or a replica stored for another node; default: the folder that the PROXY_BINDINGS file names")
	f.BoolVar(&from.tier, "tier", false, "query all nodes of the tier instead of reading a folder")
	f.StringVar(&from.peers, "peers", getenv("PROXY_PEERS"), "with --tier: read the tier's configuration from this TOML `file`; or PROXY_PEERS")
	resolve := func() error { return from.resolve(getenv) }
	root.AddCommand(findCommand(&from, resolve), showCommand(&from, resolve), verifyCommand(&from, resolve), exportCommand(&from, resolve), reconcileCommand(&from, resolve))
	return root
}

func findCommand(from *journalSource, resolve func() error) *cobra.Command {
	var filter entryFilter
	var asJSON bool
	var limit int
	c := &cobra.Command{Use: "find", Short: "List journal entries", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if err := errors.Join(resolve(), filter.parse(time.Now())); err != nil {
			return err
		}
		table := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		encoder := json.NewEncoder(c.OutOrStdout())
		if !asJSON {
			fmt.Fprintln(table, "id\tat\ttype\ttenant\tstate\ttold\thops")
		}
		n := 0
		_, err := from.entries(filter.from, filter.id, c.ErrOrStderr(), func(entry *intent.Entry) error {
			if !filter.matches(entry) {
				return nil
			}
			if n++; limit > 0 && n > limit {
				return nil
			}
			s := toJSON(entry)
			if asJSON {
				return encoder.Encode(s)
			}
			_, err := fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.ID, s.At, s.Type, s.Tenant, s.State, s.ClientOutcome, attemptList(s))
			return err
		})
		if !asJSON {
			table.Flush()
			if fmt.Fprintf(c.OutOrStdout(), "%d entries\n", n); limit > 0 && n > limit {
				fmt.Fprintf(c.OutOrStdout(), "first %d entries shown; use --most 0 to show all\n", limit)
			}
		}
		return err
	}}
	filter.addFlags(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON lines")
	c.Flags().IntVar(&limit, "most", 1000, "print at most this many entries; 0 prints all")
	return c
}

func showCommand(from *journalSource, resolve func() error) *cobra.Command {
	return &cobra.Command{Use: "show ID",
		Short: "Print the journal entries of a request ID, with attempts and client outcome", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			if err := resolve(); err != nil {
				return err
			}
			out, found := c.OutOrStdout(), false
			_, err := from.entries(time.Time{}, args[0], c.ErrOrStderr(), func(e *intent.Entry) error {
				if e.RequestID != args[0] && e.RepeatOf != args[0] {
					return nil
				}
				found = true
				s := toJSON(e)
				fmt.Fprintf(out, "%s  %s of tenant %q, %s: %s\n", s.ID, s.Type, s.Tenant, s.At, s.State)
				if s.IsRetry || s.RepeatOf != "" {
					fmt.Fprintf(out, "  retry of %q\n", s.RepeatOf)
				}
				for i, attempt := range s.Attempts {
					reconciled := ""
					if attempt.IsReconciled {
						reconciled = ", reconciled with execution records"
					}
					fmt.Fprintf(out, "  attempt %d to %s at %s, ended at %s as %q: %s%s\n", i, attempt.Server, attempt.At, attempt.EndedAt, attempt.Outcome, attempt.Proof, reconciled)
				}
				if s.ClientOutcome == "" {
					s.ClientOutcome = "(unknown)"
				}
				_, err := fmt.Fprintf(out, "  client outcome: %s, at %s\n", s.ClientOutcome, formatTime(e.NotifiedAtUnixNano))
				return err
			})
			if err == nil && !found {
				writers := "nodes that write this journal"
				if from.tier {
					writers = "any node of this tier that has a journal"
				}
				err = fmt.Errorf("find request %q: no journal entry, either not sent by %s or older than the retained records", args[0], writers)
			}
			return err
		}}
}

func verifyCommand(from *journalSource, resolve func() error) *cobra.Command {
	return &cobra.Command{Use: "verify", Short: "Read the whole journal and print unreadable records", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if err := resolve(); err != nil {
			return err
		}
		states := map[intent.State]int{}
		conflicts := 0
		startedAt := time.Now()
		r, err := from.entries(time.Time{}, "", c.ErrOrStderr(), func(e *intent.Entry) error {
			states[e.State()]++
			conflicts += e.Conflicts
			return nil
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "%d segments, %d records, %d bytes in %s: %d ran, %d not sent, %d possibly sent, %d contradictions\n", r.Segments, r.Records,
			r.Bytes, time.Since(startedAt).Round(time.Millisecond), states[intent.HasRun], states[intent.NotSent], states[intent.PossiblySent], conflicts)
		if r.CorruptCount() > 0 {
			return errJournalDamaged
		}
		return nil
	}}
}

func exportCommand(from *journalSource, resolve func() error) *cobra.Command {
	var filter entryFilter
	var format string
	c := &cobra.Command{Use: "export", Short: "Print journal entries as CSV or JSON lines", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if err := errors.Join(resolve(), filter.parse(time.Now())); err != nil {
			return err
		}
		out := c.OutOrStdout()
		jsonLines, rows := json.NewEncoder(out), csv.NewWriter(out)
		switch format {
		case "jsonl":
		case "csv":
			rows.Write([]string{"id", "at", "type", "tenant", "repeats", "state", "told", "hops"})
		default:
			return fmt.Errorf("--format %q: expected csv or jsonl", format)
		}
		_, err := from.entries(filter.from, filter.id, c.ErrOrStderr(), func(e *intent.Entry) error {
			if !filter.matches(e) {
				return nil
			}
			s := toJSON(e)
			if format == "jsonl" {
				return jsonLines.Encode(s)
			}
			return rows.Write([]string{s.ID, s.At, s.Type, s.Tenant, s.RepeatOf, s.State, s.ClientOutcome, attemptList(s)})
		})
		rows.Flush()
		return errors.Join(err, rows.Error())
	}}
	filter.addFlags(c)
	c.Flags().StringVar(&format, "format", "jsonl", "print in this format: csv or jsonl")
	return c
}

func reconcileCommand(from *journalSource, resolve func() error) *cobra.Command {
	var against []string
	var slack time.Duration
	c := &cobra.Command{Use: "reconcile", Short: "Resolve possibly sent attempts with the servers' execution records", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if err := resolve(); err != nil {
			return err
		}
		executed := map[string]*intent.ExecutionRecord{}
		for _, source := range against {
			if err := execution.Load(source, executed); err != nil {
				return err
			}
		}
		if from.tier {
			return errors.New("reconcile writes to one folder: use --dir with a node's journal or a stored replica instead of --tier")
		}
		n, err := reconcile(from, executed, slack, c.ErrOrStderr())
		fmt.Fprintf(c.OutOrStdout(), "%d attempts had run, %d had not, %d entries stay possibly sent\n", n.ran, n.neverRan, n.open)
		return err
	}}
	c.Flags().StringArrayVar(&against, "against", nil, "read execution records from this `file` or URL; may be repeated")
	c.MarkFlagRequired("against")
	c.Flags().DurationVar(&slack, "slack", 5*time.Second, "treat attempts that began within this time before the end of a list as possibly still running")
	return c
}

type reconcileCounts struct {
	ran      int // attempts that ran
	neverRan int // attempts that provably never ran
	open     int // entries that stay possibly sent
}

// reconcile appends the outcomes that the execution records prove as a new segment. Existing segments are not modified.
func reconcile(from *journalSource, executed map[string]*intent.ExecutionRecord, slack time.Duration, stderr io.Writer) (n reconcileCounts, err error) {
	var records []intent.Record
	now := time.Now().UnixNano()
	_, err = from.entries(time.Time{}, "", stderr, func(e *intent.Entry) error {
		if e.State() != intent.PossiblySent {
			return nil
		}
		resolved := intent.Reconcile(e, executed, int64(slack), now)
		open := 0
		for _, attempt := range e.Attempts {
			if attempt.Proof() == intent.PossiblyRan {
				open++
			}
		}
		ran := false
		for _, r := range resolved {
			if r.Proof == intent.Ran {
				n.ran++
				ran = true
			} else {
				n.neverRan++
			}
		}
		if !ran && len(resolved) < max(open, 1) {
			n.open++
		}
		records = append(records, resolved...)
		return nil
	})
	if err != nil || len(records) == 0 {
		return n, err
	}
	log, err := wal.Open(wal.Options{Dir: from.dir, FileSystem: wal.OSFileSystem{}, Fsync: true, MaxSegmentBytes: 1 << 30})
	if err != nil {
		return n, err
	}
	defer log.Close()
	for len(records) > 0 {
		batch := records[:min(len(records), 1000)]
		records = records[len(batch):]
		write, err := log.Append(true, batch...)
		if err != nil {
			return n, err
		}
		if <-write.Done(); write.Err() != nil {
			return n, write.Err()
		}
	}
	return n, nil
}
