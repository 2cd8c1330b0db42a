package main

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"fernvane/internal/bindings"
	"fernvane/internal/bindlog"
	"fernvane/internal/dockets"
	"fernvane/internal/peers"
)

const barEvery = 200 * time.Millisecond // between two looks of the progress bar

var errDamaged = errors.New("the journal is damaged")

// query is what find and export look for.
type query struct {
	id, server, state, tenant, since string
	from                             time.Time
	want                             bindings.State
	anyState                         bool
}

// ready reads the query's words.
func (q *query) ready(now time.Time) error {
	q.anyState = q.state == ""
	if !q.anyState {
		var ok bool
		if q.want, ok = bindings.StateOf(q.state); !ok {
			return fmt.Errorf("--state %q: not-sent, possibly-sent, ran or not-known", q.state)
		}
	}
	if q.since == "" {
		return nil
	}
	if d, err := time.ParseDuration(q.since); err == nil {
		q.from = now.Add(-d)
		return nil
	}
	var err error
	if q.from, err = time.Parse(time.RFC3339, q.since); err != nil {
		return fmt.Errorf("--since %q: a span such as 2h, or a time such as 2026-01-31T09:00:00Z", q.since)
	}
	return nil
}

func (q *query) fits(e *bindings.Entry) bool {
	if q.id != "" && e.ID != q.id && e.Repeats != q.id || q.tenant != "" && e.Tenant != q.tenant || e.At < q.from.UnixNano() && !q.from.IsZero() ||
		!q.anyState && e.State() != q.want {
		return false
	}
	if q.server == "" {
		return true
	}
	for _, h := range e.Hops {
		if h.Server == q.server {
			return true
		}
	}
	return false
}

// source is where entries are read: one folder, or all nodes of a tier.
type source struct {
	dir   string
	peers string
	tier  bool
}

// ready finds out what is not said.
func (s *source) ready(getenv func(string) string) error {
	switch {
	case s.tier && s.peers == "":
		return errors.New("which tier? --peers FILE")
	case s.tier || s.dir != "":
		return nil
	}
	path := getenv("PROXY_BINDINGS")
	if path == "" {
		return errors.New("which journal? --dir FOLDER")
	}
	cfg, err := bindlog.Load(path)
	if err == nil {
		s.dir = cfg.Dir
	}
	return err
}

// entries calls each for all entries, or for those of one id: those of a folder that are whole as they are read, the
// others at the end.
func (s *source) entries(since time.Time, id string, errs io.Writer, each func(*bindings.Entry) error) (bindlog.Report, error) {
	if s.tier {
		return bindlog.Report{}, s.asked(since, id, errs, each)
	}
	fold := bindings.NewFold()
	bar, done := progress(errs)
	report, err := bindlog.Scan(bindlog.OS{}, s.dir, since, func(r *bindings.Record) error {
		if e := fold.Add(r); e != nil {
			return each(e)
		}
		return nil
	}, bar)
	done()
	if err != nil {
		return report, err
	}
	fold.Damaged = report.Corrupt() > 0
	for _, e := range fold.Rest() {
		if err := each(e); err != nil {
			return report, err
		}
	}
	for _, f := range report.Faults {
		fmt.Fprintln(errs, f)
	}
	tellGaps(errs, fold.Gaps)
	return report, nil
}

func tellGaps(errs io.Writer, gaps []bindings.Record) {
	for _, g := range gaps {
		fmt.Fprintf(errs, "from %s to %s %d words were not kept\n", clock(g.From), clock(g.At), g.N)
	}
}

// errTooFew is an answer from too few nodes.
var errTooFew = errors.New("too few nodes could be asked: what is not found here is not known, not \"not sent\"")

// asked puts together what all nodes of a tier hold. Which could not be asked is told; where they are more than may be
// lost, nothing counts as not sent.
func (s *source) asked(since time.Time, id string, errs io.Writer, each func(*bindings.Entry) error) error {
	cfg, err := peers.Load(s.peers)
	if err != nil {
		return err
	}
	tier := peers.Ask(context.Background(), cfg, false)
	union := bindings.NewUnion()
	var all []*bindings.Entry
	corrupt, err := tier.Records(context.Background(), since, id, func(r *bindings.Record) error {
		if e := union.Add(r); e != nil {
			all = append(all, e)
		}
		return nil
	})
	if err != nil {
		return err
	}
	union.Damaged = corrupt > 0
	enough := tier.Enough()
	for _, e := range append(all, union.Rest()...) {
		e.TooFew = !enough
		if err := each(e); err != nil {
			return err
		}
	}
	tellGaps(errs, union.Gaps)
	fmt.Fprintf(errs, "%d nodes answered\n", len(tier.Asked))
	for _, name := range slices.Sorted(maps.Keys(tier.Missed)) {
		fmt.Fprintf(errs, "could not be asked: %s: %v\n", name, tier.Missed[name])
	}
	if !enough {
		return errTooFew
	}
	return nil
}

