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

var errJournalDamaged = errors.New("the journal is damaged")

func bindingsCommand(getenv func(string) string) *cobra.Command {
	var from journalSource
	root := &cobra.Command{Use: "bindings", Short: "Read and settle the journal of bindings, also while a node writes it",
		Example: "  fernvane bindings --dir DIR find --state possibly-sent --since 2h\n  fernvane bindings --tier --peers peers.toml show ID\n  fernvane bindings --dir DIR reconcile --against dockets.jsonl"}
	f := root.PersistentFlags()
	f.StringVar(&from.dir, "dir", "", "the journal's `folder`, or one of what is held for another node; by default that of the file in PROXY_BINDINGS")
	f.BoolVar(&from.tier, "tier", false, "ask all nodes of the tier, in place of reading a folder")
	f.StringVar(&from.peers, "peers", getenv("PROXY_PEERS"), "with --tier: the tier's TOML `file`; or PROXY_PEERS")
	where := func() error { return from.resolve(getenv) }
	root.AddCommand(findCommand(&from, where), showCommand(&from, where), verifyCommand(&from, where), exportCommand(&from, where), reconcileCommand(&from, where))
	return root
}

func findCommand(from *journalSource, where func() error) *cobra.Command {
	var q entryFilter
	var lines bool
	var most int
	c := &cobra.Command{Use: "find", Short: "List entries", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if err := errors.Join(where(), q.parse(time.Now())); err != nil {
			return err
		}
		t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		e := json.NewEncoder(c.OutOrStdout())
		if !lines {
			fmt.Fprintln(t, "id\tat\ttype\ttenant\tstate\ttold\thops")
		}
		n := 0
		_, err := from.entries(q.from, q.id, c.ErrOrStderr(), func(entry *intent.Entry) error {
			if !q.matches(entry) {
				return nil
			}
			if n++; most > 0 && n > most {
				return nil
			}
			s := toJSON(entry)
			if lines {
				return e.Encode(s)
			}
			_, err := fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.ID, s.At, s.Type, s.Tenant, s.State, s.ClientOutcome, attemptList(s))
			return err
		})
		if !lines {
			t.Flush()
			if fmt.Fprintf(c.OutOrStdout(), "%d entries\n", n); most > 0 && n > most {
				fmt.Fprintf(c.OutOrStdout(), "the first %d are shown: --most 0 shows all\n", most)
			}
		}
		return err
	}}
	q.addFlags(c)
	c.Flags().BoolVar(&lines, "json", false, "JSON lines, for programs")
	c.Flags().IntVar(&most, "most", 1000, "how many to show; 0: all")
	return c
}

func showCommand(from *journalSource, where func() error) *cobra.Command {
	return &cobra.Command{Use: "show ID", Short: "Print all that is known of a request ID", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		if err := where(); err != nil {
			return err
		}
		out, found := c.OutOrStdout(), false
		_, err := from.entries(time.Time{}, args[0], c.ErrOrStderr(), func(e *intent.Entry) error {
			if e.RequestID != args[0] && e.RepeatOf != args[0] {
				return nil
			}
			found = true
			s := toJSON(e)
			fmt.Fprintf(out, "%s  %s of %q, %s: %s\n", s.ID, s.Type, s.Tenant, s.At, s.State)
			if s.IsRetry || s.RepeatOf != "" {
				fmt.Fprintf(out, "  a retry, of %q\n", s.RepeatOf)
			}
			for i, h := range s.Attempts {
				settled := ""
				if h.IsReconciled {
					settled = ", settled by its dockets"
				}
				fmt.Fprintf(out, "  attempt %d to %s at %s, ended at %s as %q: %s%s\n", i, h.Server, h.At, h.EndedAt, h.Outcome, h.Proof, settled)
			}
			if s.ClientOutcome == "" {
				s.ClientOutcome = "(nothing is known)"
			}
			_, err := fmt.Fprintf(out, "  the client was told: %s, at %s\n", s.ClientOutcome, formatTime(e.NotifiedAtUnixNano))
			return err
		})
		if err == nil && !found {
			whose := "nodes that keep this journal"
			if from.tier {
				whose = "any node of this tier that keeps a journal"
			}
			err = fmt.Errorf("no entry of %q: it was not sent by %s, or is older than what is kept", args[0], whose)
		}
		return err
	}}
}