// progress draws a bar on a terminal.
func progress(errs io.Writer) (bar func(read, all int64), done func()) {
	f, ok := errs.(*os.File)
	if ok {
		st, err := f.Stat()
		ok = err == nil && st.Mode()&os.ModeCharDevice != 0
	}
	if !ok {
		return nil, func() {}
	}
	begun, drawn := time.Now(), time.Time{}
	return func(read, all int64) {
			if now := time.Now(); now.Sub(begun) > barEvery && now.Sub(drawn) > barEvery && all > 0 {
				drawn = now
				n := int(40 * min(read, all) / all)
				fmt.Fprintf(errs, "\r[%s%s] %d of %d MB", strings.Repeat("=", n), strings.Repeat(" ", 40-n), read>>20, all>>20)
			}
		}, func() {
			if !drawn.IsZero() {
				fmt.Fprint(errs, "\r\033[K")
			}
		}
}

func clock(ns int64) string {
	if ns == 0 {
		return "-"
	}
	return time.Unix(0, ns).UTC().Format("2006-01-02T15:04:05.000Z")
}

// shown is an entry for programs.
type shown struct {
	Run     uint64 `json:"run"`
	Op      uint64 `json:"op"`
	ID      string `json:"id"`
	Type    string `json:"type"`
	Tenant  string `json:"tenant,omitempty"`
	Repeats string `json:"repeats,omitempty"`
	Retry   bool   `json:"retry,omitempty"`
	At      string `json:"at"`
	State   string `json:"state"`
	Told    string `json:"told"`
	Hops    []hop  `json:"hops"`
}

type hop struct {
	Server  string `json:"server"`
	At      string `json:"at"`
	EndedAt string `json:"ended_at"`
	End     string `json:"end"`
	Proof   string `json:"proof"`
	Settled bool   `json:"settled,omitempty"`
}

func show(e *bindings.Entry) shown {
	s := shown{Run: e.Run, Op: e.Op, ID: e.ID, Type: e.Type, Tenant: e.Tenant, Repeats: e.Repeats, Retry: e.Retry, At: clock(e.At),
		State: e.State().String(), Told: e.Told, Hops: []hop{}}
	for _, h := range e.Hops {
		s.Hops = append(s.Hops, hop{h.Server, clock(h.At), clock(h.EndedAt), h.How,
			[]string{"possibly sent", "ran", "never ran"}[h.Proof()], h.Settled})
	}
	return s
}

func servers(s shown) string {
	var all []string
	for _, h := range s.Hops {
		all = append(all, h.Server+" "+h.Proof)
	}
	return strings.Join(all, ", ")
}

func bindingsCommand(getenv func(string) string) *cobra.Command {
	var from source
	root := &cobra.Command{Use: "bindings", Short: "Read and settle the journal of bindings, also while a node writes it",
		Example: "  fernvane bindings --dir DIR find --state possibly-sent --since 2h\n  fernvane bindings --tier --peers peers.toml show ID\n  fernvane bindings --dir DIR reconcile --against dockets.jsonl"}
	f := root.PersistentFlags()
	f.StringVar(&from.dir, "dir", "", "the journal's `folder`, or one of what is held for another node; by default that of the file in PROXY_BINDINGS")
	f.BoolVar(&from.tier, "tier", false, "ask all nodes of the tier, in place of reading a folder")
	f.StringVar(&from.peers, "peers", getenv("PROXY_PEERS"), "with --tier: the tier's TOML `file`; or PROXY_PEERS")
	where := func() error { return from.ready(getenv) }
	root.AddCommand(findCommand(&from, where), showCommand(&from, where), verifyCommand(&from, where), exportCommand(&from, where), reconcileCommand(&from, where))
	return root
}

func (q *query) flags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&q.id, "id", "", "the request's id, or one that it repeats")
	f.StringVar(&q.server, "server", "", "a server that a hop was for")
	f.StringVar(&q.state, "state", "", "not-sent, possibly-sent, ran or not-known")
	f.StringVar(&q.tenant, "tenant", "", "a tenant")
	f.StringVar(&q.since, "since", "", "a span back (2h) or a time (2026-01-31T09:00:00Z)")
}

func findCommand(from *source, where func() error) *cobra.Command {
	var q query
	var lines bool
	var most int
	c := &cobra.Command{Use: "find", Short: "List entries", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if err := errors.Join(where(), q.ready(time.Now())); err != nil {
			return err
		}
		t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		e := json.NewEncoder(c.OutOrStdout())
		if !lines {
			fmt.Fprintln(t, "id\tat\ttype\ttenant\tstate\ttold\thops")
		}
		n := 0
		_, err := from.entries(q.from, q.id, c.ErrOrStderr(), func(entry *bindings.Entry) error {
			if !q.fits(entry) {
				return nil
			}
			if n++; most > 0 && n > most {
				return nil
			}
			s := show(entry)
			if lines {
				return e.Encode(s)
			}
			_, err := fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.ID, s.At, s.Type, s.Tenant, s.State, s.Told, servers(s))
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
	q.flags(c)
	c.Flags().BoolVar(&lines, "json", false, "JSON lines, for programs")
	c.Flags().IntVar(&most, "most", 1000, "how many to show; 0: all")
	return c
}

func showCommand(from *source, where func() error) *cobra.Command {
	return &cobra.Command{Use: "show ID", Short: "Tell all that is known of a request's id", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		if err := where(); err != nil {
			return err
		}
		out, found := c.OutOrStdout(), false
		_, err := from.entries(time.Time{}, args[0], c.ErrOrStderr(), func(e *bindings.Entry) error {
			if e.ID != args[0] && e.Repeats != args[0] {
				return nil
			}
			found = true
			s := show(e)
			fmt.Fprintf(out, "%s  %s of %q, %s: %s\n", s.ID, s.Type, s.Tenant, s.At, s.State)
			if s.Retry || s.Repeats != "" {
				fmt.Fprintf(out, "  a retry, of %q\n", s.Repeats)
			}
			for i, h := range s.Hops {
				settled := ""
				if h.Settled {
					settled = ", settled by its dockets"
				}
				fmt.Fprintf(out, "  hop %d to %s at %s, ended at %s as %q: %s%s\n", i, h.Server, h.At, h.EndedAt, h.End, h.Proof, settled)
			}
			if s.Told == "" {
				s.Told = "(nothing is known)"
			}
			_, err := fmt.Fprintf(out, "  the client was told: %s, at %s\n", s.Told, clock(e.ToldAt))
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

func verifyCommand(from *source, where func() error) *cobra.Command {
	return &cobra.Command{Use: "verify", Short: "Read all and name what cannot be read", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if err := where(); err != nil {
			return err
		}
		states := map[bindings.State]int{}
		conflicts := 0
		began := time.Now()
		r, err := from.entries(time.Time{}, "", c.ErrOrStderr(), func(e *bindings.Entry) error {
			states[e.State()]++
			conflicts += e.Conflicts
			return nil
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "%d segments, %d records, %d bytes in %s: %d ran, %d not sent, %d possibly sent, %d contradictions\n", r.Segments, r.Records,
			r.Bytes, time.Since(began).Round(time.Millisecond), states[bindings.HasRun], states[bindings.NotSent], states[bindings.PossiblySent], conflicts)
		if r.Corrupt() > 0 {
			return errDamaged
		}
		return nil
	}}
}

func exportCommand(from *source, where func() error) *cobra.Command {
	var q query
	var format string
	c := &cobra.Command{Use: "export", Short: "Write entries for other programs", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if err := errors.Join(where(), q.ready(time.Now())); err != nil {
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
		_, err := from.entries(q.from, q.id, c.ErrOrStderr(), func(e *bindings.Entry) error {
			if !q.fits(e) {
				return nil
			}
			s := show(e)
			if format == "jsonl" {
				return j.Encode(s)
			}
			return w.Write([]string{s.ID, s.At, s.Type, s.Tenant, s.Repeats, s.State, s.Told, servers(s)})
		})
		w.Flush()
		return errors.Join(err, w.Error())
	}}
	q.flags(c)
	c.Flags().StringVar(&format, "format", "jsonl", "csv or jsonl")
	return c
}

func reconcileCommand(from *source, where func() error) *cobra.Command {
	var against []string
	var slack time.Duration
	c := &cobra.Command{Use: "reconcile", Short: "Settle what is possibly sent by the servers' own dockets", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if err := where(); err != nil {
			return err
		}
		all := map[string]*bindings.Dockets{}
		for _, a := range against {
			if err := dockets.Load(a, all); err != nil {
				return err
			}
		}
		if from.tier {
			return errors.New("what is settled is written to one folder: --dir, a node's own or one of what it holds")
		}
		n, err := reconcile(from, all, slack, c.ErrOrStderr())
		fmt.Fprintf(c.OutOrStdout(), "%d hops had run, %d had not, %d entries stay possibly sent\n", n.ran, n.not, n.open)
		return err
	}}
	c.Flags().StringArrayVar(&against, "against", nil, "a `file` or URL of dockets; may be given again")
	c.MarkFlagRequired("against")
	c.Flags().DurationVar(&slack, "slack", 5*time.Second, "a hop that began so shortly before a list's end may still run")
	return c
}

type settled struct{ ran, not, open int }

// reconcile adds what the dockets settle, in a segment of its own; nothing is edited.
func reconcile(from *source, all map[string]*bindings.Dockets, slack time.Duration, errs io.Writer) (n settled, err error) {
	var records []bindings.Record
	now := time.Now().UnixNano()
	_, err = from.entries(time.Time{}, "", errs, func(e *bindings.Entry) error {
		if e.State() != bindings.PossiblySent {
			return nil
		}
		found := bindings.Reconcile(e, all, int64(slack), now)
		open := 0
		for _, h := range e.Hops {
			if h.Proof() == bindings.Possibly {
				open++
			}
		}
		ran := false
		for _, r := range found {
			if r.Proof == bindings.Ran {
				n.ran++
				ran = true
			} else {
				n.not++
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
	log, err := bindlog.Open(bindlog.Options{Dir: from.dir, Files: bindlog.OS{}, Machine: true, SegmentBytes: 1 << 30})
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