func verifyCommand(from *journalSource, where func() error) *cobra.Command {
	return &cobra.Command{Use: "verify", Short: "Read all and name what cannot be read", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if err := where(); err != nil {
			return err
		}
		states := map[intent.State]int{}
		conflicts := 0
		began := time.Now()
		r, err := from.entries(time.Time{}, "", c.ErrOrStderr(), func(e *intent.Entry) error {
			states[e.State()]++
			conflicts += e.Conflicts
			return nil
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "%d segments, %d records, %d bytes in %s: %d ran, %d not sent, %d possibly sent, %d contradictions\n", r.Segments, r.Records,
			r.Bytes, time.Since(began).Round(time.Millisecond), states[intent.HasRun], states[intent.NotSent], states[intent.PossiblySent], conflicts)
		if r.CorruptCount() > 0 {
			return errJournalDamaged
		}
		return nil
	}}
}

func exportCommand(from *journalSource, where func() error) *cobra.Command {
	var q entryFilter
	var format string
	c := &cobra.Command{Use: "export", Short: "Write entries for other programs", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if err := errors.Join(where(), q.parse(time.Now())); err != nil {
			return err
		}
		out := c.OutOrStdout()
		j, w := json.NewEncoder(out), csv.NewWriter(out)
		switch format {
		case "jsonl":
		case "csv":
			w.Write([]string{"id", "at", "type", "tenant", "repeats", "state", "told", "hops"})
		default:
			return fmt.Errorf("--format %q: csv or jsonl", format)
		}
		_, err := from.entries(q.from, q.id, c.ErrOrStderr(), func(e *intent.Entry) error {
			if !q.matches(e) {
				return nil
			}
			s := toJSON(e)
			if format == "jsonl" {
				return j.Encode(s)
			}
			return w.Write([]string{s.ID, s.At, s.Type, s.Tenant, s.RepeatOf, s.State, s.ClientOutcome, attemptList(s)})
		})
		w.Flush()
		return errors.Join(err, w.Error())
	}}
	q.addFlags(c)
	c.Flags().StringVar(&format, "format", "jsonl", "csv or jsonl")
	return c
}

func reconcileCommand(from *journalSource, where func() error) *cobra.Command {
	var against []string
	var slack time.Duration
	c := &cobra.Command{Use: "reconcile", Short: "Settle what is possibly sent by the servers' execution records", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if err := where(); err != nil {
			return err
		}
		all := map[string]*intent.ExecutionRecord{}
		for _, a := range against {
			if err := execution.Load(a, all); err != nil {
				return err
			}
		}
		if from.tier {
			return errors.New("what is settled is written to one folder: --dir, a node's own or one of what it holds")
		}
		n, err := reconcile(from, all, slack, c.ErrOrStderr())
		fmt.Fprintf(c.OutOrStdout(), "%d attempts had run, %d had not, %d entries stay possibly sent\n", n.ran, n.neverRan, n.open)
		return err
	}}
	c.Flags().StringArrayVar(&against, "against", nil, "a `file` or URL of execution records; may be given again")
	c.MarkFlagRequired("against")
	c.Flags().DurationVar(&slack, "slack", 5*time.Second, "an attempt that began so shortly before a list's end may still run")
	return c
}

type reconcileCounts struct {
	ran      int // attempts that ran
	neverRan int // attempts that provably never ran
	open     int // entries that stay possibly sent
}

// reconcile appends what the execution records settle as a segment of its own; no segment is edited.
func reconcile(from *journalSource, all map[string]*intent.ExecutionRecord, slack time.Duration, errs io.Writer) (n reconcileCounts, err error) {
	var records []intent.Record
	now := time.Now().UnixNano()
	_, err = from.entries(time.Time{}, "", errs, func(e *intent.Entry) error {
		if e.State() != intent.PossiblySent {
			return nil
		}
		found := intent.Reconcile(e, all, int64(slack), now)
		open := 0
		for _, h := range e.Attempts {
			if h.Proof() == intent.PossiblyRan {
				open++
			}
		}
		ran := false
		for _, r := range found {
			if r.Proof == intent.Ran {
				n.ran++
				ran = true
			} else {
				n.neverRan++
			}
		}
		if !ran && len(found) < max(open, 1) {
			n.open++
		}
		records = append(records, found...)
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
		part := records[:min(len(records), 1000)]
		records = records[len(part):]
		w, err := log.Append(true, part...)
		if err != nil {
			return n, err
		}
		if <-w.Done(); w.Err() != nil {
			return n, w.Err()
		}
	}
	return n, nil
}
